package outlier

import (
	"slices"
	"time"
)

// sample is a finished request or a probe.
type sample struct {
	at      time.Duration // when it ended
	latency time.Duration
	failed  bool
}

// window holds the newest samples of a server. At high rates the samples of a short period suffice, so that a judgement
// reacts fast; at low rates it reaches further back to have enough of them.
type window struct {
	ring  [maxSamples]sample
	next  int
	count int
}

const (
	maxSamples = 128
	// maxSampleAge is the age above which a sample is not used any more.
	maxSampleAge = 30 * time.Second
	// latencyPeriod is the period over which latencies are evaluated.
	latencyPeriod = 1500 * time.Millisecond
	// failurePeriod is the period over which failures are counted. It is longer, because a ratio needs more samples
	// than a median.
	failurePeriod = 3 * time.Second
)

func (w *window) add(s sample) {
	w.ring[w.next] = s
	w.next = (w.next + 1) % maxSamples
	w.count = min(w.count+1, maxSamples)
}

// newest returns the samples up to maxAge, newest first. Where they are fewer than minCount, older ones up to
// maxSampleAge are added.
func (w *window) newest(now, maxAge time.Duration, minCount int) []sample {
	samples := make([]sample, 0, w.count)
	for i := 1; i <= w.count; i++ {
		s := w.ring[(w.next-i+maxSamples)%maxSamples]
		age := now - s.at
		if age > maxSampleAge || age > maxAge && len(samples) >= minCount {
			break
		}
		samples = append(samples, s)
	}
	return samples
}

// latencies returns the latencies of the samples that did not fail, in ascending order.
func latencies(samples []sample) []time.Duration {
	sorted := make([]time.Duration, 0, len(samples))
	for _, s := range samples {
		if !s.failed {
			sorted = append(sorted, s.latency)
		}
	}
	slices.Sort(sorted)
	return sorted
}

func failures(samples []sample) int {
	n := 0
	for _, s := range samples {
		if s.failed {
			n++
		}
	}
	return n
}

// quantile returns the quantile q, between 0 and 1, of sorted values, or 0 if there are none.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	i := int(q * float64(len(sorted)))
	return sorted[min(i, len(sorted)-1)]
}
