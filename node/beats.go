package node

import (
	"context"
	"sync"
	"time"

	"rosemaryline.dev/control"
	"rosemaryline.dev/fleet/state"
)

const (
	// defaultBeatInterval is the time between two beats of the control leader.
	defaultBeatInterval = 500 * time.Millisecond
	// relayInterval is the time between two messages with confirmations to the control leader.
	relayInterval = 200 * time.Millisecond
)

// beats issues the control leader's beats and collects which processes run which version.
type beats struct {
	role          *controlRole
	confirmations *control.Confirmations
	relay         *control.Relay

	mu      sync.Mutex // guards the fields below
	leading bool
	// issuedAt is when the last beat was issued.
	issuedAt time.Duration
	number   uint64
	known    uint64 // version of the roster in the confirmations
}

func newBeats(c *controlRole) *beats {
	return &beats{
		role:          c,
		confirmations: control.NewConfirmations(c.node.clock),
		relay:         control.NewRelay(),
	}
}

// Confirm implements control.Confirmer. Confirmations go to the leader.
func (b *beats) Confirm(c control.ProcessConfirmation) {
	b.confirmations.Confirm(c)
	b.relay.Confirm(c)
}

// relayConfirmations sends what was confirmed here to the leader, where another process leads.
func (b *beats) relayConfirmations() {
	leader := b.role.groups[groupControl].Status().Leader
	address, ok := b.role.node.memberAddress(groupControl, leader)
	if !ok || address == b.role.node.opts.PeerAddress {
		return
	}
	ctx, cancel := context.WithTimeout(b.role.node.tomb.Context(context.Background()), relayInterval)
	defer cancel()
	// Processes confirm again with their next question.
	b.role.node.deps.result(roleLeader, address, b.relay.Flush(ctx, b.role.node.client, address))
}

// leadCheckInterval is the time between two looks whether this process leads, so that the first beat of a new leader does
// not wait for the interval: owners of rates wait for it after a restart.
const leadCheckInterval = 100 * time.Millisecond

// issueDue issues a beat where the interval is over or this process has begun to lead.
func (b *beats) issueDue() {
	b.mu.Lock()
	due := !b.leading || b.role.node.clock()-b.issuedAt >= b.role.node.opts.BeatInterval
	b.mu.Unlock()
	if due {
		b.issue()
	}
}

// issue issues a beat after a quorum confirmed that this process leads. The beat counts as issued at the start of the
// confirmation: everything that was accepted before is part of the version that it carries.
func (b *beats) issue() {
	if !b.role.isLeader(groupControl) {
		b.setLeading(false)
		return
	}
	issued, at := time.Now(), b.role.node.clock()
	term := b.role.groups[groupControl].Status().Term
	ctx, cancel := context.WithTimeout(b.role.node.tomb.Context(context.Background()), b.role.node.opts.BeatInterval)
	defer cancel()
	if err := b.role.groups[groupControl].Barrier(ctx); err != nil {
		b.setLeading(false)
		return
	}
	b.setLeading(true)
	b.mu.Lock()
	b.issuedAt = at
	b.mu.Unlock()
	b.refreshRoster()
	beat := b.next(term)
	b.confirmations.RecordBeat(beat.Number, at)
	b.role.node.source.SetBeat(beat, issued)
}

// termShift leaves room for the beats of one term in a beat's number.
const termShift = 32

// next returns the next beat. Its number starts with the leader's term, so numbers grow from one leader to the next
// whatever the clocks show.
func (b *beats) next(term uint64) control.Beat {
	var version uint64
	b.role.machine.View(func(s *state.State) { version = s.Version() })
	b.mu.Lock()
	defer b.mu.Unlock()
	b.number = max(b.number+1, term<<termShift)
	return control.Beat{Number: b.number, Version: version, InForce: b.confirmations.InForce()}
}

// refreshRoster passes a changed roster to the confirmations.
func (b *beats) refreshRoster() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.role.machine.View(func(s *state.State) {
		if s.Version() == b.known {
			return
		}
		b.known = s.Version()
		b.confirmations.SetRoster(s)
	})
}

func (b *beats) setLeading(leading bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leading = leading
}

// pendingRosterChange returns the version whose roster change the state may forget.
func (b *beats) pendingRosterChange() (version uint64, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.leading {
		return 0, false
	}
	return b.confirmations.PendingRosterChange()
}
