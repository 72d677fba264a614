package admission

import "time"

// coldWindow is the time over which the starts of a cold backend server are counted.
const coldWindow = time.Second

// coldRate bounds the requests that a cold backend server gets in any window of one second. It answers the load of a
// whole group of backend servers that returns at once, cold, to the traffic that waited for it.
type coldRate struct {
	perSecond float64
	// until is the end of the cold time.
	until time.Duration
	// starts are the times of the starts within the last window, oldest first. They are kept in warm times too, because
	// a backend server may have turned cold some time before it tells.
	starts []time.Duration
}

// limit is the number of starts in one window.
func (c *coldRate) limit() int { return max(int(c.perSecond), 1) }

// next returns the earliest time at which a request may start.
func (c *coldRate) next(now time.Duration) time.Duration {
	if c.perSecond <= 0 || now >= c.until {
		return now
	}
	c.forget(now)
	over := len(c.starts) - c.limit()
	if over < 0 {
		return now
	}
	return min(c.starts[over]+coldWindow, c.until)
}

// start notes that a request starts.
func (c *coldRate) start(now time.Duration) {
	if c.perSecond <= 0 {
		return
	}
	c.forget(now)
	c.starts = append(c.starts, now)
}

func (c *coldRate) forget(now time.Duration) {
	i := 0
	for i < len(c.starts) && now-c.starts[i] >= coldWindow {
		i++
	}
	c.starts = c.starts[i:]
}
