package node

import (
	"context"
	"slices"
	"time"

	"rosemaryline.dev/raft"
)

const (
	// memberCheckInterval is the time between two checks of the control leader whether its group needs a member change.
	memberCheckInterval = 100 * time.Millisecond
	// memberChangeTimeout limits one change of the members.
	memberChangeTimeout = 2 * time.Second
	// orphanGrace is how long a member must be without a live process before it is removed. It is longer than gossip
	// takes to report a restarted process.
	orphanGrace = 2 * time.Second
)

// memberKeeper decides how the members of a control group follow the live processes with the control role. It is pure.
//
// It makes one change at a time and adds new members before it removes lost ones, so that the number of voters that
// store an acknowledged change never falls. A lost voter is removed only from a group with an even number of voters,
// because there its replacement has joined. A member that is only cut off from a group with an odd number of voters
// stays.
type memberKeeper struct {
	// orphanedSince is when a member was first seen without a live process.
	orphanedSince map[raft.ID]time.Duration
	// lastError is the text of the last failure that was logged.
	lastError string
}

func newMemberKeeper() *memberKeeper {
	return &memberKeeper{orphanedSince: map[raft.ID]time.Duration{}}
}

// next returns the next change; ok is false if there is none. liveIDs are the member ids of the live processes with the
// control role.
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
			// Wait for the removal. Another replacement would make the number of voters odd again, which blocks the
			// removal.
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

// update records since when members have had no live process.
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

// keepMembers carries out the next change of the members if this process leads the control group.
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
		// The next check tries again, for example until a learner has caught up.
		k.lastError = err.Error()
		entry = c.node.opts.Log.Warn().Err(err)
	}
	entry.Str("change", change.Kind.String()).Str("member", formatID(change.ID)).Bool("done", err == nil).
		Int("voters", len(group.Status().Membership.Voters)).Msg("control: attempted a change of the control group's members.")
}
