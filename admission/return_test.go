package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestColdRateHoldsWhenAFailureDomainReturns guards against the full load on a backend server that became cold while its failure
// domain was out of service and reports it only with its next announcement. The load is 80 requests per second of 20 ms; the
// platform allows 28 x 1.5 + 5 in any second.
func TestColdRateHoldsWhenAFailureDomainReturns(t *testing.T) {
	const (
		rate      = 28
		allowed   = rate*1.5 + 5
		service   = 20 * time.Millisecond
		returned  = 10 * time.Second
		announced = returned + 1500*time.Millisecond
		warm      = returned + 3*time.Second
		end       = 16 * time.Second
	)
	g := NewGate(Config{Slots: 5, QueueLength: 1000, TeamPercent: 100, MaxWait: time.Second, ColdRate: rate})
	var starts []time.Duration
	running := map[Ticket]time.Duration{}
	start := func(now time.Duration, ticket Ticket) {
		starts = append(starts, now)
		running[ticket] = now
	}
	for now := returned; now < end; now += 2500 * time.Microsecond {
		switch now {
		case returned:
			g.AssumeCold(now, 3*time.Second)
		case announced:
			g.SetColdUntil(warm)
		}
		for ticket, since := range running {
			if now-since >= service {
				delete(running, ticket)
				for _, granted := range g.Done(now, ticket, service, Succeeded) {
					start(now, granted.Ticket)
				}
			}
		}
		g.Expire(now)
		for _, granted := range g.Grant(now) {
			start(now, granted.Ticket)
		}
		if (now-returned)%(12500*time.Microsecond) == 0 {
			if d := g.Offer(now, Request{}); d.Verdict == Admitted {
				start(now, d.Ticket)
			}
		}
	}
	warmStarts := 0
	for i, from := range starts {
		if from >= warm {
			warmStarts++
			continue
		}
		inWindow := 0
		for _, at := range starts[i:] {
			if at < from+time.Second && at < warm {
				inWindow++
			}
		}
		assert.Assert(t, float64(inWindow) <= allowed, "%d starts in the second after %s", inWindow, from)
	}
	assert.Assert(t, warmStarts > 200, "%d starts in three seconds after the cold time", warmStarts)
}

// TestAssumedColdEndsWithTheNextAnnouncement guards against a warm backend server that is kept at the cold rate although its
// announcement after the return of its failure domain says that it is warm, and against a cold time that is cut short.
func TestAssumedColdEndsWithTheNextAnnouncement(t *testing.T) {
	startable := func(g *Gate, now time.Duration) (started int) {
		for range 10 {
			if d := g.Offer(now, Request{}); d.Verdict == Admitted {
				started++
				g.Done(now, d.Ticket, time.Millisecond, Succeeded)
			}
		}
		return started
	}
	cfg := Config{Slots: 5, QueueLength: 1000, TeamPercent: 100, MaxWait: time.Second, ColdRate: 2}
	g := NewGate(cfg)
	g.AssumeCold(0, 3*time.Second)
	assert.Equal(t, startable(g, 0), 2)
	g.Expire(1100 * time.Millisecond)
	g.SetColdUntil(0)
	assert.Equal(t, startable(g, 1200*time.Millisecond), 10)

	g = NewGate(cfg)
	g.SetColdUntil(5 * time.Second)
	g.AssumeCold(0, 3*time.Second)
	assert.Equal(t, startable(g, 0), 2)
	g.Expire(4 * time.Second)
	assert.Equal(t, startable(g, 4*time.Second), 2)

	cfg.ColdRate = 0
	cfg.InitialSlots = 5
	g = NewGate(cfg)
	g.AssumeCold(0, 3*time.Second)
	assert.Equal(t, startable(g, 0), 10)
}
