package outlier

import "time"

// probeBudget bounds the share of a server's time that probes take.
type probeBudget struct {
	interval time.Duration
	next     time.Duration
}

func newProbeBudget(cfg EjectorConfig, now time.Duration) probeBudget {
	interval := time.Duration(float64(cfg.ProbeCost) / cfg.ProbeShare)
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
