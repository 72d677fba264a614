package proxy

import (
	"sync"
	"time"
)

// stoppingEntryFor is how long a gate treats an entry as stopping after its notice. Gossip names the VM as leaving by then, and the
// requests of a process that restarts under the same name must be cancelled again when they are overdue.
const stoppingEntryFor = 4 * time.Second

// stoppingEntries holds the VMs whose entries said that they are stopping. Load pattern: VMs are restarted one after the other
// while backend servers are slow, so requests become overdue within the second in which gossip does not yet name the VM.
type stoppingEntries struct {
	mu sync.Mutex // guards at
	at map[string]time.Duration
}

// add records a notice.
func (s *stoppingEntries) add(vm string, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.at == nil {
		s.at = map[string]time.Duration{}
	}
	for other, at := range s.at {
		if now-at >= stoppingEntryFor {
			delete(s.at, other)
		}
	}
	s.at[vm] = now
}

// has reports whether a VM's entry is stopping.
func (s *stoppingEntries) has(vm string, now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.at[vm]
	return ok && now-at < stoppingEntryFor
}

// EntryStopping records that the entry of a VM is stopping, so that the requests that it accepted are not cancelled for a retry.
func (g *Gate) EntryStopping(vm string) { g.stoppingEntries.add(vm, g.opts.Clock()) }

// BeginStop makes the entry send requests from now on as ones that are not retried after a failure, and returns the VMs whose gates run
// requests of it, which must be notified.
func (e *Entry) BeginStop() []string {
	e.router.stopping.Store(true)
	return e.router.loads.busyVMs()
}

// busyVMs returns the VMs with requests of this entry.
func (t *loadTable) busyVMs() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	busy := map[string]bool{}
	var vms []string
	for key, row := range t.rows {
		if row.outstanding > 0 && !busy[key.vm] {
			busy[key.vm] = true
			vms = append(vms, key.vm)
		}
	}
	return vms
}
