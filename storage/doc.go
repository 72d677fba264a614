// Package storage stores the log and the snapshots of one member of a Raft group in files in a data folder.
//
// The folder holds these files:
//
//   - lock: locked exclusively while a Store is open;
//   - id: the member's random ID;
//   - log-<first index>: the hard state, and the entries from the first index on;
//   - snapshot-<index>: the state of the state machine after the entry at index.
//
// Each change is written as one frame with a checksum, so that it is recovered either completely or not at all. New files
// are written under a temporary name, synced and renamed, and the folder is synced after each rename.
//
// A damaged last frame of a log cannot be distinguished from a write that was never synced. It is truncated, and its size
// is reported in Recovered.TornBytes.
package storage
