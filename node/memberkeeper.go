package node

import (
	"context"
	"slices"
	"time"

	"rosemaryline.dev/raft"
)

const (
	// memberInterval is the time between two looks of the control leader at the members of its group.
	memberInterval = 100 * time.Millisecond
	// memberChangeTimeout bounds one change of the members.
	memberChangeTimeout = 2 * time.Second
	// unheldGrace is the time without a process that holds a member before a replaced member is removed. It is longer than
	// the time that gossip takes to tell of a restarted process.
	unheldGrace = 2 * time.Second
)

// memberKeeper decides how the members of a control group follow the processes with the control role. It is pure.
//
// New members are added before lost ones are removed, one change at a time, so that the number of voters that hold an
// acknowledged change never falls. An even number of voters with a lost one shows that a replacement has joined: only then
// is the lost one removed. A member that is merely cut off from an odd group stays.
type memberKeeper struct {
	// unheldSince is when a member was first seen without a process that holds it.
	unheldSince map[raft.ID]time.Duration
	// lastError is the text of the last failure that was logged.
	lastError string
}

func newMemberKeeper() *memberKeeper {
	return &memberKeeper{unheldSince: map[raft.ID]time.Duration{}}
}

// next returns the next change, if any. held are the member ids of the live processes with the control role.
func (k *memberKeeper) next(now time.Duration, m raft.Membership, held []raft.ID) (raft.MemberChange, bool) {
	k.note(now, m, held)
	for _, id := range m.Learners {
		if slices.Contains(held, id) {
			return raft.MemberChange{Kind: raft.PromoteLearner, ID: id}, true
		}
		if k.unheld(now, id) {
			return raft.MemberChange{Kind: raft.RemoveMember, ID: id}, true
		}
	}
	if len(m.Voters)%2 == 0 {
		for _, id := range m.Voters {
			if k.unheld(now, id) {
				return raft.MemberChange{Kind: raft.RemoveMember, ID: id}, true
			}
		}
		if len(k.unheldSince) > 0 {
			// The next replacement waits for the removal; added before it, it would make the group odd again.
			return raft.MemberChange{}, false
		}
	}
	if len(m.Learners) > 0 {
		return raft.MemberChange{}, false
	}
	for _, id := range held {
		if !m.Contains(id) {
			return raft.MemberChange{Kind: raft.AddLearner, ID: id}, true
		}
	}
	return raft.MemberChange{}, false
}

// note updates since when members are held by no process.
func (k *memberKeeper) note(now time.Duration, m raft.Membership, held []raft.ID) {
	for id := range k.unheldSince {
		if slices.Contains(held, id) || !m.Contains(id) {
			delete(k.unheldSince, id)
		}
	}
	for _, id := range m.Members() {
		if _, known := k.unheldSince[id]; !known && !slices.Contains(held, id) {
			k.unheldSince[id] = now
		}
	}
}

func (k *memberKeeper) unheld(now time.Duration, id raft.ID) bool {
	since, ok := k.unheldSince[id]
	return ok && now-since >= unheldGrace
}

// keepMembers makes the control leader carry out the keeper's next change.
func (c *controlRole) keepMembers(k *memberKeeper) {
	group := c.groups[groupControl]
	if !c.isLeader(groupControl) {
		clear(k.unheldSince)
		return
	}
	var held []raft.ID
	for _, m := range c.node.gossip.list() {
		if m.meta.Control != 0 {
			held = append(held, m.meta.Control)
		}
	}
	slices.Sort(held)
	change, ok := k.next(c.node.clock(), group.Status().Membership, held)
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
