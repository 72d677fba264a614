package proxy

import (
	"time"
)

// domainOut reports whether operators took the failure domain of this VM out of service. The first call that sees the failure
// domain back treats the backend servers as cold before it returns, so no request starts in between.
func (g *Gate) domainOut() bool {
	out := g.opts.Fleet.DomainOut(g.opts.Domain)
	if out == g.wasOut.Load() {
		return out
	}
	g.domainMu.Lock()
	defer g.domainMu.Unlock()
	out = g.opts.Fleet.DomainOut(g.opts.Domain)
	if g.wasOut.Load() && !out {
		for _, s := range g.serversOf("") {
			g.assumeCold(s)
		}
	}
	g.wasOut.Store(out)
	return out
}

// assumeCold treats a backend server as cold for the ramp time of its service, because it may have become cold while its failure
// domain was out of service. Its next announcement reports how long it remains cold.
func (g *Gate) assumeCold(s *server) {
	settings, ok := g.opts.Fleet.Service(s.service)
	if !ok || settings.Ramp.Rate <= 0 {
		return
	}
	coldTime := settings.Ramp.Time.Std()
	s.assumeCold(coldTime)
	g.opts.Log.Info().Str("server", s.name).Str("service", s.service).Dur("cold", coldTime).Float64("rate", settings.Ramp.Rate).
		Msg("gate: the failure domain is back in service; the backend server counts as cold until its next announcement.")
}

// assumeCold treats the backend server as cold until the next announcement, for at most coldTime.
func (s *server) assumeCold(coldTime time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coldEnd = s.clock() + coldTime
	s.gate.AssumeCold(s.clock(), coldTime)
}
