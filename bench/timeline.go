package main

import "time"

// warmUpTime is the time for which traffic is sent before the measurement starts.
const warmUpTime = 4 * time.Second

// timeline has the times of a scenario, relative to the start of the traffic.
type timeline struct{ faultStart, faultEnd, end time.Duration }

// newTimeline returns a timeline with the fault in the middle half of the measured time.
func newTimeline(measured time.Duration) timeline {
	return timeline{
		faultStart: warmUpTime + measured/4,
		faultEnd:   warmUpTime + 3*measured/4,
		end:        warmUpTime + measured,
	}
}

func (t timeline) phase(at time.Duration) phase {
	switch {
	case at < warmUpTime:
		return warmUp
	case at < t.faultStart:
		return before
	case at < t.faultEnd:
		return during
	default:
		return after
	}
}
