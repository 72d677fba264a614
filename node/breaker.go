package node

import (
	"sync"
	"time"
)

// breakerPause is the time between two trials while the record group does not answer.
const breakerTrialInterval = time.Second

// breaker refuses claims at once while the record group does not answer. Each claim holds a slot of a backend server
// until it is decided, so claims that wait would take the slots of requests without a key.
type breaker struct {
	mu           sync.Mutex // guards the fields below
	open         bool
	trialRunning bool // one claim tries whether the group is back
	failedAt     time.Duration
}

// enter tells whether a claim may be proposed; trial is true for the one that tries while the others are refused.
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

// leave takes the result of a claim that entered.
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
