package proxy

import (
	"sync"
	"time"

	"rosemaryline.dev/routing"
)

// Peer is a VM that hosts a service, as received by gossip.
type Peer struct {
	VM, Domain string
	// Address is the host and port of the peer listener.
	Address string
	State   routing.State
	// Version is the version of the servers' software; empty where it is not known or not the same for all of them.
	Version string
	// Slots is the effective concurrency of the service on the VM.
	Slots            float64
	InFlight, Queued float64
	// Age is the time since the load was measured.
	Age time.Duration
}

// Directory lists the VMs that host a service.
type Directory interface {
	Hosts(service string) []Peer
}

// loadTable stores the load that gates report in their responses, which is newer than the load in gossip.
type loadTable struct {
	mu   sync.Mutex // guards rows
	rows map[loadKey]*loadRow
}

type loadKey struct{ vm, service string }

// loadRow is the last load report of a gate and the number of this entry's own requests there.
type loadRow struct {
	load      Load
	updatedAt time.Duration
	// usedAt is when this entry last sent a request to the gate or had a report from it.
	usedAt time.Duration
	// reported is false until the first report.
	reported bool
	// sentAt is when this entry last sent a request to the gate.
	sentAt time.Duration
	// outstanding is the current number of this entry's requests at the gate, outstandingAtReport that at the time of
	// the report.
	outstanding         int
	outstandingAtReport int
}

// loadRetention is how long a row without traffic is kept.
const loadRetention = time.Minute

func newLoadTable() *loadTable { return &loadTable{rows: map[loadKey]*loadRow{}} }

func (t *loadTable) row(key loadKey) *loadRow {
	r, ok := t.rows[key]
	if !ok {
		r = &loadRow{}
		t.rows[key] = r
	}
	return r
}

// begin counts a new request to a gate. The returned function must be called when the request ends.
func (t *loadTable) begin(vm, service string, now time.Duration) (end func()) {
	key := loadKey{vm, service}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.row(key).outstanding++
	t.row(key).usedAt = max(t.row(key).usedAt, now)
	t.row(key).sentAt = now
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.row(key).outstanding--
	}
}

// report stores the load that a gate reported with a response.
func (t *loadTable) report(vm, service string, load Load, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.row(loadKey{vm, service})
	r.load = load
	r.updatedAt = now
	r.usedAt = now
	r.reported = true
	r.outstandingAtReport = r.outstanding
}

// applyReports applies the reports of all candidates except this process's own VM.
func (t *loadTable) applyReports(candidates []routing.Candidate, ownVM, service string, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.rows) == 0 {
		return
	}
	for i := range candidates {
		if c := &candidates[i]; c.VM != ownVM {
			t.applyReport(c, service, now)
		}
	}
}

// applyReport replaces a candidate's load from gossip with the reported load if that is newer. It adds the requests
// that this entry sent since then. The caller holds mu.
func (t *loadTable) applyReport(c *routing.Candidate, service string, now time.Duration) {
	r, ok := t.rows[loadKey{c.VM, service}]
	if !ok {
		return
	}
	sentSince := r.outstanding
	if age := now - r.updatedAt; r.reported && age <= c.LoadAge {
		c.Capacity = float64(r.load.Slots)
		c.InFlight = float64(r.load.InFlight)
		c.Queued = float64(r.load.Queued)
		c.LoadAge = age
		sentSince = r.outstanding - r.outstandingAtReport
	}
	c.InFlight = max(c.InFlight+float64(sentSince), float64(r.outstanding))
}

// sweep drops rows without traffic.
func (t *loadTable) sweep(now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, r := range t.rows {
		if r.outstanding == 0 && now-r.usedAt > loadRetention {
			delete(t.rows, key)
		}
	}
}
