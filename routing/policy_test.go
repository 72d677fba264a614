package routing

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var testLocal = Locality{
	VM:      "vm0",
	Domain:  "d0",
	Region:  "r0",
	Regions: map[string]string{"d0": "r0", "d1": "r0", "d2": "r1"},
}

func drawCandidates(t *rapid.T) []Candidate {
	cands := make([]Candidate, rapid.IntRange(0, 12).Draw(t, "candidates"))
	for i := range cands {
		cands[i] = Candidate{
			VM:          fmt.Sprintf("vm%d", i),
			Domain:      rapid.SampledFrom([]string{"d0", "d1", "d2", "d3"}).Draw(t, "domain"),
			Capacity:    rapid.Float64Range(0, 7).Draw(t, "capacity"),
			InFlight:    rapid.Float64Range(0, 7).Draw(t, "inFlight"),
			Queued:      rapid.Float64Range(0, 30).Draw(t, "queued"),
			State:       State(rapid.IntRange(0, int(StateTakenOut)).Draw(t, "state")),
			PathPenalty: rapid.Float64Range(0, 1).Draw(t, "penalty"),
			LoadAge:     time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "age")),
			Work:        drawWork(t),
		}
	}
	return cands
}

func drawWork(t *rapid.T) Work {
	draw := func(label string) time.Duration {
		return time.Duration(rapid.Int64Range(0, int64(10*time.Second)).Draw(t, label))
	}
	return Work{
		Cost: draw("cost"), Start: draw("start"), Age: draw("workAge"), OwnCost: draw("ownCost"), Path: draw("path"),
		Speed: rapid.Float64Range(0, 4).Draw(t, "speed"), Own: rapid.IntRange(0, 5).Draw(t, "own"),
	}
}

// TestPoliciesChooseOnlyEligible guards against choosing a candidate that is draining, lapsed, taken out, ejected or
// already tried, against choosing none while an eligible one is left (even if its path is faulty), and against
// choosing a farther tier while a nearer one has a free slot.
func TestPoliciesChooseOnlyEligible(t *testing.T) {
	policies := []Policy{Random{}, TwoChoices{}, LeastCompletion{}}
	rapid.Check(t, func(t *rapid.T) {
		cands := drawCandidates(t)
		exclude := make(map[string]bool)
		for _, c := range cands {
			exclude[c.VM] = rapid.IntRange(0, 4).Draw(t, "tried") == 0
		}
		rnd := newRand(rapid.Uint64().Draw(t, "seed"))
		left, nearest := 0, len(tierReasons)
		for i := range cands {
			if cands[i].State != StateServing || exclude[cands[i].VM] {
				continue
			}
			left++
			if hasFreeSlot(&cands[i]) {
				nearest = min(nearest, tier(&cands[i], &testLocal))
			}
		}
		for _, p := range policies {
			i, reason := p.Choose(cands, testLocal, exclude, rnd)
			if left == 0 {
				assert.Equal(t, i, -1)
				assert.Equal(t, reason, ReasonNone)
				continue
			}
			assert.Assert(t, i >= 0, "%T refused with %d candidates left", p, left)
			assert.Assert(t, cands[i].State == StateServing && !exclude[cands[i].VM], "%T chose %+v", p, cands[i])
			if _, ok := p.(TwoChoices); ok && nearest < len(tierReasons) {
				assert.Equal(t, reason, tierReasons[nearest])
				assert.Equal(t, tier(&cands[i], &testLocal), nearest)
			}
		}
	})
}

// TestTwoChoicesPrefersLowLoadAndGoodPaths guards against sending most requests to a full or unreachable candidate
// while others in the same tier are idle.
func TestTwoChoicesPrefersLowLoadAndGoodPaths(t *testing.T) {
	cases := []struct {
		desc string
		bad  Candidate
	}{
		{desc: "full", bad: Candidate{InFlight: 5, Queued: 10}},
		{desc: "dead path", bad: Candidate{PathPenalty: 0.9}},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			var cands []Candidate
			for i := range 6 {
				cands = append(cands, Candidate{VM: fmt.Sprintf("vm%d", i+1), Domain: "d0", Capacity: 5})
			}
			cands[2].InFlight, cands[2].Queued, cands[2].PathPenalty = c.bad.InFlight, c.bad.Queued, c.bad.PathPenalty
			rnd := newRand(1)
			for range 1000 {
				i, reason := TwoChoices{}.Choose(cands, testLocal, nil, rnd)
				assert.Assert(t, i != 2)
				assert.Equal(t, reason, ReasonOwnDomain)
			}
		})
	}
}

// TestOldLoadCountsLess guards against an old load report that keeps requests away from a candidate forever.
func TestOldLoadCountsLess(t *testing.T) {
	full := Candidate{Capacity: 5, InFlight: 5, Queued: 10}
	old := full
	old.LoadAge = 10 * LoadHalfLife
	assert.Assert(t, load(&old) < load(&full)/2)
	assert.Assert(t, hasFreeSlot(&old) && !hasFreeSlot(&full))
}
