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
	// warmBy is when the ramp of the current instance should be over.
	warmBy   time.Duration
	warm     bool
	lapsesAt time.Duration
	cfg      admission.Config
	gate     *admission.Gate
	breaker  outlier.Breaker
	// judged is the breaker's last logged judgement.
	judged outlier.Health
	// doubters are the VMs of entries that were refused while the backend server was doubtful, with the time of the last
	// refusal.
	doubters map[string]time.Duration
	// recovered is GateOptions.Recovered.
	recovered func(service string, entries []string)
	log       *log.Logger
	// last is the newest announcement.
	last Announcement
	ttl  time.Duration
	// work is the usual time to an answer of each route, in nanoseconds.
	work    map[string]float64
	waiting map[admission.Ticket]chan waitResult
	// running holds the requests that wait for an answer.
	running map[*runningRequest]struct{}
}

// waitResult ends the wait of a queued request: with a grant, or with a refusal.
type waitResult struct {
	wait    time.Duration
	refused admission.Reason
}

// slot is a held slot of a backend server.
type slot struct {
	server *server
	ticket admission.Ticket
	wait   time.Duration
	trial  bool
	route  string
}

func newServer(a Announcement, settings config.Service, clock Clock, ttl time.Duration, logger *log.Logger) *server {
	slots := announcedSlots(a, settings)
	s := &server{
		name:    a.Name,
		service: a.Service,
		clock:   clock,
		client:  newClient(settings.Connections, slots, settings.ConnectTimeout.Std(), nil),
		slots:   slots,
		waiting: map[admission.Ticket]chan waitResult{},
		running: map[*runningRequest]struct{}{},
		work:    map[string]float64{},

		doubters: map[string]time.Duration{},
		cfg:      admissionConfig(settings, slots),
		ttl:      ttl,
		log:      logger,
	}
	s.gate = admission.NewGate(s.cfg)
	return s
}

// announcedSlots returns the slots that an announcement asks for, at most the service's setting.
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
	}
	if settings.NestedCalls {
		cfg.NestedLevels = 1
	}
	return cfg
}

// update takes over an announcement or its renewal, and the service's settings of now. It tells whether the instance is
// new.
func (s *server) update(a Announcement, settings config.Service) (fresh bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reconfigure(a, settings)
	fresh = !a.sameInstance(&s.last) || s.instance == ""
	if fresh {
		s.breaker.Reset()
		s.judged = outlier.Healthy
		s.tellRecovered()
		clear(s.work)
		s.warm = false
		s.warmBy = s.clock() + rampTime
		s.instance = a.Instance
		s.gate.SetInstance(a.Instance)
		s.client.closeIdle()
	}
	s.last = a
	s.gate.SetColdUntil(s.coldUntil(a, settings, fresh))
	s.address = a.Address
	s.draining = a.Draining
	s.lost = false
	s.lapsesAt = s.clock() + s.ttl
	s.applyState()
	return fresh
}

// coldUntil returns the end of the cold time. A new instance that does not tell is cold for the service's time.
func (s *server) coldUntil(a Announcement, settings config.Service, fresh bool) time.Duration {
	if fresh && a.ColdMs == 0 && a.StartedMs == 0 {
		return s.clock() + settings.Ramp.Time.Std()
	}
	return s.clock() + time.Duration(a.ColdMs)*time.Millisecond
}

// overtook tells whether a newer announcement than a arrived before it.
func (s *server) overtook(a *Announcement) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return a.outdated(&s.last)
}

// newest returns the newest announcement.
func (s *server) newest() Announcement {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.last
}

// reconfigure puts changed settings of the service in force. The caller holds mu.
func (s *server) reconfigure(a Announcement, settings config.Service) {
	slots := announcedSlots(a, settings)
	cfg := admissionConfig(settings, slots)
	if cfg == s.cfg {
		return
	}
	s.cfg = cfg
	s.slots = slots
	grants, refusals := s.gate.Reconfigure(s.clock(), cfg)
	s.deliverGrants(grants)
	s.deliverRefusals(refusals)
}

// expire marks the backend server as lost when its announcement lapsed.
func (s *server) expire() (lapsed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lost || s.clock() < s.lapsesAt {
		return false
	}
	s.lost = true
	s.applyState()
	return true
}

// forgotten tells whether the announcement lapsed longer ago than lostRetention.
func (s *server) forgotten() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lost && s.clock() >= s.lapsesAt+lostRetention
}

// replacedBy tells whether an announcement needs a new server: one instance of another size, or a backend server that
// took over the name after this one was lost.
func (s *server) replacedBy(a Announcement, settings config.Service) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.service != a.Service {
		return s.lost || s.last.outdated(&a)
	}
	return s.instance != a.Instance && s.slots != announcedSlots(a, settings)
}

// currentAddress is read when a request is sent: a new instance may have announced another one while it was queued.
func (s *server) currentAddress() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// setEjected takes over the state of ejection. It tells whether the backend server is newly ejected. One that returns is
// in its ramp again.
func (s *server) setEjected(ejected bool) (begins bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	begins = ejected && !s.ejected
	if s.ejected && !ejected {
		s.warm = false
		s.warmBy = s.clock() + rampTime
	}
	s.ejected = ejected
	s.applyState()
	return begins
}

// runningRequest is a request that waits for an answer. The server's mu guards the fields below cancel.
type runningRequest struct {
	began      time.Duration
	route      string
	repeatable bool
	// mayFail is true where the entry holds a retry for the request.
	mayFail bool
	// patience is the time after which the request counts as a failure where its route's usual time is not known.
	patience time.Duration
	cancel   context.CancelFunc
	gaveUp   bool
	// overdue is true once the request counted as a failure because it took too long.
	overdue bool
}

// watch makes a running request known.
func (s *server) watch(cancel context.CancelFunc, req *Request) *runningRequest {
	r := &runningRequest{
		cancel: cancel, began: s.clock(), route: req.Route, repeatable: req.Repeatable, mayFail: req.MayFail,
		patience: time.Until(req.Deadline) / 2,
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[r] = struct{}{}
	return r
}

// unwatch ends the watch. It tells whether the request was given up.
func (s *server) unwatch(r *runningRequest) (gaveUp bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, r)
	return r.gaveUp
}

// giveUpRunning cancels the repeatable requests that wait for an ejected backend server, so that their entries try them
// elsewhere instead of waiting for their deadline.
func (s *server) giveUpRunning() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for r := range s.running {
		if r.repeatable {
			r.gaveUp = true
			r.cancel()
		}
	}
}

const (
	// overdueFactor times the usual time is too long for an answer: the work of a request varies less than this.
	overdueFactor = 5
	// overdueLeast is the least time that is too long.
	overdueLeast = time.Second
)

// sweepRunning counts requests that wait too long as failures, which finds a backend server that hangs before any
// deadline does. One for which its entry holds a retry is given up, so that it is tried elsewhere; others wait on, because a
// late answer is better than none. It returns the ages of the requests that became overdue.
func (s *server) sweepRunning() (ages []time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	for r := range s.running {
		if r.overdue || now-r.began < s.overdueAfter(r.route, r.patience) {
			continue
		}
		r.overdue = true
		s.observe(true, "overdue")
		ages = append(ages, now-r.began)
		if r.repeatable && r.mayFail {
			r.gaveUp = true
			r.cancel()
		}
	}
	return ages
}

// overdueAfter is the time after which a request of a route counts as a failure; unknown is that of a route whose usual
// time is not known. The caller holds mu.
func (s *server) overdueAfter(route string, unknown time.Duration) time.Duration {
	usual, known := s.work[route]
	if !known {
		return max(unknown, overdueLeast)
	}
	return max(time.Duration(overdueFactor*usual), overdueLeast)
}

// observe passes a result to the breaker and logs a changed judgement. The caller holds mu.
func (s *server) observe(failed bool, cause string) {
	s.breaker.Observe(s.clock(), failed)
	health := s.breaker.Health()
	if health == s.judged {
		return
	}
	s.judged = health
	countJudgement(s.service, health)
	s.log.Info().Str("server", s.name).Str("service", s.service).Str("health", health.String()).Str("cause", cause).
		Float64("score", s.breaker.Score()).Int("running", len(s.running)).Msg("gate: judged backend server.")
	if health == outlier.Healthy {
		s.tellRecovered()
	}
}

// maxDoubters bounds the entries that are told of a recovery; the others find out after routing.FaultyTargetTTL.
const maxDoubters = 4096

// refuseDoubtful notes an entry whose request is refused because the backend server is doubtful, and returns the reason. The
// caller holds mu.
func (s *server) refuseDoubtful(entry string) Reason {
	if _, known := s.doubters[entry]; entry != "" && (known || len(s.doubters) < maxDoubters) {
		s.doubters[entry] = s.clock()
	}
	if s.breaker.Health() == outlier.Faulty {
		return ReasonFaulty
	}
	return ReasonSuspect
}

// tellRecovered tells the entries that still avoid the backend server that it is sound. The caller holds mu.
func (s *server) tellRecovered() {
	var entries []string
	for entry, at := range s.doubters {
		if s.clock()-at < routing.FaultyTargetTTL {
			entries = append(entries, entry)
		}
	}
	clear(s.doubters)
	if s.recovered != nil && len(entries) > 0 {
		s.recovered(s.service, entries)
	}
}

// score returns the breaker's evidence against the backend server.
func (s *server) score() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.breaker.Score()
}

// patience is the time after which a missing answer speaks against the backend server.
func (s *server) patience(req *Request, given time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.overdueAfter(req.Route, given/2)
}

// learnLatency updates the usual time to an answer. It rises slowly, so that a backend server that turned slow does not
// become the measure of itself. The caller holds mu.
func (s *server) learnLatency(route string, latency time.Duration) {
	if _, known := s.work[route]; !known && len(s.work) >= maxKnownRoutes {
		clear(s.work)
	}
	s.work[route] = typicalLatency(s.work[route], float64(latency))
}

func typicalLatency(typical, sample float64) float64 {
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
	// maxKnownRoutes bounds the routes whose usual time is known.
	maxKnownRoutes = 256
	// leastWorkShare of the usual time is needed to answer at all: most of the shorter requests end within it.
	leastWorkShare = 0.6
)

// expectedWork returns the usual time to an answer on a route; 0 where it is not known. The caller holds mu.
func (s *server) expectedWork(route string) time.Duration { return time.Duration(s.work[route]) }

// retryAfter tells when a refused request may find room.
func (s *server) retryAfter() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return min(max(s.gate.EstimateWait(), minRetryAfter), maxRetryAfter)
}

const (
	// minRetryAfter and maxRetryAfter bound the advice to callers when to come back, so that they neither return in a
	// busy loop nor stay away for long after a short overload.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// markLost takes the backend server out until its next announcement.
func (s *server) markLost() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost = true
	s.applyState()
}

// applyState passes the state to the admission gate and answers the requests that it refuses. The caller holds mu.
func (s *server) applyState() {
	refusals := s.gate.SetState(s.clock(), s.state())
	s.deliverRefusals(refusals)
}

// state returns the state that counts most. The caller holds mu.
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

// rampTime bounds the time for which a new instance may be slow without being judged.
const rampTime = 10 * time.Second

// warming tells whether the current instance is still in its first ramp. A later ramp, after slowness, is no excuse.
func (s *server) warming() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.gate.Load()
	s.warm = s.warm || l.Effective >= l.Slots || s.clock() >= s.warmBy
	return !s.warm
}

func (s *server) load() admission.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.Load()
}

// acquire waits for a slot until the deadline.
func (s *server) acquire(ctx context.Context, req *Request, weight float64) (*slot, admission.Reason) {
	now := s.clock()
	deadline := now + time.Until(req.Deadline)
	s.mu.Lock()
	admitted, trial := s.breaker.Admit(now, outlier.BreakerRequest{MayFail: req.MayFail, Forced: req.Forced})
	if !admitted {
		reason := s.refuseDoubtful(req.Entry)
		s.mu.Unlock()
		return nil, admission.Reason(reason)
	}
	work := s.expectedWork(req.Route)
	offer := admission.Request{
		Team: req.Team, Weight: weight, Depth: req.Depth, Priority: req.Priority, Deadline: deadline,
		ExpectedDuration: time.Duration(leastWorkShare * float64(work)),
	}
	if !req.Objective.IsZero() {
		offer.Objective = max(now+time.Until(req.Objective)-work, 1)
	}
	decision := s.gate.Offer(now, offer)
	s.deliverRefusals(decision.Displaced)
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

// await waits for a grant. The queue's own limits come from Expire, which each waiter calls when its time is up.
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

// expireQueue refuses requests that waited too long, starts those that waited for the rate of a cold backend server, and
// returns the time until the next one is due.
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

// endTrial ends a trial of the breaker where the request was one. The caller holds mu.
func (s *server) endTrial(trial bool) {
	if trial {
		s.breaker.TrialEnded()
	}
}

// abandon gives up a queued request whose caller left. A slot that was granted meanwhile is given back.
func (s *server) abandon(held *slot, result chan waitResult) admission.Reason {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiting, held.ticket)
	s.endTrial(held.trial)
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

// release ends the use of a slot.
func (h *slot) release(latency time.Duration, result admission.Result) {
	s := h.server
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endTrial(h.trial)
	switch result {
	case admission.Succeeded:
		s.observe(false, "answered")
		s.learnLatency(h.route, latency)
	case admission.Failed:
		s.observe(true, "failed")
	}
	s.deliverGrants(s.gate.Done(s.clock(), h.ticket, latency, result))
}

// deliverGrants wakes the waiters. The caller holds mu.
func (s *server) deliverGrants(grants []admission.Grant) {
	for _, g := range grants {
		s.deliver(g.Ticket, waitResult{wait: g.Wait})
	}
}

// deliverRefusals wakes the waiters. The caller holds mu.
func (s *server) deliverRefusals(refusals []admission.Refusal) {
	for _, r := range refusals {
		s.deliver(r.Ticket, waitResult{refused: r.Reason})
	}
}

func (s *server) deliver(ticket admission.Ticket, r waitResult) {
	result, ok := s.waiting[ticket]
	if !ok {
		return
	}
	delete(s.waiting, ticket)
	result <- r
}
