package routing

import (
	"math"
	"time"
)

// Work is what is known of the work at a candidate, for one request. The zero value means that nothing is known.
type Work struct {
	// Cost is the expected time that the request would hold a slot at the candidate's usual speed; 0 means unknown.
	Cost time.Duration
	// Speed is the reported speed relative to the usual one; 0 means that there is no report.
	Speed float64
	// Start is the reported time until a new request would start.
	Start time.Duration
	// UsualStart is the start that reports of all candidates show on average. A report moves towards it with its age.
	UsualStart time.Duration
	// Age is the age of the report.
	Age time.Duration
	// Own is the number of requests that this process sent there since the report and that have not ended, OwnCost the
	// sum of their expected costs.
	Own     int
	OwnCost time.Duration
	// Path is the expected time on the network.
	Path time.Duration
}

const (
	// speedHalfLife is the age at which a reported speed has half its weight. It is longer than LoadHalfLife: a server
	// that is slow stays so for seconds, while its queue turns over.
	speedHalfLife = 4 * time.Second
	// deadPathFactor is the cost of a dead path, as a multiple of the request's own cost. See cost.
	deadPathFactor = 8
)

// ExpectedSpeed returns the speed that a request would find. It moves towards 1 with the age of the report, so that a
// server that was slow long ago is tried again.
func (c *Candidate) ExpectedSpeed() float64 {
	if c.Work.Speed <= 0 {
		return 1
	}
	if c.Work.Age <= 0 {
		return c.Work.Speed
	}
	return math.Pow(c.Work.Speed, math.Exp2(-float64(c.Work.Age)/float64(speedHalfLife)))
}

// ExpectedStart returns the time until a request would start. Without a report it is derived from the counts. Reports
// and counts lose weight with their age; the requests that this process sent since then do not, because they are known.
func (c *Candidate) ExpectedStart() time.Duration { return c.start(c.Work.UsualStart) }

// start returns the time until a request would start, if a candidate without a report would start it after usual.
func (c *Candidate) start(usual time.Duration) time.Duration {
	capacity := math.Max(c.Capacity, minCapacity)
	own := float64(c.Work.Own)
	others := math.Max(c.InFlight-own, 0) + c.Queued
	busy := own + others*reportWeight(c.LoadAge)
	// excess is the number of requests that must end before the new one starts.
	excess := math.Max(busy+1-capacity, 0)
	duration := float64(c.Work.Cost) / c.ExpectedSpeed()
	if c.Work.Speed <= 0 {
		return max(time.Duration(excess/capacity*duration), usual)
	}
	weight := reportWeight(c.Work.Age)
	start := float64(c.Work.Start)*weight + float64(usual)*(1-weight)
	if own > 0 {
		start += math.Min(excess, own) / own * float64(c.Work.OwnCost) / c.ExpectedSpeed() / capacity
	}
	return time.Duration(start)
}

// ExpectedCompletion returns the time until a response to the request would arrive. It is 0 if the cost of the request
// is not known.
func (c *Candidate) ExpectedCompletion() time.Duration {
	if c.Work.Cost <= 0 {
		return 0
	}
	duration := float64(c.Work.Cost) / c.ExpectedSpeed()
	path := float64(c.Work.Path) + deadPathFactor*c.PathPenalty*float64(c.Work.Cost)
	return c.ExpectedStart() + time.Duration(duration+path)
}

// reportWeight returns the weight of a report by its age.
func reportWeight(age time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(LoadHalfLife))
}
