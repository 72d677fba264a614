package outlier

import "time"

// ProbeCost is the assumed latency of a probe at a healthy backend server.
const ProbeCost = 25 * time.Millisecond

// ProbeOK reports whether a probe shows a healthy server, for Ejector.ProbeResult.
func ProbeOK(latency time.Duration, failed bool) bool {
	const slowFactor = 3
	return !failed && latency < slowFactor*ProbeCost
}

// probeBudget limits the share of a server's time that is spent on probes.
type probeBudget struct {
	interval time.Duration
	next     time.Duration
}

func newProbeBudget(cfg EjectorConfig, now time.Duration) probeBudget {
	interval := time.Duration(float64(ProbeCost) / cfg.ProbeShare)
	return probeBudget{interval: interval, next: now}
}

// take reports whether a probe may be sent now. If so, the time to the next one starts.
func (b *probeBudget) take(now time.Duration) bool {
	if now < b.next {
		return false
	}
	b.next = now + b.interval
	return true
}
