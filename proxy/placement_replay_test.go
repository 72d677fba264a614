package proxy

import (
	"container/heap"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemaryline.dev/admission"
	"rosemaryline.dev/fleet/config"
	"rosemaryline.dev/routing"
)

var (
	fullReplay         = flag.Bool("replay.full", false, "replay all fleets, slots and placements; -v prints the table")
	replayUtilisation  = flag.Float64("replay.utilisation", 0.7, "mean share of the slots in use")
	replayVMs          = flag.Int("replay.vms", 0, "with replay.full, replay only fleets of this size")
	placementGrayShare = flag.Float64("replay.gray", 0.1, "share of the time that a server is slow")
)

// replayCase is one load pattern.
type replayCase struct {
	vms, slots int
	// utilisation is the mean share of the slots in use at the usual speeds.
	utilisation float64
	// gray is the share of the time that a backend server is 4 to 12 times slower.
	gray float64
	seed uint64
	// length is the time in which requests arrive. Those of the first fifth are not counted.
	length time.Duration
}

const replayRoutes = 4

// replayRequest is a request of the replay.
type replayRequest struct {
	route   int
	work    time.Duration // at speed 1
	arrived time.Duration
	entry   *replayEntry
	tried   map[string]bool
	sent    int
	end     func()
	counted bool
}

type replayEntry struct {
	vm, domain string
	rate       float64
	loads      *loadTable
	reports    *workTable
}

// replayServer is a backend server with the decisions of its gate.
type replayServer struct {
	vm, domain string
	slots      int
	speed      float64 // of its hardware
	slow       []grayEpisode
	gate       *admission.Gate
	work       serverWork
	typical    map[string]float64
	waiting    map[admission.Ticket]*replayRequest
	ends       map[admission.Ticket]time.Duration
	expiry     time.Duration
}

type grayEpisode struct {
	from, to time.Duration
	factor   float64
}

// speedAt returns the speed at a time and the time of its next change.
func (s *replayServer) speedAt(now time.Duration) (speed float64, until time.Duration) {
	for _, e := range s.slow {
		if now < e.from {
			return s.speed, e.from
		}
		if now < e.to {
			return s.speed / e.factor, e.to
		}
	}
	return s.speed, math.MaxInt64
}

// endOf returns when a request that starts at a time ends.
func (s *replayServer) endOf(start, work time.Duration) time.Duration {
	left := float64(work)
	for now := start; ; {
		speed, until := s.speedAt(now)
		need := left / speed
		if float64(until-now) >= need {
			return now + time.Duration(need)
		}
		left -= float64(until-now) * speed
		now = until
	}
}

// completionOf returns when a request would end that is sent now. It uses what no gate knows: the work of each request and
// the future speed.
func (s *replayServer) completionOf(now, work time.Duration) time.Duration {
	free := make([]time.Duration, 0, s.slots)
	for _, end := range s.ends {
		free = append(free, end)
	}
	for len(free) < s.slots {
		free = append(free, now)
	}
	slices.Sort(free)
	tickets := make([]admission.Ticket, 0, len(s.waiting))
	for ticket := range s.waiting {
		tickets = append(tickets, ticket)
	}
	slices.Sort(tickets)
	for _, ticket := range tickets {
		free[0] = s.endOf(max(free[0], now), s.waiting[ticket].work)
		slices.Sort(free)
	}
	return s.endOf(max(free[0], now), work)
}

// replay simulates the entries and gates of a fleet without a network. The decisions are those of the real code.
type replay struct {
	replayCase
	policy    string
	now       time.Duration
	events    eventQueue
	sequence  int
	rnd       *rand.Rand // of the load; the same for all policies
	choices   *rand.Rand
	entries   []*replayEntry
	servers   []*replayServer
	routes    [replayRoutes]struct{ mean, spread float64 }
	objective time.Duration
	deadline  time.Duration
	result    replayResult
	latencies []time.Duration
	// expected returns the two expected durations of a request: the least for which it is worth starting, and the likely one.
	expected func(s *replayServer, now time.Duration, route string) (least, likely time.Duration)
}

// replayResult is one line of the table.
type replayResult struct {
	requests, inTime, refused, late, refusedWrongly int
	sent, crossed                                   int
	servers                                         int
	mean, p99                                       time.Duration
}

func (r *replayResult) add(o replayResult) {
	r.requests += o.requests
	r.inTime += o.inTime
	r.refused += o.refused
	r.late += o.late
	r.refusedWrongly += o.refusedWrongly
	r.sent += o.sent
	r.crossed += o.crossed
}

// share returns a number of requests as a share of all.
func (r replayResult) share(n int) float64 { return float64(n) / float64(r.requests) }

type event struct {
	at       time.Duration
	sequence int
	run      func()
}
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (r *replay) at(when time.Duration, run func()) {
	r.sequence++
	heap.Push(&r.events, event{max(when, r.now), r.sequence, run})
}

// presentExpected is what server.acquire uses.
func presentExpected(s *replayServer, _ time.Duration, route string) (least, likely time.Duration) {
	typical := s.typical[route]
	return time.Duration(minWorkShare * typical), time.Duration(typical)
}

// demand of the three failure domains relative to each other.
var replayDemand = [3]float64{77.0 / 94, 99.0 / 94, 105.0 / 94}

func newReplay(c replayCase, policy string) *replay {
	r := &replay{replayCase: c, policy: policy, rnd: rand.New(rand.NewPCG(c.seed, 1)), choices: rand.New(rand.NewPCG(c.seed, 2)), expected: presentExpected}
	mean := 840 * time.Millisecond
	if c.slots < 4 {
		mean = time.Duration(c.slots) * 300 * time.Millisecond // with one slot, 840 ms at 2/s would be more than a VM has
	}
	r.objective, r.deadline = 3*mean, 10*mean
	heavy := 1 + 0.02*5 // 2% take 6 times as long
	for i := range r.routes {
		r.routes[i].mean = mean.Seconds() / heavy * []float64{0.4, 0.8, 1.2, 1.6}[i]
		r.routes[i].spread = []float64{0.3, 0.5, 0.8, 0.5}[i]
	}
	rate := 0.0
	for i := range c.vms {
		e := &replayEntry{vm: fmt.Sprint("vm", i), domain: fmt.Sprint("d", i%3), rate: 1 + 2*r.rnd.Float64(), loads: newLoadTable(), reports: newWorkTable()}
		rate += e.rate
		r.entries = append(r.entries, e)
	}
	const fast, slow = 1.15, 0.65 // 70% and 30% of the servers: 1 on average
	hosts := int(math.Ceil(rate * mean.Seconds() / c.utilisation / float64(c.slots)))
	hosts = min(max(hosts, 3), c.vms)
	for i := range hosts {
		s := &replayServer{
			vm: r.entries[i].vm, domain: r.entries[i].domain, slots: c.slots, speed: fast,
			gate:    admission.NewGate(admission.Config{Slots: c.slots, ColdRate: 1e9, TeamPercent: 100, MaxWait: time.Minute}),
			typical: map[string]float64{}, waiting: map[admission.Ticket]*replayRequest{}, ends: map[admission.Ticket]time.Duration{},
		}
		if i/3%10 < 3 {
			s.speed = slow
		}
		s.work.configure(config.PlacementLeastCompletion)
		r.addEpisodes(s)
		r.servers = append(r.servers, s)
	}
	for _, e := range r.entries {
		r.arrivals(e)
	}
	return r
}

// addEpisodes draws the times of 2 to 8 s in which a server is slow.
func (r *replay) addEpisodes(s *replayServer) {
	const mean = 5 * time.Second
	if r.gray == 0 {
		return
	}
	for now := time.Duration(0); now < 2*r.length; {
		now += time.Duration(r.rnd.ExpFloat64() * float64(mean) * (1 - r.gray) / r.gray)
		e := grayEpisode{from: now, to: now + 2*time.Second + time.Duration(r.rnd.Float64()*float64(6*time.Second)), factor: 4 + 8*r.rnd.Float64()}
		s.slow = append(s.slow, e)
		now = e.to
	}
}

// arrivals draws the requests of an entry. Demand changes by half within 15 s, at other times in each failure domain.
func (r *replay) arrivals(e *replayEntry) {
	domain := int(e.domain[1] - '0')
	for now := time.Duration(0); ; {
		swing := 1 + 0.33*math.Sin(2*math.Pi*(now.Seconds()/30+float64(domain)/3))
		now += time.Duration(r.rnd.ExpFloat64() / (e.rate * replayDemand[domain] * swing) * float64(time.Second))
		if now >= r.length {
			return
		}
		req := &replayRequest{route: r.rnd.IntN(replayRoutes), arrived: now, entry: e, tried: map[string]bool{}, counted: now >= r.length/5}
		route := r.routes[req.route]
		sigma := math.Sqrt(math.Log(1 + route.spread*route.spread))
		work := route.mean * math.Exp(r.rnd.NormFloat64()*sigma-sigma*sigma/2)
		if r.rnd.Float64() < 0.02 {
			work *= 6
		}
		req.work = time.Duration(work * float64(time.Second))
		r.at(now, func() { r.send(req) })
	}
}

func (r *replay) run() {
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(event)
		r.now = e.at
		e.run()
	}
}

func (req *replayRequest) routeName() string { return fmt.Sprint("route", req.route) }

// path returns the time of one way between an entry and a server.
func (r *replay) path(e *replayEntry, s *replayServer) time.Duration {
	switch {
	case e.vm == s.vm:
		return 0
	case e.domain == s.domain:
		return 200 * time.Microsecond
	default:
		return 450*time.Microsecond + time.Duration(r.choices.Int64N(int64(1300*time.Microsecond)))
	}
}

// send chooses a server for a request.
func (r *replay) send(req *replayRequest) {
	e := req.entry
	s := r.choose(req)
	if s == nil || req.sent >= 5 || r.now >= req.arrived+r.deadline {
		r.finish(req, false)
		return
	}
	req.sent++
	if req.counted {
		r.result.sent++
		if s.domain != e.domain {
			r.result.crossed++
		}
	}
	endLoad, endWork := e.loads.begin(s.vm, "svc", r.now), e.reports.begin(s.vm, "svc", req.routeName(), r.now)
	req.end = func() { endLoad(); endWork() }
	r.at(r.now+r.path(e, s), func() { r.offer(s, req) })
}

func (r *replay) choose(req *replayRequest) *replayServer {
	if r.policy == "bound" {
		return r.chooseKnowing(req)
	}
	e := req.entry
	local := routing.Locality{VM: e.vm, Domain: e.domain, Region: "r", Regions: map[string]string{"d0": "r", "d1": "r", "d2": "r"}}
	candidates := make([]routing.Candidate, len(r.servers))
	var own *Work
	for i, s := range r.servers {
		candidates[i] = routing.Candidate{VM: s.vm, Domain: s.domain, Capacity: float64(s.slots), LoadAge: r.now + time.Minute}
		if s.vm == e.vm {
			l := s.load()
			candidates[i].Capacity, candidates[i].InFlight, candidates[i].Queued, candidates[i].LoadAge = float64(l.Slots), float64(l.InFlight), float64(l.Queued), 0
			w := s.work.report(r.now, "svc", req.routeName(), s.slots)
			own = &w
		}
	}
	e.loads.applyReports(candidates, e.vm, "svc", r.now)
	var policy routing.Policy = routing.TwoChoices{}
	switch r.policy {
	case "least-completion":
		policy = routing.LeastCompletion{}
		e.reports.apply(candidates, &local, own, "svc", req.routeName(), r.now)
	case "least-loaded":
		policy = leastLoadedOfTwo{}
	}
	i, _ := policy.Choose(candidates, local, req.tried, r.choices)
	if i < 0 {
		return nil
	}
	return r.servers[i]
}

// leastLoadedOfTwo compares two random candidates of all failure domains by their load.
type leastLoadedOfTwo struct{}

func (leastLoadedOfTwo) Choose(cands []routing.Candidate, local routing.Locality, exclude map[string]bool, rnd *rand.Rand) (int, routing.Reason) {
	local = routing.Locality{VM: "none", Domain: "none", Region: "r", Regions: local.Regions}
	return routing.TwoChoices{}.Choose(cands, local, exclude, rnd)
}

// chooseKnowing returns the server at which the request ends first, with the nearest one at a tie.
func (r *replay) chooseKnowing(req *replayRequest) *replayServer {
	var best *replayServer
	var bestEnd time.Duration
	for _, s := range r.servers {
		if req.tried[s.vm] {
			continue
		}
		end := s.completionOf(r.now, req.work)
		if s.domain != req.entry.domain {
			end += 4 * time.Millisecond
		} else if s.vm != req.entry.vm {
			end += time.Millisecond
		}
		if best == nil || end < bestEnd {
			best, bestEnd = s, end
		}
	}
	return best
}

func (s *replayServer) load() Load {
	l := s.gate.Load()
	return Load{InFlight: l.InFlight, Slots: l.Effective, Queued: l.Queued}
}

// offer passes a request to the gate of a server.
func (r *replay) offer(s *replayServer, req *replayRequest) {
	least, likely := r.expected(s, r.now, req.routeName())
	decision := s.gate.Offer(r.now, admission.Request{
		Team: "red", Deadline: req.arrived + r.deadline, ExpectedDuration: least, Objective: max(req.arrived+r.objective-likely, 1),
	})
	for _, d := range decision.Displaced {
		r.refuse(s, d)
	}
	s.work.offered(r.now, decision, req.routeName())
	switch decision.Verdict {
	case admission.Admitted:
		r.start(s, decision.Ticket, req)
	case admission.Queued:
		s.waiting[decision.Ticket] = req
	default:
		r.refuseRequest(s, req, decision.Reason)
	}
	r.scheduleExpiry(s)
}

func (r *replay) refuse(s *replayServer, d admission.Refusal) {
	req := s.waiting[d.Ticket]
	delete(s.waiting, d.Ticket)
	s.work.dropped(d.Ticket)
	r.refuseRequest(s, req, d.Reason)
}

// refuseRequest returns a refusal to the entry, which sends the request elsewhere.
func (r *replay) refuseRequest(s *replayServer, req *replayRequest, reason admission.Reason) {
	if reason == admission.ReasonHopeless && req.counted && s.completionOf(r.now, req.work) <= req.arrived+r.deadline {
		r.result.refusedWrongly++
	}
	load := s.load()
	refusal := &Refusal{Load: &load}
	w := s.work.report(r.now, "svc", req.routeName(), s.slots)
	refusal.Work = &w
	r.at(r.now+r.path(req.entry, s), func() {
		req.end()
		req.entry.loads.report(s.vm, "svc", load, r.now)
		req.entry.reports.refused(s.vm, "svc", req.routeName(), refusal, r.now)
		req.tried[s.vm] = true
		r.send(req)
	})
}

func (r *replay) start(s *replayServer, ticket admission.Ticket, req *replayRequest) {
	began := r.now
	end, deadline := s.endOf(r.now, req.work), req.arrived+r.deadline
	result := admission.Succeeded
	if end > deadline {
		end = max(deadline, r.now)
		result = admission.Failed
	}
	s.ends[ticket] = end
	r.at(end, func() {
		delete(s.ends, ticket)
		took := r.now - began
		if result == admission.Succeeded {
			s.typical[req.routeName()] = smoothLatency(s.typical[req.routeName()], float64(took))
		}
		s.work.ended(r.now, "svc", ticket, took, result)
		r.grant(s, s.gate.Done(r.now, ticket, took, result))
		load := s.load()
		w := s.work.report(r.now, "svc", req.routeName(), s.slots)
		r.at(r.now+r.path(req.entry, s), func() {
			req.end()
			req.entry.loads.report(s.vm, "svc", load, r.now)
			req.entry.reports.responded(s.vm, "svc", req.routeName(), &Response{Status: 200, Work: &w}, r.now)
			if result == admission.Failed && req.counted {
				r.result.late++
			}
			r.finish(req, true)
		})
		r.scheduleExpiry(s)
	})
}

func (r *replay) grant(s *replayServer, grants []admission.Grant) {
	for _, g := range grants {
		req := s.waiting[g.Ticket]
		delete(s.waiting, g.Ticket)
		s.work.granted(r.now, g.Ticket)
		r.start(s, g.Ticket, req)
	}
}

func (r *replay) scheduleExpiry(s *replayServer) {
	next, ok := s.gate.NextExpiry()
	if !ok || s.expiry > r.now && s.expiry <= next {
		return
	}
	s.expiry = max(next, r.now+time.Millisecond)
	r.at(s.expiry, func() {
		for _, d := range s.gate.Expire(r.now) {
			r.refuse(s, d)
		}
		r.scheduleExpiry(s)
	})
}

func (r *replay) finish(req *replayRequest, served bool) {
	if !req.counted {
		return
	}
	r.result.requests++
	latency := r.now - req.arrived
	if !served {
		r.result.refused++
		return
	}
	r.latencies = append(r.latencies, latency)
	if latency <= r.objective {
		r.result.inTime++
	}
}

// replaySeeds replays a case with several seeds at the same time and returns the sum. Small fleets see few requests, so
// that one seed says little.
func replaySeeds(c replayCase, policy string, seeds int) replayResult {
	runs := make([]*replay, seeds)
	limit := make(chan struct{}, 3) // replays at the same time
	var wait sync.WaitGroup
	for i := range runs {
		wait.Go(func() {
			limit <- struct{}{}
			defer func() { <-limit }()
			c := c
			c.seed = uint64(i + 1)
			runs[i] = newReplay(c, policy)
			runs[i].run()
		})
	}
	wait.Wait()
	var sum replayResult
	var latencies []time.Duration
	for _, r := range runs {
		sum.add(r.result)
		sum.servers = len(r.servers)
		latencies = append(latencies, r.latencies...)
	}
	slices.Sort(latencies)
	for _, l := range latencies {
		sum.mean += l / time.Duration(len(latencies))
	}
	sum.p99 = latencies[len(latencies)*99/100]
	return sum
}

// TestPlacementReplay guards against a placement by cost that serves fewer requests within the objective than the present
// policy, or that sends more of them to other failure domains without serving more.
func TestPlacementReplay(t *testing.T) {
	cases := []replayCase{{vms: 30, slots: 1}, {vms: 97, slots: 4}}
	policies, seeds, length := []string{"two-choices", "least-completion"}, map[int]int{30: 3, 97: 1}, 40*time.Second
	if *fullReplay {
		cases = nil
		for _, vms := range []int{6, 30, 97, 355} {
			if *replayVMs != 0 && vms != *replayVMs {
				continue
			}
			for _, slots := range []int{1, 2, 4, 8, 64} {
				cases = append(cases, replayCase{vms: vms, slots: slots})
			}
		}
		policies = []string{"two-choices", "least-loaded", "least-completion", "bound"}
		seeds, length = map[int]int{6: 24, 30: 5, 97: 2, 355: 1}, 40*time.Second
	}
	t.Log("| VMs | slots | servers | placement | mean ms | p99 ms | in objective | refused | too late | refused wrongly | to other domains |")
	for _, c := range cases {
		c.utilisation, c.gray, c.length = *replayUtilisation, *placementGrayShare, length
		results := map[string]replayResult{}
		for _, policy := range policies {
			res := replaySeeds(c, policy, seeds[c.vms])
			results[policy] = res
			t.Logf("| %d | %d | %d | %s | %d | %d | %.3f | %.3f | %.3f | %.4f | %.3f |", c.vms, c.slots, res.servers, policy, res.mean.Milliseconds(), res.p99.Milliseconds(),
				res.share(res.inTime), res.share(res.refused), res.share(res.late), res.share(res.refusedWrongly), res.share(res.crossed))
		}
		present, chosen := results["two-choices"], results["least-completion"]
		assert.Check(t, chosen.share(chosen.inTime) >= present.share(present.inTime), "%+v", c)
		assert.Check(t, chosen.crossed <= present.crossed || chosen.inTime > present.inTime, "%+v", c)
	}
}
