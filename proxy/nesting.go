package proxy

import (
	"sync"
	"time"

	"rosemaryline.dev/admission"
)

// Observation is a running request as the Observer sees it. Its methods are called in turn, and End once.
type Observation interface {
	// Pause is called when the request begins to wait for nested calls, whose time says nothing about its own backend
	// server. Resume is called when the wait is over.
	Pause()
	Resume()
	End(result admission.Result)
}

// parent is a running request that may make nested calls.
type parent struct {
	team        string
	depth       int
	deadline    time.Time
	clock       Clock
	observation Observation

	mu     sync.Mutex // guards the fields below
	active int        // nested calls that run now
	since  time.Duration
	nested time.Duration
	ended  bool
}

// enter notes the start of a nested call.
func (p *parent) enter() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.active++
	if p.active > 1 || p.ended {
		return
	}
	p.since = p.clock()
	p.observation.Pause()
}

// leave notes the end of a nested call.
func (p *parent) leave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.active--
	if p.active > 0 || p.ended {
		return
	}
	p.nested += p.clock() - p.since
	p.observation.Resume()
}

// end notes the end of the request and returns the time that it spent in nested calls.
func (p *parent) end(result admission.Result) (nested time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.active > 0 {
		p.nested += p.clock() - p.since
	}
	p.ended = true
	p.observation.End(result)
	return p.nested
}
