package outlier

import (
	"slices"
	"time"
)

// sample is a finished request.
type sample struct {
	at      time.Duration // when it ended
	latency time.Duration
	failed  bool
}

// window holds the newest samples of a server. At high rates it is bounded by number and reacts fast; at low rates it
// is bounded by age and collects enough to judge.
type window struct {
	ring  [windowSamples]sample
	next  int
	count int
}

const (
	windowSamples = 64
	windowAge     = 30 * time.Second
)

func (w *window) add(s sample) {
	w.ring[w.next] = s
	w.next = (w.next + 1) % windowSamples
	w.count = min(w.count+1, windowSamples)
}

// newest returns the samples that are young enough, newest first.
func (w *window) newest(now time.Duration) []sample {
	samples := make([]sample, 0, w.count)
	for i := 1; i <= w.count; i++ {
		s := w.ring[(w.next-i+windowSamples)%windowSamples]
		if now-s.at > windowAge {
			break
		}
		samples = append(samples, s)
	}
	return samples
}

// latencies returns the sorted latencies of samples that did not fail.
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

// quantile returns a quantile of sorted values, or 0 when there are none.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	i := int(q * float64(len(sorted)))
	return sorted[min(i, len(sorted)-1)]
}
