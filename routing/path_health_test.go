package routing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestPathHealth guards against a path fault that is not detected or never expires, and against treating a path that
// is always slow as faulty.
func TestPathHealth(t *testing.T) {
	h := NewPathHealth()
	now := time.Duration(0)
	for range 100 {
		now += 10 * time.Millisecond
		h.Success("near", now, time.Millisecond)
		h.Success("far", now, 25*time.Millisecond)
	}
	assert.Equal(t, h.Penalty("far", now), 0.0)
	for range 5 {
		now += 10 * time.Millisecond
		h.Failure("near", now)
	}
	assert.Assert(t, h.Penalty("near", now) > 0.9)
	assert.Assert(t, h.Penalty("near", now+10*pathHalfLife) < 0.01)
	for range 20 {
		now += 10 * time.Millisecond
		h.Success("far", now, time.Second)
	}
	assert.Assert(t, h.Penalty("far", now) > 0.3)
}
