package node

import (
	"context"
	"sync"
	"time"

	"rosemaryline.dev/control"
	"rosemaryline.dev/fleet/state"
	"rosemaryline.dev/membership"
)

// beatInterval is the time between two beats of the control leader.
const beatInterval = 500 * time.Millisecond

// beats issues the control leader's beats and tracks which versions are in force.
type beats struct {
	role *controlRole

	confirmations *control.Confirmations

	mu      sync.Mutex // guards the fields below
	leading bool
	beat    membership.Beat
	issued  time.Duration
	known   uint64 // version of the roster in the confirmations
}

func newBeats(c *controlRole) *beats {
	return &beats{role: c, confirmations: control.NewConfirmations(c.node.clock)}
}

// issue issues a beat after a quorum confirmed that this process leads. The beat counts as issued at the start of the
// confirmation: everything that was accepted before is part of the version that it carries.
func (b *beats) issue() {
	if !b.role.isLeader(groupControl) {
		b.resign()
		return
	}
	started := b.role.node.clock()
	ctx, cancel := context.WithTimeout(b.role.node.tomb.Context(context.Background()), beatInterval)
	defer cancel()
	if err := b.role.groups[groupControl].Barrier(ctx); err != nil {
		b.resign()
		return
	}
	var version uint64
	b.role.machine.Read(func(s *state.State) { version = s.Version() })
	b.publish(started, version)
}

func (b *beats) publish(started time.Duration, version uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leading = true
	b.beat.Number = max(b.beat.Number+1, uint64(time.Now().UnixMilli()))
	b.beat.Version = version
	b.issued = started
	b.refreshRoster(version)
}

// refreshRoster passes a changed roster to the confirmations. The caller holds mu.
func (b *beats) refreshRoster(version uint64) {
	if b.known == version {
		return
	}
	b.known = version
	b.role.machine.Read(b.confirmations.SetRoster)
}

func (b *beats) resign() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leading = false
}

// answer returns the newest beat for a question that arrived at asked, and the version in force. ok is false where this
// process does not lead.
func (b *beats) answer(asked time.Duration) (beat membership.Beat, inForce uint64, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.leading {
		return membership.Beat{}, 0, false
	}
	beat = b.beat
	beat.Age = max(asked-b.issued, 0)
	return beat, b.confirmations.InForce(), true
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
