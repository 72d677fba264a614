package outlier

import "time"

// ProbeCost is the time that a probe takes at a healthy backend server.
const ProbeCost = 25 * time.Millisecond

// ProbeOK tells whether a probe shows a healthy server, for Ejector.ProbeResult.
func ProbeOK(latency time.Duration, failed bool) bool {
	const slowFactor = 3
	return !failed && latency < slowFactor*ProbeCost
}

// probeBudget bounds the share of a server's time that probes take.
type probeBudget struct {
	interval time.Duration
	next     time.Duration
}

func newProbeBudget(cfg EjectorConfig, now time.Duration) probeBudget {
	interval := time.Duration(float64(ProbeCost) / cfg.ProbeShare)
	return probeBudget{interval: interval, next: now}
}

// take tells whether a probe may be sent now, and counts it.
func (b *probeBudget) take(now time.Duration) bool {
	if now < b.next {
		return false
	}
	b.next = now + b.interval
	return true
}
