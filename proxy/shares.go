package proxy

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"rosemaryline.dev/admission"
	"rosemaryline.dev/fleet/config"
	"rosemaryline.dev/fleet/state"
	"rosemaryline.dev/outlier"
	"rosemaryline.dev/shares"
	"rosemaryline.dev/workload"
)

const (
	// ReasonShare is the reason of a refusal because the team and priority have no larger share of a service that is short of
	// capacity.
	ReasonShare Reason = "share"
	// pressureTime is how long a service counts as under pressure after a refusal for lack of capacity or a long wait for it.
	pressureTime = 2 * time.Second
	// reportInterval is the time between two reports about a service under pressure.
	reportInterval = 500 * time.Millisecond
	// quietPeriod is the time after which the counts of a service that is not under pressure start again, so that the first
	// report says what happens now.
	quietPeriod = 300 * time.Millisecond
	// unknownSlotTime is the assumed slot time of a request until the first one of the service was answered.
	unknownSlotTime = 100 * time.Millisecond
	// maxReportedDemands limits the pairs of team and priority in one report.
	maxReportedDemands = 512
	// maxShareServices limits the services whose state is kept.
	maxShareServices = 256
)

func init() {
	titles[ReasonShare] = "The service is short of capacity, and the team has used its share."
}

// Shares is the part of a process in the division of the capacity of services that are short of it: it counts what the
// entry and the gate see, for the owner of the service, and applies the decisions of the owner to new requests. A nil value
// does nothing.
type Shares struct {
	vm          string
	incarnation uint64
	clock       Clock
	fleet       *Fleet

	mu       sync.Mutex // guards the fields below
	sequence uint64
	services map[string]*serviceShares
	// slotTimes holds the time that requests hold a slot, with their nested calls. The costs of routes for the placement do not
	// contain that of nested calls.
	slotTimes *workload.Costs
}

// serviceShares is the state of one service.
type serviceShares struct {
	admitter *shares.Admitter
	// pressureAt is when a request was last refused for lack of capacity, or responded to after a long wait for a slot.
	pressureAt time.Duration
	// reportAt is the earliest time of the next report.
	reportAt time.Duration
	// periodStart is when the counts below began.
	periodStart time.Duration
	demand      map[shareKey]*shareDemand
	calls       time.Duration
	// slots and queued are those of the last sample, busy is the sum over all samples of the period.
	slots, queued int
	busy, samples int
}

type shareKey struct {
	team     string
	priority int
}

type shareDemand struct {
	weight float64
	work   time.Duration
}

// NewShares returns the Shares of a process. incarnation is higher for later runs of the process.
func NewShares(vm string, incarnation uint64, clock Clock, fleet *Fleet) *Shares {
	return &Shares{
		vm: vm, incarnation: incarnation, clock: clock, fleet: fleet,
		services: map[string]*serviceShares{}, slotTimes: workload.NewCosts(),
	}
}

// selects reports whether the fleet divides the capacity of a service.
func (s *Shares) selects(service string) bool {
	if s == nil {
		return false
	}
	settings, ok := s.fleet.Service(service)
	return ok && settings.Shares == config.SharesFleet
}

// service returns the state of a service, or nil if too many are known. The caller holds mu.
func (s *Shares) service(name string) *serviceShares {
	state, ok := s.services[name]
	if !ok {
		if len(s.services) >= maxShareServices {
			return nil
		}
		state = &serviceShares{
			admitter: shares.NewAdmitter(shares.Config{Service: name}), pressureAt: distantPast,
			periodStart: s.clock(), demand: map[shareKey]*shareDemand{},
		}
		s.services[name] = state
	}
	return state
}

// admit counts an accepted request and refuses it if it is new and over the share of its team and priority. Calls of running
// requests are never refused, because capacity has been spent on the request that waits for them. Nor are requests with an
// idempotency key: the entry does not know whether the key is, and "not run" would be wrong for a request that has.
func (s *Shares) admit(req *Request) *Refusal {
	if !s.selects(req.Service) {
		return nil
	}
	weight := s.fleet.TeamRate(req.Team)
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.service(req.Service)
	if state == nil {
		return nil
	}
	now := s.clock()
	work := s.slotTime(now, req.Service, req.Route)
	if req.Depth > 0 || req.BackendCall || req.IdempotencyKey != "" {
		state.calls += work
		return nil
	}
	state.count(shareKey{req.Team, req.Priority}, weight, work)
	ok, retryAfter := state.admitter.Admit(now, req.Team, req.Priority, requestKey(req.ID))
	if ok {
		return nil
	}
	countShareRefusal(req.Service)
	refusal := notRunRefusal(http.StatusServiceUnavailable, ReasonShare, "share")
	refusal.RetryAfter = retryAfter
	return refusal
}

func (s *serviceShares) count(key shareKey, weight float64, work time.Duration) {
	d, ok := s.demand[key]
	if !ok {
		if len(s.demand) >= maxReportedDemands {
			return
		}
		d = &shareDemand{}
		s.demand[key] = d
	}
	d.weight = weight
	d.work += work
}

// slotTime returns the expected slot time of a request; an empty route stands for all routes. The caller holds mu.
func (s *Shares) slotTime(now time.Duration, service, route string) time.Duration {
	if e, ok := s.slotTimes.Expect(now, service, route); ok && e.Mean > 0 {
		return e.Mean
	}
	return unknownSlotTime
}

// requestKey returns the number that decides whether a request is within its share.
func requestKey(id string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id)) // never fails
	return h.Sum64()
}

// ran records how long a request held a slot.
func (s *Shares) ran(req *Request, held time.Duration) {
	if held <= 0 || !s.selects(req.Service) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slotTimes.Record(s.clock(), req.Service, req.Route, held)
}

// Sample reads the load of the gate and returns the services for which a report is due. Call it every 100 ms.
func (s *Shares) Sample(g *Gate) (due []string) {
	loads := g.shareLoads()
	s.mu.Lock()
	names := make(map[string]bool, len(s.services))
	for name := range s.services {
		names[name] = true
	}
	s.mu.Unlock()
	for name := range loads {
		names[name] = true
	}
	for name := range names {
		names[name] = s.selects(name)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	for name, selected := range names {
		if !selected {
			delete(s.services, name)
			continue
		}
		state := s.service(name)
		if state == nil {
			continue
		}
		state.sample(loads[name])
		switch {
		case !state.underPressure(now):
			state.reportAt = now
			if now-state.periodStart >= quietPeriod {
				state.reset(now)
			}
		case now >= state.reportAt:
			due = append(due, name)
		}
		if age, ok := state.admitter.Age(now); ok {
			gaugeShares(name, state.admitter.Short(now), age)
		}
	}
	slices.Sort(due)
	return due
}

func (s *serviceShares) sample(l Load) {
	s.slots, s.queued = l.Slots, l.Queued
	s.busy += l.InFlight
	s.samples++
}

func (s *serviceShares) underPressure(now time.Duration) bool {
	return s.queued > 0 || now-s.pressureAt < pressureTime || s.admitter.Short(now)
}

func (s *serviceShares) reset(now time.Duration) {
	s.periodStart = now
	s.demand = map[shareKey]*shareDemand{}
	s.calls, s.busy, s.samples = 0, 0, 0
}

// TakeReports returns the reports about services and begins their next period.
func (s *Shares) TakeReports(services []string) []shares.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	var reports []shares.Report
	for _, name := range services {
		state, ok := s.services[name]
		if !ok {
			continue
		}
		s.sequence++
		r := shares.Report{
			Service: name, VM: s.vm, Incarnation: s.incarnation, Sequence: s.sequence,
			PeriodMs: max((now - state.periodStart).Milliseconds(), 1),
			Slots:    float64(state.slots),
			Busy:     float64(state.busy) / float64(max(state.samples, 1)),
			QueuedMs: int64(state.queued) * s.slotTime(now, name, "").Milliseconds(),
			CallsMs:  state.calls.Milliseconds(),
		}
		for key, d := range state.demand {
			r.Demand = append(r.Demand, shares.Demand{Team: key.team, Weight: d.weight, Priority: key.priority, WorkMs: d.work.Milliseconds()})
		}
		state.reset(now)
		state.reportAt = now + reportInterval
		reports = append(reports, r)
	}
	return reports
}

// Receive applies decisions of the owners of services, in the reply to reports that were taken at the time asked.
func (s *Shares) Receive(asked time.Duration, decisions []shares.Decision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range decisions {
		if state, ok := s.services[d.Service]; ok {
			state.admitter.Receive(asked, d)
		}
	}
}

// Share returns the share of the requests of a team with a priority that this entry admits now. ok is false if it admits all
// because no valid decision says that the service is short of capacity.
func (s *Shares) Share(service, team string, priority int) (share float64, ok bool) {
	if !s.selects(service) {
		return 1, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	state, known := s.services[service]
	if !known || !state.admitter.Short(s.clock()) {
		return 1, false
	}
	return state.admitter.Share(s.clock(), team, priority), true
}

// Share returns the share of the requests of a team on a route that this entry admits now. ok is false if it admits all of
// them.
func (e *Entry) Share(service, route, team string) (share float64, ok bool) {
	priority := 0
	e.opts.Fleet.Read(func(s *state.State) {
		r := s.Config().Routes[route]
		if ok = r.Access == config.AccessOpen; !ok {
			return
		}
		p := r.Priority
		if t := s.Config().Teams[team].Priority; t != nil {
			p = *t
		}
		priority = admission.RequestPriority(p, r.Priority)
	})
	if !ok {
		return 1, false
	}
	return e.opts.Shares.Share(service, team, priority)
}

// shareLoads returns the load of the backend servers of each service that runs requests here. A backend server whose
// circuit breaker has tripped has no slots, but its queue counts.
func (g *Gate) shareLoads() map[string]Load {
	loads := map[string]Load{}
	out := g.leaving.Load() || g.domainOut()
	for _, s := range g.serversOf("") {
		l, healthy := s.shareLoad()
		sum := loads[s.service]
		sum.InFlight += l.InFlight
		sum.Queued += l.Queued
		if l.State == admission.Serving && healthy && !out {
			sum.Slots += l.Effective
		}
		loads[s.service] = sum
	}
	return loads
}

// shareLoad returns the load and whether the circuit breaker admits requests.
func (s *server) shareLoad() (l admission.Load, healthy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.Load(), s.breaker.Health() == outlier.Healthy
}

func countShareRefusal(service string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("rosemaryline_shares_refused_total{service=%q}", service)).Inc()
}

// gaugeShares sets the gauges of a service. The age is that of the newest decision.
func gaugeShares(service string, short bool, age time.Duration) {
	value := 0.0
	if short {
		value = 1
	}
	metrics.GetOrCreateGauge(fmt.Sprintf("rosemaryline_shares_short{service=%q}", service), nil).Set(value)
	metrics.GetOrCreateGauge(fmt.Sprintf("rosemaryline_shares_decision_age_seconds{service=%q}", service), nil).Set(age.Seconds())
}
