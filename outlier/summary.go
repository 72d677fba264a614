package outlier

import (
	"slices"
	"time"
)

// hangAge is the least age of a running request that counts as hanging.
const hangAge = 500 * time.Millisecond

// hangFactor is the ratio to the usual time from which a running request counts as hanging.
const hangFactor = 20

// digest sums up a server. Running requests count too: one that already takes longer than the median counts with its
// age, and one that takes far longer counts as hanging. Without them, a server that answers slower than requests arrive
// would look healthy until its first answers.
func (s *server) digest(now time.Duration, least int) Digest {
	failing := s.window.newest(now, failAge, least)
	times := latencies(s.window.newest(now, slowAge, least))
	median := quantile(times, 0.5)
	d := Digest{
		Server:  s.name,
		Count:   len(failing),
		Failed:  failures(failing),
		Warming: s.warming,
	}
	for _, start := range s.running {
		age := now - start
		if age > hangAge && age > hangFactor*s.usual(now) {
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

// usual is the median time over all that the window holds.
func (s *server) usual(now time.Duration) time.Duration {
	return quantile(latencies(s.window.newest(now, windowAge, 0)), 0.5)
}

// failRatio is the share of failed requests.
func (d Digest) failRatio() float64 { return ratio(d.Failed, d.Count) }

// hangRatio is the share of hanging requests.
func (d Digest) hangRatio() float64 { return ratio(d.Hanging, d.Count+d.Hanging) }

func ratio(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
