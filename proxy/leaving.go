package proxy

import (
	"time"

	"rosemaryline.dev/admission"
)

// Leave makes the gate refuse all new requests with the outcome not-run, except those of the own entry that no other VM can serve.
// It refuses those that wait for a slot in the same way, so that their entries try other VMs while there is time; without that, the
// gate would start them until its end and then cut them.
func (g *Gate) Leave() {
	g.leaving.Store(true)
	waiting := 0
	for _, s := range g.serversOf("") {
		waiting += s.refuseWaiting(ReasonLeaving)
	}
	refusedByStop.Add(waiting)
	g.opts.Log.Info().Int("waiting", waiting).Msg("gate: refused the waiting requests because the process is stopping.")
}

// StopWithin tells the gate how long running requests may still take until the process stops. It starts no request that usually
// takes longer.
func (g *Gate) StopWithin(d time.Duration) { g.stopBy.Store(int64(g.opts.Clock() + d)) }

// checkSlot checks again whether a request that got a slot may run, because that may have changed while it was queued: the failure
// domain was taken out of service, or the process began to stop. If it may not, checkSlot releases the slot and returns the reason. It
// handles the load pattern in which slow requests hold all slots at such a moment, so that queued requests would start for seconds
// after it.
func (g *Gate) checkSlot(req *Request, held *slot) admission.Reason {
	reason := g.slotReason(req, held.server)
	if reason != admission.ReasonNone {
		held.release(0, admission.Cancelled)
	}
	return reason
}

// slotReason returns why a request that got a slot may not run; ReasonNone if it may.
func (g *Gate) slotReason(req *Request, s *server) admission.Reason {
	switch {
	case g.domainOut():
		return admission.Reason(ReasonDomainOut)
	case g.leaving.Load() && (!req.LastResort || !g.endsBeforeStop(req, s)):
		return admission.Reason(ReasonLeaving)
	default:
		return admission.ReasonNone
	}
}

// endsBeforeStop reports whether a request of the usual length ends before the process stops.
func (g *Gate) endsBeforeStop(req *Request, s *server) bool {
	stopBy := time.Duration(g.stopBy.Load())
	if stopBy == 0 {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return g.opts.Clock()+s.expectedLatency(req.Route) <= stopBy
}

// refuseWaiting refuses the requests that wait for a slot and returns their number.
func (s *server) refuseWaiting(reason Reason) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	refusals := s.gate.RefuseQueued(admission.Reason(reason))
	s.deliverRefusals(refusals)
	return len(refusals)
}
