package admission

import (
	"slices"
	"time"
)

// Gate is the admission control of one backend server.
type Gate struct {
	cfg      Config
	state    State
	instance string
	limit    concurrencyLimit
	loads    rankLoads

	lastTicket Ticket
	running    map[Ticket]runningRequest
	// inFlight is the number of running requests at each level.
	inFlight []int
	// heldBytes is the sum of the bodies of the running requests.
	heldBytes int64
	waiting   map[Ticket]*waiter
	// queues holds one queue for each level. Requests at deeper levels start first.
	queues      []*priorityQueue
	coldLimiter coldRateLimiter
	// late estimates the rate of late starts at each level. lastReview is when reviewLate last ran.
	late       []lateStartRate
	lastReview time.Duration
	// expired holds requests that grant found expired. The next Expire returns them.
	expired []Refusal
	// failedUntil holds, for each request that ended early with a failure, the time at which it would usually have ended.
	// Only a gate with the adaptive limit keeps it.
	failedUntil []time.Duration
}

// runningRequest is an admitted request that has not ended.
type runningRequest struct {
	depth    int
	start    startMark
	priority int
	bytes    int64
}

// NewGate returns a Gate for a cold backend server in state Serving.
func NewGate(cfg Config) *Gate {
	cfg = cfg.withDefaults()
	g := &Gate{
		cfg:         cfg,
		limit:       newLimit(cfg),
		running:     make(map[Ticket]runningRequest),
		waiting:     make(map[Ticket]*waiter),
		inFlight:    make([]int, cfg.NestedLevels+1),
		queues:      newPriorityQueues(cfg.NestedLevels + 1),
		coldLimiter: coldRateLimiter{perSecond: cfg.ColdRate},
		late:        make([]lateStartRate, cfg.NestedLevels+1),
	}
	return g
}

// Offer admits, queues or refuses a request.
func (g *Gate) Offer(now time.Duration, r Request) Decision {
	if reason := g.state.refusalReason(); reason != ReasonNone {
		return refuse(reason)
	}
	if r.Deadline != 0 && now >= r.Deadline {
		return refuse(ReasonDeadline)
	}
	if r.Deadline != 0 && now+r.ExpectedDuration >= r.Deadline {
		return refuse(ReasonHopeless)
	}
	if g.cfg.HeldBytes > 0 && r.Bytes > g.cfg.HeldBytes {
		return refuse(ReasonTooLarge)
	}
	g.limit.advance(now, len(g.running))
	level := g.level(r.Depth)
	if g.mayOvertake(level, r.Bytes) && g.fits(r.Bytes) && g.hasFreeSlot(level) && g.coldLimiter.next(now) <= now {
		ticket := g.newTicket()
		g.start(now, ticket, runningRequest{depth: r.Depth, priority: r.Priority, bytes: r.Bytes}, r.ExpectedCost)
		return Decision{Verdict: Admitted, Ticket: ticket}
	}
	if r.NoWait {
		return refuse(ReasonFull)
	}
	// A call nested deeper than the reserved levels could wait for a slot that its own ancestor holds.
	if r.Depth > g.cfg.NestedLevels {
		return refuse(ReasonNested)
	}
	return g.enqueue(now, r, level)
}

// enqueue queues a request unless its team already fills its share of the queue. In a full queue, the request
// displaces a less urgent one, or one equally urgent from the team with the most queued requests for its weight, so
// that a few teams cannot occupy the whole queue.
func (g *Gate) enqueue(now time.Duration, r Request, level int) Decision {
	q := g.queues[level]
	if q.teamSize(r.Team) >= g.cfg.maxQueuedPerTeam() {
		return refuse(ReasonTeamShare)
	}
	if r.Deadline != 0 && g.estimateStart(now, r, level)+r.ExpectedDuration >= r.Deadline {
		return refuse(r.lateReason())
	}
	if g.cfg.Adaptive && g.wouldStartLate(now, q, &r) {
		return refuse(ReasonHopeless)
	}
	var displaced []Refusal
	if q.size >= g.cfg.QueueLength {
		victim := q.displacementCandidate(r.Priority, r.Team, r.weight())
		if victim == nil {
			return refuse(ReasonQueueFull)
		}
		q.remove(victim)
		delete(g.waiting, victim.ticket)
		displaced = []Refusal{{Ticket: victim.ticket, Reason: ReasonDisplaced}}
	}
	w := &waiter{
		ticket:       g.newTicket(),
		team:         r.Team,
		weight:       r.weight(),
		priority:     r.Priority,
		objective:    r.Objective,
		depth:        level,
		queuedAt:     now,
		expiresAt:    now + g.cfg.MaxWait,
		expiryReason: ReasonMaxWait,
		expectedCost: r.ExpectedCost,
		bytes:        r.Bytes,
	}
	if last := r.Deadline - r.ExpectedDuration; r.Deadline != 0 && last < w.expiresAt {
		w.expiresAt = last
		w.expiryReason = r.lateReason()
	}
	q.push(w)
	g.waiting[w.ticket] = w
	return Decision{Verdict: Queued, Ticket: w.ticket, Displaced: displaced}
}

// Done ends an admitted request and returns the queued requests that start now. An unknown ticket has no effect.
func (g *Gate) Done(now time.Duration, ticket Ticket, latency time.Duration, result Result) []Grant {
	r, ok := g.running[ticket]
	if !ok {
		return nil
	}
	g.limit.advance(now, len(g.running))
	delete(g.running, ticket)
	g.heldBytes -= r.bytes
	g.inFlight[g.level(r.depth)]--
	g.limit.ended(now, r.start, latency, result)
	g.recordEarlyFailure(now, latency, result)
	if result != Cancelled && result != Overloaded {
		g.loads.record(now, r.priority, latency)
	}
	return g.grant(now)
}

// Cancel ends a queued or admitted request whose caller disconnected, and returns the queued requests that start now.
// An unknown ticket has no effect.
func (g *Gate) Cancel(now time.Duration, ticket Ticket) []Grant {
	g.expired = slices.DeleteFunc(g.expired, func(r Refusal) bool { return r.Ticket == ticket })
	w, ok := g.waiting[ticket]
	if !ok {
		return g.Done(now, ticket, 0, Cancelled)
	}
	delete(g.waiting, ticket)
	g.queues[w.depth].remove(w)
	if g.cfg.HeldBytes > 0 {
		return g.grant(now) // the others may have waited only for the bytes of this one
	}
	return nil
}

// Expire refuses the queued requests that have waited for their maximum time or can no longer finish before their
// deadline, and the late ones that are not expected to start in time. Call it at the time that NextExpiry returns, or
// more often.
func (g *Gate) Expire(now time.Duration) []Refusal {
	refusals := g.expired
	g.expired = nil
	for _, q := range g.queues {
		for _, w := range q.all() {
			if now < w.expiresAt {
				continue
			}
			q.remove(w)
			delete(g.waiting, w.ticket)
			refusals = append(refusals, Refusal{Ticket: w.ticket, Reason: w.expiryReason})
		}
	}
	return append(refusals, g.reviewLate(now)...)
}

// NextExpiry returns the time at which Expire must be called next, and false when no request is queued or left to
// report.
func (g *Gate) NextExpiry() (time.Duration, bool) {
	if len(g.expired) > 0 {
		return 0, true
	}
	next, ok := time.Duration(0), false
	for _, w := range g.waiting {
		if at := min(w.expiresAt, g.nextReview(w)); !ok || at < next {
			next, ok = at, true
		}
	}
	return next, ok
}

// SetState changes the state of the backend server. Every state but Serving refuses all queued requests. A return
// from Ejected or Lost to Serving restarts the ramp.
func (g *Gate) SetState(_ time.Duration, state State) []Refusal {
	previous := g.state
	g.state = state
	if state == Serving {
		if previous == Ejected || previous == Lost {
			g.limit.reset(true)
		}
		return nil
	}
	return g.RefuseQueued(state.refusalReason())
}

// RefuseQueued refuses all queued requests for a reason. Without it, the requests queued at a backend server that begins to
// fail each request at once would all start and fail within milliseconds.
func (g *Gate) RefuseQueued(reason Reason) []Refusal {
	refusals := g.expired
	g.expired = nil
	for level, q := range g.queues {
		for _, w := range q.all() {
			delete(g.waiting, w.ticket)
			refusals = append(refusals, Refusal{Ticket: w.ticket, Reason: reason})
		}
		g.queues[level] = &priorityQueue{}
	}
	return refusals
}

// Reconfigure applies new settings. Running requests continue even when they exceed the new number of slots. Queued
// requests keep their deadlines; those nested deeper than the new NestedLevels are refused.
func (g *Gate) Reconfigure(now time.Duration, cfg Config) ([]Grant, []Refusal) {
	former, previous := g.queues, g.cfg
	g.cfg = cfg.withDefaults()
	g.limit = reconfigured(g.limit, previous, g.cfg)
	g.coldLimiter.perSecond = g.cfg.ColdRate
	g.inFlight = make([]int, g.cfg.NestedLevels+1)
	for _, r := range g.running {
		g.inFlight[g.level(r.depth)]++
	}
	g.queues = newPriorityQueues(g.cfg.NestedLevels + 1)
	g.late = make([]lateStartRate, g.cfg.NestedLevels+1)
	var refusals []Refusal
	for _, q := range former {
		for _, w := range q.all() {
			if w.depth <= g.cfg.NestedLevels {
				g.queues[w.depth].push(w)
				continue
			}
			delete(g.waiting, w.ticket)
			refusals = append(refusals, Refusal{Ticket: w.ticket, Reason: ReasonNested})
		}
	}
	return g.grant(now), refusals
}

// SetColdUntil marks the backend server as cold until the given time. It has no effect unless Config.ColdRate is set.
func (g *Gate) SetColdUntil(until time.Duration) { g.coldLimiter.until = until }

// AssumeCold marks the backend server as cold for at least d, until the next call of SetColdUntil. It handles the load pattern in
// which a failure domain returns to service: its backend servers may have become cold, get the full load at once, and report that
// they are cold only with their next announcement. It has no effect unless Config.ColdRate is set.
func (g *Gate) AssumeCold(now, d time.Duration) {
	g.coldLimiter.until = max(g.coldLimiter.until, now+d)
}

// Grant starts the queued requests that have a free slot and that the rate limit of a cold backend server allows.
// Call it at the time that NextGrant returns.
func (g *Gate) Grant(now time.Duration) []Grant {
	g.limit.advance(now, len(g.running))
	return g.grant(now)
}

// NextGrant returns the time at which the rate limit of a cold backend server allows the next start, and false when
// no queued request has a free slot.
func (g *Gate) NextGrant(now time.Duration) (time.Duration, bool) {
	next := g.coldLimiter.next(now)
	for level, q := range g.queues {
		if g.startable(q) != nil && g.hasFreeSlot(level) {
			return next, true
		}
	}
	return 0, false
}

// EstimateWait estimates the queueing time of a new request from the number of queued requests, as if all had one
// priority.
func (g *Gate) EstimateWait() time.Duration {
	waiting := len(g.waiting)
	if len(g.running) < g.limit.slotsInUse() && waiting == 0 {
		return 0
	}
	return g.limit.estimateWait(waiting + 1)
}

// SetInstance records the instance ID of the backend server. A new ID means a restart of the server, which is cold
// again.
func (g *Gate) SetInstance(instance string) {
	if instance == g.instance {
		return
	}
	g.instance = instance
	g.limit.reset(false)
}

// TakeLimitChanges returns the changes of the concurrency limit since the last call. The ramp reports none.
func (g *Gate) TakeLimitChanges() []LimitChange { return g.limit.takeChanges() }

// Load returns the current load.
func (g *Gate) Load() Load {
	return Load{
		InFlight:  len(g.running),
		Effective: g.limit.slotsInUse(),
		Queued:    len(g.waiting),
		Slots:     g.cfg.Slots,
		State:     g.state,
	}
}

// grant starts queued requests while slots are free and the rate limit of a cold backend server allows, deeper levels
// first.
func (g *Gate) grant(now time.Duration) []Grant {
	var grants []Grant
	for level := g.cfg.NestedLevels; level >= 0; level-- {
		q := g.queues[level]
		for q.size > 0 && g.hasFreeSlot(level) && g.coldLimiter.next(now) <= now {
			g.demoteLate(now, level)
			w := g.startable(q)
			if w == nil {
				break
			}
			if now >= w.expiresAt {
				q.remove(w)
				delete(g.waiting, w.ticket)
				g.expired = append(g.expired, Refusal{Ticket: w.ticket, Reason: w.expiryReason})
				continue
			}
			if w == q.next() {
				q.pop()
			} else {
				q.remove(w)
			}
			delete(g.waiting, w.ticket)
			if w.late {
				g.late[level].recordStart(now)
			}
			g.start(now, w.ticket, runningRequest{depth: w.depth, priority: w.priority, bytes: w.bytes}, w.expectedCost)
			grants = append(grants, Grant{Ticket: w.ticket, Wait: now - w.queuedAt})
		}
	}
	return grants
}

func (g *Gate) start(now time.Duration, ticket Ticket, r runningRequest, cost time.Duration) {
	g.coldLimiter.start(now)
	g.limit.advance(now, len(g.running))
	r.start = g.limit.started(cost, len(g.running)+1)
	g.running[ticket] = r
	g.heldBytes += r.bytes
	g.inFlight[g.level(r.depth)]++
}

// level returns the index into inFlight and queues for a nesting depth. Calls nested deeper than the reserved levels
// share the last one.
func (g *Gate) level(depth int) int {
	return min(max(depth, 0), g.cfg.NestedLevels)
}

// hasFreeSlot reports whether a request at the level may start. The requests up to a level leave one slot free for
// each deeper reserved level, so that a nested call never waits for its own ancestors.
func (g *Gate) hasFreeSlot(level int) bool {
	inFlight := 0
	for l, n := range g.inFlight {
		inFlight += n
		if l >= level && inFlight >= g.capacity(l) {
			return false
		}
	}
	return true
}

// capacity returns the number of requests at levels 0 to level that may run at once. Requests at level 0 always have
// one slot, because a cold backend server would never warm up otherwise; the reserved slots are added to it.
func (g *Gate) capacity(level int) int {
	newWork := max(g.limit.slotsInUse()-g.cfg.NestedLevels, 1)
	return newWork + level
}

func (g *Gate) newTicket() Ticket {
	g.lastTicket++
	return g.lastTicket
}

// lateReason returns the reason for refusing the request when it has run out of time. With a known expected duration
// this happens before the deadline, so the reason is ReasonHopeless.
func (r Request) lateReason() Reason {
	if r.ExpectedDuration > 0 {
		return ReasonHopeless
	}
	return ReasonDeadline
}

func (r Request) weight() float64 {
	if r.Weight > 0 {
		return r.Weight
	}
	return 1
}

func refuse(reason Reason) Decision {
	return Decision{Verdict: Refused, Reason: reason}
}
