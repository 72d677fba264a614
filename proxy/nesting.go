package proxy

import (
	"sync"
	"time"

	"rosemaryline.dev/admission"
)

// Observation observes one running request for an Observer. Its methods are never called concurrently, and End is
// called once.
type Observation interface {
	// Pause is called when the request starts to wait for nested calls. The time of nested calls says nothing about the
	// backend server of the request. Resume is called when the wait ends.
	Pause()
	Resume()
	End(result admission.Result)
}

// parentRequest is a running request that may make nested calls.
type parentRequest struct {
	team        string
	depth       int
	deadline    time.Time
	clock       Clock
	observation Observation

	mu           sync.Mutex // guards the fields below
	activeNested int        // number of nested calls in progress
	nestedSince  time.Duration
	nestedTime   time.Duration
	ended        bool
}

// beginNested records the start of a nested call.
func (p *parentRequest) beginNested() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.activeNested++
	if p.activeNested > 1 || p.ended {
		return
	}
	p.nestedSince = p.clock()
	p.observation.Pause()
}

// endNested records the end of a nested call.
func (p *parentRequest) endNested() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.activeNested--
	if p.activeNested > 0 || p.ended {
		return
	}
	p.nestedTime += p.clock() - p.nestedSince
	p.observation.Resume()
}

// end records the end of the request and returns the time that it spent in nested calls.
func (p *parentRequest) end(result admission.Result) (nested time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.activeNested > 0 {
		p.nestedTime += p.clock() - p.nestedSince
	}
	p.ended = true
	p.observation.End(result)
	return p.nestedTime
}
