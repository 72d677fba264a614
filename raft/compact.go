package raft

import "github.com/pkg/errors"

// SnapshotAt returns a snapshot that combines the term and membership at an applied index with data, the state of the
// state machine at that index. It returns ErrCompacted if the index is not applied or is before the latest snapshot.
func (n *Node) SnapshotAt(index uint64, data []byte) (Snapshot, error) {
	term, ok := n.log.term(index)
	if !ok || index > n.log.applied || index < n.log.snapshot.Index {
		return Snapshot{}, errors.Wrapf(ErrCompacted, "snapshot at %d, applied %d", index, n.log.applied)
	}
	return Snapshot{Index: index, Term: term, Membership: n.log.membershipAt(index).clone(), Data: data}, nil
}

// Compact discards the entries that the snapshot covers, except for the last Config.RetainedEntries entries before it.
// The caller must have saved the snapshot, with the term and membership that SnapshotAt returned. A snapshot that is not
// newer than the latest one has no effect. Errors: ErrCompacted if the index is not applied, ErrMalformed if the term or
// the membership differs from the log's.
func (n *Node) Compact(s Snapshot) error {
	if s.Index <= n.log.snapshot.Index {
		return nil
	}
	want, err := n.SnapshotAt(s.Index, nil)
	if err != nil {
		return err
	}
	if s.Term != want.Term || !s.Membership.Equal(want.Membership) {
		return errors.Wrapf(ErrMalformed, "snapshot at %d has another term or membership than the log", s.Index)
	}
	n.log.compact(s, uint64(n.cfg.RetainedEntries))
	return nil
}
