package node

import (
	"context"
	"sync"
	"time"

	"gopkg.in/tomb.v2"

	"rosemaryline.dev/control"
	"rosemaryline.dev/fleet/state"
)

const (
	// defaultLeaderHeartbeatInterval is the default of Options.LeaderHeartbeatInterval, the time between two heartbeats of
	// the control leader.
	defaultLeaderHeartbeatInterval = 500 * time.Millisecond
	// relayInterval is the time between two messages that relay confirmations to the control leader.
	relayInterval = 200 * time.Millisecond
)

// heartbeats issues the heartbeats of the control leader, which prove to a process that it has contact with control,
// and collects which process runs which version of the fleet state.
type heartbeats struct {
	role          *controlRole
	confirmations *control.Confirmations
	relay         *control.Relay

	mu      sync.Mutex // guards the fields below
	leading bool
	// issuedAt is the time of the last heartbeat on the process's clock.
	issuedAt      time.Duration
	number        uint64
	rosterVersion uint64 // version of the state whose roster was passed to confirmations
}

func newHeartbeats(c *controlRole) *heartbeats {
	return &heartbeats{
		role:          c,
		confirmations: control.NewConfirmations(c.node.clock),
		relay:         control.NewRelay(),
	}
}

// Confirm implements control.Confirmer. It records the confirmation here and queues it for the control leader.
func (h *heartbeats) Confirm(c control.ProcessConfirmation) {
	h.confirmations.Confirm(c)
	h.relay.Confirm(c)
}

// relayConfirmations sends the queued confirmations to the control leader if another process leads.
func (h *heartbeats) relayConfirmations() {
	leader := h.role.groups[groupControl].Status().Leader
	address, ok := h.role.node.memberAddress(groupControl, leader)
	if !ok || address == h.role.node.opts.PeerAddress {
		return
	}
	ctx, cancel := context.WithTimeout(h.role.node.tomb.Context(context.Background()), relayInterval)
	defer cancel()
	// A lost confirmation needs no retry: processes confirm again with their next fetch.
	h.role.node.deps.recordResult(roleLeader, address, h.relay.Flush(ctx, h.role.node.client, address))
}

// leaderCheckInterval is the time between two checks whether this process leads. It is shorter than the interval
// between heartbeats, so that a new leader issues its first heartbeat soon: after a restart, rate owners wait for it.
const leaderCheckInterval = 100 * time.Millisecond

// firstLeaderCheckInterval takes its place until the process knows a heartbeat: after a restart of all processes none of them
// serves before the first one.
const firstLeaderCheckInterval = 20 * time.Millisecond

// run issues heartbeats until the tomb dies.
func (h *heartbeats) run(t *tomb.Tomb) error {
	for {
		interval := leaderCheckInterval
		if !h.role.node.stateServer.HasHeartbeat() {
			interval = firstLeaderCheckInterval
		}
		select {
		case <-time.After(interval):
			h.issueIfDue()
		case <-t.Dying():
			return nil
		}
	}
}

// issueIfDue issues a heartbeat if Options.LeaderHeartbeatInterval has passed since the last one or this process has
// just become the leader.
func (h *heartbeats) issueIfDue() {
	h.mu.Lock()
	due := !h.leading || h.role.node.clock()-h.issuedAt >= h.role.node.opts.LeaderHeartbeatInterval
	h.mu.Unlock()
	if due {
		h.issue()
	}
}

// issue issues a heartbeat after a quorum confirmed that this process leads. The heartbeat counts as issued at the
// start of this confirmation, because the version that it carries includes every change that was accepted before.
func (h *heartbeats) issue() {
	if !h.role.isLeader(groupControl) {
		h.setLeading(false)
		return
	}
	issuedAt := h.role.node.clock()
	term := h.role.groups[groupControl].Status().Term
	ctx, cancel := context.WithTimeout(h.role.node.tomb.Context(context.Background()), h.role.node.opts.LeaderHeartbeatInterval)
	defer cancel()
	if err := h.role.groups[groupControl].Barrier(ctx); err != nil {
		h.setLeading(false)
		return
	}
	h.setLeading(true)
	h.mu.Lock()
	h.issuedAt = issuedAt
	h.mu.Unlock()
	h.refreshRoster()
	heartbeat := h.next(term)
	h.confirmations.RecordHeartbeat(heartbeat.Number, issuedAt)
	h.role.node.stateServer.SetHeartbeat(heartbeat, h.role.node.clock()-issuedAt)
}

// termShift is the position of the leader's term in a heartbeat's number. It leaves 32 bits to count the heartbeats of
// a term.
const termShift = 32

// next returns the next heartbeat. The high bits of its number are the leader's term, so numbers increase from one
// leader to the next even if clocks differ.
func (h *heartbeats) next(term uint64) control.LeaderHeartbeat {
	var version uint64
	h.role.machine.View(func(s *state.State) { version = s.Version() })
	h.mu.Lock()
	defer h.mu.Unlock()
	h.number = max(h.number+1, term<<termShift)
	return control.LeaderHeartbeat{Number: h.number, Version: version, InForce: h.confirmations.InForce()}
}

// refreshRoster passes the roster to the confirmations if the fleet state has changed.
func (h *heartbeats) refreshRoster() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.role.machine.View(func(s *state.State) {
		if s.Version() == h.rosterVersion {
			return
		}
		h.rosterVersion = s.Version()
		h.confirmations.SetRoster(s)
	})
}

func (h *heartbeats) setLeading(leading bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leading = leading
}

// pendingRosterChange returns the version whose roster change is in force, so that the state can drop its record of it.
// ok is false if there is none or this process does not lead.
func (h *heartbeats) pendingRosterChange() (version uint64, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.leading {
		return 0, false
	}
	return h.confirmations.PendingRosterChange()
}
