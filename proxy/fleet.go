package proxy

import (
	"crypto/sha256"
	"sync"
	"sync/atomic"

	"rosemaryline.dev/fleet/config"
	"rosemaryline.dev/fleet/state"
	"rosemaryline.dev/routing"
)

// Fleet is this process's copy of the fleet state. It only moves to higher versions.
type Fleet struct {
	mu    sync.RWMutex // guards state
	state *state.State

	table   atomic.Pointer[routing.Table]
	version atomic.Uint64
	changed chan struct{}
}

// NewFleet returns an empty copy with version 0.
func NewFleet() *Fleet {
	f := &Fleet{state: state.New(), changed: make(chan struct{}, 1)}
	f.publish()
	return f
}

// Version returns the copy's version; 0 means that nothing has been received yet.
func (f *Fleet) Version() uint64 { return f.version.Load() }

// Changed signals after changes; several changes may share one signal.
func (f *Fleet) Changed() <-chan struct{} { return f.changed }

// Apply applies deltas in order. It stops at the first one that does not follow the copy's version.
func (f *Fleet) Apply(deltas []state.Delta) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, d := range deltas {
		if d.From < f.state.Version() {
			continue // a duplicate of a delta that was applied already
		}
		if err := f.state.ApplyDelta(d); err != nil {
			return err
		}
	}
	f.publish()
	return nil
}

// Restore replaces the copy by a snapshot. An older snapshot is ignored, so the copy never goes back.
func (f *Fleet) Restore(snapshot []byte) error {
	restored, err := state.Restore(snapshot)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if restored.Version() <= f.state.Version() {
		return nil
	}
	f.state = restored
	f.publish()
	return nil
}

// publish makes the route table and version visible. The caller holds mu or has the only reference.
func (f *Fleet) publish() {
	f.table.Store(routing.NewTable(f.state.Config()))
	f.version.Store(f.state.Version())
	select {
	case f.changed <- struct{}{}:
	default:
	}
}

// Read calls read with the state. read must not keep or change it.
func (f *Fleet) Read(read func(s *state.State)) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	read(f.state)
}

// Match returns the route of a request.
func (f *Fleet) Match(host, path string) (*routing.Route, bool) {
	return f.table.Load().Match(host, path)
}

// TeamByKey returns the team that a caller's key belongs to.
func (f *Fleet) TeamByKey(key string) (team string, ok bool) {
	sum := sha256.Sum256([]byte(key))
	f.Read(func(s *state.State) { team, ok = s.TeamByKey(sum) })
	return team, ok
}

// Service returns a service's settings.
func (f *Fleet) Service(name string) (service config.Service, ok bool) {
	f.Read(func(s *state.State) { service, ok = s.Config().Services[name] })
	return service, ok
}

// DomainOut reports whether operators took the failure domain out.
func (f *Fleet) DomainOut(domain string) (out bool) {
	f.Read(func(s *state.State) { out = s.DomainOut(domain) })
	return out
}
