package admission

import "time"

// coldRateWindow is the length of the sliding window in which the starts are counted.
const coldRateWindow = time.Second

// coldRateLimiter limits the number of requests that a cold backend server receives in any window of one second.
// Without it, a group of cold backend servers that returns at the same time is overloaded by the requests queued for
// it.
type coldRateLimiter struct {
	// perSecond is the maximum number of starts per window; 0 is no limit.
	perSecond float64
	// until is the time at which the backend server stops being cold.
	until time.Duration
	// starts holds the times of the starts within the last window, oldest first. They are recorded while the backend
	// server is warm too, because it may have become cold some time before it reports that.
	starts []time.Duration
}

// limit returns the maximum number of starts in one window.
func (c *coldRateLimiter) limit() int { return max(int(c.perSecond), 1) }

// next returns the earliest time at which a request may start: now, or a later time.
func (c *coldRateLimiter) next(now time.Duration) time.Duration {
	if c.perSecond <= 0 || now >= c.until {
		return now
	}
	c.prune(now)
	over := len(c.starts) - c.limit()
	if over < 0 {
		return now
	}
	return min(c.starts[over]+coldRateWindow, c.until)
}

// start records that a request starts.
func (c *coldRateLimiter) start(now time.Duration) {
	if c.perSecond <= 0 {
		return
	}
	c.prune(now)
	c.starts = append(c.starts, now)
}

// prune removes the starts that have left the window.
func (c *coldRateLimiter) prune(now time.Duration) {
	i := 0
	for i < len(c.starts) && now-c.starts[i] >= coldRateWindow {
		i++
	}
	c.starts = c.starts[i:]
}
