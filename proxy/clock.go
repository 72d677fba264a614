package proxy

import "time"

// Clock returns the time on a monotonic clock since the start of the process.
type Clock func() time.Duration

// NewClock returns a Clock that starts now.
func NewClock() Clock {
	start := time.Now()
	return func() time.Duration { return time.Since(start) }
}
