package proxy

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
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
