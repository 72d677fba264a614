package rollout

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// A response on the wrong side of a bound would make the buckets of two builds differ.
func TestLatencyBuckets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := time.Duration(rapid.Int64Range(0, int64(2*time.Minute)).Draw(t, "latency"))
		i := LatencyBucket(d)
		assert.Assert(t, d >= LatencyBound(i-1) && d < LatencyBound(i))
	})
}

// A quantile outside of the bucket that holds it would move the limit of slow responses.
func TestQuantile(t *testing.T) {
	var l Latencies
	_, ok := l.Quantile(0.5)
	assert.Assert(t, !ok)
	var counts [LatencyBuckets]uint32
	counts[LatencyBucket(100*time.Millisecond)] = 90
	counts[LatencyBucket(2*time.Second)] = 10
	l.Merge(&counts)
	l.Merge(&counts)
	assert.Equal(t, l.Count(), uint64(200))
	for q, want := range map[float64]time.Duration{0.5: 100 * time.Millisecond, 0.95: 2 * time.Second} {
		got, _ := l.Quantile(q)
		assert.Equal(t, LatencyBucket(got), LatencyBucket(want), "%v", q)
	}
	l = Latencies{}
	l[LatencyBuckets-1] = 1
	got, _ := l.Quantile(0.5)
	assert.Equal(t, got, LatencyBound(LatencyBuckets-2))
}
