package admission

import (
	"slices"
	"time"
)

// Gate admits requests to one backend server.
type Gate struct {
	cfg      Config
	state    State
	instance string
	ramp     ramp

	lastTicket Ticket
	running    map[Ticket]run
	// inFlight counts the running requests for each level.
	inFlight []int
	waiting  map[Ticket]*waiter
	// queues has one queue for each level; deeper calls are served first.
	queues []*rankedQueue
	cold   coldRate
	// late has the rate of late starts of each level; reviewed is when late requests were looked at last.
	late     []lateDrain
	reviewed time.Duration
	// expired holds waiters that were found past their time and are reported by the next Expire.
	expired []Refusal
}

// run is an admitted request.
type run struct {
	depth int
	epoch uint32
}

// NewGate returns a Gate for a cold backend server.
func NewGate(cfg Config) *Gate {
	cfg = cfg.withDefaults()
	g := &Gate{
		cfg:      cfg,
		ramp:     newRamp(cfg),
		running:  make(map[Ticket]run),
		waiting:  make(map[Ticket]*waiter),
		inFlight: make([]int, cfg.NestedLevels+1),
		queues:   newRankedQueues(cfg.NestedLevels + 1),
		cold:     coldRate{perSecond: cfg.ColdRate},
		late:     make([]lateDrain, cfg.NestedLevels+1),
	}
	return g
}

// Offer admits, queues or refuses a request.
func (g *Gate) Offer(now time.Duration, r Request) Decision {
	if reason := g.state.reason(); reason != ReasonNone {
		return refuse(reason)
	}
	if r.Deadline != 0 && now >= r.Deadline {
		return refuse(ReasonDeadline)
	}
	if r.Deadline != 0 && now+r.Work >= r.Deadline {
		return refuse(ReasonHopeless)
	}
	level := g.level(r.Depth)
	if g.queues[level].size == 0 && g.free(level) && g.cold.next(now) <= now {
		ticket := g.newTicket()
		g.start(now, ticket, r.Depth)
		return Decision{Verdict: Admitted, Ticket: ticket}
	}
	// A call deeper than the reserved levels could wait on its own ancestors.
	if r.Depth > g.cfg.NestedLevels {
		return refuse(ReasonNested)
	}
	return g.enqueue(now, r, level)
}

// enqueue queues a request where its team's share has room. In a full queue it takes the place of the newest request of
// the team with the most requests for its weight, so that a few teams cannot keep the others out.
func (g *Gate) enqueue(now time.Duration, r Request, level int) Decision {
	q := g.queues[level]
	if q.teamSize(r.Team) >= g.cfg.teamLength() {
		return refuse(ReasonTeamShare)
	}
	if r.Deadline != 0 && g.startEstimate(now, r, level)+r.Work >= r.Deadline {
		return refuse(r.lateReason())
	}
	var displaced []Refusal
	if q.size >= g.cfg.QueueLength {
		victim := q.displaceable(r.Priority, r.Team, r.weight())
		if victim == nil {
			return refuse(ReasonQueueFull)
		}
		q.remove(victim)
		delete(g.waiting, victim.ticket)
		displaced = []Refusal{{Ticket: victim.ticket, Reason: ReasonDisplaced}}
	}
	w := &waiter{
		ticket:    g.newTicket(),
		team:      r.Team,
		weight:    r.weight(),
		priority:  r.Priority,
		objective: r.Objective,
		depth:     level,
		queuedAt:  now,
		expires:   now + g.cfg.MaxWait,
		reason:    ReasonMaxWait,
	}
	if last := r.Deadline - r.Work; r.Deadline != 0 && last < w.expires {
		w.expires = last
		w.reason = r.lateReason()
	}
	q.push(w)
	g.waiting[w.ticket] = w
	return Decision{Verdict: Queued, Ticket: w.ticket, Displaced: displaced}
}

// Done ends an admitted request and returns the queued requests that start now. An unknown ticket changes nothing.
func (g *Gate) Done(now time.Duration, ticket Ticket, latency time.Duration, result Result) []Grant {
	r, ok := g.running[ticket]
	if !ok {
		return nil
	}
	delete(g.running, ticket)
	g.inFlight[g.level(r.depth)]--
	g.ramp.observe(r.epoch, latency, result)
	return g.grant(now)
}

// Cancel ends a queued or admitted request whose caller left. An unknown ticket changes nothing.
func (g *Gate) Cancel(now time.Duration, ticket Ticket) []Grant {
	g.expired = slices.DeleteFunc(g.expired, func(r Refusal) bool { return r.Ticket == ticket })
	w, ok := g.waiting[ticket]
	if !ok {
		return g.Done(now, ticket, 0, Cancelled)
	}
	delete(g.waiting, ticket)
	g.queues[w.depth].remove(w)
	return nil
}

// Expire returns the queued requests whose time has passed. Call it at NextExpiry or more often.
func (g *Gate) Expire(now time.Duration) []Refusal {
	refusals := g.expired
	g.expired = nil
	for _, q := range g.queues {
		for _, w := range q.all() {
			if now < w.expires {
				continue
			}
			q.remove(w)
			delete(g.waiting, w.ticket)
			refusals = append(refusals, Refusal{Ticket: w.ticket, Reason: w.reason})
		}
	}
	return append(refusals, g.review(now)...)
}

// NextExpiry returns the time at which Expire has work, and false when it has none.
func (g *Gate) NextExpiry() (time.Duration, bool) {
	if len(g.expired) > 0 {
		return 0, true
	}
	next, ok := time.Duration(0), false
	for _, w := range g.waiting {
		if at := min(w.expires, g.nextReview(w)); !ok || at < next {
			next, ok = at, true
		}
	}
	return next, ok
}

// SetState changes whether the backend server takes work. Leaving Serving refuses every queued request. Returning from
// Ejected or Lost starts the ramp again.
func (g *Gate) SetState(_ time.Duration, state State) []Refusal {
	previous := g.state
	g.state = state
	if state == Serving {
		if previous == Ejected || previous == Lost {
			g.ramp.reset(true)
		}
		return nil
	}
	refusals := g.expired
	g.expired = nil
	for level, q := range g.queues {
		for _, w := range q.all() {
			delete(g.waiting, w.ticket)
			refusals = append(refusals, Refusal{Ticket: w.ticket, Reason: state.reason()})
		}
		g.queues[level] = &rankedQueue{}
	}
	return refusals
}

// Reconfigure puts new settings in force. Requests in flight go on, also where they exceed the new slots. Queued requests
// keep their deadlines; those that may no longer wait are refused.
func (g *Gate) Reconfigure(now time.Duration, cfg Config) ([]Grant, []Refusal) {
	former := g.queues
	g.cfg = cfg.withDefaults()
	g.ramp.configure(g.cfg)
	g.cold.perSecond = g.cfg.ColdRate
	g.inFlight = make([]int, g.cfg.NestedLevels+1)
	for _, r := range g.running {
		g.inFlight[g.level(r.depth)]++
	}
	g.queues = newRankedQueues(g.cfg.NestedLevels + 1)
	g.late = make([]lateDrain, g.cfg.NestedLevels+1)
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

// SetCold tells that the backend server is cold until a time. It has an effect where Config.ColdRate is set.
func (g *Gate) SetCold(until time.Duration) { g.cold.until = until }

// Grant starts the queued requests that may start now. Call it at NextGrant.
func (g *Gate) Grant(now time.Duration) []Grant { return g.grant(now) }

// NextGrant returns the time at which queued requests may start although none ends before, and false where none waits for
// the rate of a cold backend server.
func (g *Gate) NextGrant(now time.Duration) (time.Duration, bool) {
	next := g.cold.next(now)
	for level, q := range g.queues {
		if q.size > 0 && g.free(level) {
			return next, true
		}
	}
	return 0, false
}

// Wait estimates how long a new request of the most common priority would wait for its start.
func (g *Gate) Wait() time.Duration {
	waiting := len(g.waiting)
	if len(g.running) < g.ramp.effective && waiting == 0 {
		return 0
	}
	return g.ramp.wait(waiting + 1)
}

// SetInstance records the backend server's instance id. A new id is a cold start.
func (g *Gate) SetInstance(instance string) {
	if instance == g.instance {
		return
	}
	g.instance = instance
	g.ramp.reset(false)
}

// Load returns the current load.
func (g *Gate) Load() Load {
	return Load{
		InFlight:  len(g.running),
		Effective: g.ramp.effective,
		Queued:    len(g.waiting),
		Slots:     g.cfg.Slots,
		State:     g.state,
	}
}

// grant starts queued requests while slots are free, deeper calls first.
func (g *Gate) grant(now time.Duration) []Grant {
	var grants []Grant
	for level := g.cfg.NestedLevels; level >= 0; level-- {
		q := g.queues[level]
		for q.size > 0 && g.free(level) && g.cold.next(now) <= now {
			g.demote(now, level)
			w := q.next()
			if now >= w.expires {
				q.remove(w)
				delete(g.waiting, w.ticket)
				g.expired = append(g.expired, Refusal{Ticket: w.ticket, Reason: w.reason})
				continue
			}
			q.pop()
			delete(g.waiting, w.ticket)
			if w.late {
				g.late[level].started(now)
			}
			g.start(now, w.ticket, w.depth)
			grants = append(grants, Grant{Ticket: w.ticket, Wait: now - w.queuedAt})
		}
	}
	return grants
}

func (g *Gate) start(now time.Duration, ticket Ticket, depth int) {
	g.cold.start(now)
	g.running[ticket] = run{depth: depth, epoch: g.ramp.epoch}
	g.inFlight[g.level(depth)]++
}

// level is the class of a call depth: calls deeper than the reserved levels share the deepest one.
func (g *Gate) level(depth int) int {
	return min(max(depth, 0), g.cfg.NestedLevels)
}

// free reports whether a request of the level may start. Requests up to each level leave one slot for every deeper
// reserved level, so a nested call never waits for its own ancestors.
func (g *Gate) free(level int) bool {
	inFlight := 0
	for l, n := range g.inFlight {
		inFlight += n
		if l >= level && inFlight >= g.capacity(l) {
			return false
		}
	}
	return true
}

// capacity is the number of requests of the level and below that may run at once. New work always has one slot, else a
// cold backend server would never warm up; the reserved slots come on top of it.
func (g *Gate) capacity(level int) int {
	newWork := max(g.ramp.effective-g.cfg.NestedLevels, 1)
	return newWork + level
}

func (g *Gate) newTicket() Ticket {
	g.lastTicket++
	return g.lastTicket
}

// lateReason is the reason of a refusal for want of time. With an expected time of work it comes before the deadline.
func (r Request) lateReason() Reason {
	if r.Work > 0 {
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
