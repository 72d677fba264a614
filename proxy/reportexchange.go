package proxy

import (
	"net/http"
	"sync"
	"time"

	"rosemaryline.dev/fleet/config"
	"rosemaryline.dev/outlier"
	"rosemaryline.dev/proxy/gatereports"
	"rosemaryline.dev/routing"
)

// ReportExchange passes reports of gates on with the requests and responses between entries and gates, for services with the
// placement least-completion. The entry and the gate of a process share it. A nil ReportExchange does nothing.
type ReportExchange struct {
	vm    string
	clock Clock
	fleet *Fleet
	gate  *Gate
	// onReports gets the reports that are newer than what the process knew.
	onReports func(service string, reports []gatereports.Report)

	mu    sync.Mutex // guards table; taken last
	table *gatereports.Table
}

// NewReportExchange returns a ReportExchange for the process with the given gate. Pass it to NewEntry, which gets its reports.
func NewReportExchange(vm string, clock Clock, fleet *Fleet, gate *Gate) *ReportExchange {
	return &ReportExchange{vm: vm, clock: clock, fleet: fleet, gate: gate, table: gatereports.NewTable()}
}

// uses reports whether reports are exchanged for a service.
func (x *ReportExchange) uses(service string) bool {
	if x == nil {
		return false
	}
	settings, ok := x.fleet.Service(service)
	return ok && settings.Placement == config.PlacementLeastCompletion
}

// attach sets the header of a message for a service to the VM to, with the report of the own gate first.
func (x *ReportExchange) attach(h http.Header, service, to string) {
	if !x.uses(service) {
		return
	}
	now := x.clock()
	reports := make([]gatereports.Report, 0, gatereports.MaxReports)
	if own, ok := x.gate.report(service); ok {
		reports = append(reports, own)
	}
	x.mu.Lock()
	reports = append(reports, x.table.Pick(service, x.vm, to, now, gatereports.MaxReports-len(reports))...)
	x.mu.Unlock()
	if len(reports) > 0 {
		h.Set(headerReports, gatereports.Format(reports, now))
	}
}

// receive reads the header of a message for a service and reports whether it holds a report of the gate of the VM from.
func (x *ReportExchange) receive(h http.Header, service, from string) (hasSender bool) {
	values := h[headerReports]
	if len(values) == 0 || !x.uses(service) {
		return false
	}
	newer := make([]gatereports.Report, 0, gatereports.MaxReports)
	x.mu.Lock()
	for _, r := range gatereports.Parse(values, x.clock()) {
		hasSender = hasSender || r.VM == from
		if r.VM != x.vm && x.table.Receive(service, r) {
			newer = append(newer, r)
		}
	}
	x.mu.Unlock()
	reportsReceived.Inc()
	reportsNewer.Add(len(newer))
	if len(newer) > 0 && x.onReports != nil {
		x.onReports(service, newer)
	}
	return hasSender
}

func (x *ReportExchange) sweep() {
	if x == nil {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.table.Sweep(x.clock())
}

// report returns the report of a service on this VM; ok is false without a serving backend server.
func (g *Gate) report(service string) (r gatereports.Report, ok bool) {
	s := g.leastLoaded(service)
	if s == nil {
		return r, false
	}
	load := g.Load(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.work.enabled {
		return r, false
	}
	now := s.clock()
	work := s.work.report(now, service, "", s.gate.Load().Effective)
	r = gatereports.Report{VM: g.opts.VM, Made: now, At: now, InFlight: load.InFlight, Slots: load.Slots, Queued: load.Queued,
		Start: work.Start, Speed: work.Speed, Health: s.breaker.Health()}
	if r.Health != outlier.Healthy {
		r.TrialIn, r.PressedTrialIn = s.breaker.TrialIn(now), s.breaker.NonRetryableTrialIn(now)
	}
	return r, true
}

// receiveReports stores what other processes passed on.
func (r *router) receiveReports(service string, reports []gatereports.Report) {
	now := r.opts.Clock()
	for i := range reports {
		report := &reports[i]
		r.loads.learn(report.VM, service, Load{InFlight: report.InFlight, Slots: report.Slots, Queued: report.Queued}, report.At)
		r.work.learn(report.VM, service, report.Start, report.Speed, report.At)
		r.mu.Lock()
		r.trippedBreakers.Learn(routing.Target{VM: report.VM, Service: service}, now, routing.BreakerReport{
			At: report.At, Healthy: report.Health == outlier.Healthy, Faulty: report.Health == outlier.Faulty,
			TrialIn: report.TrialIn, PressedTrialIn: report.PressedTrialIn,
			Spread: time.Duration(r.rng.Int64N(int64(routing.SharedTrialSpread))),
		})
		r.mu.Unlock()
	}
}

// learn stores a report that another process passed on, unless a newer one is known. at is when the gate made it.
func (t *loadTable) learn(vm, service string, load Load, at time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.row(loadKey{vm, service})
	if r.reported && r.updatedAt >= at {
		return
	}
	r.load, r.updatedAt, r.reported = load, at, true
	r.usedAt = max(r.usedAt, at)
	r.outstandingAtReport = r.outstanding
	if r.sentAt > at && r.outstanding > 0 {
		// The newest request was sent after the report was made. An entry rarely sends two to a VM in that time.
		r.outstandingAtReport--
	}
}

// learn stores what a report that another process passed on says of the work, unless a newer one is known.
func (t *workTable) learn(vm, service string, start time.Duration, speed float64, at time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.row(loadKey{vm, service})
	if r.reported && r.at >= at {
		return
	}
	r.report.Start, r.report.Speed = start, speed
	r.reported, r.at, r.usedAt = true, at, max(r.usedAt, at)
}
