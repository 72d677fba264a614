package admission

import (
	"math"
	"time"
)

const (
	// lateMemory is the time in which the estimate of a lateDrain falls to a third without a late start: one to two times
	// the usual work of a request.
	lateMemory = 500 * time.Millisecond
	// lateReview is the time between two looks at the late requests.
	lateReview = 250 * time.Millisecond
)

// lateDrain estimates how fast requests past their objective start. It answers a load that stays above the capacity:
// requests in time then take nearly every slot, and a late one would only wait for its deadline.
type lateDrain struct {
	perSecond float64
	at        time.Duration
}

// reset takes the whole capacity for the rate: nothing is known yet.
func (d *lateDrain) reset(now time.Duration, capacity float64) {
	*d = lateDrain{perSecond: capacity, at: now}
}

// started records that a late request started.
func (d *lateDrain) started(now time.Duration) {
	d.decay(now)
	d.perSecond += 1 / lateMemory.Seconds()
}

func (d *lateDrain) decay(now time.Duration) {
	if now > d.at {
		d.perSecond *= math.Exp(-float64(now-d.at) / float64(lateMemory))
		d.at = now
	}
}

// wait estimates how long the last of n late requests waits for its start; at most maxLateWait.
func (d *lateDrain) wait(now time.Duration, n int) time.Duration {
	d.decay(now)
	seconds := float64(n) / d.perSecond
	if !(seconds < maxLateWait.Seconds()) {
		return maxLateWait
	}
	return time.Duration(seconds * float64(time.Second))
}

// maxLateWait keeps the estimate finite where nothing starts. It is longer than any deadline.
const maxLateWait = time.Hour

// review marks the requests that became late, and refuses those for which the rate of late starts leaves no chance before
// their deadline, so that their callers can go elsewhere.
func (g *Gate) review(now time.Duration) []Refusal {
	if now < g.reviewed+lateReview {
		return nil
	}
	g.reviewed = now
	var refusals []Refusal
	for level, q := range g.queues {
		g.demote(now, level)
		kept := 0
		for _, w := range q.lateWaiters() {
			if now+g.late[level].wait(now, kept+1) <= w.expires {
				kept++
				continue
			}
			q.remove(w)
			delete(g.waiting, w.ticket)
			refusals = append(refusals, Refusal{Ticket: w.ticket, Reason: ReasonHopeless})
		}
	}
	return refusals
}

// nextReview is when a waiter is looked at next.
func (g *Gate) nextReview(w *waiter) time.Duration {
	next := g.reviewed + lateReview
	if !w.late {
		if w.objective == 0 {
			return w.expires
		}
		next = max(next, w.objective)
	}
	return next
}

// demote marks the requests of a level that became late.
func (g *Gate) demote(now time.Duration, level int) {
	q := g.queues[level]
	if q.lateSize() == 0 {
		g.late[level].reset(now, g.ramp.rate())
	}
	q.demote(now)
}

// startEstimate is when a new request would start. One that would become late waits for the late starts.
func (g *Gate) startEstimate(now time.Duration, r Request, level int) time.Duration {
	q := g.queues[level]
	start := now + g.ramp.wait(q.position(r.Priority, r.Team))
	late := q.lateSize()
	if r.Objective == 0 || start <= r.Objective || late == 0 {
		return start
	}
	return max(start, r.Objective+g.late[level].wait(now, late+1))
}
