package proxy

import (
	"sync"
	"time"

	"rosemaryline.dev/routing"
)

// Peer is one VM that hosts a service, as gossip tells it.
type Peer struct {
	VM, Domain string
	// Address is the peer listener's host and port.
	Address string
	State   routing.State
	// Slots is the effective concurrency of the service on the VM.
	Slots            float64
	InFlight, Queued float64
	// Age is the time since the figures were measured.
	Age time.Duration
}

// Directory tells which VMs host a service.
type Directory interface {
	Hosts(service string) []Peer
}

// loadTable keeps what the answers of gates tell about their load, which is newer than gossip.
type loadTable struct {
	mu   sync.Mutex // guards rows
	rows map[loadKey]*loadRow
}

type loadKey struct{ vm, service string }

// loadRow is the last report and this entry's own requests.
type loadRow struct {
	load Load
	at   time.Duration
	// reported is false until the first report.
	reported bool
	// outstanding counts this entry's requests now, and at the time of the report.
	outstanding   int
	atReportCount int
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

// begin counts a request to a gate. The returned function is called when it ended.
func (t *loadTable) begin(vm, service string, now time.Duration) (end func()) {
	key := loadKey{vm, service}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.row(key).outstanding++
	t.row(key).at = max(t.row(key).at, now)
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.row(key).outstanding--
	}
}

// report takes over the load that a gate reported with an answer.
func (t *loadTable) report(vm, service string, load Load, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.row(loadKey{vm, service})
	r.load = load
	r.at = now
	r.reported = true
	r.atReportCount = r.outstanding
}

// refine replaces a candidate's gossiped load by the reported one where that is newer, and adds the requests that this
// entry sent since.
func (t *loadTable) refine(c *routing.Candidate, service string, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.rows[loadKey{c.VM, service}]
	if !ok {
		return
	}
	sentSince := r.outstanding
	if age := now - r.at; r.reported && age <= c.LoadAge {
		c.Capacity = float64(r.load.Slots)
		c.InFlight = float64(r.load.InFlight)
		c.Queued = float64(r.load.Queued)
		c.LoadAge = age
		sentSince = r.outstanding - r.atReportCount
	}
	c.InFlight = max(c.InFlight+float64(sentSince), float64(r.outstanding))
}

// sweep drops rows without traffic.
func (t *loadTable) sweep(now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, r := range t.rows {
		if r.outstanding == 0 && now-r.at > loadRetention {
			delete(t.rows, key)
		}
	}
}
