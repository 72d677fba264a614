package raft

import "github.com/pkg/errors"

// SnapshotAt returns a snapshot with the term and membership at an applied index and the state machine's data.
// It fails with ErrCompacted when the index is not applied or before the latest snapshot.
func (n *Node) SnapshotAt(index uint64, data []byte) (Snapshot, error) {
	term, ok := n.log.term(index)
	if !ok || index > n.log.applied || index < n.log.snapshot.Index {
		return Snapshot{}, errors.Wrapf(ErrCompacted, "snapshot at %d, applied %d", index, n.log.applied)
	}
	return Snapshot{Index: index, Term: term, Membership: n.log.configAt(index).clone(), Data: data}, nil
}

// Compact drops entries that the snapshot covers, except for Config.RetainedEntries. The driver has saved the snapshot
// before, whose term and membership are those of SnapshotAt. A snapshot older than the latest one has no effect.
// Errors: ErrCompacted when the index is not applied, ErrMalformed when term or membership differ.
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
