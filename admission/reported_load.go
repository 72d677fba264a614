package admission

import "time"

// recordEarlyFailure records a request that failed or was shed before the usual time. Load pattern: a backend server that fails
// within a millisecond always seems idle, and attracts up to twice the requests of the others.
func (g *Gate) recordEarlyFailure(now, latency time.Duration, result Result) {
	remaining := time.Duration(g.limit.latency()) - latency
	if !g.cfg.Adaptive || result != Failed && result != Overloaded || remaining <= 0 {
		return
	}
	g.pruneFailed(now)
	if len(g.failedUntil) < g.cfg.Slots {
		g.failedUntil = append(g.failedUntil, now+remaining)
	}
}

// pruneFailed removes the failures that would have ended by now.
func (g *Gate) pruneFailed(now time.Duration) {
	kept := g.failedUntil[:0]
	for _, until := range g.failedUntil {
		if now < until {
			kept = append(kept, until)
		}
	}
	g.failedUntil = kept
}

// ReportedLoad returns the load for the choice between backend servers. A request that failed early counts as in flight until
// its usual end, up to the number of slots, so that a failure never looks like low load.
func (g *Gate) ReportedLoad(now time.Duration) Load {
	load := g.Load()
	g.pruneFailed(now)
	if n := len(g.failedUntil); n > 0 {
		load.InFlight = max(min(load.InFlight+n, g.cfg.Slots), load.InFlight)
	}
	return load
}
