package rollout

import (
	"math"
	"sort"
	"time"
)

// latencyBounds grow by the square root of two from 1 ms to 33 s, so that a response that takes three times as long is three
// buckets away.
var latencyBounds = func() (bounds [LatencyBuckets - 1]time.Duration) {
	for i := range bounds {
		bounds[i] = time.Duration(float64(time.Millisecond) * math.Pow(2, float64(i)/2))
	}
	return bounds
}()

// LatencyBound returns the upper bound of bucket i. The last bucket has none, for which the largest duration is returned.
func LatencyBound(i int) time.Duration {
	switch {
	case i < 0:
		return 0
	case i >= LatencyBuckets-1:
		return math.MaxInt64
	}
	return latencyBounds[i]
}

// LatencyBucket returns the bucket that counts a response that took d.
func LatencyBucket(d time.Duration) int {
	return sort.Search(LatencyBuckets-1, func(i int) bool { return d < latencyBounds[i] })
}

// Latencies is a histogram of response times in the buckets of RouteCounts.Latency.
type Latencies [LatencyBuckets]uint64

// Merge adds the counts of a RouteCounts.Latency.
func (l *Latencies) Merge(counts *[LatencyBuckets]uint32) {
	for i, n := range counts {
		l[i] += uint64(n)
	}
}

// Count returns the number of responses.
func (l *Latencies) Count() (n uint64) {
	for _, c := range l {
		n += c
	}
	return n
}

// quantileBucket returns the bucket that holds the quantile q of a histogram that is not empty.
func (l *Latencies) quantileBucket(q float64) (bucket int, below uint64) {
	rank := q * float64(l.Count())
	for i, c := range l {
		if c > 0 && float64(below+c) >= rank {
			return i, below
		}
		below += c
	}
	return LatencyBuckets - 1, below
}

// Quantile returns the quantile q (0 to 1), interpolated within its bucket, and false if the histogram is empty. The last
// bucket yields its lower bound.
func (l *Latencies) Quantile(q float64) (time.Duration, bool) {
	total := l.Count()
	if total == 0 {
		return 0, false
	}
	i, below := l.quantileBucket(q)
	low := LatencyBound(i - 1)
	if i == LatencyBuckets-1 {
		return low, true
	}
	part := max(0, q*float64(total)-float64(below)) / float64(l[i])
	return low + time.Duration(part*float64(LatencyBound(i)-low)), true
}
