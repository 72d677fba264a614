package node

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rosemaryline.dev/quota"
)

// Guards against parts whose sum is not the team's rate and burst, and against part names that resolve to another team.
func TestRatePartsAddUp(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := newRateParts(rapid.IntRange(0, 5).Draw(rt, "parts"), rapid.String().Draw(rt, "vm"))
		whole := quota.Limit{Rate: rapid.Float64Range(0.1, 1000).Draw(rt, "rate"), Burst: rapid.IntRange(1, 100).Draw(rt, "burst")}
		var rate float64
		var burst int
		for _, part := range p.partNames("team", whole.Burst) {
			l := p.limit(part, whole)
			assert.Assert(rt, l.Burst >= 1)
			rate += l.Rate
			burst += l.Burst
			assert.Equal(rt, p.teamOf(part), "team")
		}
		assert.Equal(rt, burst, whole.Burst)
		assert.Assert(rt, rate < whole.Rate*1.000001 && rate > whole.Rate*0.999999)
	})
}

// Guards against a part of a previous limit that still grants beside the parts of the new one.
func TestFormerRatePartsGrantNothing(t *testing.T) {
	p := newRateParts(3, "vm")
	assert.Equal(t, p.limit("team#2", quota.Limit{Rate: 5, Burst: 2}), quota.Limit{})
	assert.Equal(t, p.limit("team", quota.Limit{Rate: 5, Burst: 3}), quota.Limit{})
	assert.Equal(t, p.limit("team", quota.Limit{Rate: 5, Burst: 1}), quota.Limit{Rate: 5, Burst: 1})
}
