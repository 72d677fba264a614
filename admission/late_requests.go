package admission

import (
	"math"
	"time"
)

const (
	// lateRateTimeConstant is the time in which the estimated rate decays to about a third (1/e) without a late
	// start. It is one to two times the usual duration of a request.
	lateRateTimeConstant = 500 * time.Millisecond
	// lateReviewInterval is the minimum time between two runs of reviewLate.
	lateReviewInterval = 250 * time.Millisecond
)

// lateStartRate estimates the rate at which late requests start, as an exponentially decaying average. While the load
// stays above the capacity, requests that are not late take nearly every slot, and most late requests would only wait
// until their deadline. The estimate allows refusing those early.
type lateStartRate struct {
	// perSecond is the estimate at updatedAt, in requests per second.
	perSecond float64
	updatedAt time.Duration
}

// reset sets the estimate to the capacity in requests per second, because no late start has been observed yet.
func (r *lateStartRate) reset(now time.Duration, capacity float64) {
	*r = lateStartRate{perSecond: capacity, updatedAt: now}
}

// recordStart records that a late request starts.
func (r *lateStartRate) recordStart(now time.Duration) {
	r.decay(now)
	r.perSecond += 1 / lateRateTimeConstant.Seconds()
}

// decay reduces the estimate by the time since its last update.
func (r *lateStartRate) decay(now time.Duration) {
	if now > r.updatedAt {
		r.perSecond *= math.Exp(-float64(now-r.updatedAt) / float64(lateRateTimeConstant))
		r.updatedAt = now
	}
}

// estimateWait estimates how long the last of n late requests waits for its start, at most maxWait.
func (r *lateStartRate) estimateWait(now time.Duration, n int) time.Duration {
	r.decay(now)
	seconds := float64(n) / r.perSecond
	if !(seconds < maxWait.Seconds()) {
		return maxWait
	}
	return time.Duration(seconds * float64(time.Second))
}

// maxWait limits estimated waits. It is longer than any deadline.
const maxWait = time.Hour

// reviewLate marks the requests that have become late and refuses those that are not expected to start before their
// deadline at the current rate of late starts, so that their callers can retry elsewhere. It returns the refused
// requests.
func (g *Gate) reviewLate(now time.Duration) []Refusal {
	if now < g.lastReview+lateReviewInterval {
		return nil
	}
	g.lastReview = now
	var refusals []Refusal
	for level, q := range g.queues {
		g.demoteLate(now, level)
		kept := 0
		for _, w := range q.lateWaiters() {
			if now+g.late[level].estimateWait(now, kept+1) <= w.expiresAt {
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

// nextReview returns the earliest time at which reviewLate may mark the waiter as late or refuse it. For a waiter
// without an objective it returns the time of its expiry.
func (g *Gate) nextReview(w *waiter) time.Duration {
	next := g.lastReview + lateReviewInterval
	if !w.late {
		if w.objective == 0 {
			return w.expiresAt
		}
		next = max(next, w.objective)
	}
	return next
}

// demoteLate marks the requests at a level that have become late.
func (g *Gate) demoteLate(now time.Duration, level int) {
	q := g.queues[level]
	if q.lateSize() == 0 {
		g.late[level].reset(now, g.limit.throughput())
	}
	q.demoteLate(now)
}

// estimateQueueWait estimates how long a new request waits for its slot: until the slots that more urgent requests leave have
// served the requests before it.
func (g *Gate) estimateQueueWait(now time.Duration, q *priorityQueue, r *Request) time.Duration {
	work := q.workBefore(r.Priority, r.Team, func(priority int) float64 { return g.loads.holdOf(priority, g.limit.latency()) })
	seconds := work / g.loads.remainingSlots(now, r.Priority, g.limit.slotsInUse()) / float64(time.Second)
	if !(seconds < maxWait.Seconds()) {
		return maxWait
	}
	return time.Duration(seconds * float64(time.Second))
}

// maxWaitShare is the part of the time to its objective that a new request may be expected to wait. More urgent requests that
// arrive later start first, so a wait is often longer than expected.
const maxWaitShare = 0.5

// wouldStartLate reports whether a new request is too likely to start after its objective to be queued. Load pattern: a service is
// short of capacity for seconds. A queue as long as the deadlines allow makes every response late, while one as long as the
// objectives allow keeps the slots as busy, and what it does not take is refused at once and can be sent elsewhere. A request without
// an objective may always wait.
func (g *Gate) wouldStartLate(now time.Duration, q *priorityQueue, r *Request) bool {
	return r.Objective != 0 && float64(g.estimateQueueWait(now, q, r)) > maxWaitShare*float64(r.Objective-now)
}

// estimateStart estimates the time at which a new request would start. A request that would become late in the queue
// is expected to start at the rate of late starts.
func (g *Gate) estimateStart(now time.Duration, r Request, level int) time.Duration {
	q := g.queues[level]
	start := now + g.estimateQueueWait(now, q, &r)
	late := q.lateSize()
	if r.Objective == 0 || start <= r.Objective || late == 0 {
		return start
	}
	return max(start, r.Objective+g.late[level].estimateWait(now, late+1))
}
