package node

import (
	"sync"
	"time"
)

// breakerTrialInterval is the time between two trial claims while the record group does not reply.
const breakerTrialInterval = time.Second

// breaker is a circuit breaker that refuses claims while the record group does not reply. A claim holds a slot of a
// backend server until it is decided, so waiting claims would take the slots of requests without a key.
type breaker struct {
	mu           sync.Mutex // guards the fields below
	open         bool
	trialRunning bool          // a claim is testing whether the record group replies again
	failedAt     time.Duration // when the last claim without a reply ended
}

// allow reports whether a claim may be proposed. trial is true for the one claim that tests the record group while all
// others are refused.
func (b *breaker) allow(now time.Duration) (trial, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.open {
		return false, true
	}
	if b.trialRunning || now < b.failedAt+breakerTrialInterval {
		return false, false
	}
	b.trialRunning = true
	return true, true
}

// cancel ends a claim for which allow returned ok and that was not proposed, so that nothing is known of the record group.
func (b *breaker) cancel(trial bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if trial {
		b.trialRunning = false
	}
}

// report records whether the record group replied to a claim for which allow returned ok.
func (b *breaker) report(trial, replied bool, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if trial {
		b.trialRunning = false
	}
	if replied {
		b.open = false
		return
	}
	b.open = true
	b.failedAt = now
}
