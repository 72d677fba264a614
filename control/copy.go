package control

import (
	"sync"

	"github.com/pkg/errors"

	"rosemaryline.dev/fleet/state"
)

// Copy is a process's local copy of the fleet state. Its version never decreases. It is safe for concurrent use.
type Copy struct {
	mu    sync.RWMutex
	state *state.State
}

// NewCopy returns a Copy of the empty state, which has version 0.
func NewCopy() *Copy { return &Copy{state: state.New()} }

// View calls f with the state, which does not change during the call. f must not keep a reference to the State or to
// data that belongs to it.
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

// Apply applies the deltas that follow the copy's version and skips earlier ones. advanced reports whether the version
// increased. Errors are *state.GapError, after which the caller fetches again from the current version, and
// *state.DivergedError, after which the caller replaces the copy by a snapshot.
func (c *Copy) Apply(deltas []state.Delta) (advanced bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, d := range deltas {
		if d.From < c.state.Version() {
			continue
		}
		if err := c.state.ApplyDelta(d); err != nil {
			return advanced, errors.Wrap(err, "apply delta")
		}
		advanced = true
	}
	return advanced, nil
}

// Replace replaces the copy by a state from a snapshot, unless that state is older. It reports whether it replaced the
// copy.
func (c *Copy) Replace(s *state.State) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.Version() < c.state.Version() {
		return false
	}
	c.state = s
	return true
}
