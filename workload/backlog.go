package workload

import (
	"slices"
	"time"
)

// Backlog is the work that is left at a gate for one backend server, at nominal speed. It handles servers with 1 to
// hundreds of slots and long requests among short ones, where the number of requests says little about the wait.
type Backlog struct {
	// Slots is the number of requests that may run at once.
	Slots int
	// Running holds the expected remaining cost of each running request, Queued the expected cost of each queued one in the
	// order of their starts.
	Running, Queued []time.Duration
	// Speed is the estimated speed of the backend server. 0 means 1.
	Speed float64
}

// Start returns the time until a new request would start if all queued ones start before it.
func (b Backlog) Start() time.Duration {
	speed := b.Speed
	if speed <= 0 {
		speed = 1
	}
	if len(b.Running)+len(b.Queued) < b.Slots {
		return 0
	}
	slots := max(b.Slots, 1)
	ends := slices.Clone(b.Running)
	slices.Sort(ends)
	// If more requests run than may run now, the first ones to end leave no slot.
	ends = ends[max(len(ends)-slots, 0):]
	free := make([]time.Duration, slots-len(ends), slots)
	free = append(free, ends...)
	for _, cost := range b.Queued {
		end := free[0] + cost
		at, _ := slices.BinarySearch(free[1:], end)
		copy(free, free[1:at+1])
		free[at] = end
	}
	return scaled(free[0], speed)
}

// Completion returns the time until a new request with the given cost would end.
func (b Backlog) Completion(cost time.Duration) time.Duration {
	speed := b.Speed
	if speed <= 0 {
		speed = 1
	}
	return b.Start() + scaled(cost, speed)
}

func scaled(cost time.Duration, speed float64) time.Duration {
	return time.Duration(float64(cost) / speed)
}
