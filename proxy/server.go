package proxy

import (
	"context"
	"sync"
	"time"

	"rosemaryline.dev/admission"
	"rosemaryline.dev/fleet/config"
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
	waiting  map[admission.Ticket]chan waitResult
	// running holds the repeatable requests that wait for an answer.
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
}

func newServer(a Announcement, settings config.Service, clock Clock) *server {
	slots := announcedSlots(a, settings)
	s := &server{
		name:    a.Name,
		service: a.Service,
		clock:   clock,
		client:  newClient(settings.Connections, slots, settings.ConnectTimeout.Std(), nil),
		slots:   slots,
		waiting: map[admission.Ticket]chan waitResult{},
		running: map[*runningRequest]struct{}{},
		cfg:     admissionConfig(settings, slots),
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
	fresh = a.Instance != s.instance
	if fresh {
		s.warm = false
		s.warmBy = s.clock() + rampTime
		s.instance = a.Instance
		s.gate.SetInstance(a.Instance)
		s.client.closeIdle()
	}
	s.address = a.Address
	s.draining = a.Draining
	s.lost = false
	s.lapsesAt = s.clock() + announcementTTL
	s.applyState()
	return fresh
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
		return s.lost
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

// runningRequest is a repeatable request that waits for an answer.
type runningRequest struct {
	cancel context.CancelFunc
	gaveUp bool // guarded by the server's mu
}

// watch makes a request known that may be given up.
func (s *server) watch(cancel context.CancelFunc) *runningRequest {
	r := &runningRequest{cancel: cancel}
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
		r.gaveUp = true
		r.cancel()
	}
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
	decision := s.gate.Offer(now, admission.Request{Team: req.Team, Weight: weight, Depth: req.Depth, Deadline: deadline})
	s.deliverRefusals(decision.Displaced)
	if decision.Verdict == admission.Refused {
		s.mu.Unlock()
		return nil, decision.Reason
	}
	held := &slot{server: s, ticket: decision.Ticket}
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

// expireQueue refuses requests that waited too long and returns the time until the next one is due.
func (s *server) expireQueue() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	s.deliverRefusals(s.gate.Expire(now))
	next, ok := s.gate.NextExpiry()
	if !ok {
		return admission.DefaultMaxWait
	}
	return max(next-now, time.Millisecond)
}

// abandon gives up a queued request whose caller left. A slot that was granted meanwhile is given back.
func (s *server) abandon(held *slot, result chan waitResult) admission.Reason {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiting, held.ticket)
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
