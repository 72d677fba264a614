package outlier

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a gray failure that costs more than the first two requests that may not be repeated: at 20 requests a
// second a backend server begins to fail nine in ten, answering each in a millisecond.
func TestBreakerGrayFailureCostsTwoRequests(t *testing.T) {
	for seed := range uint64(200) {
		rnd := rand.New(rand.NewPCG(seed, 0))
		b := &Breaker{}
		now, lost := time.Duration(0), 0
		for range 60 {
			now += 50 * time.Millisecond
			b.Observe(now, false)
		}
		for range 100 { // five seconds
			now += 50 * time.Millisecond
			ok, trial := b.Admit(now, BreakerRequest{})
			if !ok {
				continue
			}
			if trial {
				b.TrialEnded()
			}
			failed := rnd.Float64() < 0.9
			b.Observe(now, failed)
			if failed {
				lost++
			}
		}
		// One more is tried after lastTrialAfter without any result.
		assert.Assert(t, lost <= 3, "seed %d: %d lost", seed, lost)
	}
}

// Guards against a sound backend server that loses much of its traffic because it answers one request in a hundred with an
// error: its doubt must end with the next success of a request that may be sent elsewhere.
func TestBreakerForgivesRareErrors(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 0))
	b := &Breaker{}
	now, refused := time.Duration(0), 0
	const requests = 20_000
	for range requests {
		now += 50 * time.Millisecond
		mayFail := rnd.Float64() < 0.3
		ok, trial := b.Admit(now, BreakerRequest{MayFail: mayFail})
		if !ok {
			refused++
			continue
		}
		if trial {
			b.TrialEnded()
		}
		b.Observe(now, rnd.Float64() < 0.012)
	}
	assert.Assert(t, refused < requests/20, "%d refused", refused)
}

// Guards against trials that take the retry budget during a long fault, and against a backend server that is not tried
// again after it.
func TestBreakerTrialsBackOff(t *testing.T) {
	b := &Breaker{}
	now, trials := time.Duration(0), 0
	for range 1000 { // ten seconds
		now += 10 * time.Millisecond
		if ok, trial := b.Admit(now, BreakerRequest{MayFail: true}); ok {
			trials++
			if trial {
				b.TrialEnded()
			}
			b.Observe(now, true)
		}
	}
	assert.Assert(t, trials >= 8 && trials <= 15, "%d trials", trials)
	healed := now
	for b.Health() != Healthy {
		now += 10 * time.Millisecond
		if ok, trial := b.Admit(now, BreakerRequest{MayFail: true}); ok {
			if trial {
				b.TrialEnded()
			}
			b.Observe(now, false)
		}
	}
	assert.Assert(t, now-healed < 2*time.Second, "took %s", now-healed)
}

// Guards against a request that found no other backend server and is refused by a doubtful one.
func TestBreakerAdmitsForced(t *testing.T) {
	b := &Breaker{}
	b.Observe(0, true)
	b.Observe(0, true)
	ok, _ := b.Admit(0, BreakerRequest{})
	assert.Assert(t, !ok)
	ok, trial := b.Admit(0, BreakerRequest{Forced: true})
	assert.Assert(t, ok && !trial)
}

// Replays a service with few requests that may fail: one offer in 300 ms. Guards against a backend server that is sound again
// and stays without traffic for long, which left four tenths of a service unused under load.
func TestBreakerCapacityReturnsWithFewTrials(t *testing.T) {
	b := &Breaker{}
	now := time.Duration(0)
	offer := func(failed bool) {
		now += 300 * time.Millisecond
		if ok, trial := b.Admit(now, BreakerRequest{MayFail: true}); ok {
			if trial {
				b.TrialEnded()
			}
			b.Observe(now, failed)
		}
	}
	for range 30 {
		offer(true)
	}
	healed := now
	for b.Health() != Healthy {
		offer(false)
	}
	// A second for the longest wait between two trials, and two successes more.
	assert.Assert(t, now-healed <= lastTrialWait+3*300*time.Millisecond, "took %s", now-healed)
}

// Guards against the opposite: a backend server that fails seven in ten and is taken for sound often.
func TestBreakerRarelyTrustsAGrayServer(t *testing.T) {
	rnd := rand.New(rand.NewPCG(7, 0))
	b := &Breaker{}
	now, trusted := time.Duration(0), 0
	const trials = 2000
	for seen := 0; seen < trials; {
		now += 50 * time.Millisecond
		ok, trial := b.Admit(now, BreakerRequest{MayFail: true})
		if !ok {
			continue
		}
		if trial {
			b.TrialEnded()
		}
		seen++
		doubted := b.Health() != Healthy
		b.Observe(now, rnd.Float64() < 0.7)
		if doubted && b.Health() == Healthy {
			trusted++
		}
	}
	assert.Assert(t, trusted < trials/20, "trusted %d times in %d trials", trusted, trials)
}
