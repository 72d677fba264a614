package admission

import (
	"math"
	"time"
)

const (
	// usageTimeConstant is the time in which the measured usage of a priority decays to about a third (1/e) after its last
	// request has ended.
	usageTimeConstant = time.Second
	// minRemainingShare is the least share of the slots that an estimate leaves to a priority, however many slots the more
	// urgent ones use.
	minRemainingShare = 0.02
	// maxPriorities limits the priorities whose load is kept.
	maxPriorities = 64
	// holdWeight is the weight of a sample in the moving average of the time for which a request holds its slot.
	holdWeight = 1.0 / 8
)

// rankLoads measures how long the requests of each priority hold a slot, and how many slots they use. More urgent requests
// that arrive while a request waits start before it, so its wait depends on what they leave of the slots. Without that, a
// backlog of less urgent requests builds up whose estimated waits are all too short, and most of them are refused only after
// they have waited for most of their time.
type rankLoads struct {
	byPriority map[int]*rankLoad
}

// rankLoad is the load of one priority.
type rankLoad struct {
	// hold is a moving average of the time in nanoseconds for which a request holds its slot.
	hold float64
	// usage is the mean number of slots in use at updatedAt, an exponentially decaying average.
	usage     float64
	updatedAt time.Duration
}

// record adds a request that held its slot for the given time.
func (l *rankLoads) record(now time.Duration, priority int, held time.Duration) {
	r := l.byPriority[priority]
	if r == nil {
		if len(l.byPriority) >= maxPriorities {
			return
		}
		if l.byPriority == nil {
			l.byPriority = map[int]*rankLoad{}
		}
		r = &rankLoad{hold: float64(held), updatedAt: now}
		l.byPriority[priority] = r
	}
	r.hold += (float64(held) - r.hold) * holdWeight
	r.usage = r.usageAt(now) + float64(held)/float64(usageTimeConstant)
	r.updatedAt = now
}

func (r *rankLoad) usageAt(now time.Duration) float64 {
	return r.usage * math.Exp(-float64(max(now-r.updatedAt, 0))/float64(usageTimeConstant))
}

// holdOf returns the time in nanoseconds for which a request of the priority holds its slot, or fallback if it is not known.
func (l *rankLoads) holdOf(priority int, fallback float64) float64 {
	if r := l.byPriority[priority]; r != nil {
		return r.hold
	}
	return fallback
}

// remainingSlots returns the slots that the requests more urgent than the priority leave.
func (l *rankLoads) remainingSlots(now time.Duration, priority, slots int) float64 {
	remaining := float64(slots)
	for p, r := range l.byPriority {
		if p < priority {
			remaining -= r.usageAt(now)
		}
	}
	return max(remaining, minRemainingShare*float64(slots))
}
