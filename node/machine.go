package node

import (
	"sync"

	"rosemaryline.dev/fleet/state"
)

// controlMachine is the state machine of the control group: the fleet state guarded by a lock.
type controlMachine struct {
	mu    sync.RWMutex // guards state
	state *state.State
	// changed is called after each new version.
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
	grew := m.state.Version() != before
	m.mu.Unlock()
	if grew {
		m.changed()
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
	m.mu.Unlock()
	m.changed()
	return nil
}

// View calls view with the state. view must neither retain nor change it.
func (m *controlMachine) View(view func(s *state.State)) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	view(m.state)
}
