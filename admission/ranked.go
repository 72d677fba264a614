package admission

import (
	"slices"
	"time"
)

// rankedQueue serves more urgent ranks first and is fair among the teams of one rank. It answers a load above the
// capacity: what is more urgent starts first, and among requests of one priority those that can still be answered in time
// start before those that are late anyway, so that a backlog does not make every answer late.
type rankedQueue struct {
	// ranks are sorted, most urgent first; each one holds waiters.
	ranks []*rank
	size  int
}

type rank struct {
	*fairQueue
	level int
}

// RequestPriority and CallPriority place a priority of the configuration in Request.Priority. A call comes directly before
// the requests of its priority, because it holds up a request that already has a slot, and after all more urgent ones, which
// answers a service whose own urgent requests compete with many calls of less urgent ones.
func RequestPriority(priority int) int { return 2 * priority }

// CallPriority is RequestPriority for a call of a backend server.
func CallPriority(priority int) int { return 2*priority - 1 }

// rankOf returns the level of a priority's requests, those past their objective after the others.
func rankOf(priority int, late bool) int {
	level := 2 * priority
	if late {
		level++
	}
	return level
}

func isLate(level int) bool { return level%2 != 0 }

func newRankedQueues(n int) []*rankedQueue {
	queues := make([]*rankedQueue, n)
	for i := range queues {
		queues[i] = &rankedQueue{}
	}
	return queues
}

func (q *rankedQueue) find(level int) (int, bool) {
	return slices.BinarySearchFunc(q.ranks, level, func(r *rank, l int) int { return r.level - l })
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
	before, level := 0, rankOf(priority, false)
	for _, r := range q.ranks {
		if r.level == level {
			return before + r.position(team)
		}
		if r.level > level {
			break
		}
		before += r.size
	}
	return before + 1
}

func (q *rankedQueue) push(w *waiter) {
	i, ok := q.find(w.rank())
	if !ok {
		q.ranks = slices.Insert(q.ranks, i, &rank{fairQueue: newFairQueue(), level: w.rank()})
	}
	q.ranks[i].push(w)
	q.size++
}

// next returns the waiter that starts next. The queue must not be empty.
func (q *rankedQueue) next() *waiter { return q.ranks[0].next() }

// demote moves the waiters that became late behind those of their priority that are in time.
func (q *rankedQueue) demote(now time.Duration) {
	for _, r := range slices.Clone(q.ranks) {
		if isLate(r.level) {
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

// lateSize is the number of late waiters.
func (q *rankedQueue) lateSize() int {
	size := 0
	for _, r := range q.ranks {
		if isLate(r.level) {
			size += r.size
		}
	}
	return size
}

// lateWaiters returns the late waiters, the most urgent rank first.
func (q *rankedQueue) lateWaiters() []*waiter {
	var waiters []*waiter
	for _, r := range q.ranks {
		if isLate(r.level) {
			waiters = append(waiters, r.all()...)
		}
	}
	return waiters
}

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
	level := rankOf(priority, false)
	if last.level < level {
		return nil
	}
	if last.level == level {
		return last.displaceable(team, weight)
	}
	return last.newestOfLongest()
}

func (q *rankedQueue) remove(w *waiter) {
	i, ok := q.find(w.rank())
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
