package control

import (
	"sync"

	"github.com/pkg/errors"

	"rosemaryline.dev/fleet/state"
)

// Copy is a process's own copy of the fleet state. Its version never goes back. It is safe for concurrent use.
type Copy struct {
	mu    sync.RWMutex
	state *state.State
}

// NewCopy returns a Copy with version 0.
func NewCopy() *Copy { return &Copy{state: state.New()} }

// View runs f while the state does not change. f must not keep the State nor anything that it shares.
func (c *Copy) View(f func(s *state.State)) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	f(c.state)
}

// Version returns the current version.
func (c *Copy) Version() uint64 {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.state.Version()
}

// Apply applies the deltas that follow the copy's version and skips earlier ones. It reports whether the version grew.
// Errors are *state.GapError, after which the caller fetches again, and *state.DivergedError, after which the caller
// replaces the copy by a snapshot.
func (c *Copy) Apply(deltas []state.Delta) (grew bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, d := range deltas {
		if d.From < c.state.Version() {
			continue
		}
		if err := c.state.ApplyDelta(d); err != nil {
			return grew, errors.Wrap(err, "apply delta")
		}
		grew = true
	}
	return grew, nil
}

// Replace takes a state from a snapshot unless it is older than the copy. It reports whether it took it.
func (c *Copy) Replace(s *state.State) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.Version() < c.state.Version() {
		return false
	}
	c.state = s
	return true
}
