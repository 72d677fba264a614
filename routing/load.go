package routing

import (
	"math"
	"time"
)

// LoadHalfLife is the age at which a load report has half its weight. Load reports arrive with every response, so a
// report of this age says little about a queue that turns over several times per second.
const LoadHalfLife = 2 * time.Second

// minCapacity keeps the load finite for a candidate that reports no capacity.
const minCapacity = 0.1

// load estimates the utilisation that a request would find at a candidate; at 1 all slots are in use and the request
// would queue. The estimate moves towards 0.5 with the age of the report, so that a candidate that reported no or
// full load long ago is tried again.
func load(c *Candidate) float64 {
	const unknownLoad = 0.5
	reported := (c.InFlight + c.Queued) / math.Max(c.Capacity, minCapacity)
	if c.LoadAge <= 0 {
		return reported
	}
	weight := math.Exp2(-float64(c.LoadAge) / float64(LoadHalfLife))
	return weight*reported + (1-weight)*unknownLoad
}

// cost returns the value by which candidates are compared; lower is better. A path fault raises the cost and never
// excludes a candidate.
func cost(c *Candidate) float64 {
	const deadPathCost = 8 // a dead path costs as much as a queue of 8 times the slots
	return load(c) + deadPathCost*c.PathPenalty
}

// usablePath is the penalty from which a path does not count as usable.
const usablePath = 0.5

// hasFreeSlot reports whether the request is expected to start without queueing, over a usable path.
func hasFreeSlot(c *Candidate) bool {
	free := c.Capacity >= 1 && load(c)+1/c.Capacity <= 1
	return free && c.PathPenalty < usablePath
}
