package proxy

import (
	"math"
	"sync"
	"time"

	"rosemaryline.dev/admission"
	"rosemaryline.dev/fleet/config"
	"rosemaryline.dev/routing"
	"rosemaryline.dev/workload"
)

const (
	// scaleWeight is the weight of a report in the smoothed relative cost of a target. Reports already are averages.
	scaleWeight = 0.3
	// usualStartWeight is the weight of a report in the mean of the reported starts: about ten seconds of an entry that
	// sees two requests per second.
	usualStartWeight = 0.05
	// maxScale limits the relative cost of a target in both directions.
	maxScale = 16
	// samePath and otherPath are the assumed times on the network within a failure domain and to another one, in
	// both directions. They only decide between targets that are otherwise equal.
	samePath  = 500 * time.Microsecond
	otherPath = 4 * time.Millisecond
)

// workTable holds the newest work report of each target, and the entry's own estimate of the costs of routes.
type workTable struct {
	mu    sync.Mutex // guards the fields below
	rows  map[loadKey]*workRow
	costs *workload.Costs
	// usualStart holds, by service, the mean of the starts that targets report.
	usualStart map[string]time.Duration
}

// workRow is the newest report of a target and the number of this entry's own requests there.
type workRow struct {
	report   Work
	reported bool
	at       time.Duration
	usedAt   time.Duration
	// scale is the smoothed cost of requests at the target relative to that at all targets, as a base-2 logarithm. A
	// backend server on slower hardware has the speed 1 and higher costs.
	scale float64
	own   map[*ownRequest]struct{}
}

// ownRequest is a request of this entry that has not ended.
type ownRequest struct {
	sentAt, cost time.Duration
}

func newWorkTable() *workTable {
	return &workTable{rows: map[loadKey]*workRow{}, costs: workload.NewCosts(), usualStart: map[string]time.Duration{}}
}

func (t *workTable) row(key loadKey) *workRow {
	r, ok := t.rows[key]
	if !ok {
		r = &workRow{own: map[*ownRequest]struct{}{}}
		t.rows[key] = r
	}
	return r
}

// begin counts a new request to a target with its expected cost. The returned function must be called when it ends.
func (t *workTable) begin(vm, service, route string, now time.Duration) (end func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.row(loadKey{vm, service})
	cost, _ := t.costs.Expect(now, service, route)
	own := &ownRequest{sentAt: now, cost: r.scaled(cost.Mean)}
	r.own[own] = struct{}{}
	r.usedAt = now
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(r.own, own)
	}
}

// responded stores the report of a response. Without one, only the time at the backend server is used: the gate runs an
// older build. That time includes nested calls, and is only recorded of successful responses.
func (t *workTable) responded(vm, service, route string, resp *Response, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if resp.Work != nil {
		t.store(loadKey{vm, service}, route, *resp.Work, now)
		return
	}
	if statusResult(resp.Status) == admission.Succeeded && resp.Timing.Backend > 0 {
		t.costs.Record(now, service, route, resp.Timing.Backend)
	}
	t.row(loadKey{vm, service}).reported = false
}

// refused stores the report of a refusal. A target that could not be reached, or that reports nothing, is no longer
// known: its last report must not look like low load.
func (t *workTable) refused(vm, service, route string, refusal *Refusal, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if refusal.Work != nil {
		t.store(loadKey{vm, service}, route, *refusal.Work, now)
		return
	}
	if r, ok := t.rows[loadKey{vm, service}]; ok {
		r.reported = false
	}
}

// store replaces the report of a target. The caller holds mu.
func (t *workTable) store(key loadKey, route string, w Work, now time.Duration) {
	r := t.row(key)
	r.report, r.reported, r.at, r.usedAt = w, true, now, now
	usual := t.usualStart[key.service]
	t.usualStart[key.service] = usual + time.Duration(usualStartWeight*float64(w.Start-usual))
	if w.Cost <= 0 {
		return
	}
	if usual, known := t.costs.Expect(now, key.service, route); known && usual.Mean > 0 {
		ratio := math.Log2(float64(w.Cost) / float64(usual.Mean))
		limit := math.Log2(maxScale)
		r.scale += scaleWeight * (min(max(ratio, -limit), limit) - r.scale)
	}
	t.costs.Record(now, key.service, route, w.Cost)
}

func (r *workRow) scaled(cost time.Duration) time.Duration {
	return time.Duration(float64(cost) * math.Exp2(r.scale))
}

// apply sets the work of all candidates for a request on a route. The report of the own VM is passed in, because its
// gate is in this process.
func (t *workTable) apply(candidates []routing.Candidate, local *routing.Locality, own *Work, service, route string, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	cost, known := t.costs.Expect(now, service, route)
	if !known {
		return
	}
	for i := range candidates {
		c := &candidates[i]
		c.Work.Cost, c.Work.UsualStart = cost.Mean, t.usualStart[service]
		if c.Domain != local.Domain {
			c.Work.Path = otherPath
		} else if c.VM != local.VM {
			c.Work.Path = samePath
		}
		r, ok := t.rows[loadKey{c.VM, service}]
		if ok {
			c.Work.Cost = r.scaled(cost.Mean)
		}
		switch {
		case c.VM == local.VM && own != nil:
			c.Work.Start, c.Work.Speed = own.Start, own.Speed
		case ok:
			r.applyReport(c, now)
		}
	}
}

// applyReport sets the report of another VM and the own requests since then.
func (r *workRow) applyReport(c *routing.Candidate, now time.Duration) {
	if r.reported {
		c.Work.Start, c.Work.Speed, c.Work.Age = r.report.Start, r.report.Speed, max(now-r.at, 0)
	}
	for own := range r.own {
		if !r.reported || own.sentAt >= r.at {
			c.Work.Own++
			c.Work.OwnCost += own.cost
		}
	}
}

// sweep drops rows without traffic.
func (t *workTable) sweep(now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, r := range t.rows {
		if len(r.own) == 0 && now-r.usedAt > loadRetention {
			delete(t.rows, key)
		}
	}
}

// expectedWork is what a choice expected of the chosen VM, for the log.
type expectedWork struct {
	start, cost, age time.Duration
	speed            float64
	reported         bool
}

// freshReport is the age up to which a report that shows no free slot is taken at its word. A request takes longer than that at the
// services that need placement by work, so few slots were freed since.
const freshReport = 500 * time.Millisecond

// isFresh reports whether the choice used a report that still holds.
func (w *expectedWork) isFresh() bool { return w != nil && w.reported && w.age < freshReport }

// newExpectedWork returns nil if the cost of the request is not known.
func newExpectedWork(c *routing.Candidate) *expectedWork {
	if c.Work.Cost <= 0 {
		return nil
	}
	return &expectedWork{start: c.ExpectedStart(), cost: c.Work.Cost, age: c.Work.Age, speed: c.ExpectedSpeed(), reported: c.Work.Speed > 0}
}

// usesWork reports whether the placement of a service needs work reports.
func (r *router) usesWork(service string) bool {
	settings, ok := r.opts.Fleet.Service(service)
	return ok && settings.Placement == config.PlacementLeastCompletion
}

// beginWork counts a new request to a target. The returned function must be called when it ends.
func (r *router) beginWork(vm string, req *Request, now time.Duration) (end func()) {
	if !r.usesWork(req.Service) {
		return func() {}
	}
	return r.work.begin(vm, req.Service, req.Route, now)
}

// updateWork stores what a response says about the work at its target.
func (r *router) updateWork(vm string, req *Request, resp *Response, now time.Duration) {
	if r.usesWork(req.Service) {
		r.work.responded(vm, req.Service, req.Route, resp, now)
	}
}

// applyWork sets the work of the candidates and returns the policy of the service.
func (r *router) applyWork(candidates []routing.Candidate, local *routing.Locality, service, route string, now time.Duration) routing.Policy {
	if !r.usesWork(service) {
		return r.policy
	}
	r.work.apply(candidates, local, r.opts.Gate.Work(service, route), service, route, now)
	return routing.LeastCompletion{}
}
