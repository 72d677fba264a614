package node

import (
	"context"
	"maps"
	"slices"
	"time"

	"rosemaryline.dev/raft"
)

const (
	// memberCheckInterval is the time between two checks of the control leader whether its group needs a member change.
	memberCheckInterval = 100 * time.Millisecond
	// memberChangeTimeout limits one change of the members.
	memberChangeTimeout = 2 * time.Second
	// silenceGrace is how long a voter must not have replied to the leader before a learner takes its place, in addition to the
	// election timeout after which it counts as silent.
	silenceGrace = time.Second
	// learnerGrace is how long a learner must be without a live process before it is removed. It is longer than gossip
	// takes to report a restarted process.
	learnerGrace = 2 * time.Second
	// growthDelay is how long more control VMs than voters must be live before the number of voters grows beyond what
	// Options.MinQuorum needs. A VM that replaces another one starts before the other one stops.
	growthDelay = 10 * time.Second
)

// controlVM is a process with the control role as gossip reports it.
type controlVM struct {
	// id is its member id in the control group. It changes if its data folder is lost.
	id raft.ID
	vm string
	// leaving is set while the process stops gracefully.
	leaving bool
}

// groupView is what the leader knows of the control group.
type groupView struct {
	self       raft.ID
	membership raft.Membership
	// active holds the members that reply to the leader, and the leader.
	active map[raft.ID]bool
	// ready holds the learners that have the committed entries.
	ready map[raft.ID]bool
}

// memberKeeper decides how the members of a control group follow the live processes with the control role. It is pure.
//
// Invariants:
//   - The number of voters does not grow beyond the target while VMs are replaced. A VM that joins waits as a learner until a
//     voter is gone; that voter is then removed first, and the learner promoted next. A dead voter that stays beside its
//     replacement would raise the quorum, and a replacement may be lost again before it counts as recovered.
//   - A voter is removed only if a learner that has caught up can take its place, or if there are more voters than the target.
//     A voter that is only cut off stays otherwise.
//   - A quorum is never less than minQuorum, so that each acknowledged change survives as many losses as the platform allows.
type memberKeeper struct {
	minQuorum int
	// vmOf is the VM on which each member was last seen.
	vmOf map[raft.ID]string
	// silentSince is when a member was first seen silent, and absentSince when it was first seen without a live process.
	silentSince map[raft.ID]time.Duration
	absentSince map[raft.ID]time.Duration
	// surplusSince is when more control VMs than the target were first seen; negative while there are not.
	surplusSince time.Duration
	// lastError is the text of the last failure that was logged.
	lastError string
}

func newMemberKeeper(minQuorum int) *memberKeeper {
	k := &memberKeeper{minQuorum: max(minQuorum, 1), vmOf: map[raft.ID]string{}}
	k.reset()
	return k
}

// reset forgets what a former leader observed. vmOf stays valid.
func (k *memberKeeper) reset() {
	k.silentSince, k.absentSince, k.surplusSince = map[raft.ID]time.Duration{}, map[raft.ID]time.Duration{}, -1
}

// next returns the next change; ok is false if there is none.
func (k *memberKeeper) next(now time.Duration, g groupView, vms []controlVM) (change raft.MemberChange, ok bool) {
	k.observe(now, g, vms)
	m := g.membership
	target := k.target(now, g, vms)
	for _, id := range m.Learners {
		if k.isGone(id, vms) || k.passed(now, k.absentSince, id, learnerGrace) {
			return raft.MemberChange{Kind: raft.RemoveMember, ID: id}, true
		}
	}
	learner, hasReady := k.readyLearner(g, vms)
	if hasReady && len(m.Voters) < target {
		return raft.MemberChange{Kind: raft.PromoteLearner, ID: learner}, true
	}
	if hasReady || len(m.Voters) > target {
		if id, found := k.lostVoter(now, g, vms); found {
			return raft.MemberChange{Kind: raft.RemoveMember, ID: id}, true
		}
	}
	for _, vm := range vms {
		if !vm.leaving && !m.Contains(vm.id) {
			return raft.MemberChange{Kind: raft.AddLearner, ID: vm.id}, true
		}
	}
	return raft.MemberChange{}, false
}

// observe records which members are silent or have no live process, and since when.
func (k *memberKeeper) observe(now time.Duration, g groupView, vms []controlVM) {
	live := map[raft.ID]bool{}
	for _, vm := range vms {
		live[vm.id] = true
		k.vmOf[vm.id] = vm.vm
	}
	members := g.membership.Members()
	maps.DeleteFunc(k.vmOf, func(id raft.ID, _ string) bool { return !live[id] && !slices.Contains(members, id) })
	for _, id := range members {
		mark(k.silentSince, id, now, !g.active[id] && id != g.self)
		mark(k.absentSince, id, now, !live[id])
	}
	forgetOthers(k.silentSince, members)
	forgetOthers(k.absentSince, members)
}

// mark records since when a condition holds for a member.
func mark(since map[raft.ID]time.Duration, id raft.ID, now time.Duration, holds bool) {
	if _, known := since[id]; !holds {
		delete(since, id)
	} else if !known {
		since[id] = now
	}
}

func forgetOthers(since map[raft.ID]time.Duration, members []raft.ID) {
	maps.DeleteFunc(since, func(id raft.ID, _ time.Duration) bool { return !slices.Contains(members, id) })
}

func (k *memberKeeper) passed(now time.Duration, since map[raft.ID]time.Duration, id raft.ID, grace time.Duration) bool {
	at, ok := since[id]
	return ok && now-at >= grace
}

// target returns the number of voters that the group should have: as many as tolerate minQuorum-1 losses, or an odd number
// up to that of the members that reply if that is more.
func (k *memberKeeper) target(now time.Duration, g groupView, vms []controlVM) int {
	staying := 0
	for _, vm := range vms {
		if !vm.leaving && g.active[vm.id] {
			staying++
		}
	}
	least, wanted := 2*k.minQuorum-1, (staying-1)/2*2+1
	if wanted <= least {
		k.surplusSince = -1
		return least
	}
	if k.surplusSince < 0 {
		k.surplusSince = now
	}
	if k.minQuorum > 1 && now-k.surplusSince < growthDelay {
		return least
	}
	return wanted
}

// readyLearner returns a learner that can be promoted. ok is false if there is none.
func (k *memberKeeper) readyLearner(g groupView, vms []controlVM) (id raft.ID, ok bool) {
	for _, vm := range vms {
		if !vm.leaving && g.membership.IsLearner(vm.id) && g.ready[vm.id] && g.active[vm.id] {
			return vm.id, true
		}
	}
	return 0, false
}

// lostVoter returns the voter to remove: one that is gone for good, or else the one that has been silent longest, if it is
// silent for silenceGrace. found is false if there is none, or if the quorum would become too small.
func (k *memberKeeper) lostVoter(now time.Duration, g groupView, vms []controlVM) (lost raft.ID, found bool) {
	if (raft.Membership{Voters: g.membership.Voters[1:]}).Quorum() < k.minQuorum {
		return 0, false
	}
	for _, id := range g.membership.Voters {
		if id == g.self {
			continue
		}
		if k.isGone(id, vms) {
			return id, true
		}
		if k.passed(now, k.silentSince, id, silenceGrace) && (!found || k.silentSince[id] < k.silentSince[lost]) {
			lost, found = id, true
		}
	}
	return lost, found
}

// isGone reports whether a member will not return: its process is stopping, or its VM has a process with another member id.
func (k *memberKeeper) isGone(id raft.ID, vms []controlVM) bool {
	for _, vm := range vms {
		if vm.id == id {
			return vm.leaving
		}
	}
	name, known := k.vmOf[id]
	return known && slices.ContainsFunc(vms, func(vm controlVM) bool { return vm.vm == name })
}

// keepMembers carries out the changes of the members that are due if this process leads the control group.
func (c *controlRole) keepMembers(k *memberKeeper) {
	for c.isLeader(groupControl) {
		change, ok := k.next(c.node.clock(), c.groupView(), c.controlVMs())
		if !ok || !c.changeMember(k, change) {
			return
		}
	}
	k.reset()
}

// groupView returns what this process knows of the control group, which it leads.
func (c *controlRole) groupView() groupView {
	status := c.groups[groupControl].Status()
	g := groupView{self: status.ID, membership: status.Membership, active: status.Active, ready: map[raft.ID]bool{}}
	for _, id := range status.Membership.Learners {
		g.ready[id] = status.Match[id] >= status.Commit
	}
	return g
}

// controlVMs returns the live processes with the control role, in the order of their member ids.
func (c *controlRole) controlVMs() []controlVM {
	var vms []controlVM
	for _, m := range c.node.gossip.list() {
		if m.meta.Control != 0 {
			vms = append(vms, controlVM{id: m.meta.Control, vm: m.Name, leaving: c.isLeaving(m)})
		}
	}
	slices.SortFunc(vms, func(a, b controlVM) int {
		switch {
		case a.id < b.id:
			return -1
		case a.id > b.id:
			return 1
		}
		return 0
	})
	return vms
}

// changeMember carries out a change and logs it. It reports whether the change is done.
func (c *controlRole) changeMember(k *memberKeeper, change raft.MemberChange) bool {
	group := c.groups[groupControl]
	ctx, cancel := context.WithTimeout(c.node.tomb.Context(context.Background()), memberChangeTimeout)
	defer cancel()
	err := group.ChangeMembership(ctx, change)
	if err != nil && err.Error() == k.lastError {
		return false
	}
	entry := c.node.opts.Log.Info()
	k.lastError = ""
	if err != nil {
		// The next check tries again, for example until a learner has caught up.
		k.lastError = err.Error()
		entry = c.node.opts.Log.Warn().Err(err)
	}
	status := group.Status()
	entry.Str("change", change.Kind.String()).Str("member", formatID(change.ID)).Str("memberVM", k.vmOf[change.ID]).Bool("done", err == nil).
		Int("voters", len(status.Membership.Voters)).Int("learners", len(status.Membership.Learners)).
		Msg("control: attempted a change of the control group's members.")
	return err == nil
}
