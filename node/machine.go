package node

import (
	"sync"

	"rosemaryline.dev/fleet/state"
)

// controlMachine is the state machine of the control group: the fleet state guarded by a lock.
type controlMachine struct {
	mu    sync.RWMutex // guards the fields below
	state *state.State
	// changed is called after each new version, without mu.
	changed func()
}

func newControlMachine() *controlMachine {
	return &controlMachine{state: state.New(), changed: func() {}}
}

// Apply implements replica.StateMachine.
func (m *controlMachine) Apply(_ uint64, data []byte) []byte {
	m.mu.Lock()
	before := m.state.Version()
	result := m.state.Apply(data)
	grew, changed := m.state.Version() != before, m.changed
	m.mu.Unlock()
	if grew {
		changed()
	}
	return result
}

// Snapshot implements replica.StateMachine.
func (m *controlMachine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state.Snapshot()
}

// Restore implements replica.StateMachine.
func (m *controlMachine) Restore(data []byte) error {
	restored, err := state.Restore(data)
	if err != nil {
		return err
	}
	m.mu.Lock()
	m.state = restored
	changed := m.changed
	m.mu.Unlock()
	changed()
	return nil
}

// onChange sets the function that is called after each new version. The group applies entries from before a restart as soon
// as it starts.
func (m *controlMachine) onChange(changed func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.changed = changed
}

// View calls view with the state. view must neither retain nor change it.
func (m *controlMachine) View(view func(s *state.State)) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	view(m.state)
}
