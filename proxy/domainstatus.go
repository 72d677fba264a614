package proxy

import (
	"time"

	"rosemaryline.dev/admission"
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

// checkSlot checks again whether the request that got a slot may run, because the failure domain may have been taken out of service
// while it was queued. If not, it releases the slot and returns the reason. It handles the load pattern in which slow requests
// hold all slots when the domain is taken out, so that queued requests would start for seconds after that.
func (g *Gate) checkSlot(held *slot) admission.Reason {
	if !g.domainOut() {
		return admission.ReasonNone
	}
	held.release(0, admission.Cancelled)
	return admission.Reason(ReasonDomainOut)
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
