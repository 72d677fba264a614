package replica

import (
	"slices"

	"github.com/pkg/errors"

	"rosemaryline.dev/raft"
	"rosemaryline.dev/storage"
)

// foundingIndex is the index of a new group's first snapshot.
const foundingIndex = 1

// Initialise makes an opened data folder a founding member of a new group. Every founding member calls it with the
// same voters, who are ids of opened data folders. from is the zero value for a group in the initial state, or a saved
// snapshot whose state and index the new group continues; the members of the group that saved it are not taken over.
// A call that was interrupted by a crash can be repeated. Errors: ErrNotEmpty, ErrBadVoters, errors of the store.
func Initialise(s *storage.Store, r storage.Recovered, voters []raft.ID, from raft.Snapshot) (storage.Recovered, error) {
	if err := checkVoters(r.ID, voters); err != nil {
		return r, err
	}
	founding := raft.Bootstrap(voters)
	if from.Index > 0 {
		founding.Snapshot.Index, founding.Snapshot.Term, founding.Snapshot.Data = from.Index, from.Term, from.Data
		founding.HardState = raft.HardState{Term: from.Term, Commit: from.Index}
	}
	// A crash after the first step below leaves the hard state, with the commit index cut to the empty log.
	interrupted := raft.HardState{Term: founding.HardState.Term}
	if !r.Empty() && (r.HardState != interrupted || r.Snapshot.Index > 0 || len(r.Entries) > 0) {
		return r, ErrNotEmpty
	}
	if err := s.Save(&founding.HardState, nil); err != nil {
		return r, errors.WithMessage(err, "initialise group")
	}
	if err := s.SaveSnapshot(founding.Snapshot); err != nil {
		return r, errors.WithMessage(err, "initialise group")
	}
	r.PersistentState = founding
	return r, nil
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
