package storage

import "fmt"

// CorruptError reports that data that had been synced is damaged or missing.
type CorruptError struct {
	File string
	// Offset is the position of the damage in File, in bytes.
	Offset  int64
	Problem string
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("storage: %s is corrupt at offset %d: %s", e.File, e.Offset, e.Problem)
}

// LockedError reports that another process holds the lock of the data folder.
type LockedError struct{ File string }

func (e *LockedError) Error() string {
	return fmt.Sprintf("storage: %s is locked by another process", e.File)
}

// OrderError reports entries that do not continue or overwrite the stored entries without a gap.
type OrderError struct {
	// Index is the index of the first rejected entry.
	Index uint64
	// First and Last are the lowest and the highest index that would have been accepted instead.
	First, Last uint64
}

func (e *OrderError) Error() string {
	return fmt.Sprintf("storage: entry %d is out of order, expected %d to %d", e.Index, e.First, e.Last)
}
