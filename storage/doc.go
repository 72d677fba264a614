// Package storage keeps a replicated log and its snapshots in files under one data folder.
//
// The folder holds these files:
//
//   - lock: locked exclusively while a Store is open;
//   - id: the member's random id;
//   - log-<first index>: the hard state and the entries from first index on;
//   - snapshot-<index>: the state after the entry at index.
//
// Each change is one checksummed frame, so that it is recovered completely or not at all. New files are written under
// a temporary name, synced and renamed, and the folder is synced after each rename.
//
// A damaged last frame of a log cannot be told from a write that was never synced. It is cut off, and its size is
// reported in Recovered.TornBytes.
package storage
