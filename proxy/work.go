package proxy

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"rosemaryline.dev/admission"
	"rosemaryline.dev/fleet/config"
	"rosemaryline.dev/workload"
)

// Work is a gate's estimate of the work of one service, for the Rosemaryline-Work header. Entries use it where the
// service has the placement least-completion.
type Work struct {
	// Start is the time until a new request would start.
	Start time.Duration
	// Speed is the speed of the backend server relative to its usual one: 0.25 is four times slower.
	Speed float64
	// Cost is the expected time that a request on the route holds a slot at usual speed; 0 means unknown.
	Cost time.Duration
}

const (
	// permille is the unit of the speed in the header.
	permille = 1000
	// maxSpeedPermille is the largest speed that an entry accepts.
	maxSpeedPermille = 100 * permille
)

// formatWork returns the header's value. Times are rounded up to milliseconds, so that a wait or a cost never becomes 0.
func formatWork(w Work) string {
	speed := min(max(int64(w.Speed*permille), 1), maxSpeedPermille)
	return strconv.FormatInt(ceilMillis(w.Start), 10) + ";" + strconv.FormatInt(speed, 10) + ";" + strconv.FormatInt(ceilMillis(w.Cost), 10)
}

func ceilMillis(d time.Duration) int64 {
	return int64((min(max(d, 0), maxPeerDeadline) + time.Millisecond - 1) / time.Millisecond)
}

// parseWork returns the work in the values of the header, or nil if they are not exactly one value in the format that
// formatWork writes. A report that cannot be read says nothing about the gate.
func parseWork(values []string) *Work {
	if len(values) != 1 {
		return nil
	}
	parts := strings.Split(values[0], ";")
	if len(parts) != 3 {
		return nil
	}
	start, ok1 := parseDigits(parts[0], maxPeerDeadline.Milliseconds())
	speed, ok2 := parseDigits(parts[1], maxSpeedPermille)
	cost, ok3 := parseDigits(parts[2], maxPeerDeadline.Milliseconds())
	if !ok1 || !ok2 || !ok3 || speed == 0 {
		return nil
	}
	return &Work{
		Start: time.Duration(start) * time.Millisecond,
		Speed: float64(speed) / permille,
		Cost:  time.Duration(cost) * time.Millisecond,
	}
}

// parseDigits parses a number of decimal digits without sign or leading zeros.
func parseDigits(text string, limit int64) (int64, bool) {
	if text == "" || len(text) > 1 && text[0] == '0' {
		return 0, false
	}
	for i := range len(text) {
		if text[i] < '0' || text[i] > '9' {
			return 0, false
		}
	}
	n, err := strconv.ParseInt(text, 10, 64)
	return n, err == nil && n <= limit
}

// serverWork tracks the work at one backend server. The server's mu guards it. It tracks nothing unless the placement of
// the service needs it.
type serverWork struct {
	enabled bool
	costs   *workload.Costs
	speed   workload.Speed
	// running and queued hold the requests by ticket.
	running map[admission.Ticket]runningWork
	queued  map[admission.Ticket]string // route
}

type runningWork struct {
	route   string
	startAt time.Duration
}

// configure applies the placement of the service.
func (w *serverWork) configure(p config.Placement) {
	enabled := p == config.PlacementLeastCompletion
	if enabled == w.enabled {
		return
	}
	*w = serverWork{enabled: enabled}
	if enabled {
		w.costs = workload.NewCosts()
		w.running = map[admission.Ticket]runningWork{}
		w.queued = map[admission.Ticket]string{}
	}
}

// offered records an admitted or queued request.
func (w *serverWork) offered(now time.Duration, d admission.Decision, route string) {
	switch {
	case !w.enabled:
	case d.Verdict == admission.Admitted:
		w.running[d.Ticket] = runningWork{route, now}
	case d.Verdict == admission.Queued:
		w.queued[d.Ticket] = route
	}
}

// granted records that a queued request got its slot.
func (w *serverWork) granted(now time.Duration, ticket admission.Ticket) {
	if route, ok := w.queued[ticket]; ok {
		delete(w.queued, ticket)
		w.running[ticket] = runningWork{route, now}
	}
}

// dropped records that a request ended without having run.
func (w *serverWork) dropped(ticket admission.Ticket) {
	delete(w.queued, ticket)
	delete(w.running, ticket)
}

// ended records the result of a request that held a slot for the time took, without its nested calls.
func (w *serverWork) ended(now time.Duration, service string, ticket admission.Ticket, took time.Duration, result admission.Result) {
	r, ok := w.running[ticket]
	if !ok {
		return
	}
	delete(w.running, ticket)
	switch result {
	case admission.Succeeded:
		typical, known := w.costs.Expect(now, service, r.route)
		// The time of a slow server says little about the cost of the route.
		w.costs.Record(now, service, r.route, time.Duration(float64(took)*w.speed.Estimate(now, nil)))
		if known {
			w.speed.Record(now, typical.Median, took)
		}
	case admission.Failed, admission.Overloaded:
		// A server that fails or refuses fast has a short queue. Without this it would look idle and attract requests.
		w.speed.RecordFailure(now)
	}
}

// report returns the estimate for a new request on a route. slots is the number of requests that may run at once.
func (w *serverWork) report(now time.Duration, service, route string, slots int) Work {
	// Tickets grow with the order of arrival. The order also keeps replays the same: sums of floats depend on it.
	runningTickets, queuedTickets := slices.Sorted(maps.Keys(w.running)), slices.Sorted(maps.Keys(w.queued))
	running := make([]workload.Running, 0, len(runningTickets))
	for _, ticket := range runningTickets {
		r := w.running[ticket]
		e, _ := w.costs.Expect(now, service, r.route)
		running = append(running, workload.Running{Elapsed: now - r.startAt, Typical: e.Median})
	}
	speed := w.speed.Estimate(now, running)
	backlog := workload.Backlog{Slots: slots, Speed: speed}
	for _, ticket := range runningTickets {
		r := w.running[ticket]
		rest, _ := w.costs.Remaining(now, service, r.route, time.Duration(float64(now-r.startAt)*speed))
		backlog.Running = append(backlog.Running, rest)
	}
	for _, ticket := range queuedTickets {
		e, _ := w.costs.Expect(now, service, w.queued[ticket])
		backlog.Queued = append(backlog.Queued, e.Mean)
	}
	e, _ := w.costs.Expect(now, service, route)
	return Work{Start: backlog.Start(), Speed: speed, Cost: e.Mean}
}

// reportWork returns the estimate for a new request on a route; nil if the placement of the service does not need it.
func (s *server) reportWork(route string) *Work {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.work.enabled {
		return nil
	}
	w := s.work.report(s.clock(), s.service, route, s.gate.Load().Effective)
	return &w
}

// Work returns the estimate for a new request of a service on this VM; nil if it is not known.
func (g *Gate) Work(service, route string) *Work {
	if s := g.leastLoaded(service); s != nil {
		return s.reportWork(route)
	}
	return nil
}
