package outlier

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// adaptiveAfterSuccesses returns a breaker in adaptive mode after some successes of 840 ms, and the time after them.
func adaptiveAfterSuccesses() (*Breaker, time.Duration) {
	b, now := &Breaker{}, time.Duration(0)
	b.SetAdaptive(true)
	for range 5 {
		now += time.Second
		b.Observe(now, now-840*time.Millisecond, false)
	}
	return b, now
}

// Guards against a healthy backend server that refuses requests after a single ordinary error, and against ordinary errors that
// never count.
func TestAdaptiveBreakerToleratesOneOrdinaryError(t *testing.T) {
	b, now := adaptiveAfterSuccesses()
	b.Observe(now, now-700*time.Millisecond, true)
	assert.Equal(t, b.Health(), Healthy)
	b.Observe(now, now-700*time.Millisecond, true)
	assert.Equal(t, b.Health(), Suspect)
	b.Observe(now, now-700*time.Millisecond, true)
	b.Observe(now, now-700*time.Millisecond, true)
	assert.Equal(t, b.Health(), Faulty)
}

// Guards against a hanging backend server that passes as one with ordinary errors.
func TestAdaptiveBreakerCountsOverdueRequests(t *testing.T) {
	b, now := adaptiveAfterSuccesses()
	b.Observe(now, now-5*time.Second, true)
	assert.Equal(t, b.Health(), Suspect)
}

// Guards against an idle backend server that stays out of service for seconds after one fast failure where no request may be
// repeated, or because requests that began before the failure end one after another.
func TestAdaptiveBreakerReturnsAfterOneFailure(t *testing.T) {
	b, now := adaptiveAfterSuccesses()
	failed := now
	b.Observe(now, now-time.Millisecond, true)
	assert.Equal(t, b.Health(), Suspect)
	for now < failed+firstSuspectTrialAfter-50*time.Millisecond {
		now += 50 * time.Millisecond
		b.Observe(now, failed-time.Second, false)
		ok, _ := b.Admit(now, BreakerRequest{})
		assert.Assert(t, !ok, now-failed)
	}
	now = failed + firstSuspectTrialAfter
	ok, trial := b.Admit(now, BreakerRequest{})
	assert.Assert(t, ok && trial)
	b.TrialEnded()
	b.Observe(now+500*time.Millisecond, now, false)
	assert.Equal(t, b.Health(), Healthy)

	// After a false alarm the next single failure costs less time.
	now += time.Second
	b.Observe(now, now-time.Millisecond, true)
	assert.Equal(t, b.NonRetryableTrialIn(now), repeatedSuspectTrialAfter)
}

// Guards against repeated losses at a backend server that tends to gray failures, and against a slow return to service after one.
func TestAdaptiveBreakerRemembersGrayFailures(t *testing.T) {
	b, now := adaptiveAfterSuccesses()
	b.Observe(now, now-time.Millisecond, true)
	b.Observe(now, now-time.Millisecond, true)
	assert.Equal(t, b.Health(), Faulty)
	assert.Equal(t, b.NonRetryableTrialIn(now), grayTrialAfter)
	now += grayTrialAfter
	for range 4 {
		if b.Health() == Healthy {
			break
		}
		ok, _ := b.Admit(now, BreakerRequest{})
		assert.Assert(t, ok)
		b.TrialEnded()
		now += 840 * time.Millisecond
		b.Observe(now, now-840*time.Millisecond, false)
	}
	assert.Equal(t, b.Health(), Healthy)
	b.Observe(now, now-time.Millisecond, true)
	assert.Equal(t, b.NonRetryableTrialIn(now), grayTrialAfter)
	b.Reset()
	b.Observe(now, now-time.Millisecond, true)
	assert.Equal(t, b.NonRetryableTrialIn(now), firstSuspectTrialAfter)
}
