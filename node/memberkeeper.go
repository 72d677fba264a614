package node

import (
	"context"
	"slices"
	"time"

	"rosemaryline.dev/raft"
)

const (
	// memberInterval is the time between two looks of the control leader at the members of its group.
	memberCheckInterval = 100 * time.Millisecond
	// memberChangeTimeout bounds one change of the members.
	memberChangeTimeout = 2 * time.Second
	// unheldGrace is the time without a process that holds a member before a replaced member is removed. It is longer than
	// the time that gossip takes to tell of a restarted process.
	orphanGrace = 2 * time.Second
)

// memberKeeper decides how the members of a control group follow the processes with the control role. It is pure.
//
// New members are added before lost ones are removed, one change at a time, so that the number of voters that hold an
// acknowledged change never falls. An even number of voters with a lost one shows that a replacement has joined: only then
// is the lost one removed. A member that is merely cut off from an odd group stays.
type memberKeeper struct {
	// unheldSince is when a member was first seen without a process that holds it.
	orphanedSince map[raft.ID]time.Duration
	// lastError is the text of the last failure that was logged.
	lastError string
}

func newMemberKeeper() *memberKeeper {
	return &memberKeeper{orphanedSince: map[raft.ID]time.Duration{}}
}

// next returns the next change, if any. held are the member ids of the live processes with the control role.
func (k *memberKeeper) next(now time.Duration, m raft.Membership, liveIDs []raft.ID) (raft.MemberChange, bool) {
	k.update(now, m, liveIDs)
	for _, id := range m.Learners {
		if slices.Contains(liveIDs, id) {
			return raft.MemberChange{Kind: raft.PromoteLearner, ID: id}, true
		}
		if k.orphaned(now, id) {
			return raft.MemberChange{Kind: raft.RemoveMember, ID: id}, true
		}
	}
	if len(m.Voters)%2 == 0 {
		for _, id := range m.Voters {
			if k.orphaned(now, id) {
				return raft.MemberChange{Kind: raft.RemoveMember, ID: id}, true
			}
		}
		if len(k.orphanedSince) > 0 {
			// The next replacement waits for the removal; added before it, it would make the group odd again.
			return raft.MemberChange{}, false
		}
	}
	if len(m.Learners) > 0 {
		return raft.MemberChange{}, false
	}
	for _, id := range liveIDs {
		if !m.Contains(id) {
			return raft.MemberChange{Kind: raft.AddLearner, ID: id}, true
		}
	}
	return raft.MemberChange{}, false
}

// note updates since when members are held by no process.
func (k *memberKeeper) update(now time.Duration, m raft.Membership, liveIDs []raft.ID) {
	for id := range k.orphanedSince {
		if slices.Contains(liveIDs, id) || !m.Contains(id) {
			delete(k.orphanedSince, id)
		}
	}
	for _, id := range m.Members() {
		if _, known := k.orphanedSince[id]; !known && !slices.Contains(liveIDs, id) {
			k.orphanedSince[id] = now
		}
	}
}

func (k *memberKeeper) orphaned(now time.Duration, id raft.ID) bool {
	since, ok := k.orphanedSince[id]
	return ok && now-since >= orphanGrace
}

// keepMembers makes the control leader carry out the keeper's next change.
func (c *controlRole) keepMembers(k *memberKeeper) {
	group := c.groups[groupControl]
	if !c.isLeader(groupControl) {
		clear(k.orphanedSince)
		return
	}
	var liveIDs []raft.ID
	for _, m := range c.node.gossip.list() {
		if m.meta.Control != 0 {
			liveIDs = append(liveIDs, m.meta.Control)
		}
	}
	slices.Sort(liveIDs)
	change, ok := k.next(c.node.clock(), group.Status().Membership, liveIDs)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(c.node.tomb.Context(context.Background()), memberChangeTimeout)
	defer cancel()
	err := group.ChangeMembership(ctx, change)
	if err != nil && err.Error() == k.lastError {
		return
	}
	entry := c.node.opts.Log.Info()
	k.lastError = ""
	if err != nil {
		// The next look tries again, for example when a learner has caught up.
		k.lastError = err.Error()
		entry = c.node.opts.Log.Warn().Err(err)
	}
	entry.Str("change", change.Kind.String()).Str("member", formatID(change.ID)).Bool("done", err == nil).
		Int("voters", len(group.Status().Membership.Voters)).Msg("control: changes the members of the group.")
}
