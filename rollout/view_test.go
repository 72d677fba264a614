package rollout

import (
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestViewAdmits(t *testing.T) {
	for _, c := range []struct {
		phase         Phase
		admitted      []string
		v1, v2, other bool
		limited       bool
	}{
		{"", nil, true, true, true, false},
		{"", []string{"v1"}, true, false, false, false},
		{Canary, []string{"v1"}, true, true, false, true},
		{Loaded, nil, true, true, true, true},
		{Cutover, []string{"v1"}, false, true, false, false},
		{Completed, []string{"v2"}, false, true, false, false},
		{Completed, nil, false, true, false, false},
		{RolledBack, []string{"v1"}, true, false, false, false},
		{RolledBack, nil, true, false, true, false},
	} {
		plan := &Plan{NewVersion: "v2", Phase: c.phase}
		if c.phase == "" {
			plan = nil
		}
		v := NewView(c.admitted, plan)
		assert.Equal(t, v.Admits("v1"), c.v1, "%+v", c)
		assert.Equal(t, v.Admits("v2"), c.v2, "%+v", c)
		assert.Equal(t, v.Admits("v0"), c.other, "%+v", c)
		assert.Equal(t, v.Limited(), c.limited, "%+v", c)
		assert.Equal(t, v.OldRefuse(), c.phase == Cutover || c.phase == Completed, "%+v", c)
		assert.Equal(t, v.ToNew(rand.New(rand.NewPCG(1, 1))), c.phase == Cutover, "%+v", c)
	}
}

// Entries that choose different servers would spread the load that the loaded phase needs on few.
func TestParticipants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.SliceOfNDistinct(rapid.StringN(1, 6, -1), 2, 40, rapid.ID[string]).Draw(t, "names")
		n := rapid.IntRange(1, len(names)).Draw(t, "servers")
		v := NewView(nil, &Plan{ID: "x", Phase: Loaded, Servers: n, Decision: 3})
		chosen := slices.Sorted(slices.Values(v.Participants(names)))
		assert.Equal(t, len(chosen), n)
		other := slices.Clone(names)
		slices.Reverse(other)
		assert.DeepEqual(t, chosen, slices.Sorted(slices.Values(v.Participants(other))))
		kept := 0
		for _, name := range v.Participants(append(other, "a new name")) {
			if slices.Contains(chosen, name) {
				kept++
			}
		}
		assert.Assert(t, kept >= n-1)
	})
}

func TestToNewShare(t *testing.T) {
	v := NewView(nil, &Plan{Phase: Canary, Percent: 8})
	random := rand.New(rand.NewPCG(1, 2))
	n := 0
	for range 10000 {
		if v.ToNew(random) {
			n++
		}
	}
	assert.Assert(t, n > 700 && n < 900, "%d of 10000", n)
}
