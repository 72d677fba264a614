package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against claims that wait for an unavailable record group: they would hold slots that requests without a key
// need.
func TestBreakerRefusesWhileRecordsAreAway(t *testing.T) {
	var b breaker
	now := time.Duration(0)
	trial, ok := b.allow(now)
	assert.Assert(t, ok && !trial)
	b.report(trial, false, now)

	_, ok = b.allow(now + breakerTrialInterval - 1)
	assert.Assert(t, !ok, "the group did not reply a moment ago")
	now += breakerTrialInterval
	trial, ok = b.allow(now)
	assert.Assert(t, ok && trial)
	_, ok = b.allow(now)
	assert.Assert(t, !ok, "another claim is testing the group")
	b.report(trial, false, now)
	_, ok = b.allow(now)
	assert.Assert(t, !ok)

	now += breakerTrialInterval
	trial, ok = b.allow(now)
	assert.Assert(t, ok && trial)
	b.report(trial, true, now)
	trial, ok = b.allow(now)
	assert.Assert(t, ok && !trial)
}
