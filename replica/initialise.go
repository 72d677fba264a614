package replica

import (
	"slices"

	"github.com/pkg/errors"

	"rosemaryline.dev/raft"
	"rosemaryline.dev/storage"
)

// bootstrapIndex is the index of the first snapshot of a new group, as raft.Bootstrap sets it.
const bootstrapIndex = 1

// Initialise writes the first state of a new group to an opened data folder, which becomes one of the initial members.
// It must be called for each initial member with the same voters: the IDs of all their data folders. from is the zero
// value for a group that starts in the initial state, or a saved snapshot whose state and index the new group
// continues; the membership in the snapshot is ignored. A call that was interrupted by a crash can be repeated. Errors:
// ErrNotEmpty, ErrBadVoters, errors of the store.
func Initialise(s *storage.Store, r storage.Recovered, voters []raft.ID, from raft.Snapshot) (storage.Recovered, error) {
	if err := checkVoters(r.ID, voters); err != nil {
		return r, err
	}
	initial := raft.Bootstrap(voters)
	if from.Index > 0 {
		initial.Snapshot.Index, initial.Snapshot.Term, initial.Snapshot.Data = from.Index, from.Term, from.Data
		initial.HardState = raft.HardState{Term: from.Term, Commit: from.Index}
	}
	if !r.Empty() && !interruptedAt(r, initial.HardState.Term) {
		return r, ErrNotEmpty
	}
	if err := s.Save(&initial.HardState, nil); err != nil {
		return r, errors.WithMessage(err, "initialise group")
	}
	if err := s.SaveSnapshot(initial.Snapshot); err != nil {
		return r, errors.WithMessage(err, "initialise group")
	}
	r.PersistentState = initial
	return r, nil
}

// CreationInterrupted reports whether a call of Initialise that creates a group in the initial state was interrupted, by a crash or
// an error of the store. A member that joined a group has a later term: the first leader of a group has begun one.
func CreationInterrupted(r storage.Recovered) bool {
	return interruptedAt(r, raft.Bootstrap([]raft.ID{r.ID}).HardState.Term)
}

// interruptedAt reports whether a data folder holds what an interrupted call of Initialise leaves: only the hard state, with a
// commit index of 0 because the log is empty.
func interruptedAt(r storage.Recovered, term uint64) bool {
	return r.HardState == raft.HardState{Term: term} && r.Snapshot.Index == 0 && len(r.Entries) == 0
}

func checkVoters(self raft.ID, voters []raft.ID) error {
	sorted := slices.Sorted(slices.Values(voters))
	if len(slices.Compact(sorted)) != len(voters) || slices.Contains(voters, 0) {
		return errors.Wrap(ErrBadVoters, "duplicate or zero id")
	}
	if !slices.Contains(voters, self) {
		return errors.Wrapf(ErrBadVoters, "own id %016x is not in the list", uint64(self))
	}
	return nil
}
