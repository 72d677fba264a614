package proxy

import (
	"time"

	"rosemaryline.dev/admission"
)

// pressureWait is the wait for a slot after which an entry reports the service: a third of the queue that the owner aims for
// while the service is short (300 ms for each slot). Gates then refuse few requests, so that an entry without backend servers of
// its own would not report, and its requests would neither count as demand nor be refused.
const pressureWait = 100 * time.Millisecond

// refused records a refusal of a gate, as the gate or the entry sees it.
func (s *Shares) refused(service string, reason Reason) {
	if !isShortageReason(reason) || !s.selects(service) {
		return
	}
	s.pressed(service)
}

// isShortageReason reports whether a gate refused a request because it had no capacity for it.
func isShortageReason(reason Reason) bool {
	switch reason {
	case ReasonQueueFull, Reason(admission.ReasonFull), Reason(admission.ReasonHopeless), Reason(admission.ReasonTeamShare),
		Reason(admission.ReasonDisplaced), Reason(admission.ReasonMaxWait):
		return true
	default:
		return false
	}
}

// waited records the time that a request waited for a slot at any gate.
func (s *Shares) waited(service string, wait time.Duration) {
	if wait >= pressureWait && s.selects(service) {
		s.pressed(service)
	}
}

func (s *Shares) pressed(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state := s.service(service); state != nil {
		state.pressureAt = s.clock()
	}
}
