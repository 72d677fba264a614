package outlier

import (
	"slices"
	"time"
)

// minHangAge is the age above which a running request can count as hanging.
const minHangAge = 500 * time.Millisecond

// minHangFactor is the ratio of the age to the median latency of the server above which a running request can count as
// hanging.
const minHangFactor = 20

// digest summarizes a server. Running requests count too: one that has already taken longer than the median counts with
// its age, and one that has taken far longer counts as hanging. Without them, a server that responds more slowly than
// requests arrive would look healthy until its first responses.
func (s *server) digest(now time.Duration, minSamples int) Digest {
	recent := s.window.newest(now, failurePeriod, minSamples)
	times := latencies(s.window.newest(now, latencyPeriod, minSamples))
	median := quantile(times, 0.5)
	d := Digest{
		Server:  s.name,
		Count:   len(recent),
		Failed:  failures(recent),
		Warming: s.warming,
	}
	for _, start := range s.running {
		age := now - start
		if age > minHangAge && age > minHangFactor*s.medianLatency(now) {
			d.Hanging++
		}
		if age > median {
			times = append(times, age)
		}
	}
	slices.Sort(times)
	d.P50 = quantile(times, 0.5)
	d.P90 = quantile(times, 0.9)
	return d
}

// medianLatency returns the median latency of all samples in the window.
func (s *server) medianLatency(now time.Duration) time.Duration {
	return quantile(latencies(s.window.newest(now, maxSampleAge, 0)), 0.5)
}

// failureRatio returns the share of failed requests among the finished ones.
func (d Digest) failureRatio() float64 { return ratio(d.Failed, d.Count) }

// hangRatio returns the share of hanging requests among the finished and the hanging ones.
func (d Digest) hangRatio() float64 { return ratio(d.Hanging, d.Count+d.Hanging) }

func ratio(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
