package admission

import "slices"

// rankedQueue serves more urgent priorities first and is fair among the teams of one priority.
type rankedQueue struct {
	// ranks are sorted, most urgent first; each one holds waiters.
	ranks []*rank
	size  int
}

type rank struct {
	*fairQueue
	priority int
}

func newRankedQueues(n int) []*rankedQueue {
	queues := make([]*rankedQueue, n)
	for i := range queues {
		queues[i] = &rankedQueue{}
	}
	return queues
}

func (q *rankedQueue) find(priority int) (int, bool) {
	return slices.BinarySearchFunc(q.ranks, priority, func(r *rank, p int) int { return r.priority - p })
}

func (q *rankedQueue) teamSize(team string) int {
	size := 0
	for _, r := range q.ranks {
		size += r.teamSize(team)
	}
	return size
}

// position is the number of requests that would start up to and including a new one.
func (q *rankedQueue) position(priority int, team string) int {
	before := 0
	for _, r := range q.ranks {
		if r.priority == priority {
			return before + r.position(team)
		}
		if r.priority > priority {
			break
		}
		before += r.size
	}
	return before + 1
}

func (q *rankedQueue) push(w *waiter) {
	i, ok := q.find(w.priority)
	if !ok {
		q.ranks = slices.Insert(q.ranks, i, &rank{fairQueue: newFairQueue(), priority: w.priority})
	}
	q.ranks[i].push(w)
	q.size++
}

// next returns the waiter that starts next. The queue must not be empty.
func (q *rankedQueue) next() *waiter { return q.ranks[0].next() }

// pop removes the waiter that next returns and charges its team.
func (q *rankedQueue) pop() {
	q.ranks[0].pop()
	q.size--
	if q.ranks[0].size == 0 {
		q.ranks = slices.Delete(q.ranks, 0, 1)
	}
}

// displaceable returns the waiter that makes room for a new request in a full queue: one of the least urgent rank below
// the request's, or within its own rank the one that fairness gives up; nil where there is none.
func (q *rankedQueue) displaceable(priority int, team string, weight float64) *waiter {
	if len(q.ranks) == 0 {
		return nil
	}
	last := q.ranks[len(q.ranks)-1]
	if last.priority < priority {
		return nil
	}
	if last.priority == priority {
		return last.displaceable(team, weight)
	}
	return last.newestOfLongest()
}

func (q *rankedQueue) remove(w *waiter) {
	i, ok := q.find(w.priority)
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

// all returns the waiters, the most urgent rank first.
func (q *rankedQueue) all() []*waiter {
	waiters := make([]*waiter, 0, q.size)
	for _, r := range q.ranks {
		waiters = append(waiters, r.all()...)
	}
	return waiters
}
