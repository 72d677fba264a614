package storage

import (
	"slices"

	"rosemaryline.dev/raft"
)

// checkOrder returns an *OrderError unless the entries have consecutive indexes, start after the snapshot and start no
// later than directly after the last stored entry. stored is the number of stored entries.
func checkOrder(snapshot uint64, stored int, entries []raft.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	first := snapshot + 1
	last := snapshot + uint64(stored) + 1
	if index := entries[0].Index; index < first || index > last {
		return &OrderError{Index: index, First: first, Last: last}
	}
	for i, entry := range entries {
		if want := entries[0].Index + uint64(i); entry.Index != want {
			return &OrderError{Index: entry.Index, First: want, Last: want}
		}
	}
	return nil
}

// replaceFrom replaces the stored entries from the index of the first new entry on. checkOrder must have accepted the
// entries.
func replaceFrom(snapshot uint64, stored, entries []raft.Entry) []raft.Entry {
	if len(entries) == 0 {
		return stored
	}
	return append(stored[:entries[0].Index-snapshot-1], entries...)
}

// entriesAfter returns the stored entries that remain valid with a newer snapshot at index and term. These are the
// entries after index if the log contains the entry at index with that term. Otherwise there are none, because the
// stored entries may conflict with the snapshot.
func entriesAfter(snapshot uint64, stored []raft.Entry, index, term uint64) []raft.Entry {
	at := index - snapshot
	if at == 0 {
		return stored
	}
	if at > uint64(len(stored)) || stored[at-1].Term != term {
		return nil
	}
	return slices.Clone(stored[at:])
}
