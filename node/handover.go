package node

import (
	"context"
	"time"

	"rosemaryline.dev/membership"
	"rosemaryline.dev/raft"
	"rosemaryline.dev/replica"
)

const (
	// methodLeaving takes a leavingNotice. Processes of earlier builds do not have it.
	methodLeaving = "group.leaving"
	// handoverTimeout limits the steps by which a control VM prepares its stop.
	handoverTimeout = 500 * time.Millisecond
	// handoverRetry is the pause between two checks or attempts of these steps.
	handoverRetry = 20 * time.Millisecond
)

// leavingNotice tells the control leader that a process with the control role is stopping. Gossip may take longer than the
// process has.
type leavingNotice struct {
	Member raft.ID `json:"member"`
	// Incarnation is the run of the process. A later run takes the notice back.
	Incarnation uint64 `json:"incarnation"`
}

// leave prepares a graceful stop: another member leads the groups that this process leads, and the control leader learns that
// another VM may take its place. Both are best effort: without them the group notices that the member is silent.
func (c *controlRole) leave() {
	ctx, cancel := context.WithTimeout(c.node.tomb.Context(context.Background()), handoverTimeout)
	defer cancel()
	for name, group := range c.groups {
		c.handOver(ctx, name, group)
	}
	if c.node.opts.AutoMembers {
		c.sendLeavingNotice(ctx)
	}
}

// handOver transfers the leadership of a group, if this process has it, and waits until it has ended.
func (c *controlRole) handOver(ctx context.Context, name groupName, group *replica.Group) {
	for c.isLeader(name) && ctx.Err() == nil {
		status := group.Status()
		if to, ok := successor(status); ok {
			if err := group.TransferLeadership(ctx, to); err != nil {
				c.node.opts.Log.Warn().Err(err).Str("group", string(name)).Msg("control: could not hand over the leadership.")
			}
		}
		pauseOrDone(ctx)
	}
}

// successor returns the voter with the most entries that replies to the leader; ok is false if there is none.
func successor(s raft.Status) (id raft.ID, ok bool) {
	for _, voter := range s.Membership.Voters {
		if voter != s.ID && s.Active[voter] && (!ok || s.Match[voter] > s.Match[id]) {
			id, ok = voter, true
		}
	}
	return id, ok
}

// sendLeavingNotice tells the control leader that this process is stopping.
func (c *controlRole) sendLeavingNotice(ctx context.Context) {
	notice := leavingNotice{Member: c.controlID, Incarnation: c.node.incarnation}
	for ctx.Err() == nil {
		leader := c.groups[groupControl].Status().Leader
		if address, ok := c.node.memberAddress(groupControl, leader); ok && leader != c.controlID {
			err := c.node.client.Call(ctx, address, methodLeaving, notice, &struct{}{})
			if err == nil || isUnsupported(err) {
				return
			}
		}
		pauseOrDone(ctx)
	}
}

func pauseOrDone(ctx context.Context) {
	select {
	case <-time.After(handoverRetry):
	case <-ctx.Done():
	}
}

// receiveLeaving handles methodLeaving.
func (c *controlRole) receiveLeaving(_ context.Context, _ string, n leavingNotice) (struct{}, error) {
	c.leavingMu.Lock()
	defer c.leavingMu.Unlock()
	members := c.groups[groupControl].Status().Membership
	for id := range c.leavingMembers {
		if !members.Contains(id) {
			delete(c.leavingMembers, id)
		}
	}
	if members.Contains(n.Member) {
		c.leavingMembers[n.Member] = n.Incarnation
	}
	return struct{}{}, nil
}

// isLeaving reports whether a process with the control role is stopping.
func (c *controlRole) isLeaving(m peerInfo) bool {
	if m.Status == membership.StatusLeaving {
		return true
	}
	c.leavingMu.Lock()
	defer c.leavingMu.Unlock()
	incarnation, ok := c.leavingMembers[m.meta.Control]
	return ok && incarnation >= m.Incarnation
}
