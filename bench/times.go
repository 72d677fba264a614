package main

import "time"

// warmUpTime is the traffic before the measured time.
const warmUpTime = 4 * time.Second

// times are the parts of a scenario, counted from the start of the traffic.
type times struct{ faultFrom, faultTo, end time.Duration }

// newTimes gives the fault the middle half of the measured time.
func newTimes(measured time.Duration) times {
	return times{
		faultFrom: warmUpTime + measured/4,
		faultTo:   warmUpTime + 3*measured/4,
		end:       warmUpTime + measured,
	}
}

func (t times) phase(at time.Duration) phase {
	switch {
	case at < warmUpTime:
		return warmUp
	case at < t.faultFrom:
		return before
	case at < t.faultTo:
		return during
	default:
		return after
	}
}
