package node

import (
	"sync"

	"rosemaryline.dev/fleet/state"
)

// controlMachine is the state machine of the control group: the fleet state with a lock around it.
type controlMachine struct {
	mu      sync.RWMutex // guards the fields below
	state   *state.State
	changed chan struct{} // closed and replaced at each new version
}

func newControlMachine() *controlMachine {
	return &controlMachine{state: state.New(), changed: make(chan struct{})}
}

// Apply implements replica.StateMachine.
func (m *controlMachine) Apply(_ uint64, data []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	before := m.state.Version()
	result := m.state.Apply(data)
	if m.state.Version() != before {
		m.signal()
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
	defer m.mu.Unlock()
	m.state = restored
	m.signal()
	return nil
}

// signal wakes all who wait for a new version. The caller holds mu.
func (m *controlMachine) signal() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// Read calls read with the state. read must not keep or change it.
func (m *controlMachine) Read(read func(s *state.State)) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	read(m.state)
}

// next returns the version and a channel that is closed at the next one.
func (m *controlMachine) next() (version uint64, changed <-chan struct{}) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state.Version(), m.changed
}
