package admission

import (
	"slices"
	"time"
)

// priorityQueue orders requests by rank and shares the starts within a rank fairly among the teams. It limits the
// effect of a load above the capacity: more urgent requests start first, and among requests of one priority those
// that can still meet their objective start before those that are late, so that a backlog does not make every
// response late.
type priorityQueue struct {
	// ranks is sorted by rank, the most urgent first. Each one holds at least one waiter.
	ranks []*rankQueue
	size  int
}

// rankQueue holds the waiters of one rank.
type rankQueue struct {
	*fairQueue
	rank int
}

// routeLevels is the number of priorities of routes that are told apart among the requests of one priority of a team.
const routeLevels = 16

// RequestPriority returns the value of Request.Priority for a request of a team with the configured priority on a route with
// the configured priority; 0 is the most urgent. The team's priority decides, and the route's orders the requests of teams
// with one priority. Without a team priority, both are the route's.
func RequestPriority(team, route int) int {
	return 2 * (routeLevels*team + min(max(route, 0), routeLevels-1))
}

// BackendCallPriority returns the value of Request.Priority for a call that a backend server makes on a route with
// the given configured priority. Such a call starts directly before the requests of its priority, because a request
// that already holds a slot waits for it. It starts after all more urgent requests, so that many calls for less
// urgent requests cannot starve the urgent requests of a service.
func BackendCallPriority(route int) int { return RequestPriority(route, route) - 1 }

// rankOf returns the rank of a waiter. Lower ranks start first; late waiters rank directly after the others of their
// priority.
func rankOf(priority int, late bool) int {
	rank := 2 * priority
	if late {
		rank++
	}
	return rank
}

// priorityOf returns the priority of the waiters of a rank.
func priorityOf(rank int) int { return rank >> 1 }

// isLate reports whether a rank holds late waiters.
func isLate(rank int) bool { return rank%2 != 0 }

func newPriorityQueues(n int) []*priorityQueue {
	queues := make([]*priorityQueue, n)
	for i := range queues {
		queues[i] = &priorityQueue{}
	}
	return queues
}

// find returns the index in ranks of the given rank, or the index at which it would be inserted and false.
func (q *priorityQueue) find(rank int) (int, bool) {
	return slices.BinarySearchFunc(q.ranks, rank, func(r *rankQueue, l int) int { return r.rank - l })
}

func (q *priorityQueue) teamSize(team string) int {
	size := 0
	for _, r := range q.ranks {
		size += r.teamSize(team)
	}
	return size
}

// workBefore estimates the slot time in nanoseconds of the requests that start before a new request, and of the request
// itself. hold returns the time for which a request of a priority holds its slot.
func (q *priorityQueue) workBefore(priority int, team string, hold func(priority int) float64) float64 {
	before, rank := 0.0, rankOf(priority, false)
	for _, r := range q.ranks {
		if r.rank == rank {
			return before + float64(r.position(team))*hold(priority)
		}
		if r.rank > rank {
			break
		}
		before += float64(r.size) * hold(priorityOf(r.rank))
	}
	return before + hold(priority)
}

func (q *priorityQueue) push(w *waiter) {
	i, ok := q.find(w.currentRank())
	if !ok {
		q.ranks = slices.Insert(q.ranks, i, &rankQueue{fairQueue: newFairQueue(), rank: w.currentRank()})
	}
	q.ranks[i].push(w)
	q.size++
}

// next returns the waiter that starts next. The queue must not be empty.
func (q *priorityQueue) next() *waiter { return q.ranks[0].next() }

// demoteLate moves the waiters that have passed their objective to the rank for late waiters of their priority.
func (q *priorityQueue) demoteLate(now time.Duration) {
	for _, r := range slices.Clone(q.ranks) {
		if isLate(r.rank) {
			continue
		}
		for _, w := range r.all() {
			if w.objective == 0 || now < w.objective {
				continue
			}
			q.remove(w)
			w.late = true
			q.push(w)
		}
	}
}

// lateSize returns the number of late waiters.
func (q *priorityQueue) lateSize() int {
	size := 0
	for _, r := range q.ranks {
		if isLate(r.rank) {
			size += r.size
		}
	}
	return size
}

// lateWaiters returns the late waiters, those of the most urgent rank first.
func (q *priorityQueue) lateWaiters() []*waiter {
	var waiters []*waiter
	for _, r := range q.ranks {
		if isLate(r.rank) {
			waiters = append(waiters, r.all()...)
		}
	}
	return waiters
}

// pop removes the waiter that next returns and reduces its team's deficit by 1.
func (q *priorityQueue) pop() {
	q.ranks[0].pop()
	q.size--
	if q.ranks[0].size == 0 {
		q.ranks = slices.Delete(q.ranks, 0, 1)
	}
}

// displacementCandidate returns the waiter that a new request may displace in a full queue: a waiter of the least
// urgent rank if that is less urgent than the request, or one of the same rank that fairness among the teams allows
// to displace; nil otherwise.
func (q *priorityQueue) displacementCandidate(priority int, team string, weight float64) *waiter {
	if len(q.ranks) == 0 {
		return nil
	}
	last := q.ranks[len(q.ranks)-1]
	rank := rankOf(priority, false)
	if last.rank < rank {
		return nil
	}
	if last.rank == rank {
		return last.displacementCandidate(team, weight)
	}
	return last.newestOfLongestTeam()
}

func (q *priorityQueue) remove(w *waiter) {
	i, ok := q.find(w.currentRank())
	if !ok {
		return
	}
	before := q.ranks[i].size
	q.ranks[i].remove(w)
	q.size -= before - q.ranks[i].size
	if q.ranks[i].size == 0 {
		q.ranks = slices.Delete(q.ranks, i, i+1)
	}
}

// all returns the waiters, those of the most urgent rank first.
func (q *priorityQueue) all() []*waiter {
	waiters := make([]*waiter, 0, q.size)
	for _, r := range q.ranks {
		waiters = append(waiters, r.all()...)
	}
	return waiters
}
