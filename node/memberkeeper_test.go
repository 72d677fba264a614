package node

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemaryline.dev/raft"
)

// keeperSimulation applies a keeper's changes to a membership and checks that no step leaves a group of five or more
// voters without a live quorum. A quorum is at least three voters, and together they store every acknowledged change.
type keeperSimulation struct {
	t          *testing.T
	keeper     *memberKeeper
	now        time.Duration
	membership raft.Membership
	changes    []raft.MemberChange
}

func (r *keeperSimulation) run(liveIDs ...raft.ID) {
	for range 200 {
		r.now += memberCheckInterval
		change, ok := r.keeper.next(r.now, r.membership, liveIDs)
		if !ok {
			continue
		}
		r.changes = append(r.changes, change)
		m := &r.membership
		switch change.Kind {
		case raft.AddLearner:
			m.Learners = append(m.Learners, change.ID)
		case raft.PromoteLearner:
			m.Learners = slices.DeleteFunc(m.Learners, func(id raft.ID) bool { return id == change.ID })
			m.Voters = append(m.Voters, change.ID)
		case raft.RemoveMember:
			m.Voters = slices.DeleteFunc(m.Voters, func(id raft.ID) bool { return id == change.ID })
			m.Learners = slices.DeleteFunc(m.Learners, func(id raft.ID) bool { return id == change.ID })
		}
		alive := 0
		for _, id := range m.Voters {
			if slices.Contains(liveIDs, id) {
				alive++
			}
		}
		assert.Assert(r.t, alive >= m.Quorum() || len(m.Voters) < 5, "%v leaves %v without a quorum of %v", change, m, liveIDs)
	}
	slices.Sort(r.membership.Voters)
}

func newKeeperSimulation(t *testing.T, voters ...raft.ID) *keeperSimulation {
	return &keeperSimulation{t: t, keeper: newMemberKeeper(), membership: raft.Membership{Voters: voters}}
}

// Guards against a group that does not grow to all control VMs, or that shrinks while members are replaced: after two
// disks are lost at once, when a member only has a new address, or when one is only cut off.
func TestMemberKeeper(t *testing.T) {
	tests := []struct {
		desc    string
		voters  []raft.ID
		liveIDs []raft.ID
		want    []raft.ID
	}{
		{"new group", []raft.ID{1}, []raft.ID{1, 2, 3, 4, 5}, []raft.ID{1, 2, 3, 4, 5}},
		{"one lost disk", []raft.ID{1, 2, 3, 4, 5}, []raft.ID{1, 2, 3, 4, 6}, []raft.ID{1, 2, 3, 4, 6}},
		{"two lost disks", []raft.ID{1, 2, 3, 4, 5}, []raft.ID{1, 2, 3, 6, 7}, []raft.ID{1, 2, 3, 6, 7}},
		{"one cut off", []raft.ID{1, 2, 3, 4, 5}, []raft.ID{1, 2, 3, 4}, []raft.ID{1, 2, 3, 4, 5}},
		{"nothing to do", []raft.ID{1, 2, 3, 4, 5}, []raft.ID{1, 2, 3, 4, 5}, []raft.ID{1, 2, 3, 4, 5}},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			r := newKeeperSimulation(t, test.voters...)
			r.run(test.liveIDs...)
			assert.DeepEqual(t, r.membership.Voters, test.want)
			assert.Equal(t, len(r.membership.Learners), 0)
		})
	}
}

// Guards against adding a second learner before the first one votes. The member change would take longer, and further
// disks may be lost meanwhile.
func TestMemberKeeperChangesOneAtATime(t *testing.T) {
	k := newMemberKeeper()
	change, ok := k.next(0, raft.Membership{Voters: []raft.ID{1}, Learners: []raft.ID{2}}, []raft.ID{1, 2, 3})
	assert.Assert(t, ok)
	assert.Equal(t, change, raft.MemberChange{Kind: raft.PromoteLearner, ID: 2})
}
