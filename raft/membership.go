package raft

import (
	"encoding/json"
	"slices"

	"github.com/pkg/errors"
)

// IsVoter reports whether id is a voter.
func (m Membership) IsVoter(id ID) bool { return slices.Contains(m.Voters, id) }

// IsLearner reports whether id is a learner.
func (m Membership) IsLearner(id ID) bool { return slices.Contains(m.Learners, id) }

// Contains reports whether id is a member.
func (m Membership) Contains(id ID) bool { return m.IsVoter(id) || m.IsLearner(id) }

// Quorum returns the number of voters that form a majority.
func (m Membership) Quorum() int { return len(m.Voters)/2 + 1 }

// Members returns the voters, followed by the learners.
func (m Membership) Members() []ID {
	return append(slices.Clone(m.Voters), m.Learners...)
}

// Equal reports whether m and o have the same voters and learners.
func (m Membership) Equal(o Membership) bool {
	return slices.Equal(m.Voters, o.Voters) && slices.Equal(m.Learners, o.Learners)
}

func (m Membership) clone() Membership {
	return Membership{Voters: slices.Clone(m.Voters), Learners: slices.Clone(m.Learners)}
}

// apply returns the membership after change c. It returns ErrBadChange if the change is not valid for m.
func (m Membership) apply(c MemberChange) (Membership, error) {
	next := m.clone()
	switch {
	case c.ID == 0:
		return m, errors.Wrap(ErrBadChange, "id 0")
	case c.Kind == AddLearner && !m.Contains(c.ID):
		next.Learners = insert(next.Learners, c.ID)
	case c.Kind == PromoteLearner && m.IsLearner(c.ID):
		next.Learners = remove(next.Learners, c.ID)
		next.Voters = insert(next.Voters, c.ID)
	case c.Kind == RemoveMember && m.IsLearner(c.ID):
		next.Learners = remove(next.Learners, c.ID)
	case c.Kind == RemoveMember && m.IsVoter(c.ID) && len(m.Voters) > 1:
		next.Voters = remove(next.Voters, c.ID)
	default:
		return m, errors.Wrapf(ErrBadChange, "%v %v", c.Kind, c.ID)
	}
	return next, nil
}

func insert(ids []ID, id ID) []ID {
	at, _ := slices.BinarySearch(ids, id)
	return slices.Insert(ids, at, id)
}

func remove(ids []ID, id ID) []ID {
	return slices.DeleteFunc(ids, func(other ID) bool { return other == id })
}

func encodeMembership(m Membership) ([]byte, error) {
	data, err := json.Marshal(m)
	return data, errors.Wrap(err, "raft: encode membership")
}

// Membership decodes the data of an entry of kind EntryMembership. It returns ErrMalformed for any other entry, for
// invalid data and for a membership without voters.
func (e Entry) Membership() (Membership, error) {
	var m Membership
	if e.Kind != EntryMembership {
		return m, errors.Wrapf(ErrMalformed, "entry %d holds no membership", e.Index)
	}
	if err := json.Unmarshal(e.Data, &m); err != nil {
		return m, errors.Wrapf(ErrMalformed, "membership entry %d: %v", e.Index, err)
	}
	if len(m.Voters) == 0 {
		return m, errors.Wrapf(ErrMalformed, "membership entry %d has no voters", e.Index)
	}
	return m, nil
}
