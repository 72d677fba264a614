package routing

import (
	"math"
	"time"
)

// LoadHalfLife is the age at which a load report counts half. Reports travel with every answer, so a report this old
// says little about a queue that turns over several times a second.
const LoadHalfLife = 2 * time.Second

// minCapacity keeps the load ratio finite for a candidate that announces no capacity.
const minCapacity = 0.1

// load estimates the utilisation that the request would meet: at 1 all slots are taken and the request would queue.
// An old report is drawn towards half use, so that a candidate that looked idle or full long ago gets tried again.
func load(c *Candidate) float64 {
	const unknownLoad = 0.5
	reported := (c.InFlight + c.Queued) / math.Max(c.Capacity, minCapacity)
	if c.LoadAge <= 0 {
		return reported
	}
	weight := math.Exp2(-float64(c.LoadAge) / float64(LoadHalfLife))
	return weight*reported + (1-weight)*unknownLoad
}

// rank orders candidates: lower is better. A path fault raises the rank and never excludes the candidate.
func rank(c *Candidate) float64 {
	const deadPathCost = 8 // a dead path ranks behind a queue of this many times the slots
	return load(c) + deadPathCost*c.PathPenalty
}

// hasRoom tells whether the request would start without queueing over a usable path.
func hasRoom(c *Candidate) bool {
	const usablePath = 0.5
	free := c.Capacity >= 1 && load(c)+1/c.Capacity <= 1
	return free && c.PathPenalty < usablePath
}
