package proxy

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"rosemaryline.dev/outlier"
)

// logLimitChanges logs and counts the changes of the concurrency limit since the last call. The caller holds mu.
func (s *server) logLimitChanges() {
	for _, c := range s.gate.TakeLimitChanges() {
		metrics.GetOrCreateCounter(fmt.Sprintf("rosemaryline_limit_changes_total{service=%q,cause=%q}", s.service, string(c.Cause))).Inc()
		s.log.Info().Str("server", s.name).Str("service", s.service).Str("cause", string(c.Cause)).Int("from", c.From).
			Int("to", c.To).Int("slots", s.slots).Int("running", c.Running).Float64("slowdown", c.Slowdown).
			Dur("evidence", c.Evidence).Msg("gate: changed concurrency limit.")
	}
}

// breakerReason returns the reason for refusing requests while the circuit breaker is not closed.
func breakerReason(b *outlier.Breaker) Reason {
	if b.Health() == outlier.Faulty {
		return ReasonFaulty
	}
	return ReasonSuspect
}

// mostTrippedRefusals is the number of circuit breakers that refuse one request from which more than half of the service's
// backend servers count as tripped. With 30% of them tripped, that happens to one request in 170,000.
const mostTrippedRefusals = 10

// mostTripped reports whether so many circuit breakers refused a request that the cause is unlikely to lie in single backend
// servers. The request is then sent regardless of circuit breakers: in a large fleet, it would otherwise ask all gates first.
// It applies only to services with the adaptive concurrency limit.
func (r *router) mostTripped(service string, history *attemptHistory) bool {
	if len(history.breakerTripped) < mostTrippedRefusals {
		return false
	}
	return r.isAdaptive(service)
}
