package workload

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

// lognormal draws a cost with the given mean and relative spread; two in a hundred take six times as long.
func lognormal(rnd *rand.Rand, mean time.Duration, spread float64) time.Duration {
	sigma := math.Sqrt(math.Log(1 + spread*spread))
	cost := float64(mean) * math.Exp(rnd.NormFloat64()*sigma-sigma*sigma/2)
	if rnd.IntN(50) == 0 {
		cost *= 6
	}
	return time.Duration(cost)
}

// Guards against a mean or a quantile that the buckets or the decay distort, and against a route that keeps the cost of
// an earlier version for minutes.
func TestCostsFollowTheRoute(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	c := NewCosts()
	_, ok := c.Expect(0, "svc", "a")
	assert.Assert(t, !ok)
	now := time.Duration(0)
	run := func(n int, mean time.Duration) {
		for range n {
			now += 500 * ms
			c.Record(now, "svc", "a", lognormal(rnd, mean, 0.5))
			c.Record(now, "svc", "b", 20*ms)
		}
	}
	run(400, 200*ms)
	near := func(got, want time.Duration, share float64) {
		t.Helper()
		assert.Assert(t, math.Abs(float64(got-want)) < share*float64(want), "%s, want %s", got, want)
	}
	a, _ := c.Expect(now, "svc", "a")
	near(a.Mean, 220*ms, 0.2) // 200 ms, of which 2% take 6 times as long
	near(a.Median, 180*ms, 0.2)
	b, _ := c.Expect(now, "svc", "b")
	near(b.Mean, 20*ms, 0.3)
	unseen, ok := c.Expect(now, "svc", "c")
	assert.Assert(t, ok && unseen.Mean > b.Mean && unseen.Mean < a.Mean)
	run(240, 800*ms)
	a, _ = c.Expect(now, "svc", "a")
	near(a.Mean, 840*ms, 0.25)
}

// Guards against a long request that counts as nearly finished because it already took longer than the mean.
func TestRemainingGrowsInAHeavyTail(t *testing.T) {
	rnd := rand.New(rand.NewPCG(2, 2))
	c := NewCosts()
	for i := range 5000 {
		c.Record(time.Duration(i)*10*ms, "svc", "a", lognormal(rnd, 200*ms, 0.3))
	}
	early, _ := c.Remaining(50*time.Second, "svc", "a", 100*ms)
	late, _ := c.Remaining(50*time.Second, "svc", "a", 600*ms)
	assert.Assert(t, late > 2*early, "%s after 100 ms, %s after 600 ms", early, late)
	beyond, _ := c.Remaining(50*time.Second, "svc", "a", time.Minute)
	assert.Equal(t, beyond, time.Minute)
}

// Guards against a server that is taken for slow because of one expensive request, one that is slow for long before it is
// noticed, and one that is still avoided seconds after it recovered or failed fast.
func TestSpeedDetectsSlowServers(t *testing.T) {
	const typical = 200 * ms
	var s Speed
	now := time.Duration(0)
	step := func(took time.Duration) float64 {
		now += 400 * ms
		s.Record(now, typical, took)
		return s.Estimate(now, nil)
	}
	for range 10 {
		step(typical)
	}
	assert.Assert(t, step(6*typical) > 0.5, "one expensive request")
	for range 10 {
		step(typical)
	}
	for range 4 {
		step(4 * typical)
	}
	assert.Assert(t, s.Estimate(now, nil) < 0.5, "%.2f after four slow requests", s.Estimate(now, nil))
	now += 9 * time.Second
	assert.Assert(t, step(typical) > 0.75, "recovered")

	var hanging Speed
	slow := hanging.Estimate(now, []Running{{Elapsed: 10 * typical, Typical: typical}, {Elapsed: 8 * typical, Typical: typical}})
	assert.Assert(t, slow < 0.5, "%.2f with two requests that hang", slow)
	// One in ten of the running requests of a healthy server is an expensive one.
	healthy := make([]Running, 10)
	for i := range healthy {
		healthy[i] = Running{Elapsed: time.Duration(i) * typical / 6, Typical: typical}
	}
	healthy[0].Elapsed = 5 * typical
	assert.Assert(t, hanging.Estimate(now, healthy) > 0.75)

	var failing Speed
	failing.RecordFailure(now)
	failing.RecordFailure(now)
	assert.Assert(t, failing.Estimate(now, nil) < 0.5)
	assert.Assert(t, failing.Estimate(now+8*time.Second, nil) > 0.5)
}

// TestBacklogStart guards against a start that ignores long requests, queued ones or the speed, with 1 to 64 slots.
func TestBacklogStart(t *testing.T) {
	same := func(n int, cost time.Duration) []time.Duration {
		list := make([]time.Duration, n)
		for i := range list {
			list[i] = cost
		}
		return list
	}
	for _, test := range []struct {
		desc string
		b    Backlog
		want time.Duration
	}{
		{"idle", Backlog{Slots: 1}, 0},
		{"one slot of two is free", Backlog{Slots: 2, Running: same(1, time.Second)}, 0},
		{"one slot", Backlog{Slots: 1, Running: same(1, 300*ms)}, 300 * ms},
		{"one slot, slow", Backlog{Slots: 1, Running: same(1, 300*ms), Speed: 0.25}, 1200 * ms},
		{"the shortest ends first", Backlog{Slots: 2, Running: []time.Duration{5 * time.Second, 100 * ms}}, 100 * ms},
		{"queued behind the shortest", Backlog{Slots: 2, Running: []time.Duration{time.Second, 100 * ms}, Queued: same(2, 200*ms)}, 500 * ms},
		{"64 slots", Backlog{Slots: 64, Running: same(64, 100*ms), Queued: same(64, 50*ms)}, 150 * ms},
		{"more run than may", Backlog{Slots: 1, Running: []time.Duration{100 * ms, 400 * ms}}, 400 * ms},
	} {
		assert.Equal(t, test.b.Start(), test.want, test.desc)
	}
	assert.Equal(t, Backlog{Slots: 1, Speed: 0.5}.Completion(time.Second), 2*time.Second)
}

// TestBacklogNeverShrinks guards against a start that gets earlier when a request is queued, or later with more speed.
func TestBacklogNeverShrinks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		costs := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "cost"))
		}), 0, 80)
		b := Backlog{Slots: rapid.IntRange(1, 64).Draw(t, "slots"), Running: costs.Draw(t, "running"), Queued: costs.Draw(t, "queued")}
		before := b.Start()
		slower := b
		slower.Speed = 0.5
		assert.Assert(t, slower.Start() >= before)
		b.Queued = append(b.Queued, time.Second)
		assert.Assert(t, b.Start() >= before)
	})
}
