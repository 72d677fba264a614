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

	mu           sync.Mutex // guards the fields below
	paths        *routing.PathHealth
	budgets      map[string]*routing.RetryBudget
	openBreakers *routing.Doubts
	rng          *rand.Rand
}

func newRouter(opts EntryOptions) *router {
	return &router{
		opts:         opts,
		policy:       routing.TwoChoices{},
		loads:        newLoadTable(),
		paths:        routing.NewPathHealth(),
		budgets:      map[string]*routing.RetryBudget{},
		openBreakers: routing.NewDoubts(),
		rng:          rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// choice is the VM for one attempt.
type choice struct {
	peer   Peer
	reason routing.Reason
}

// attemptHistory records the attempts of one request.
type attemptHistory struct {
	// tried are the VMs that the request must not be sent to again.
	tried map[string]bool
	// breakerOpen are the tried VMs whose gate refused the request because of an open circuit breaker or an ejection.
	breakerOpen map[string]bool
	// reached counts the attempts that reached a backend server. declined counts the other refused attempts, without
	// those in breakerOpen.
	reached, declined int
	lastRefusal       *Refusal
	mayHaveRun        bool
	// retryReserved is true while the request holds a reserved retry that it has not used.
	retryReserved bool
	// failedResponse is the last response with a failure from a backend server; nil if there is none.
	failedResponse *Response
}

// run tries VMs until one responds, the request must not be sent again, or the retry budget or the time is used up.
// Errors are of type *Refusal. Their outcome is not-run only if no attempt may have run.
func (t *router) run(ctx context.Context, req *Request) (*Response, error) {
	c := &attemptHistory{tried: map[string]bool{}, breakerOpen: map[string]bool{}}
	c.retryReserved = t.reserveRetry(req)
	defer t.refundRetry(req, c)
	for number := 1; ; number++ {
		req.MayFail = t.mayFail(req, c)
		chosen, ok := t.choose(req, c.tried)
		if !ok && t.allowOpenBreakers(req, c) {
			continue
		}
		if !ok {
			return c.result()
		}
		if number > 1 {
			retriesCounter.Inc()
		}
		t.logChoice(req, chosen, number)
		resp, refusal := t.attempt(ctx, req, chosen)
		if refusal == nil && req.MayFail && resp.Status < http.StatusInternalServerError {
			t.trialPassed(chosen.peer.VM, req.Service)
		}
		if refusal == nil && !t.shouldRetryResponse(req, resp, c) {
			c.discardFailed()
			return resp, nil
		}
		if refusal == nil {
			c.keepFailed(chosen.peer.VM, resp)
			continue
		}
		c.recordRefusal(chosen.peer.VM, refusal)
		t.recordOpenBreaker(chosen.peer.VM, req.Service, refusal)
		if !t.mayRetry(req, refusal, c) {
			return c.result()
		}
	}
}

// shouldRetryResponse reports whether the request should be sent to another backend server instead of returning the
// failure.
func (t *router) shouldRetryResponse(req *Request, resp *Response, c *attemptHistory) bool {
	if !routing.RetryAnswer(resp.Status, req.Repeatable && req.IdempotencyKey == "") {
		return false
	}
	failed := unknownRefusal(resp.Status, ReasonFailed, "run")
	c.reached++
	defer func() { c.reached-- }()
	return t.mayRetry(req, failed, c)
}

// keepFailed stores a failed response, which is returned if no later attempt succeeds.
func (c *attemptHistory) keepFailed(vm string, resp *Response) {
	c.discardFailed()
	c.failedResponse = resp
	c.tried[vm] = true
	c.reached++
	c.mayHaveRun = true
}

// discardFailed closes the stored response.
func (c *attemptHistory) discardFailed() {
	if c.failedResponse != nil {
		c.failedResponse.Body.Close()
		c.failedResponse = nil
	}
}

// result returns the stored response of a backend server, or else the final refusal. The response is preferred because
// it tells the caller more than a refusal.
func (c *attemptHistory) result() (*Response, error) {
	if c.failedResponse != nil {
		return c.failedResponse, nil
	}
	return nil, c.finalRefusal()
}

// mayFail reports whether the request can be sent elsewhere if the next attempt fails. Only the first attempt may go to
// a backend server whose circuit breaker is open, because a second one there would be as likely to fail.
func (t *router) mayFail(req *Request, c *attemptHistory) bool {
	return c.retryReserved && c.reached == 0 && req.MaxAttempts != 1 && req.Body.CanReplay() &&
		time.Until(req.Deadline) > minTrialRemaining
}

// reserveRetry counts a new request and reserves a retry for a repeatable one. Without a reserved retry the request
// must not go to a backend server whose circuit breaker is open.
func (t *router) reserveRetry(req *Request) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	budget := t.budget(req.Service)
	budget.Request()
	return req.Repeatable && budget.Retry()
}

func (t *router) refundRetry(req *Request, c *attemptHistory) {
	if !c.retryReserved {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.budget(req.Service).Refund()
}

// minTrialRemaining is the minimum time before the deadline for a request that is used as a trial of an open circuit
// breaker.
const minTrialRemaining = 500 * time.Millisecond

// allowOpenBreakers permits backend servers whose circuit breaker is open after all others were tried. A response from
// one of them is better than a refusal.
func (t *router) allowOpenBreakers(req *Request, c *attemptHistory) bool {
	if req.Forced || c.declined+c.reached > 0 {
		// A healthy backend server exists. The caller gains more from a refusal with the outcome not-run than from a
		// run that is likely to fail.
		return false
	}
	req.Forced = true
	for vm := range c.breakerOpen {
		delete(c.tried, vm)
	}
	return true
}

func (c *attemptHistory) recordRefusal(vm string, refusal *Refusal) {
	c.lastRefusal = refusal
	c.mayHaveRun = c.mayHaveRun || refusal.Outcome == OutcomeUnknown
	c.tried[vm] = true
	switch {
	case refusal.Reached:
		c.reached++
	case isBreakerReason(refusal.Reason):
		c.breakerOpen[vm] = true
	default:
		c.declined++
	}
}

// isBreakerReason reports whether a gate refused a request because the circuit breaker of its backend server is open or
// the backend server is ejected.
func isBreakerReason(reason Reason) bool {
	return reason == ReasonSuspect || reason == ReasonFaulty || reason == ReasonEjected
}

// finalRefusal returns the refusal for the caller. If an attempt may have run, neither its outcome nor its status says
// that the request did not run.
func (c *attemptHistory) finalRefusal() *Refusal {
	if c.lastRefusal == nil {
		return notRunRefusal(http.StatusServiceUnavailable, ReasonNoCapacity, "choose")
	}
	final := *c.lastRefusal
	// Callers that were refused at the same time should not retry at the same time.
	final.RetryAfter = time.Duration(float64(final.RetryAfter) * (0.75 + rand.Float64()/2))
	if c.mayHaveRun {
		final.Outcome = OutcomeUnknown
		if impliesNotRun(final.Status) {
			final.Status = http.StatusBadGateway
		}
	}
	return &final
}

// impliesNotRun reports whether callers understand a status as a promise that the request did not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

func (t *router) mayRetry(req *Request, refusal *Refusal, c *attemptHistory) bool {
	if isFinal(refusal.Reason) || req.MaxAttempts > 0 && c.reached >= req.MaxAttempts {
		return false
	}
	attempt := routing.Attempt{
		Outcome:    routing.OutcomeNotRun,
		Repeatable: req.Repeatable || req.IdempotencyKey != "",
		BodySpent:  !req.Body.CanReplay(),
		Number:     max(c.reached+c.declined, 1),
		Remaining:  time.Until(req.Deadline),
	}
	if refusal.Outcome == OutcomeUnknown {
		attempt.Outcome = routing.OutcomeUnknown
	}
	if !routing.MayRetry(attempt) {
		return false
	}
	if !refusal.Reached {
		// The attempt did not reach a backend server, so a retry cannot amplify an overload there.
		return true
	}
	if c.retryReserved {
		c.retryReserved = false
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.budget(req.Service).Retry()
}

// isFinal reports whether every other VM would refuse for the same reason.
func isFinal(reason Reason) bool {
	switch reason {
	case ReasonCallerGone, ReasonBadRequest, ReasonRunning, ReasonLost, ReasonKeyReused, ReasonAnswerNotKept, ReasonNoRecords:
		return true
	default:
		return false
	}
}

// budget returns the retry budget of a service. The caller holds mu.
func (t *router) budget(service string) *routing.RetryBudget {
	b, ok := t.budgets[service]
	if !ok {
		b = routing.NewRetryBudgetWith(t.opts.RetryRatio, t.opts.RetryReserve())
		t.budgets[service] = b
	}
	return b
}

func (t *router) recordOpenBreaker(vm, service string, refusal *Refusal) {
	if !isBreakerReason(refusal.Reason) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.openBreakers.Note(routing.Place{VM: vm, Service: service}, t.opts.Clock(), refusal.Reason == ReasonFaulty)
}

// trialPassed records a successful trial of a backend server whose circuit breaker is open. The next trial may follow
// at once.
func (t *router) trialPassed(vm, service string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.openBreakers.TrialPassed(routing.Place{VM: vm, Service: service}, t.opts.Clock())
}

// markRecovered records that the circuit breaker of a backend server is closed again.
func (t *router) markRecovered(vm, service string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.openBreakers.Clear(routing.Place{VM: vm, Service: service})
}

// withOpenBreakers returns the tried VMs together with those that the request must avoid because the circuit breaker of
// their backend server is open.
func (t *router) withOpenBreakers(req *Request, hosts []Peer, tried map[string]bool) map[string]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.opts.Clock()
	avoid := tried
	for i := range hosts {
		offer := routing.Offer{MayFail: req.MayFail, Near: hosts[i].Domain == t.opts.Domain}
		if !t.openBreakers.Avoid(routing.Place{VM: hosts[i].VM, Service: req.Service}, now, offer) {
			continue
		}
		if len(avoid) == len(tried) {
			avoid = maps.Clone(tried)
		}
		avoid[hosts[i].VM] = true
	}
	return avoid
}

// pickTrial returns the index of a VM whose open circuit breaker the request should test, or -1.
func (t *router) pickTrial(req *Request, hosts []Peer, tried map[string]bool) int {
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
		if t.openBreakers.TakeTrial(routing.Place{VM: h.VM, Service: req.Service}, now, h.Domain == t.opts.Domain) {
			return i
		}
	}
	return -1
}

// pickService returns the service for a new request on a route.
func (t *router) pickService(route *routing.Route) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return route.Pick(t.rng)
}

// choose returns the VM for the next attempt.
func (t *router) choose(req *Request, tried map[string]bool) (choice, bool) {
	hosts := t.opts.Directory.Hosts(req.Service)
	if i := t.pickTrial(req, hosts, tried); i >= 0 {
		return choice{peer: hosts[i], reason: routing.ReasonTrial}, true
	}
	avoid := tried
	if !req.Forced {
		avoid = t.withOpenBreakers(req, hosts, tried)
	}
	_, i, reason := t.rank(hosts, req.Service, avoid)
	if i < 0 {
		return choice{}, false
	}
	return choice{peer: hosts[i], reason: reason}, true
}

// rank returns the candidates of a service, the index of the one that the policy chooses (-1 if none), and the reason
// for the choice.
func (t *router) rank(hosts []Peer, service string, tried map[string]bool) ([]routing.Candidate, int, routing.Reason) {
	local := t.local()
	now := t.opts.Clock()
	candidates := make([]routing.Candidate, len(hosts))
	for i, h := range hosts {
		candidates[i] = t.candidate(h, service, now)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range candidates {
		candidates[i].PathPenalty = t.paths.Penalty(candidates[i].VM, now)
	}
	i, reason := t.policy.Choose(candidates, local, tried, t.rng)
	return candidates, i, reason
}

func (t *router) local() routing.Local {
	local := routing.Local{VM: t.opts.VM, Domain: t.opts.Domain, Regions: map[string]string{}}
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
	t.loads.applyReport(&c, service, now)
	return c
}

func (t *router) runner(vm, address string) Runner {
	if vm == t.opts.VM {
		return t.opts.Gate
	}
	return t.opts.Peers.Gate(address)
}

// attempt sends the request to one VM and updates the load, the path health and the metrics with the result.
func (t *router) attempt(ctx context.Context, req *Request, chosen choice) (*Response, *Refusal) {
	vm := chosen.peer.VM
	began := t.opts.Clock()
	end := t.loads.begin(vm, req.Service, began)
	resp, err := t.runner(vm, chosen.peer.Address).Run(ctx, req)
	now := t.opts.Clock()
	if err != nil {
		end()
		refusal := asRefusal(err)
		t.updateFromRefusal(vm, req.Service, refusal, now)
		return nil, refusal
	}
	t.loads.report(vm, req.Service, resp.Load, now)
	t.recordPathTime(vm, now-began-resp.Timing.Queue-resp.Timing.Backend)
	countTiming(resp.Timing, now-began)
	resp.Body = &closeHookBody{ReadCloser: resp.Body, onClose: end}
	return resp, nil
}

func (t *router) updateFromRefusal(vm, service string, refusal *Refusal, now time.Duration) {
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

func (t *router) recordPathTime(vm string, pathTime time.Duration) {
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
