package storage

import (
	"slices"

	"rosemaryline.dev/raft"
)

// checkOrder checks that entries have no gap, start above the snapshot and at most one after the stored entries.
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

// replaceFrom replaces the stored entries at or after the first new one. The order has been checked.
func replaceFrom(snapshot uint64, stored, entries []raft.Entry) []raft.Entry {
	if len(entries) == 0 {
		return stored
	}
	return append(stored[:entries[0].Index-snapshot-1], entries...)
}

// entriesAfter returns the entries that stay valid with a newer snapshot: those after it if the log holds its last
// entry, and none otherwise, because they may then conflict with it.
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
