package admission

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a group of cold backend servers that returns to waiting traffic and gets more requests in a second than
// it bears. Replays 200 requests that arrive at once at a backend server that bears 28 a second.
func TestColdRateHoldsInEveryWindow(t *testing.T) {
	g := NewGate(Config{Slots: 5, QueueLength: 1000, TeamPercent: 100, MaxWait: time.Minute, ColdRate: 28})
	g.SetCold(3 * time.Second)
	var starts []time.Duration
	running := map[Ticket]time.Duration{}
	start := func(now time.Duration, ticket Ticket) {
		starts = append(starts, now)
		running[ticket] = now
	}
	for range 200 {
		if d := g.Offer(0, Request{}); d.Verdict == Admitted {
			start(0, d.Ticket)
		}
	}
	const work = 20 * time.Millisecond
	for now := time.Duration(0); now < 6*time.Second; now += 5 * time.Millisecond {
		for ticket, since := range running {
			if now-since < work {
				continue
			}
			delete(running, ticket)
			for _, granted := range g.Done(now, ticket, work, Succeeded) {
				start(now, granted.Ticket)
			}
		}
		for _, granted := range g.Grant(now) {
			start(now, granted.Ticket)
		}
	}
	assert.Equal(t, len(starts), 200)
	for i := range starts {
		if starts[i] >= 3*time.Second {
			break
		}
		inWindow := 0
		for _, s := range starts[i:] {
			if s < starts[i]+time.Second && s < 3*time.Second {
				inWindow++
			}
		}
		assert.Assert(t, inWindow <= 28, "%d starts after %s", inWindow, starts[i])
	}
}

// overload replays 2 s of arrivals at twice the capacity of one slot with 100 ms of work, and returns how many requests of
// each priority ended within their objective of 500 ms.
func overload(objective time.Duration) (inTime [2]int) {
	g := NewGate(Config{Slots: 1, QueueLength: 1000, TeamPercent: 100, MaxWait: time.Minute, ColdRate: 1000})
	const work = 100 * time.Millisecond
	type arrival struct {
		at       time.Duration
		priority int
	}
	waiting := map[Ticket]arrival{}
	var running Ticket
	var since time.Duration
	for now := time.Duration(0); now < 6*time.Second; now += 10 * time.Millisecond {
		if running != 0 && now-since >= work {
			a := waiting[running]
			if now-a.at <= 500*time.Millisecond {
				inTime[a.priority]++
			}
			grants := g.Done(now, running, work, Succeeded)
			running = 0
			for _, granted := range grants {
				running, since = granted.Ticket, now
			}
		}
		if now < 2*time.Second && now%(50*time.Millisecond) == 0 {
			priority := int(now/(50*time.Millisecond)) % 2
			r := Request{Team: "t", Priority: priority, Deadline: now + 3*time.Second, Work: work}
			if objective > 0 {
				r.Objective = now + objective - work
			}
			d := g.Offer(now, r)
			if d.Verdict != Refused {
				waiting[d.Ticket] = arrival{now, priority}
			}
			if d.Verdict == Admitted {
				running, since = d.Ticket, now
			}
		}
		g.Expire(now)
	}
	return inTime
}

// Guards against an overload in which every answer is late: requests past their objective start after those that can still
// be answered in time, and less urgent work does not push more urgent work back.
func TestOverloadKeepsAnswersInTime(t *testing.T) {
	without, with := overload(0), overload(500*time.Millisecond)
	assert.Assert(t, with[0] >= 18, "of 20 urgent requests %d in time", with[0])
	assert.Assert(t, with[0]+with[1] >= without[0]+without[1], "in time without objectives %v, with %v", without, with)
}

// Guards against a request that waits although it cannot be answered before its deadline.
func TestHopelessRequestIsRefusedAtOnce(t *testing.T) {
	g := NewGate(Config{Slots: 1, QueueLength: 10, TeamPercent: 100, ColdRate: 1000})
	first := g.Offer(0, Request{})
	g.Done(100*time.Millisecond, first.Ticket, 100*time.Millisecond, Succeeded)
	assert.Equal(t, g.Offer(0, Request{Deadline: 50 * time.Millisecond, Work: 60 * time.Millisecond}).Reason, ReasonHopeless)
	g.Offer(0, Request{})
	d := g.Offer(0, Request{Deadline: 120 * time.Millisecond, Work: 60 * time.Millisecond})
	assert.Assert(t, d.Verdict == Queued || d.Reason == ReasonHopeless)
	if d.Verdict == Queued {
		refusals := g.Expire(61 * time.Millisecond)
		assert.Equal(t, len(refusals), 1)
		assert.Equal(t, refusals[0].Reason, ReasonHopeless)
	}
}

// Guards against an urgent request that is refused in a full queue of less urgent ones.
func TestUrgentRequestDisplacesLessUrgent(t *testing.T) {
	g := NewGate(Config{Slots: 1, QueueLength: 2, TeamPercent: 100})
	g.Offer(0, Request{})
	low := []Ticket{g.Offer(0, Request{Team: "a", Priority: 2}).Ticket, g.Offer(0, Request{Team: "b", Priority: 2}).Ticket}
	d := g.Offer(0, Request{Team: "c", Priority: 1})
	assert.Equal(t, d.Verdict, Queued)
	assert.Equal(t, len(d.Displaced), 1)
	assert.Assert(t, slices.Contains(low, d.Displaced[0].Ticket))
	assert.Equal(t, g.Offer(0, Request{Team: "d", Priority: 3}).Reason, ReasonQueueFull)
}
