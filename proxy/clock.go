package proxy

import "time"

// Clock returns the time since the start of the process on a monotonic clock.
type Clock func() time.Duration

// distantPast is a time before every event.
const distantPast = time.Duration(-1 << 62)

// NewClock returns a Clock that starts now.
func NewClock() Clock {
	start := time.Now()
	return func() time.Duration { return time.Since(start) }
}
