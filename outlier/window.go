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

// window holds the newest samples of a server. At high rates a judgement uses the samples of a short time and reacts
// fast; at low rates it goes further back to have enough of them.
type window struct {
	ring  [windowSamples]sample
	next  int
	count int
}

const (
	windowSamples = 128
	// windowAge is the age from which a sample is not used any more.
	windowAge = 30 * time.Second
	// slowAge is the age of the samples that times are taken from.
	slowAge = 1500 * time.Millisecond
	// failAge is the age of the samples that failures are counted in; ratios need more samples than medians.
	failAge = 3 * time.Second
)

func (w *window) add(s sample) {
	w.ring[w.next] = s
	w.next = (w.next + 1) % windowSamples
	w.count = min(w.count+1, windowSamples)
}

// newest returns the samples up to an age, or at least as many as are wanted while they are younger than windowAge,
// newest first.
func (w *window) newest(now, age time.Duration, least int) []sample {
	samples := make([]sample, 0, w.count)
	for i := 1; i <= w.count; i++ {
		s := w.ring[(w.next-i+windowSamples)%windowSamples]
		old := now - s.at
		if old > windowAge || old > age && len(samples) >= least {
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
