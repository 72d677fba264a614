package proxy

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"rosemaryline.dev/fleet/state"
	"rosemaryline.dev/routing"
)

// router chooses the VM for each attempt of a request.
type router struct {
	opts   EntryOptions
	policy routing.Policy
	loads  *loadTable
	work   *workTable
	// stopping is set when the process begins a graceful stop.
	stopping atomic.Bool

	mu              sync.Mutex // guards the fields below
	paths           *routing.PathHealth
	budgets         map[string]*routing.RetryBudget
	trippedBreakers *routing.TrippedBreakers
	// repeatDenied holds, by service, when a gate last refused a repeat because of its retry budget.
	repeatDenied map[string]time.Duration
	rng          *rand.Rand
}

func newRouter(opts EntryOptions) *router {
	return &router{
		opts:            opts,
		policy:          routing.TwoChoices{},
		loads:           newLoadTable(),
		work:            newWorkTable(),
		paths:           routing.NewPathHealth(),
		budgets:         map[string]*routing.RetryBudget{},
		trippedBreakers: routing.NewTrippedBreakers(),
		repeatDenied:    map[string]time.Duration{},
		rng:             rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// choice is the VM for one attempt.
type choice struct {
	peer   Peer
	reason routing.Reason
	// work is what was known of the VM's work; nil if the choice did not use it.
	work *expectedWork
}

// attemptHistory records the attempts of one request.
type attemptHistory struct {
	// tried are the VMs that the request must not be sent to again.
	tried map[string]bool
	// breakerTripped are the tried VMs whose gate refused the request because of a tripped circuit breaker or an
	// ejection.
	breakerTripped map[string]bool
	// reached counts the attempts that reached a backend server. declined counts the other refused attempts, without
	// those in breakerTripped.
	reached, declined int
	lastRefusal       *Refusal
	mayHaveRun        bool
	// moves records the gates without a free slot that passed the request on.
	moves moves
	// retryReserved is true while the request holds a reserved retry that it has not used.
	retryReserved bool
	// failedResponse is the last response with a failure from a backend server; nil if there is none.
	failedResponse *Response
}

// runAttempts tries VMs until one responds, the request must not be sent again, or the retry budget or the time is used up.
// Errors are of type *Refusal. Their outcome is not-run only if no attempt may have run.
func (r *router) runAttempts(ctx context.Context, req *Request) (*Response, error) {
	history := &attemptHistory{tried: map[string]bool{}, breakerTripped: map[string]bool{}}
	history.retryReserved = r.reserveRetry(req)
	defer r.refundRetry(req, history)
	for attemptNumber := 1; ; attemptNumber++ {
		req.MayFail = r.mayFail(req, history)
		req.Repeat = history.repeat(req)
		chosen, ok := r.chooseNext(req, history)
		if !ok && (r.leaveNewVersion(req) || r.allowTrippedBreakers(req, history)) {
			continue
		}
		if !ok {
			return history.result()
		}
		if attemptNumber > 1 {
			retriesCounter.Inc()
		}
		req.NoWait = r.mayMove(req, chosen, history)
		req.MayFail = req.MayFail && r.hasAlternative(req, chosen.peer.VM, history.tried)
		r.logChoice(req, chosen, attemptNumber)
		resp, refusal := r.attempt(ctx, req, chosen)
		if refusal == nil && req.MayFail && resp.Status < http.StatusInternalServerError {
			r.trialPassed(chosen.peer.VM, req.Service)
		}
		if refusal == nil && !r.shouldRetryResponse(req, resp, history) {
			history.discardFailed()
			return resp, nil
		}
		if refusal == nil {
			history.keepFailed(chosen.peer.VM, resp)
			continue
		}
		history.recordRefusal(chosen.peer.VM, refusal)
		r.recordTrippedBreaker(chosen.peer.VM, req.Service, refusal)
		r.changeSide(req, refusal.Reason)
		req.Forced = req.Forced || r.mostTripped(req.Service, history)
		if !r.mayRetry(req, refusal, history) {
			return history.result()
		}
	}
}

// shouldRetryResponse reports whether the request should be sent to another backend server instead of returning the
// failure.
func (r *router) shouldRetryResponse(req *Request, resp *Response, history *attemptHistory) bool {
	if !routing.RetryableStatus(resp.Status, req.mayRepeat()) {
		return false
	}
	failed := unknownRefusal(resp.Status, ReasonFailed, "run")
	history.reached++
	defer func() { history.reached-- }()
	return r.mayRetry(req, failed, history)
}

// repeat returns whether the next attempt at a request is a repeat.
func (h *attemptHistory) repeat(req *Request) Repeat {
	switch {
	case h.reached == 0:
		return RepeatNone
	case !h.mayHaveRun && !req.BackendCall && req.Depth == 0:
		return RepeatRefused
	default:
		return RepeatFailed
	}
}

// keepFailed stores a failed response, which is returned if no later attempt succeeds.
func (h *attemptHistory) keepFailed(vm string, resp *Response) {
	h.discardFailed()
	h.failedResponse = resp
	h.tried[vm] = true
	h.reached++
	h.mayHaveRun = true
}

// discardFailed closes the stored response.
func (h *attemptHistory) discardFailed() {
	if h.failedResponse != nil {
		h.failedResponse.Body.Close()
		h.failedResponse = nil
	}
}

// result returns the stored response of a backend server, or else the final refusal. The response is preferred because
// it gives the caller more information than a refusal.
func (h *attemptHistory) result() (*Response, error) {
	if h.failedResponse != nil {
		return h.failedResponse, nil
	}
	return nil, h.finalRefusal()
}

// mayFail reports whether the request can be sent elsewhere if the next attempt fails. Only the first attempt may go to
// a backend server whose circuit breaker has tripped, because a second one there would be as likely to fail.
func (r *router) mayFail(req *Request, history *attemptHistory) bool {
	return !r.stopping.Load() && history.retryReserved && history.reached == 0 && req.MaxAttempts != 1 && req.Body.CanReplay() &&
		time.Until(req.Deadline) > minTrialRemaining
}

// hasAlternative reports whether another VM than vm may get the request after a failure. A gate cancels an overdue request
// that may fail, so that it is retried elsewhere; without another backend server that is not faulty, the caller would get a
// failure in place of a late response.
func (r *router) hasAlternative(req *Request, vm string, tried map[string]bool) bool {
	hosts := r.hosts(req)
	out := r.opts.Fleet.OutDomains()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.opts.Clock()
	for i := range hosts {
		h := &hosts[i]
		if h.VM == vm || h.State != routing.StateServing || tried[h.VM] || out[h.Domain] {
			continue
		}
		if !r.trippedBreakers.Avoid(routing.Target{VM: h.VM, Service: req.Service}, now, routing.RequestInfo{}) {
			return true
		}
	}
	return false
}

// reserveRetry counts a new request and reserves a retry for a repeatable one. Without a reserved retry the request
// must not go to a backend server whose circuit breaker has tripped.
func (r *router) reserveRetry(req *Request) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	budget := r.budget(req.Service)
	budget.RecordRequest(r.opts.Clock())
	if denied, ok := r.repeatDenied[req.Service]; ok && r.opts.Clock()-denied < repeatDeniedFor {
		return false
	}
	return req.Repeatable && budget.Reserve(r.opts.Clock())
}

// repeatDeniedFor is the time for which no request counts as one that may fail after a gate had no room for a repeat.
const repeatDeniedFor = time.Second

// refundRetry returns an unused reserved retry to the budget.
func (r *router) refundRetry(req *Request, history *attemptHistory) {
	if !history.retryReserved {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget(req.Service).Release()
}

// minTrialRemaining is the minimum time before the deadline for a request that is used as a trial of a tripped circuit
// breaker.
const minTrialRemaining = 500 * time.Millisecond

// allowTrippedBreakers permits backend servers whose circuit breaker has tripped after all others were tried. A
// response from one of them is better than a refusal.
func (r *router) allowTrippedBreakers(req *Request, history *attemptHistory) bool {
	if req.Forced || history.declined+history.reached > 0 {
		// A healthy backend server exists. The caller gains more from a refusal with the outcome not-run than from a
		// run that is likely to fail.
		return false
	}
	req.Forced = true
	for vm := range history.breakerTripped {
		delete(history.tried, vm)
	}
	return true
}

// recordRefusal adds an attempt that ended with a refusal.
func (h *attemptHistory) recordRefusal(vm string, refusal *Refusal) {
	h.lastRefusal = refusal
	h.mayHaveRun = h.mayHaveRun || refusal.Outcome == OutcomeUnknown
	h.tried[vm] = true
	switch {
	case refusal.Reached:
		h.reached++
	case isBreakerReason(refusal.Reason):
		h.breakerTripped[vm] = true
	case refusal.Reason == ReasonExposure:
		// The servers of the old version are not tried yet.
	case isFull(refusal):
		h.moves.add(vm, refusal.Load)
	default:
		h.declined++
	}
}

// isBreakerReason reports whether a gate refused a request because the circuit breaker of its backend server has
// tripped or the backend server is ejected.
func isBreakerReason(reason Reason) bool {
	return reason == ReasonSuspect || reason == ReasonFaulty || reason == ReasonEjected
}

// finalRefusal returns the refusal for the caller. If an attempt may have run, neither its outcome nor its status says
// that the request did not run.
func (h *attemptHistory) finalRefusal() *Refusal {
	if h.lastRefusal == nil {
		return notRunRefusal(http.StatusServiceUnavailable, ReasonNoCapacity, "choose")
	}
	final := *h.lastRefusal
	// Callers that were refused at the same time should not retry at the same time.
	final.RetryAfter = time.Duration(float64(final.RetryAfter) * (0.75 + rand.Float64()/2))
	if h.mayHaveRun {
		final.Outcome = OutcomeUnknown
		if impliesNotRun(final.Status) {
			final.Status = http.StatusBadGateway
		}
	}
	return &final
}

// mayRetry reports whether another attempt is allowed after a refusal. It takes a retry from the budget, or uses the
// reserved one, if the refused attempt reached a backend server.
func (r *router) mayRetry(req *Request, refusal *Refusal, history *attemptHistory) bool {
	if isFinal(refusal.Reason) || req.MaxAttempts > 0 && history.reached >= req.MaxAttempts {
		return false
	}
	attempt := routing.Attempt{
		Outcome:      routing.OutcomeNotRun,
		Repeatable:   req.Repeatable || req.IdempotencyKey != "",
		BodyConsumed: !req.Body.CanReplay(),
		Number:       max(history.reached+history.declined, 1),
		Remaining:    time.Until(req.Deadline),
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
	r.mu.Lock()
	defer r.mu.Unlock()
	budget := r.budget(req.Service)
	if history.retryReserved {
		history.retryReserved = false
		budget.UseReserved(r.opts.Clock())
		return true
	}
	if refusal.Outcome == OutcomeNotRun && !req.BackendCall && req.Depth == 0 {
		return budget.TryRetryRefused(r.opts.Clock())
	}
	return budget.TryRetry(r.opts.Clock())
}

// isFinal reports whether every other VM would refuse for the same reason.
func isFinal(reason Reason) bool {
	switch reason {
	case ReasonCallerGone, ReasonBadRequest, ReasonRunning, ReasonLost, ReasonKeyReused, ReasonAnswerNotKept, ReasonNoRecords,
		ReasonBodyTooLarge:
		return true
	default:
		return false
	}
}

// budget returns the retry budget of a service. The caller holds mu.
func (r *router) budget(service string) *routing.RetryBudget {
	b, ok := r.budgets[service]
	if !ok {
		b = routing.NewRetryBudgetWith(r.opts.RetryRatio, r.opts.RetryReserve())
		r.budgets[service] = b
	}
	return b
}

// updateReserves applies this entry's present share of the fleet's retry reserve, which depends on the number of entries.
func (r *router) updateReserves() {
	reserve := r.opts.RetryReserve()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, budget := range r.budgets {
		budget.SetReserve(reserve)
	}
}

// recordTrippedBreaker records a refusal because of a tripped circuit breaker or an ejection, so that later requests
// avoid the VM. Other refusals are ignored.
func (r *router) recordTrippedBreaker(vm, service string, refusal *Refusal) {
	if refusal.Reason == ReasonRetryBudget {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.repeatDenied[service] = r.opts.Clock()
	}
	if !isBreakerReason(refusal.Reason) || refusal.Reported {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	target, now := routing.Target{VM: vm, Service: service}, r.opts.Clock()
	r.trippedBreakers.Record(target, now, refusal.Reason == ReasonFaulty)
	r.trippedBreakers.AllowPressedTrial(target, now+refusal.TrialIn)
	r.avoidUntilTrial(target, refusal.TrialIn, now)
}

// trialPassed records a successful trial of a backend server whose circuit breaker has tripped. The next trial from the
// same failure domain may follow at once.
func (r *router) trialPassed(vm, service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.trippedBreakers.TrialSucceeded(routing.Target{VM: vm, Service: service}, r.opts.Clock())
}

// markRecovered records that a backend server is healthy again.
func (r *router) markRecovered(vm, service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.trippedBreakers.Clear(routing.Target{VM: vm, Service: service})
}

// withTrippedBreakers returns the tried VMs together with those that the request must avoid because the circuit breaker
// of their backend server has tripped.
func (r *router) withTrippedBreakers(req *Request, hosts []Peer, tried map[string]bool) map[string]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.trippedBreakers.Len() == 0 {
		return tried
	}
	now := r.opts.Clock()
	avoid := tried
	for i := range hosts {
		info := routing.RequestInfo{MayFail: req.MayFail, SameDomain: hosts[i].Domain == r.opts.Domain}
		if !r.trippedBreakers.Avoid(routing.Target{VM: hosts[i].VM, Service: req.Service}, now, info) {
			continue
		}
		if len(avoid) == len(tried) {
			avoid = maps.Clone(tried)
		}
		avoid[hosts[i].VM] = true
	}
	return avoid
}

// pickTrial returns the index of a VM whose tripped circuit breaker the request should test, or -1.
func (r *router) pickTrial(req *Request, hosts []Peer, tried map[string]bool) int {
	if !r.mayTest(req) {
		return -1
	}
	out := r.opts.Fleet.OutDomains()
	start := r.firstTrialHost(req.Service, len(hosts))
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.trippedBreakers.Len() == 0 {
		return -1
	}
	now := r.opts.Clock()
	for k := range hosts {
		i := (start + k) % len(hosts)
		h := &hosts[i]
		if h.State != routing.StateServing || tried[h.VM] || out[h.Domain] {
			continue
		}
		if r.trippedBreakers.TakeTrial(routing.Target{VM: h.VM, Service: req.Service}, now, h.Domain == r.opts.Domain) {
			req.trials++
			return i
		}
	}
	return -1
}

// pickService returns the service for a new request on a route.
func (r *router) pickService(route *routing.Route) string {
	r.mu.Lock()
	service := route.PickService(r.rng)
	r.mu.Unlock()
	if route.IsSplit() {
		countSplitChoice(route.Name, service)
	}
	return service
}

// choose returns the VM for the next attempt.
func (r *router) choose(req *Request, tried map[string]bool) (choice, bool) {
	hosts := r.hosts(req)
	if i := r.pickTrial(req, hosts, tried); i >= 0 {
		return choice{peer: hosts[i], reason: routing.ReasonTrial}, true
	}
	// A VM of the own failure domain with a free slot precedes all others, so the others need a look only without one.
	near := r.inOwnDomain(hosts)
	if i, reason, work := r.pick(req, near, tried); reason == routing.ReasonOwnVM || reason == routing.ReasonOwnDomain {
		return choice{peer: near[i], reason: reason, work: work}, true
	}
	i, reason, work := r.pick(req, hosts, tried)
	if i < 0 || reason == routing.ReasonLeastLoaded || reason == routing.ReasonLeastCompletion {
		if j := r.pickPressedTrial(req, hosts); j >= 0 {
			req.Pressed = true
			return choice{peer: hosts[j], reason: routing.ReasonPressedTrial}, true
		}
	}
	if i < 0 {
		return r.ownGateWhileLeaving(req, hosts)
	}
	return choice{peer: hosts[i], reason: reason, work: work}, true
}

// ownGateWhileLeaving returns the own VM, once for each request, if its gate is leaving and hosts the service. When the last
// VM of a service stops, the requests that its entry accepted can run nowhere else.
func (r *router) ownGateWhileLeaving(req *Request, hosts []Peer) (choice, bool) {
	if req.LastResort || r.opts.Gate == nil || !r.opts.Gate.leaving.Load() {
		return choice{}, false
	}
	for i := range hosts {
		if hosts[i].VM == r.opts.VM {
			req.LastResort = true
			return choice{peer: hosts[i], reason: routing.ReasonOwnVM}, true
		}
	}
	return choice{}, false
}

// pickPressedTrial returns the index of a VM whose tripped circuit breaker a request tests that would otherwise wait or be
// refused, or -1. A request tests at most one.
func (r *router) pickPressedTrial(req *Request, hosts []Peer) int {
	if req.Pressed || req.MayFail || req.Forced {
		return -1
	}
	out := r.opts.Fleet.OutDomains()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.trippedBreakers.Len() == 0 {
		return -1
	}
	now := r.opts.Clock()
	start := r.rng.IntN(max(len(hosts), 1))
	for k := range hosts {
		i := (start + k) % len(hosts)
		h := &hosts[i]
		if h.State == routing.StateServing && !out[h.Domain] && r.trippedBreakers.TakePressedTrial(routing.Target{VM: h.VM, Service: req.Service}, now) {
			return i
		}
	}
	return -1
}

// inOwnDomain returns the VMs in the failure domain of this process.
func (r *router) inOwnDomain(hosts []Peer) []Peer {
	var near []Peer
	for i := range hosts {
		if hosts[i].Domain == r.opts.Domain {
			near = append(near, hosts[i])
		}
	}
	return near
}

// pick returns the index of the VM that the policy chooses for the next attempt, -1 if none, the reason, and what was known of
// the VM's work, nil if the choice did not use it.
func (r *router) pick(req *Request, hosts []Peer, tried map[string]bool) (int, routing.Reason, *expectedWork) {
	avoid := tried
	if !req.Forced {
		avoid = r.withTrippedBreakers(req, hosts, tried)
	}
	candidates, i, reason := r.rank(hosts, req.Service, req.Route, avoid)
	if i < 0 {
		return i, reason, nil
	}
	return i, reason, newExpectedWork(&candidates[i])
}

// rank returns the candidates of a service for a request on a route, the index of the one that the policy chooses (-1 if none), and the reason
// for the choice.
func (r *router) rank(hosts []Peer, service, route string, tried map[string]bool) ([]routing.Candidate, int, routing.Reason) {
	local := r.local()
	now := r.opts.Clock()
	out := r.opts.Fleet.OutDomains()
	candidates := make([]routing.Candidate, len(hosts))
	for i := range hosts {
		candidates[i] = r.candidate(&hosts[i], service, out)
	}
	r.loads.applyReports(candidates, r.opts.VM, service, now)
	policy := r.applyWork(candidates, &local, service, route, now)
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range candidates {
		candidates[i].PathPenalty = r.paths.Penalty(candidates[i].VM, now)
	}
	i, reason := policy.Choose(candidates, local, tried, r.rng)
	return candidates, i, reason
}

func (r *router) local() routing.Locality {
	local := routing.Locality{VM: r.opts.VM, Domain: r.opts.Domain, Regions: map[string]string{}}
	r.opts.Fleet.Read(func(s *state.State) {
		for name, d := range s.Config().Domains {
			local.Regions[name] = d.Region
		}
	})
	local.Region = local.Regions[r.opts.Domain]
	return local
}

// candidate returns a VM as a candidate, on another VM with the load that gossip has. out holds the failure domains that were
// taken out of service.
func (r *router) candidate(h *Peer, service string, out map[string]bool) routing.Candidate {
	c := routing.Candidate{
		VM:       h.VM,
		Domain:   h.Domain,
		Capacity: h.Slots,
		InFlight: h.InFlight,
		Queued:   h.Queued,
		State:    h.State,
		LoadAge:  h.Age,
	}
	if out[h.Domain] {
		c.State = routing.StateTakenOut
	}
	if h.VM == r.opts.VM {
		load := r.opts.Gate.Load(service)
		c.Capacity = float64(load.Slots)
		c.InFlight = float64(load.InFlight)
		c.Queued = float64(load.Queued)
		c.LoadAge = 0
		if r.opts.Gate.leaving.Load() {
			c.State = routing.StateDraining
		}
	}
	return c
}

func (r *router) runner(vm, address string) Runner {
	if vm == r.opts.VM {
		return r.opts.Gate
	}
	return r.opts.Peers.Gate(vm, address)
}

// attempt sends the request to one VM and updates the load, the path health and the metrics with the result.
func (r *router) attempt(ctx context.Context, req *Request, chosen choice) (*Response, *Refusal) {
	vm := chosen.peer.VM
	began := r.opts.Clock()
	endLoad, endWork := r.loads.begin(vm, req.Service, began), r.beginWork(vm, req, began)
	end := func() { endLoad(); endWork() }
	resp, err := r.runner(vm, chosen.peer.Address).Run(ctx, req)
	now := r.opts.Clock()
	if err != nil {
		end()
		refusal := asRefusal(err)
		r.opts.Shares.refused(req.Service, refusal.Reason)
		r.updateFromRefusal(vm, req, refusal, now)
		return nil, refusal
	}
	r.loads.report(vm, req.Service, resp.Load, now)
	r.updateWork(vm, req, resp, now)
	r.opts.Shares.waited(req.Service, resp.Timing.Queue)
	if vm != r.opts.VM {
		r.opts.Shares.ran(req, resp.Timing.Backend)
	}
	r.recordPathTime(vm, now-began-resp.Timing.Queue-resp.Timing.Backend)
	countTiming(resp.Timing, now-began)
	resp.Body = &closeHookBody{ReadCloser: resp.Body, onClose: end}
	return resp, nil
}

// updateFromRefusal stores the load that a gate reported with a refusal. A refusal without a load did not come from a
// gate and counts as a failure of the network path to another VM, unless the caller left.
func (r *router) updateFromRefusal(vm string, req *Request, refusal *Refusal, now time.Duration) {
	r.work.refused(vm, req.Service, req.Route, refusal, now)
	if refusal.Load != nil {
		r.loads.report(vm, req.Service, *refusal.Load, now)
	}
	fromGate := refusal.Load != nil
	if vm == r.opts.VM || fromGate || refusal.Reason == ReasonCallerGone {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.paths.Failure(vm, now)
}

func (r *router) recordPathTime(vm string, pathTime time.Duration) {
	if vm == r.opts.VM {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.paths.Success(vm, r.opts.Clock(), max(pathTime, 0))
}

func (r *router) logChoice(req *Request, chosen choice, number int) {
	line := r.opts.Log.Info().Str("request", req.ID).Str("team", req.Team).Str("route", req.Route).
		Str("service", req.Service).Str("target", chosen.peer.VM).Str("domain", chosen.peer.Domain).
		Str("reason", string(chosen.reason)).Int("attempt", number).Bool("mayFail", req.MayFail)
	if w := chosen.work; w != nil {
		line = line.Dur("start", w.start).Float64("speed", w.speed).Dur("cost", w.cost).Dur("reportAge", w.age).Bool("reported", w.reported)
	}
	line.Msg("entry: chose VM.")
}
