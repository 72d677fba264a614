package outlier

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestBreakerGrayFailureCostsTwoRequests guards against an abrupt gray failure that loses more than the first two
// requests that cannot be retried: at 20 requests per second, a backend server begins to fail 9 in 10, each within a
// millisecond.
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
		// A third one may be lost as the trial after nonRetryableTrialAfter without any result.
		assert.Assert(t, lost <= 3, "seed %d: %d lost", seed, lost)
	}
}

// TestBreakerForgivesRareErrors guards against a healthy backend server that loses much of its traffic because about
// one response in a hundred is an error: the next success of a retryable request must close the breaker again.
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

// TestBreakerTrialsBackOff guards against trials that use up the retry budget during a long fault, and against a
// backend server that gets no trials after it.
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

// TestBreakerAdmitsForced guards against the refusal of a request for which no other backend server was found.
func TestBreakerAdmitsForced(t *testing.T) {
	b := &Breaker{}
	b.Observe(0, true)
	b.Observe(0, true)
	ok, _ := b.Admit(0, BreakerRequest{})
	assert.Assert(t, !ok)
	ok, trial := b.Admit(0, BreakerRequest{Forced: true})
	assert.Assert(t, ok && !trial)
}

// TestBreakerCapacityReturnsWithFewTrials guards against a backend server that recovers and then gets no traffic for a
// long time, which left 40% of a service unused under load. The service has few retryable requests: one in 300 ms.
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
	// The longest wait between two trials, and then three successes.
	assert.Assert(t, now-healed <= maxTrialWait+3*300*time.Millisecond, "took %s", now-healed)
}

// TestBreakerRarelyTrustsAGrayServer guards against a breaker that often closes again for a backend server that fails 7
// in 10 requests.
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
