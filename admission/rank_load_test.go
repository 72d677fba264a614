package admission

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// loadClass is one kind of request of a simulated load: requests of a priority that arrive at regular intervals.
type loadClass struct {
	priority            int
	perSecond           float64
	hold                time.Duration
	objective, deadline time.Duration

	offered, ended, inTime int
	// held holds, for each refused request, the time from its arrival to its refusal.
	held []time.Duration
}

// simulateClasses offers the classes to a backend server with 5 slots for 10 s.
func simulateClasses(classes []*loadClass) {
	simulateClassesAt(NewGate(Config{Slots: 5, InitialSlots: 5, QueueLength: 1000, TeamPercent: 100, MaxWait: time.Minute, ColdRate: 1000}), classes)
}

func simulateClassesAt(g *Gate, classes []*loadClass) {
	const length, step = 10 * time.Second, 2 * time.Millisecond
	type request struct {
		class          *loadClass
		arrived, since time.Duration
	}
	waiting, running := map[Ticket]request{}, map[Ticket]request{}
	next := make([]time.Duration, len(classes))
	start := func(now time.Duration, ticket Ticket, r request) {
		r.since = now
		running[ticket] = r
	}
	for now := time.Duration(0); now < length; now += step {
		for _, ticket := range sortedTickets(running) {
			r := running[ticket]
			if now-r.since < r.class.hold {
				continue
			}
			delete(running, ticket)
			r.class.ended++
			if now-r.arrived <= r.class.objective {
				r.class.inTime++
			}
			for _, granted := range g.Done(now, ticket, r.class.hold, Succeeded) {
				start(now, granted.Ticket, waiting[granted.Ticket])
			}
		}
		for i, c := range classes {
			for ; next[i] <= now; next[i] += time.Duration(float64(time.Second) / c.perSecond) {
				c.offered++
				d := g.Offer(now, Request{Team: "t", Priority: c.priority, Deadline: now + c.deadline,
					Objective: now + c.objective - c.hold, ExpectedDuration: c.hold * 6 / 10})
				switch d.Verdict {
				case Admitted:
					start(now, d.Ticket, request{class: c, arrived: now})
				case Queued:
					waiting[d.Ticket] = request{class: c, arrived: now}
				default:
					c.held = append(c.held, 0)
				}
			}
		}
		for _, refused := range g.Expire(now) {
			r := waiting[refused.Ticket]
			r.class.held = append(r.class.held, now-r.arrived)
		}
	}
	for _, c := range classes {
		slices.Sort(c.held)
	}
}

func sortedTickets[V any](m map[Ticket]V) []Ticket {
	tickets := make([]Ticket, 0, len(m))
	for ticket := range m {
		tickets = append(tickets, ticket)
	}
	slices.Sort(tickets)
	return tickets
}

// TestOvertakenRequestsAreRefusedAtOnce guards against less urgent requests that are queued with a short estimated wait and
// refused late, because more urgent ones keep overtaking them. Load pattern: short urgent requests use four of five slots,
// and long less urgent ones ask for as much again, for seconds. At most an eighth of the time to the objective may pass until
// half of the refusals; the less urgent requests still use the slots that are left.
func TestOvertakenRequestsAreRefusedAtOnce(t *testing.T) {
	for _, test := range []struct {
		desc         string
		urgent, less loadClass
		lessEnded    int
	}{
		{
			desc:      "short calls before long requests",
			urgent:    loadClass{priority: BackendCallPriority(1), perSecond: 50, hold: 80 * time.Millisecond, objective: 300 * time.Millisecond, deadline: time.Second},
			less:      loadClass{priority: RequestPriority(2, 2), perSecond: 6, hold: 780 * time.Millisecond, objective: 2 * time.Second, deadline: 5 * time.Second},
			lessEnded: 9,
		},
		{
			desc:      "long requests before short ones",
			urgent:    loadClass{priority: RequestPriority(0, 0), perSecond: 5, hold: 800 * time.Millisecond, objective: 2500 * time.Millisecond, deadline: 12 * time.Second},
			less:      loadClass{priority: RequestPriority(1, 1), perSecond: 20, hold: 150 * time.Millisecond, objective: 1200 * time.Millisecond, deadline: 3 * time.Second},
			lessEnded: 50,
		},
	} {
		t.Run(test.desc, func(t *testing.T) {
			urgent, less := test.urgent, test.less
			simulateClasses([]*loadClass{&urgent, &less})
			assert.Assert(t, float64(urgent.inTime) > 0.9*float64(urgent.offered), "urgent: %d of %d in time", urgent.inTime, urgent.offered)
			assert.Assert(t, less.ended >= test.lessEnded, "less urgent: %d of %d ended", less.ended, less.offered)
			median := less.held[len(less.held)/2]
			assert.Assert(t, median <= less.objective/8, "half of %d refusals came after %s or later", len(less.held), median)
		})
	}
}

// TestLoadBelowCapacityRefusesNothing guards against estimates that refuse requests while the load is below the capacity.
func TestLoadBelowCapacityRefusesNothing(t *testing.T) {
	urgent := loadClass{priority: RequestPriority(0, 0), perSecond: 5, hold: 400 * time.Millisecond, objective: time.Second, deadline: 3 * time.Second}
	less := loadClass{priority: RequestPriority(2, 2), perSecond: 3, hold: 800 * time.Millisecond, objective: 2 * time.Second, deadline: 5 * time.Second}
	simulateClasses([]*loadClass{&urgent, &less})
	assert.Equal(t, len(urgent.held)+len(less.held), 0)
	assert.Assert(t, less.ended >= less.offered-5, "%d of %d ended", less.ended, less.offered)
}

// TestSlotsAreOfferedAgainAfterUrgentLoad guards against refusals that go on after the urgent requests have ended.
func TestSlotsAreOfferedAgainAfterUrgentLoad(t *testing.T) {
	var l rankLoads
	for now := time.Duration(0); now <= 2*time.Second; now += 20 * time.Millisecond {
		l.record(now, 0, 100*time.Millisecond)
	}
	assert.Assert(t, l.remainingSlots(2*time.Second, 1, 5) < 0.8)
	assert.Assert(t, l.remainingSlots(4*time.Second, 1, 5) > 4)
	assert.Equal(t, l.remainingSlots(2*time.Second, 0, 5), 5.0)
}

// TestRoutesOrderRequestsOfOneTeamPriority guards against an urgent route that starves behind the calls of a less urgent one,
// because both belong to teams of one priority. Load pattern: one service at 1.3 times its capacity, two thirds of it calls for
// requests of the less urgent route.
func TestRoutesOrderRequestsOfOneTeamPriority(t *testing.T) {
	approval := loadClass{priority: RequestPriority(1, 0), perSecond: 4, hold: 590 * time.Millisecond, objective: 1500 * time.Millisecond, deadline: 12 * time.Second}
	call := loadClass{priority: BackendCallPriority(1), perSecond: 20, hold: 210 * time.Millisecond, objective: 800 * time.Millisecond, deadline: 2500 * time.Millisecond}
	preview := loadClass{priority: RequestPriority(1, 2), perSecond: 1, hold: 590 * time.Millisecond, objective: 3 * time.Second, deadline: 12 * time.Second}
	simulateClasses([]*loadClass{&approval, &call, &preview})
	assert.Assert(t, float64(approval.inTime) > 0.9*float64(approval.offered), "%d of %d approvals in time", approval.inTime, approval.offered)
	assert.Assert(t, float64(call.ended) > 0.55*float64(call.offered), "%d of %d calls ended", call.ended, call.offered)
	assert.Assert(t, preview.ended <= 2, "%d previews ended", preview.ended)
	// A team's priority precedes the route's.
	assert.Assert(t, RequestPriority(0, 2) < BackendCallPriority(1))
	assert.Assert(t, RequestPriority(0, 99) < RequestPriority(1, 0))
}

// TestLateRequestsAreRefusedAtOnce guards against a queue as long as the deadlines allow: while the load stays above the capacity,
// responses are late, and requests are refused only after most of their time. Load pattern: twice the capacity for seconds, with
// objectives of half of the deadlines. Nine of ten served requests must end in time, nine of ten refusals must come within an eighth
// of the objective, and the slots must stay in use.
func TestLateRequestsAreRefusedAtOnce(t *testing.T) {
	g := NewGate(Config{Adaptive: true, Slots: 5, QueueLength: 1000, TeamPercent: 100, MaxWait: time.Minute})
	c := &loadClass{perSecond: 25, hold: 400 * time.Millisecond, objective: 2 * time.Second, deadline: 4 * time.Second}
	simulateClassesAt(g, []*loadClass{c})
	assert.Assert(t, c.ended >= 115, "%d of 125 requests that the slots could serve ended", c.ended)
	assert.Assert(t, c.inTime >= c.ended*9/10, "%d of %d in time", c.inTime, c.ended)
	late := c.held[len(c.held)*9/10]
	assert.Assert(t, late <= c.objective/8, "refused after %s", late)
}
