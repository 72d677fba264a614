package admission

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.steps": "150", "rapid.checks": "1000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// modelWaiter is a queued request in the model.
type modelWaiter struct {
	team      string
	level     int
	expiresAt time.Duration
	// ahead is the number of requests of the same team that were queued before it.
	ahead int
	// overtaken counts the grants to each other team since the request was queued.
	overtaken map[string]int
}

// model is the test oracle for one Gate.
type model struct {
	cfg     Config
	gate    *Gate
	now     time.Duration
	waiting map[Ticket]*modelWaiter
	// expiring holds the requests that the gate found expired and that Expire has not yet returned.
	expiring map[Ticket]bool
	running  map[Ticket]int
	ended    map[Ticket]bool
	state    State
}

func drawConfig(t *rapid.T) Config {
	return Config{
		Slots:            rapid.IntRange(1, 6).Draw(t, "slots"),
		NestedLevels:     rapid.IntRange(0, 2).Draw(t, "nested"),
		SuccessesPerSlot: rapid.IntRange(1, 3).Draw(t, "successes"),
		QueueLength:      rapid.IntRange(1, 12).Draw(t, "queue"),
		TeamPercent:      rapid.IntRange(10, 100).Draw(t, "share"),
		MaxWait:          200 * time.Millisecond,
	}
}

func newModel(t *rapid.T) *model {
	cfg := drawConfig(t)
	return &model{
		cfg:      cfg.withDefaults(),
		gate:     NewGate(cfg),
		waiting:  make(map[Ticket]*modelWaiter),
		running:  make(map[Ticket]int),
		expiring: make(map[Ticket]bool),
		ended:    make(map[Ticket]bool),
	}
}

func (m *model) offer(t *rapid.T, r Request) {
	level := min(r.Depth, m.cfg.NestedLevels)
	queued := m.queued(level)
	d := m.gate.Offer(m.now, r)
	m.refuse(t, d.Displaced)
	switch d.Verdict {
	case Admitted:
		if r.Deadline != 0 && m.now >= r.Deadline {
			t.Fatal("admitted after the deadline")
		}
		m.start(t, d.Ticket, r.Depth)
	case Queued:
		w := &modelWaiter{team: r.Team, level: level, expiresAt: m.now + m.cfg.MaxWait, overtaken: make(map[string]int)}
		if r.Deadline != 0 {
			w.expiresAt = min(w.expiresAt, r.Deadline)
		}
		for _, other := range m.waiting {
			if other.team == r.Team && other.level == level {
				w.ahead++
			}
		}
		if w.ahead >= m.cfg.maxQueuedPerTeam() {
			t.Fatalf("team %s has more than its share of the queue", r.Team)
		}
		m.waiting[d.Ticket] = w
		if n := m.queued(level); n > max(m.cfg.QueueLength, queued) {
			t.Fatalf("queue of %d is longer than %d", n, m.cfg.QueueLength)
		}
	case Refused:
		if d.Reason == ReasonNone {
			t.Fatal("refused without a reason")
		}
	}
	if m.state != Serving && d.Verdict != Refused {
		t.Fatalf("a request was accepted in state %d", m.state)
	}
}

// queued returns the number of waiters at a level.
func (m *model) queued(level int) int {
	n := 0
	for _, w := range m.waiting {
		if w.level == level {
			n++
		}
	}
	return n
}

// start records a start and checks the limit of slots. The limit holds for starts only, because running requests
// continue after a Reconfigure to fewer slots.
func (m *model) start(t *rapid.T, ticket Ticket, depth int) {
	if m.ended[ticket] {
		t.Fatal("started after a refusal")
	}
	m.running[ticket] = depth
	if len(m.running) > m.cfg.Slots {
		t.Fatalf("%d requests in %d slots", len(m.running), m.cfg.Slots)
	}
	newWork := 0
	for _, depth := range m.running {
		if depth == 0 {
			newWork++
		}
	}
	if depth == 0 && newWork > m.cfg.Slots-m.cfg.NestedLevels {
		t.Fatalf("requests at depth 0 have %d of %d slots", newWork, m.cfg.Slots)
	}
}

// granted checks the deadlines and the fairness of grants: while a request is queued with n requests of its own team
// before it, each other team gets at most n+1 grants.
func (m *model) granted(t *rapid.T, grants []Grant) {
	for _, g := range grants {
		w := m.waiting[g.Ticket]
		if w == nil {
			t.Fatal("granted a request that is not queued")
		}
		if m.now >= w.expiresAt {
			t.Fatalf("granted %v after the deadline", m.now-w.expiresAt)
		}
		delete(m.waiting, g.Ticket)
		m.start(t, g.Ticket, w.level)
		for _, other := range m.waiting {
			if other.level != w.level || other.team == w.team || m.now >= other.expiresAt {
				continue
			}
			other.overtaken[w.team]++
			if other.overtaken[w.team] > other.ahead+1 {
				t.Fatalf("team %s was served %d times before a request with %d ahead", w.team, other.overtaken[w.team],
					other.ahead)
			}
		}
	}
}

func (m *model) refuse(t *rapid.T, refusals []Refusal) {
	for _, r := range refusals {
		if m.waiting[r.Ticket] == nil && !m.expiring[r.Ticket] {
			t.Fatal("refused a request that is not queued")
		}
		delete(m.waiting, r.Ticket)
		delete(m.expiring, r.Ticket)
		m.ended[r.Ticket] = true
	}
}

// collectExpired moves the waiters that the gate found expired from waiting to expiring.
func (m *model) collectExpired(t *rapid.T) {
	for _, r := range m.gate.expired {
		w := m.waiting[r.Ticket]
		if w == nil {
			continue
		}
		if m.now < w.expiresAt {
			t.Fatal("expired before the deadline")
		}
		delete(m.waiting, r.Ticket)
		m.expiring[r.Ticket] = true
	}
}

// check compares the gate with the model after every step.
func (m *model) check(t *rapid.T) {
	load := m.gate.Load()
	if load.InFlight != len(m.running) || load.Queued != len(m.waiting) {
		t.Fatalf("load %+v, want %d in flight and %d queued", load, len(m.running), len(m.waiting))
	}
	for level, q := range m.gate.queues {
		if q.size > 0 && m.gate.hasFreeSlot(level) {
			t.Fatal("a request is queued although a slot is free")
		}
	}
}

// TestGateAgainstModel guards against more requests in flight than slots, grants after the deadline, queued requests
// that are never ended, starts of refused requests, and unfair turns among the teams.
func TestGateAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		running := func(t *rapid.T) Ticket {
			for ticket := range m.gate.lastTicket + 1 {
				if _, ok := m.running[ticket]; ok {
					return ticket
				}
			}
			t.Skip("nothing runs")
			return 0
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				for range rapid.IntRange(1, 8).Draw(t, "count") {
					r := Request{
						Team:  rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team"),
						Depth: max(rapid.IntRange(-4, 3).Draw(t, "depth"), 0),
					}
					if rapid.Bool().Draw(t, "deadline") {
						r.Deadline = m.now + time.Duration(rapid.IntRange(-5, 300).Draw(t, "ms"))*time.Millisecond
					}
					m.offer(t, r)
				}
			},
			"done": func(t *rapid.T) {
				ticket := running(t)
				delete(m.running, ticket)
				m.ended[ticket] = true
				latency := time.Duration(rapid.SampledFrom([]int{1, 2, 20}).Draw(t, "ms")) * time.Millisecond
				result := rapid.SampledFrom([]Result{Succeeded, Succeeded, Succeeded, Failed, Overloaded, Cancelled})
				m.granted(t, m.gate.Done(m.now, ticket, latency, result.Draw(t, "result")))
				m.collectExpired(t)
				if m.gate.Done(m.now, ticket, latency, Succeeded) != nil {
					t.Fatal("a second Done of one ticket had an effect")
				}
			},
			"cancel": func(t *rapid.T) {
				if m.gate.lastTicket == 0 {
					t.Skip("no ticket yet")
				}
				ticket := Ticket(rapid.Uint64Range(1, uint64(m.gate.lastTicket)).Draw(t, "ticket"))
				delete(m.running, ticket)
				delete(m.waiting, ticket)
				m.ended[ticket] = true
				delete(m.expiring, ticket)
				m.granted(t, m.gate.Cancel(m.now, ticket))
				m.collectExpired(t)
			},
			"advance": func(t *rapid.T) {
				m.now += time.Duration(rapid.IntRange(0, 120).Draw(t, "ms")) * time.Millisecond
			},
			"expire": func(t *rapid.T) {
				next, ok := m.gate.NextExpiry()
				m.refuse(t, m.gate.Expire(m.now))
				for _, w := range m.waiting {
					if m.now >= w.expiresAt {
						t.Fatal("a request is queued past its deadline")
					}
					if !ok || next > w.expiresAt {
						t.Fatal("NextExpiry is too late")
					}
				}
			},
			"state": func(t *rapid.T) {
				m.state = rapid.SampledFrom([]State{Serving, Serving, Serving, Draining, Ejected, Lost}).Draw(t, "state")
				m.refuse(t, m.gate.SetState(m.now, m.state))
				if m.state != Serving && len(m.waiting)+len(m.expiring) > 0 {
					t.Fatal("a request is queued for a backend server that accepts none")
				}
			},
			"reconfigure": func(t *rapid.T) {
				if rapid.IntRange(0, 3).Draw(t, "rare") > 0 {
					return
				}
				cfg := drawConfig(t)
				m.cfg = cfg.withDefaults()
				grants, refusals := m.gate.Reconfigure(m.now, cfg)
				m.refuse(t, refusals)
				m.collectExpired(t)
				for _, w := range m.waiting {
					clear(w.overtaken) // Reconfigure builds new queues, so the turns restart
				}
				m.granted(t, grants)
			},
			"instance": func(t *rapid.T) {
				m.gate.SetInstance(fmt.Sprint(rapid.IntRange(0, 1).Draw(t, "instance")))
			},
			"": m.check,
		})
	})
}
