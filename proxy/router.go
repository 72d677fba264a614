package proxy

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"rosemaryline.dev/fleet/state"
	"rosemaryline.dev/routing"
)

// router chooses the VM for each attempt of a request.
type router struct {
	opts   EntryOptions
	policy routing.Policy
	loads  *loadTable

	mu      sync.Mutex // guards the fields below
	paths   *routing.PathHealth
	budgets map[string]*routing.RetryBudget
	doubts  *routing.TrippedBreakers
	rnd     *rand.Rand
}

func newRouter(opts EntryOptions) *router {
	return &router{
		opts:    opts,
		policy:  routing.TwoChoices{},
		loads:   newLoadTable(),
		paths:   routing.NewPathHealth(),
		budgets: map[string]*routing.RetryBudget{},
		doubts:  routing.NewTrippedBreakers(),
		rnd:     rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// choice is the VM of one attempt.
type choice struct {
	peer   Peer
	reason routing.Reason
}

// course is what a router knows of one request over its attempts.
type course struct {
	// tried are the VMs that the request must not go to again.
	tried map[string]bool
	// doubtful are the tried VMs whose backend servers were doubtful.
	doubtful map[string]bool
	// arrivals counts the attempts that arrived at a backend server, declined those that a gate refused for want of room.
	arrivals, declined int
	last               *Refusal
	mayHaveRun         bool
	// reserved is true while the request holds a retry of the budget that it has not used.
	reserved bool
	// failed is the last answer of a backend server that failed the request; nil where there is none.
	failed *Response
}

// run tries VMs until one answers, the request must not be sent again, or the budget or deadline is used up. Errors
// are of type *Refusal. The refusal says not-run only where no attempt may have run.
func (t *router) run(ctx context.Context, req *Request) (*Response, error) {
	c := &course{tried: map[string]bool{}, doubtful: map[string]bool{}}
	c.reserved = t.reserveRetry(req)
	defer t.refundRetry(req, c)
	for number := 1; ; number++ {
		req.MayFail = t.mayFail(req, c)
		chosen, ok := t.choose(req, c.tried)
		if !ok && t.force(req, c) {
			continue
		}
		if !ok {
			return c.end()
		}
		if number > 1 {
			retriesCounter.Inc()
		}
		t.logChoice(req, chosen, number)
		resp, refusal := t.attempt(ctx, req, chosen)
		if refusal == nil && req.MayFail && resp.Status < http.StatusInternalServerError {
			t.trialPassed(chosen.peer.VM, req.Service)
		}
		if refusal == nil && !t.retryAnswer(req, resp, c) {
			c.drop()
			return resp, nil
		}
		if refusal == nil {
			c.keep(chosen.peer.VM, resp)
			continue
		}
		c.note(chosen.peer.VM, refusal)
		t.noteDoubt(chosen.peer.VM, req.Service, refusal)
		if !t.mayRetry(req, refusal, c) {
			return c.end()
		}
	}
}

// retryAnswer tells whether another backend server should be asked instead of passing a failure on.
func (t *router) retryAnswer(req *Request, resp *Response, c *course) bool {
	if !routing.RetryableStatus(resp.Status, req.Repeatable && req.IdempotencyKey == "") {
		return false
	}
	failed := unknown(resp.Status, ReasonFailed, "run")
	c.arrivals++
	defer func() { c.arrivals-- }()
	return t.mayRetry(req, failed, c)
}

// keep holds a failed answer for when no other attempt does better.
func (c *course) keep(vm string, resp *Response) {
	c.drop()
	c.failed = resp
	c.tried[vm] = true
	c.arrivals++
	c.mayHaveRun = true
}

// drop closes the held answer.
func (c *course) drop() {
	if c.failed != nil {
		c.failed.Body.Close()
		c.failed = nil
	}
}

// end returns the held answer of a backend server, or the final refusal. A failure that a backend server reported says
// more than a refusal.
func (c *course) end() (*Response, error) {
	if c.failed != nil {
		return c.failed, nil
	}
	return nil, c.finalRefusal()
}

// mayFail tells whether a failure of the next attempt would leave another one. Only the first attempt may meet a doubtful
// backend server: a second one there would fail as likely.
func (t *router) mayFail(req *Request, c *course) bool {
	return c.reserved && c.arrivals == 0 && req.MaxAttempts != 1 && req.Body.CanReplay() &&
		time.Until(req.Deadline) > minTrialRemaining
}

// reserveRetry counts a new request, and takes a retry for one that may be repeated: without it the request must not meet
// a doubtful backend server.
func (t *router) reserveRetry(req *Request) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	budget := t.budget(req.Service)
	budget.RecordRequest()
	return req.Repeatable && budget.TryRetry()
}

func (t *router) refundRetry(req *Request, c *course) {
	if !c.reserved {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.budget(req.Service).Refund()
}

// minTrialRemaining is the time before the deadline that a request needs to try a doubtful backend server first.
const minTrialRemaining = 500 * time.Millisecond

// force lets the request go to the doubtful backend servers, once all others were tried. An answer from one of them is
// worth more than a refusal.
func (t *router) force(req *Request, c *course) bool {
	if req.Forced || c.declined+c.arrivals > 0 {
		// A sound backend server exists. A run that fails helps nobody, while a refusal tells the caller that nothing ran.
		return false
	}
	req.Forced = true
	for vm := range c.doubtful {
		delete(c.tried, vm)
	}
	return true
}

func (c *course) note(vm string, refusal *Refusal) {
	c.last = refusal
	c.mayHaveRun = c.mayHaveRun || refusal.Outcome == OutcomeUnknown
	c.tried[vm] = true
	switch {
	case refusal.Reached:
		c.arrivals++
	case doubts(refusal.Reason):
		c.doubtful[vm] = true
	default:
		c.declined++
	}
}

// doubts tells whether a gate refused because its backend server is doubtful.
func doubts(reason Reason) bool {
	return reason == ReasonSuspect || reason == ReasonFaulty || reason == ReasonEjected
}

// finalRefusal is what the caller sees. Its status never says that the request did not run where it may have.
func (c *course) finalRefusal() *Refusal {
	if c.last == nil {
		return notRun(http.StatusServiceUnavailable, ReasonNoCapacity, "choose")
	}
	final := *c.last
	// Callers that were refused together must not return together.
	final.RetryAfter = time.Duration(float64(final.RetryAfter) * (0.75 + rand.Float64()/2))
	if c.mayHaveRun {
		final.Outcome = OutcomeUnknown
		if promisesNotRun(final.Status) {
			final.Status = http.StatusBadGateway
		}
	}
	return &final
}

// promisesNotRun tells whether callers take a status for the promise that the request did not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

func (t *router) mayRetry(req *Request, refusal *Refusal, c *course) bool {
	if final(refusal.Reason) || req.MaxAttempts > 0 && c.arrivals >= req.MaxAttempts {
		return false
	}
	attempt := routing.Attempt{
		Outcome:      routing.OutcomeNotRun,
		Repeatable:   req.Repeatable || req.IdempotencyKey != "",
		BodyConsumed: !req.Body.CanReplay(),
		Number:       max(c.arrivals+c.declined, 1),
		Remaining:    time.Until(req.Deadline),
	}
	if refusal.Outcome == OutcomeUnknown {
		attempt.Outcome = routing.OutcomeUnknown
	}
	if !routing.MayRetry(attempt) {
		return false
	}
	if !refusal.Reached {
		// Nothing arrived at a backend server, so the retry cannot multiply an overload there.
		return true
	}
	if c.reserved {
		c.reserved = false
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.budget(req.Service).TryRetry()
}

// final tells whether another VM would answer the same.
func final(reason Reason) bool {
	switch reason {
	case ReasonCallerGone, ReasonBadRequest, ReasonRunning, ReasonLost, ReasonKeyReused, ReasonAnswerNotKept, ReasonNoRecords:
		return true
	default:
		return false
	}
}

// budget returns the service's retry budget. The caller holds mu.
func (t *router) budget(service string) *routing.RetryBudget {
	b, ok := t.budgets[service]
	if !ok {
		b = routing.NewRetryBudgetWith(t.opts.RetryRatio, t.opts.RetryReserve())
		t.budgets[service] = b
	}
	return b
}

func (t *router) noteDoubt(vm, service string, refusal *Refusal) {
	if !doubts(refusal.Reason) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.doubts.Record(routing.Target{VM: vm, Service: service}, t.opts.Clock(), refusal.Reason == ReasonFaulty)
}

// trialPassed lets the next trial of a doubtful backend server follow at once.
func (t *router) trialPassed(vm, service string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.doubts.TrialSucceeded(routing.Target{VM: vm, Service: service}, t.opts.Clock())
}

// recovered ends the doubt of a backend server.
func (t *router) recovered(vm, service string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.doubts.Clear(routing.Target{VM: vm, Service: service})
}

// withDoubted adds the VMs whose backend servers are doubtful to those that a request already tried.
func (t *router) withDoubted(req *Request, hosts []Peer, tried map[string]bool) map[string]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.opts.Clock()
	avoid := tried
	for i := range hosts {
		offer := routing.RequestInfo{MayFail: req.MayFail, SameDomain: hosts[i].Domain == t.opts.Domain}
		if !t.doubts.Avoid(routing.Target{VM: hosts[i].VM, Service: req.Service}, now, offer) {
			continue
		}
		if len(avoid) == len(tried) {
			avoid = maps.Clone(tried)
		}
		avoid[hosts[i].VM] = true
	}
	return avoid
}

// trial returns the index of a VM whose doubtful backend server the request should try, or -1.
func (t *router) trial(req *Request, hosts []Peer, tried map[string]bool) int {
	if !req.MayFail {
		return -1
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.opts.Clock()
	for i := range hosts {
		h := &hosts[i]
		if h.State != routing.StateServing || tried[h.VM] || t.opts.Fleet.DomainOut(h.Domain) {
			continue
		}
		if t.doubts.TakeTrial(routing.Target{VM: h.VM, Service: req.Service}, now, h.Domain == t.opts.Domain) {
			return i
		}
	}
	return -1
}

// pickService returns the service of a new request on a route.
func (t *router) pickService(route *routing.Route) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return route.PickService(t.rnd)
}

// choose returns the VM for the next attempt.
func (t *router) choose(req *Request, tried map[string]bool) (choice, bool) {
	hosts := t.opts.Directory.Hosts(req.Service)
	if i := t.trial(req, hosts, tried); i >= 0 {
		return choice{peer: hosts[i], reason: routing.ReasonTrial}, true
	}
	avoid := tried
	if !req.Forced {
		avoid = t.withDoubted(req, hosts, tried)
	}
	_, i, reason := t.rank(hosts, req.Service, avoid)
	if i < 0 {
		return choice{}, false
	}
	return choice{peer: hosts[i], reason: reason}, true
}

// rank returns the candidates of a service and the index of the one that the policy chooses, or -1.
func (t *router) rank(hosts []Peer, service string, tried map[string]bool) ([]routing.Candidate, int, routing.Reason) {
	local := t.local()
	now := t.opts.Clock()
	cands := make([]routing.Candidate, len(hosts))
	for i, h := range hosts {
		cands[i] = t.candidate(h, service, now)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range cands {
		cands[i].PathPenalty = t.paths.Penalty(cands[i].VM, now)
	}
	i, reason := t.policy.Choose(cands, local, tried, t.rnd)
	return cands, i, reason
}

func (t *router) local() routing.Locality {
	local := routing.Locality{VM: t.opts.VM, Domain: t.opts.Domain, Regions: map[string]string{}}
	t.opts.Fleet.Read(func(s *state.State) {
		for name, d := range s.Config().Domains {
			local.Regions[name] = d.Region
		}
	})
	local.Region = local.Regions[t.opts.Domain]
	return local
}

func (t *router) candidate(h Peer, service string, now time.Duration) routing.Candidate {
	c := routing.Candidate{
		VM:       h.VM,
		Domain:   h.Domain,
		Capacity: h.Slots,
		InFlight: h.InFlight,
		Queued:   h.Queued,
		State:    h.State,
		LoadAge:  h.Age,
	}
	if t.opts.Fleet.DomainOut(h.Domain) {
		c.State = routing.StateTakenOut
	}
	if h.VM == t.opts.VM {
		load := t.opts.Gate.Load(service)
		c.Capacity = float64(load.Slots)
		c.InFlight = float64(load.InFlight)
		c.Queued = float64(load.Queued)
		c.LoadAge = 0
		return c
	}
	t.loads.refine(&c, service, now)
	return c
}

func (t *router) runner(vm, address string) Runner {
	if vm == t.opts.VM {
		return t.opts.Gate
	}
	return t.opts.Peers.Gate(address)
}

// attempt sends the request to one VM and learns from the result.
func (t *router) attempt(ctx context.Context, req *Request, chosen choice) (*Response, *Refusal) {
	vm := chosen.peer.VM
	began := t.opts.Clock()
	end := t.loads.begin(vm, req.Service, began)
	resp, err := t.runner(vm, chosen.peer.Address).Run(ctx, req)
	now := t.opts.Clock()
	if err != nil {
		end()
		refusal := asRefusal(err)
		t.learnRefusal(vm, req.Service, refusal, now)
		return nil, refusal
	}
	t.loads.report(vm, req.Service, resp.Load, now)
	t.learnPath(vm, now-began-resp.Timing.Queue-resp.Timing.Backend)
	countTiming(resp.Timing, now-began)
	resp.Body = &endingBody{ReadCloser: resp.Body, end: end}
	return resp, nil
}

func (t *router) learnRefusal(vm, service string, refusal *Refusal, now time.Duration) {
	if refusal.Load != nil {
		t.loads.report(vm, service, *refusal.Load, now)
	}
	fromGate := refusal.Load != nil
	if vm == t.opts.VM || fromGate || refusal.Reason == ReasonCallerGone {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.paths.Failure(vm, now)
}

func (t *router) learnPath(vm string, pathTime time.Duration) {
	if vm == t.opts.VM {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.paths.Success(vm, t.opts.Clock(), max(pathTime, 0))
}

func (t *router) logChoice(req *Request, chosen choice, number int) {
	t.opts.Log.Info().Str("request", req.ID).Str("team", req.Team).Str("route", req.Route).
		Str("service", req.Service).Str("target", chosen.peer.VM).Str("domain", chosen.peer.Domain).
		Str("reason", string(chosen.reason)).Int("attempt", number).Msg("entry: chose VM.")
}
