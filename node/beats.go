package node

import (
	"context"
	"sync"
	"time"

	"rosemaryline.dev/control"
	"rosemaryline.dev/fleet/state"
)

const (
	// defaultBeatInterval is the default of Options.BeatInterval, the time between two beats of the control leader.
	defaultBeatInterval = 500 * time.Millisecond
	// relayInterval is the time between two messages that relay confirmations to the control leader.
	relayInterval = 200 * time.Millisecond
)

// beats issues the control leader's beats, the periodic messages by which processes know that they have contact with
// control, and collects which process runs which version of the fleet state.
type beats struct {
	role          *controlRole
	confirmations *control.Confirmations
	relay         *control.Relay

	mu      sync.Mutex // guards the fields below
	leading bool
	// issuedAt is the time of the last beat on the process's clock.
	issuedAt      time.Duration
	number        uint64
	rosterVersion uint64 // version of the state whose roster was passed to confirmations
}

func newBeats(c *controlRole) *beats {
	return &beats{
		role:          c,
		confirmations: control.NewConfirmations(c.node.clock),
		relay:         control.NewRelay(),
	}
}

// Confirm implements control.Confirmer. It records the confirmation here and queues it for the control leader.
func (b *beats) Confirm(c control.ProcessConfirmation) {
	b.confirmations.Confirm(c)
	b.relay.Confirm(c)
}

// relayConfirmations sends the queued confirmations to the control leader if another process leads.
func (b *beats) relayConfirmations() {
	leader := b.role.groups[groupControl].Status().Leader
	address, ok := b.role.node.memberAddress(groupControl, leader)
	if !ok || address == b.role.node.opts.PeerAddress {
		return
	}
	ctx, cancel := context.WithTimeout(b.role.node.tomb.Context(context.Background()), relayInterval)
	defer cancel()
	// A lost confirmation needs no retry: processes confirm again with their next fetch.
	b.role.node.deps.recordResult(roleLeader, address, b.relay.Flush(ctx, b.role.node.client, address))
}

// leaderCheckInterval is the time between two checks whether this process leads. It is shorter than the interval
// between beats, so that a new leader issues its first beat soon: after a restart, rate owners wait for it.
const leaderCheckInterval = 100 * time.Millisecond

// issueIfDue issues a beat if Options.BeatInterval has passed since the last one or this process has just become the
// leader.
func (b *beats) issueIfDue() {
	b.mu.Lock()
	due := !b.leading || b.role.node.clock()-b.issuedAt >= b.role.node.opts.BeatInterval
	b.mu.Unlock()
	if due {
		b.issue()
	}
}

// issue issues a beat after a quorum confirmed that this process leads. The beat counts as issued at the start
// of this confirmation, because the version that it carries includes every change that was accepted before.
func (b *beats) issue() {
	if !b.role.isLeader(groupControl) {
		b.setLeading(false)
		return
	}
	// The same moment on the system's clock and on the process's clock.
	issued, issuedAt := time.Now(), b.role.node.clock()
	term := b.role.groups[groupControl].Status().Term
	ctx, cancel := context.WithTimeout(b.role.node.tomb.Context(context.Background()), b.role.node.opts.BeatInterval)
	defer cancel()
	if err := b.role.groups[groupControl].Barrier(ctx); err != nil {
		b.setLeading(false)
		return
	}
	b.setLeading(true)
	b.mu.Lock()
	b.issuedAt = issuedAt
	b.mu.Unlock()
	b.refreshRoster()
	beat := b.next(term)
	b.confirmations.RecordBeat(beat.Number, issuedAt)
	b.role.node.source.SetBeat(beat, issued)
}

// termShift is the position of the leader's term in a beat's number. It leaves 32 bits to count the beats of a term.
const termShift = 32

// next returns the next beat. The high bits of its number are the leader's term, so numbers increase from one leader to
// the next even if clocks differ.
func (b *beats) next(term uint64) control.Beat {
	var version uint64
	b.role.machine.View(func(s *state.State) { version = s.Version() })
	b.mu.Lock()
	defer b.mu.Unlock()
	b.number = max(b.number+1, term<<termShift)
	return control.Beat{Number: b.number, Version: version, InForce: b.confirmations.InForce()}
}

// refreshRoster passes the roster to the confirmations if the fleet state has changed.
func (b *beats) refreshRoster() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.role.machine.View(func(s *state.State) {
		if s.Version() == b.rosterVersion {
			return
		}
		b.rosterVersion = s.Version()
		b.confirmations.SetRoster(s)
	})
}

func (b *beats) setLeading(leading bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leading = leading
}

// pendingRosterChange returns the version whose roster change is in force, so that the state can drop its record of it.
// ok is false if there is none or this process does not lead.
func (b *beats) pendingRosterChange() (version uint64, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.leading {
		return 0, false
	}
	return b.confirmations.PendingRosterChange()
}
