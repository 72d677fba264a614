package rollout

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Reports in any order, some lost and some twice, must yield the counts of the newest one of each incarnation that arrived.
func TestCollectionOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		plan := Plan{ID: "1", Service: "s", NewVersion: "v2", Duration: 16 * time.Second}
		c := newCollection(plan)
		arrivals := rapid.SliceOfN(rapid.IntRange(0, 39), 1, 100).Draw(t, "order")
		newest, counted := -1, map[int]uint64{}
		for i, n := range arrivals {
			// Twenty reports each of two incarnations.
			incarnation, sequence := n/20+1, n%20+1
			ok := uint32(3 * sequence)
			c.add(time.Duration(i)*100*time.Millisecond, Report{VM: "a", Incarnation: uint64(incarnation), Sequence: uint64(sequence),
				Rollout: "1", Service: "s", Version: "v2", Arrived: uint64(ok), Routes: map[string]RouteCounts{"/": {Succeeded: ok}}}, 0.5)
			if n > newest {
				newest = n
				counted[incarnation] = uint64(ok)
			}
		}
		totals := c.totals(0, true)
		assert.Equal(t, totals.Arrived, counted[1]+counted[2])
		assert.Equal(t, uint64(totals.Routes["/"].Succeeded), counted[1]+counted[2])
	})
}

// A report of an earlier rollout of the service must not count.
func TestCollectionOtherRollout(t *testing.T) {
	c := newCollection(Plan{ID: "2", Service: "s", NewVersion: "v2", Duration: time.Minute})
	assert.Assert(t, c.add(0, Report{VM: "a", Rollout: "1", Service: "s", Version: "v2", Arrived: 5}, 0.5) == nil)
	assert.Equal(t, c.arrived(), uint64(0))
}

// Requests that the servers did not run must not count as running or overdue beside others that run.
func TestShedRequestsAreNotOverdue(t *testing.T) {
	c := newCollection(Plan{ID: "1", Service: "s", NewVersion: "v2", Duration: time.Minute})
	counts := RouteCounts{Started: 10, Succeeded: 4, Shed: 5}
	for i := range 8 {
		c.add(time.Duration(i)*250*time.Millisecond, Report{VM: "a", Incarnation: 1, Sequence: uint64(i + 1), Rollout: "1", Service: "s",
			Version: "v2", Slots: 4, Arrived: 14, Running: 4, Routes: map[string]RouteCounts{"/": counts, "/b": {Started: 3}}}, 0.5)
	}
	samples := c.samples(map[string]time.Duration{"/": time.Second})
	unended := samples[len(samples)-1].Unended["/"]
	assert.Equal(t, unended, Unended{Running: 1, Overdue: 1, Due: 5})
}

// A request without a result counts as slow only once a slow response would have ended, and not if it arrived at a cold server.
func TestOverdue(t *testing.T) {
	for _, cold := range []bool{false, true} {
		c := newCollection(Plan{ID: "1", Service: "s", NewVersion: "v2", Duration: time.Minute})
		report := func(sequence uint64, at time.Duration, started, ok uint32, slots int) Unended {
			c.add(at, Report{VM: "a", Incarnation: 1, Sequence: sequence, Rollout: "1", Service: "s", Version: "v2", Slots: slots,
				Arrived: uint64(started), Running: int(started - ok), Routes: map[string]RouteCounts{"/": {Started: started, Succeeded: ok}}}, 0.5)
			samples := c.samples(map[string]time.Duration{"/": time.Second})
			return samples[len(samples)-1].Unended["/"]
		}
		slots := 10
		if cold {
			slots = 0
		}
		assert.Equal(t, report(1, 0, 4, 0, slots).Overdue, 0)
		want := 3
		if cold {
			want = 0
		}
		u := report(2, 1100*time.Millisecond, 9, 1, 10)
		assert.Equal(t, u.Overdue, want)
		assert.Equal(t, u.Running, 8)
	}
}
