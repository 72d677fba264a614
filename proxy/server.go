package proxy

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"

	"rosemaryline.dev/admission"
	"rosemaryline.dev/fleet/config"
	"rosemaryline.dev/outlier"
	"rosemaryline.dev/routing"
)

// server is one backend server on this VM. mu guards the fields below it.
type server struct {
	name    string
	service string
	clock   Clock
	client  *client

	mu       sync.Mutex
	address  string
	instance string
	slots    int
	draining bool
	ejected  bool
	lost     bool
	// rampDeadline is the time after which the current instance no longer counts as ramping up.
	rampDeadline time.Duration
	ramped       bool
	expiresAt    time.Duration
	// coldEnd is the end of the cold time.
	coldEnd time.Duration
	cfg     admission.Config
	gate    *admission.Gate
	breaker outlier.Breaker
	// loggedHealth is the health that was last logged.
	loggedHealth outlier.Health
	// refusedEntries are the VMs of entries whose requests were refused because the circuit breaker had tripped, with
	// the time of the last refusal.
	refusedEntries map[string]time.Duration
	// onRecovered is called when the backend server is healthy again, with the VMs of the entries that were refused;
	// nil if nobody is notified. It must not block.
	onRecovered func(service string, entries []string)
	log         *log.Logger
	// lastAnnouncement is the newest announcement.
	lastAnnouncement Announcement
	ttl              time.Duration
	// typicalLatencies holds, by route, the smoothed time until a response, in nanoseconds.
	typicalLatencies map[string]float64
	waiting          map[admission.Ticket]chan waitResult
	// work is the work at the backend server, for the choice of a VM.
	work serverWork
	// running holds the requests that wait for a response.
	running map[*runningRequest]struct{}
	// unslotted is the number of responses in progress whose slot is free.
	unslotted int
}

// waitResult ends the wait of a queued request, with either a grant or a refusal.
type waitResult struct {
	wait    time.Duration
	refused admission.Reason
}

// slot is a slot of a backend server that a request holds.
type slot struct {
	server *server
	ticket admission.Ticket
	wait   time.Duration
	trial  bool
	route  string
	// version counts the request in a running rollout; nil without one.
	version *versionTicket
	// sentAt is when the request was sent to the backend server.
	sentAt time.Duration
}

func newServer(a Announcement, settings config.Service, clock Clock, ttl time.Duration, logger *log.Logger) *server {
	slots := announcedSlots(a, settings)
	s := &server{
		name:             a.Name,
		service:          a.Service,
		clock:            clock,
		client:           newClient(settings.Connections, slots, settings.ConnectTimeout.Std(), nil),
		slots:            slots,
		waiting:          map[admission.Ticket]chan waitResult{},
		running:          map[*runningRequest]struct{}{},
		typicalLatencies: map[string]float64{},

		refusedEntries: map[string]time.Duration{},
		cfg:            admissionConfig(settings, slots),
		ttl:            ttl,
		log:            logger,
	}
	s.gate = admission.NewGate(s.cfg)
	s.breaker.SetAdaptive(s.cfg.Adaptive)
	s.work.configure(settings.Placement)
	return s
}

// announcedSlots returns the number of announced slots, limited to the setting of the service.
func announcedSlots(a Announcement, settings config.Service) int {
	if a.Slots == 0 || a.Slots > settings.Slots {
		return settings.Slots
	}
	return a.Slots
}

func admissionConfig(settings config.Service, slots int) admission.Config {
	cfg := admission.Config{
		Slots:            slots,
		InitialSlots:     settings.Ramp.InitialSlots,
		SuccessesPerSlot: settings.Ramp.SuccessesPerSlot,
		QueueLength:      settings.Queue.Length,
		TeamPercent:      settings.Queue.TeamPercent,
		MaxWait:          settings.Queue.MaxWait.Std(),
		ColdRate:         settings.Ramp.Rate,
		Adaptive:         settings.Concurrency == config.ConcurrencyAdaptive,
		HeldBytes:        int64(settings.HeldBytes),
	}
	if settings.NestedCalls {
		cfg.NestedLevels = 1
	}
	return cfg
}

// update applies an announcement or its renewal and the current settings of the service. It reports whether the
// instance is new.
func (s *server) update(a Announcement, settings config.Service) (newInstance bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reconfigure(a, settings)
	s.work.configure(settings.Placement)
	newInstance = !a.sameInstance(&s.lastAnnouncement) || s.instance == ""
	if newInstance {
		s.breaker.Reset()
		s.loggedHealth = outlier.Healthy
		s.notifyRecovered()
		clear(s.typicalLatencies)
		s.work.speed.Reset()
		s.ramped = false
		s.rampDeadline = s.clock() + maxRampTime
		s.instance = a.Instance
		s.gate.SetInstance(a.Instance)
		s.client.closeIdle()
	}
	s.lastAnnouncement = a
	s.coldEnd = s.coldUntil(a, settings, newInstance)
	s.gate.SetColdUntil(s.coldEnd)
	s.address = a.Address
	s.draining = a.Draining
	s.lost = false
	s.expiresAt = s.clock() + s.ttl
	s.applyState()
	return newInstance
}

// coldUntil returns the end of the cold time. A new instance that does not report it is cold for the configured ramp
// time of the service.
func (s *server) coldUntil(a Announcement, settings config.Service, newInstance bool) time.Duration {
	if newInstance && a.ColdMs == 0 && a.StartedMs == 0 {
		return s.clock() + settings.Ramp.Time.Std()
	}
	return s.clock() + a.coldTime()
}

// hasNewerThan reports whether an announcement newer than a was already received.
func (s *server) hasNewerThan(a *Announcement) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return a.supersededBy(&s.lastAnnouncement)
}

// newestAnnouncement returns the newest announcement.
func (s *server) newestAnnouncement() Announcement {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastAnnouncement
}

// reconfigure applies changed settings of the service. The caller holds mu.
func (s *server) reconfigure(a Announcement, settings config.Service) {
	slots := announcedSlots(a, settings)
	cfg := admissionConfig(settings, slots)
	if cfg == s.cfg {
		return
	}
	s.cfg = cfg
	s.slots = slots
	s.breaker.SetAdaptive(cfg.Adaptive)
	grants, refusals := s.gate.Reconfigure(s.clock(), cfg)
	s.deliverGrants(grants)
	s.deliverRefusals(refusals)
}

// expire marks the backend server as lost if its announcement expired.
func (s *server) expire() (expired bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lost || s.clock() < s.expiresAt {
		return false
	}
	s.lost = true
	s.applyState()
	return true
}

// retentionOver reports whether the backend server has been lost for lostRetention.
func (s *server) retentionOver() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lost && s.clock() >= s.expiresAt+lostRetention
}

// replacedBy reports whether an announcement requires a new server value: it comes from an instance with another number
// of slots, or from a backend server of another service that took over the name.
func (s *server) replacedBy(a Announcement, settings config.Service) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.service != a.Service {
		return s.lost || s.lastAnnouncement.supersededBy(&a)
	}
	return s.instance != a.Instance && s.slots != announcedSlots(a, settings)
}

// currentAddress returns the address of the newest announcement. It is read when a request is sent, because a new
// instance may have announced another address while the request was queued.
func (s *server) currentAddress() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// setEjected sets the ejection state. It reports whether the backend server is newly ejected. A backend server that
// returns ramps up again.
func (s *server) setEjected(ejected bool) (newlyEjected bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	newlyEjected = ejected && !s.ejected
	if s.ejected && !ejected {
		s.ramped = false
		s.rampDeadline = s.clock() + maxRampTime
	}
	s.ejected = ejected
	s.applyState()
	return newlyEjected
}

// runningRequest is a request that waits for a response. The server's mu guards the fields below cancel.
type runningRequest struct {
	began      time.Duration
	route      string
	entry      string // VM whose entry accepted the request
	repeatable bool
	// mayFail is true if the entry holds a reserved retry for the request.
	mayFail bool
	// overdueFallback is the time after which the request counts as a failure if the typical latency of its route is
	// not known.
	overdueFallback time.Duration
	cancel          context.CancelFunc
	// cancelledForRetry is true after the gate cancelled the request so that its entry can retry it on another VM.
	cancelledForRetry bool
	// overdue is true after the request was counted as a failure because it took too long.
	overdue bool
}

// watch registers a running request.
func (s *server) watch(cancel context.CancelFunc, req *Request) *runningRequest {
	r := &runningRequest{
		cancel: cancel, began: s.clock(), route: req.Route, entry: req.Entry, repeatable: req.Repeatable, mayFail: req.MayFail,
		overdueFallback: time.Until(req.Deadline) / 2,
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[r] = struct{}{}
	return r
}

// unwatch removes a running request. It reports whether the request was cancelled so that its entry can retry it.
func (s *server) unwatch(r *runningRequest) (cancelledForRetry bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, r)
	return r.cancelledForRetry
}

// cancelRepeatable cancels the repeatable requests that wait for an ejected backend server. Their entries can then
// retry them elsewhere instead of waiting until the deadline. Requests of entries that are leaving continue.
func (s *server) cancelRepeatable(leaving func(vm string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for r := range s.running {
		if r.repeatable && !leaving(r.entry) {
			r.cancelledForRetry = true
			r.cancel()
		}
	}
}

const (
	// overdueFactor is the multiple of the typical latency after which a request is overdue. The time that requests
	// need varies less than that.
	overdueFactor = 5
	// minOverdue is the minimum time after which a request is overdue.
	minOverdue = time.Second
)

// markOverdue counts requests that wait too long as failures. This detects a backend server that hangs before any
// deadline passes. A repeatable request with a reserved retry is cancelled, so that its entry retries it elsewhere. The
// others continue, because a late response is better than none, and so do requests of entries that are leaving.
// markOverdue returns the ages of the requests that became overdue.
func (s *server) markOverdue(leaving func(vm string) bool) (ages []time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	for r := range s.running {
		if r.overdue || now-r.began < s.overdueAfter(r.route, r.overdueFallback) {
			continue
		}
		r.overdue = true
		s.observe(r.began, true, "overdue")
		ages = append(ages, now-r.began)
		if r.repeatable && r.mayFail && !leaving(r.entry) {
			r.cancelledForRetry = true
			r.cancel()
		}
	}
	return ages
}

// overdueAfter returns the time after which a request on a route counts as a failure. fallback applies if the typical
// latency of the route is not known. The caller holds mu.
func (s *server) overdueAfter(route string, fallback time.Duration) time.Duration {
	typical, known := s.typicalLatencies[route]
	if !known {
		return max(fallback, minOverdue)
	}
	return max(time.Duration(overdueFactor*typical), minOverdue)
}

// observe passes the result of a request that was sent at sentAt to the circuit breaker and logs a change of health. The caller holds mu.
func (s *server) observe(sentAt time.Duration, failed bool, cause string) {
	s.breaker.Observe(s.clock(), sentAt, failed)
	health := s.breaker.Health()
	if health == s.loggedHealth {
		return
	}
	s.loggedHealth = health
	countHealthChange(s.service, health)
	s.log.Info().Str("server", s.name).Str("service", s.service).Str("health", health.String()).Str("cause", cause).
		Float64("score", s.breaker.Score()).Int("running", len(s.running)).Msg("gate: judged backend server.")
	if health == outlier.Healthy {
		s.notifyRecovered()
	} else if s.cfg.Adaptive {
		s.deliverRefusals(s.gate.RefuseQueued(admission.Reason(breakerReason(&s.breaker))))
	}
}

// maxRefusedEntries limits the entries that are notified of a recovery. The others stop avoiding the backend server
// after routing.FaultyTargetTTL.
const maxRefusedEntries = 4096

// refuseByBreaker records that the circuit breaker refused a request from an entry and returns the reason. The caller
// holds mu.
func (s *server) refuseByBreaker(entry string) Reason {
	if _, known := s.refusedEntries[entry]; entry != "" && (known || len(s.refusedEntries) < maxRefusedEntries) {
		s.refusedEntries[entry] = s.clock()
	}
	return breakerReason(&s.breaker)
}

// notifyRecovered notifies the entries that still avoid the backend server that it is healthy. The caller holds mu.
func (s *server) notifyRecovered() {
	var entries []string
	for entry, at := range s.refusedEntries {
		if s.clock()-at < routing.FaultyTargetTTL {
			entries = append(entries, entry)
		}
	}
	clear(s.refusedEntries)
	if s.onRecovered != nil && len(entries) > 0 {
		s.onRecovered(s.service, entries)
	}
}

// score returns the failure score of the circuit breaker.
func (s *server) score() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.breaker.Score()
}

// overdueLimit returns the time after which a missing response counts against the backend server. remaining is the time
// that the request had until its deadline when it was sent.
func (s *server) overdueLimit(req *Request, remaining time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.overdueAfter(req.Route, remaining/2)
}

// updateTypicalLatency updates the typical latency of a route. The value rises slowly, so that a backend server that
// became slow is not measured against its own slowness. The caller holds mu.
func (s *server) updateTypicalLatency(route string, latency time.Duration) {
	if _, known := s.typicalLatencies[route]; !known && len(s.typicalLatencies) >= maxKnownRoutes {
		clear(s.typicalLatencies)
	}
	s.typicalLatencies[route] = smoothLatency(s.typicalLatencies[route], float64(latency))
}

// smoothLatency moves the typical latency towards a sample. It rises by 1/32 and falls by 1/8 of the difference.
func smoothLatency(typical, sample float64) float64 {
	const rise, fall = 1.0 / 32, 1.0 / 8
	switch {
	case typical == 0:
		return sample
	case sample > typical:
		return typical + (sample-typical)*rise
	default:
		return typical + (sample-typical)*fall
	}
}

const (
	// maxKnownRoutes limits the routes whose typical latency is kept.
	maxKnownRoutes = 256
	// minWorkShare is the share of the typical latency that must remain before the deadline for a request to be worth
	// starting. Most of the requests that are shorter than usual finish within this share.
	minWorkShare = 0.6
)

// expectedLatency returns the typical latency of a route; 0 if it is not known. The caller holds mu.
func (s *server) expectedLatency(route string) time.Duration {
	return time.Duration(s.typicalLatencies[route])
}

// trialIn returns the time until a request that may not be repeated may be sent as a trial.
func (s *server) trialIn() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.breaker.NonRetryableTrialIn(s.clock())
}

// retryAfter returns the delay after which a refused request may find a free slot.
func (s *server) retryAfter() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return min(max(s.gate.EstimateWait(), minRetryAfter), maxRetryAfter)
}

const (
	// minRetryAfter and maxRetryAfter limit the delay that callers are asked to wait for, so that they neither retry in
	// a busy loop nor wait long after a short overload has ended.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// markLost takes the backend server out of service until its next announcement.
func (s *server) markLost() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost = true
	s.applyState()
}

// applyState passes the state to the admission gate and delivers the refusals that result. The caller holds mu.
func (s *server) applyState() {
	refusals := s.gate.SetState(s.clock(), s.state())
	s.deliverRefusals(refusals)
}

// state returns the state with the highest precedence. The caller holds mu.
func (s *server) state() admission.State {
	switch {
	case s.lost:
		return admission.Lost
	case s.draining:
		return admission.Draining
	case s.ejected:
		return admission.Ejected
	default:
		return admission.Serving
	}
}

// maxRampTime limits the time in which the slowness of a new instance is not judged.
const maxRampTime = 10 * time.Second

// warming reports whether the current instance is still in its first ramp. A later ramp, caused by slowness, does not
// count.
func (s *server) warming() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.gate.Load()
	s.ramped = s.ramped || l.Effective >= l.Slots || s.clock() >= s.rampDeadline
	return !s.ramped
}

func (s *server) load() admission.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.ReportedLoad(s.clock())
}

// acquire waits for a slot until the deadline.
func (s *server) acquire(ctx context.Context, req *Request, weight float64) (*slot, admission.Reason) {
	now := s.clock()
	deadline := now + time.Until(req.Deadline)
	s.mu.Lock()
	admitted, trial := s.breaker.Admit(now, outlier.BreakerRequest{MayFail: req.MayFail, Forced: req.Forced, Pressed: req.Pressed})
	if !admitted {
		reason := s.refuseByBreaker(req.Entry)
		s.mu.Unlock()
		return nil, admission.Reason(reason)
	}
	expected := s.expectedLatency(req.Route)
	offer := admission.Request{
		Team: req.Team, Weight: weight, Depth: req.Depth, Priority: req.Priority, Deadline: deadline, NoWait: req.NoWait,
		ExpectedDuration: time.Duration(minWorkShare * float64(expected)), ExpectedCost: expected,
	}
	if !req.Objective.IsZero() {
		offer.Objective = max(now+time.Until(req.Objective)-expected, 1)
	}
	offer.Bytes = s.heldBytes(req.Body)
	decision := s.gate.Offer(now, offer)
	s.logLimitChanges()
	s.deliverRefusals(decision.Displaced)
	s.work.offered(now, decision, req.Route)
	if decision.Verdict == admission.Refused {
		s.endTrial(trial)
		s.mu.Unlock()
		return nil, decision.Reason
	}
	held := &slot{server: s, ticket: decision.Ticket, trial: trial, route: req.Route}
	if decision.Verdict == admission.Admitted {
		s.mu.Unlock()
		return held, admission.ReasonNone
	}
	result := make(chan waitResult, 1)
	s.waiting[decision.Ticket] = result
	s.mu.Unlock()
	return s.await(ctx, held, result)
}

// await waits for a grant. Each waiter calls expireQueue when its timer fires, which enforces the time limits of the
// queue.
func (s *server) await(ctx context.Context, held *slot, result chan waitResult) (*slot, admission.Reason) {
	timer := time.NewTimer(s.expireQueue())
	defer timer.Stop()
	for {
		select {
		case r := <-result:
			if r.refused != admission.ReasonNone {
				s.mu.Lock()
				s.endTrial(held.trial)
				s.mu.Unlock()
				return nil, r.refused
			}
			held.wait = r.wait
			return held, admission.ReasonNone
		case <-timer.C:
			timer.Reset(s.expireQueue())
		case <-ctx.Done():
			return nil, s.abandon(held, result)
		}
	}
}

// expireQueue refuses requests that waited too long and starts those that waited for the start rate of a cold backend
// server. It returns the time until the next call is due.
func (s *server) expireQueue() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	s.deliverGrants(s.gate.Grant(now))
	s.deliverRefusals(s.gate.Expire(now))
	next := now + admission.DefaultMaxWait
	if expiry, ok := s.gate.NextExpiry(); ok {
		next = expiry
	}
	if grant, ok := s.gate.NextGrant(now); ok {
		next = min(next, grant)
	}
	return max(next-now, time.Millisecond)
}

// endTrial ends a trial of the circuit breaker. It does nothing if the request was no trial. The caller holds mu.
func (s *server) endTrial(trial bool) {
	if trial {
		s.breaker.TrialEnded()
	}
}

// abandon removes a queued request whose caller left. A slot that was granted in the meantime is released.
func (s *server) abandon(held *slot, result chan waitResult) admission.Reason {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiting, held.ticket)
	s.endTrial(held.trial)
	s.work.dropped(held.ticket)
	select {
	case r := <-result:
		if r.refused != admission.ReasonNone {
			return r.refused
		}
	default:
	}
	s.deliverGrants(s.gate.Cancel(s.clock(), held.ticket))
	return admission.Reason(ReasonCallerGone)
}

// release releases the slot.
func (h *slot) release(latency time.Duration, result admission.Result) {
	s := h.server
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endTrial(h.trial)
	switch result {
	case admission.Succeeded:
		s.observe(h.sentAt, false, "answered")
		s.updateTypicalLatency(h.route, latency)
	case admission.Failed:
		s.observe(h.sentAt, true, "failed")
	}
	s.work.ended(s.clock(), s.service, h.ticket, latency, result)
	s.deliverGrants(s.gate.Done(s.clock(), h.ticket, latency, result))
	s.logLimitChanges()
}

// deliverGrants wakes the waiters whose requests may start. The caller holds mu.
func (s *server) deliverGrants(grants []admission.Grant) {
	for _, g := range grants {
		s.work.granted(s.clock(), g.Ticket)
		s.deliver(g.Ticket, waitResult{wait: g.Wait})
	}
}

// deliverRefusals wakes the waiters whose requests are refused. The caller holds mu.
func (s *server) deliverRefusals(refusals []admission.Refusal) {
	for _, r := range refusals {
		s.work.dropped(r.Ticket)
		s.deliver(r.Ticket, waitResult{refused: r.Reason})
	}
}

// deliver wakes the waiter of a ticket, if it still waits. The caller holds mu.
func (s *server) deliver(ticket admission.Ticket, r waitResult) {
	result, ok := s.waiting[ticket]
	if !ok {
		return
	}
	delete(s.waiting, ticket)
	result <- r
}
