package proxy

import "time"

// Clock returns the time on a monotonic clock since the start of the process.
type Clock func() time.Duration

// never is a time before every event.
const never = time.Duration(-1 << 62)

// NewClock returns a Clock that starts now.
func NewClock() Clock {
	start := time.Now()
	return func() time.Duration { return time.Since(start) }
}
