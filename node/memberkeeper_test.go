package node

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemaryline.dev/raft"
)

// keeperMinQuorum is the quorum that survives the loss of two disks.
const keeperMinQuorum = 3

// keeperSimulation applies a keeper's changes to a membership and checks that no step leaves a group of five or more
// voters without a live quorum. A quorum is at least three voters, and together they store every acknowledged change.
type keeperSimulation struct {
	t          *testing.T
	keeper     *memberKeeper
	now        time.Duration
	membership raft.Membership
	changes    []raft.MemberChange
}

// run lets the keeper act for 20 s while the given processes are live. VM n has the members n, n+10, n+20 and so on.
func (r *keeperSimulation) run(liveIDs ...raft.ID) {
	var vms []controlVM
	for _, id := range liveIDs {
		vms = append(vms, controlVM{id: id, vm: fmt.Sprint("vm-", id%10)})
	}
	r.runWith(vms)
}

func (r *keeperSimulation) runWith(vms []controlVM) {
	for range 200 {
		r.now += memberCheckInterval
		g := groupView{self: vms[0].id, membership: r.membership, active: map[raft.ID]bool{}, ready: map[raft.ID]bool{}}
		for _, vm := range vms {
			g.active[vm.id], g.ready[vm.id] = true, true
		}
		change, ok := r.keeper.next(r.now, g, vms)
		if !ok {
			continue
		}
		r.changes = append(r.changes, change)
		r.membership = applyChange(r.membership, change)
		m := r.membership
		alive := 0
		for _, id := range m.Voters {
			if g.active[id] {
				alive++
			}
		}
		assert.Assert(r.t, alive >= m.Quorum() || len(m.Voters) < 5, "%v leaves %v without a quorum of %v", change, m, vms)
	}
	slices.Sort(r.membership.Voters)
}

// applyChange returns the membership after a change. It panics if the change does not apply.
func applyChange(m raft.Membership, change raft.MemberChange) raft.Membership {
	without := func(ids []raft.ID) []raft.ID {
		return slices.DeleteFunc(slices.Clone(ids), func(id raft.ID) bool { return id == change.ID })
	}
	next := raft.Membership{Voters: without(m.Voters), Learners: without(m.Learners)}
	switch change.Kind {
	case raft.AddLearner:
		next.Learners = append(next.Learners, change.ID)
	case raft.PromoteLearner:
		next.Voters = append(next.Voters, change.ID)
	}
	if m.Contains(change.ID) == (change.Kind == raft.AddLearner) || change.Kind == raft.PromoteLearner && !m.IsLearner(change.ID) {
		panic(fmt.Sprint(change, " does not apply to ", m))
	}
	return next
}

func newKeeperSimulation(t *testing.T, voters ...raft.ID) *keeperSimulation {
	return &keeperSimulation{t: t, keeper: newMemberKeeper(keeperMinQuorum), membership: raft.Membership{Voters: voters}}
}

// Guards against a group that does not grow to all control VMs, or that shrinks while members are replaced: after two
// disks are lost at once, when a member only has a new address, or when one is only cut off. It also guards against voters that
// stay although their VMs have left: an earlier version kept them in a group with an odd number of voters, until the living
// members were no quorum.
func TestMemberKeeper(t *testing.T) {
	tests := []struct {
		desc    string
		voters  []raft.ID
		liveIDs []raft.ID
		want    []raft.ID
	}{
		{"new group", []raft.ID{1}, []raft.ID{1, 2, 3, 4, 5}, []raft.ID{1, 2, 3, 4, 5}},
		{"one lost disk", []raft.ID{1, 2, 3, 4, 5}, []raft.ID{1, 2, 3, 4, 15}, []raft.ID{1, 2, 3, 4, 15}},
		{"two lost disks", []raft.ID{1, 2, 3, 4, 5}, []raft.ID{1, 2, 3, 14, 15}, []raft.ID{1, 2, 3, 14, 15}},
		{"two lost VMs", []raft.ID{1, 2, 3, 4, 5}, []raft.ID{1, 2, 3, 6, 7}, []raft.ID{1, 2, 3, 6, 7}},
		{"one cut off", []raft.ID{1, 2, 3, 4, 5}, []raft.ID{1, 2, 3, 4}, []raft.ID{1, 2, 3, 4, 5}},
		{"two cut off", []raft.ID{1, 2, 3, 4, 5}, []raft.ID{1, 2, 3}, []raft.ID{1, 2, 3, 4, 5}},
		{"one cut off and one lost", []raft.ID{1, 2, 3, 4, 5}, []raft.ID{1, 2, 3, 6}, []raft.ID{1, 2, 3, 5, 6}},
		{"nothing to do", []raft.ID{1, 2, 3, 4, 5}, []raft.ID{1, 2, 3, 4, 5}, []raft.ID{1, 2, 3, 4, 5}},
		{"two that left an odd group", []raft.ID{1, 2, 3, 4, 5, 6, 7}, []raft.ID{1, 2, 3, 4, 5}, []raft.ID{1, 2, 3, 4, 5}},
		{"two that left and one cut off", []raft.ID{1, 2, 3, 4, 5, 6, 7}, []raft.ID{1, 2, 3, 4}, []raft.ID{1, 2, 3, 4, 7}},
		{"one that left an even group", []raft.ID{1, 2, 3, 4, 5, 6}, []raft.ID{1, 2, 3, 4, 5}, []raft.ID{1, 2, 3, 4, 5}},
		{"two more VMs that stay", []raft.ID{1, 2, 3, 4, 5}, []raft.ID{1, 2, 3, 4, 5, 6, 7}, []raft.ID{1, 2, 3, 4, 5, 6, 7}},
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
	k := newMemberKeeper(keeperMinQuorum)
	g := groupView{self: 1, membership: raft.Membership{Voters: []raft.ID{1}, Learners: []raft.ID{2}},
		active: map[raft.ID]bool{1: true, 2: true}, ready: map[raft.ID]bool{2: true}}
	vms := []controlVM{{id: 1, vm: "a"}, {id: 2, vm: "b"}, {id: 3, vm: "c"}}
	change, ok := k.next(0, g, vms)
	assert.Assert(t, ok)
	assert.Equal(t, change, raft.MemberChange{Kind: raft.PromoteLearner, ID: 2})
}

// Guards against a VM that is replaced in a planned way and stays a voter: the new VM joins first and waits, and it takes the
// place of the old one as soon as that says that it is stopping.
func TestMemberKeeperReplacesAllVMsInTurn(t *testing.T) {
	r := newKeeperSimulation(t, 1, 2, 3, 4, 5)
	vms := []controlVM{{1, "vm-1", false}, {2, "vm-2", false}, {3, "vm-3", false}, {4, "vm-4", false}, {5, "vm-5", false}}
	for i := range raft.ID(5) {
		next := controlVM{id: 6 + i, vm: fmt.Sprint("vm-", 6+i)}
		vms = append(vms, next)
		r.runWith(vms)
		assert.Equal(t, len(r.membership.Voters), 5)
		assert.DeepEqual(t, r.membership.Learners, []raft.ID{next.id})
		if i%2 == 0 {
			vms[0].leaving = true
			vms[0], vms[1] = vms[1], vms[0] // another one leads
			r.changes = nil
			r.runWith(vms)
			assert.Equal(t, len(r.changes), 2)
			vms = slices.Delete(vms, 1, 2)
		} else {
			vms = vms[1:]
		}
		r.runWith(vms)
		assert.Equal(t, len(r.membership.Learners), 0)
	}
	assert.DeepEqual(t, r.membership.Voters, []raft.ID{6, 7, 8, 9, 10})
}

// Guards against a voter that is removed although nothing can take its place: a learner that has not caught up or does not
// reply, a VM that only restarts, or a quorum that would become too small.
func TestMemberKeeperKeepsVoters(t *testing.T) {
	five := []raft.ID{1, 2, 3, 4, 5}
	tests := []struct {
		desc   string
		m      raft.Membership
		vms    []controlVM
		active []raft.ID
		ready  []raft.ID
	}{
		{"no learner", raft.Membership{Voters: five}, []controlVM{{1, "a", false}}, five[:3], nil},
		{"learner without the log", raft.Membership{Voters: five, Learners: []raft.ID{6}}, []controlVM{{1, "a", false}, {6, "f", false}}, []raft.ID{1, 2, 3, 4, 6}, nil},
		{"silent learner", raft.Membership{Voters: five, Learners: []raft.ID{6}}, []controlVM{{1, "a", false}, {6, "f", false}}, five[:4], []raft.ID{6}},
		{"leaving learner", raft.Membership{Voters: five, Learners: []raft.ID{6}}, []controlVM{{1, "a", false}}, five[:4], []raft.ID{6}},
		{"planned restart", raft.Membership{Voters: five}, []controlVM{{1, "a", false}, {2, "b", true}}, five, nil},
		{"small quorum", raft.Membership{Voters: five[:4]}, []controlVM{{1, "a", false}, {6, "f", true}}, five[:3], nil},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			k := newMemberKeeper(keeperMinQuorum)
			g := groupView{self: 1, membership: test.m, active: map[raft.ID]bool{}, ready: map[raft.ID]bool{}}
			for _, id := range test.active {
				g.active[id] = true
			}
			for _, id := range test.ready {
				g.ready[id] = true
			}
			for now := time.Duration(0); now < time.Minute; now += memberCheckInterval {
				change, ok := k.next(now, g, test.vms)
				assert.Assert(t, !ok || !test.m.IsVoter(change.ID), "%v", change)
			}
		})
	}
}
