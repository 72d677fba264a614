package storage

import "fmt"

// CorruptError reports data that was synced once and is damaged or missing now.
type CorruptError struct {
	File string
	// Offset is in bytes from the start of File.
	Offset  int64
	Problem string
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("storage: %s is corrupt at offset %d: %s", e.File, e.Offset, e.Problem)
}

// LockedError reports that another process has the data folder open.
type LockedError struct{ File string }

func (e *LockedError) Error() string {
	return fmt.Sprintf("storage: %s is locked by another process", e.File)
}

// OrderError reports entries that do not follow the stored ones.
type OrderError struct {
	// Index is the index of the refused entry.
	Index uint64
	// First and Last bound the indexes that were acceptable.
	First, Last uint64
}

func (e *OrderError) Error() string {
	return fmt.Sprintf("storage: entry %d is out of order, expected %d to %d", e.Index, e.First, e.Last)
}
