package admission

import "time"

// waiter is a queued request.
type waiter struct {
	ticket Ticket
	team   string
	weight float64
	// priority is the rank in its queue, 0 first.
	priority int
	// objective is the time from which the waiter is late; 0 is never.
	objective time.Duration
	late      bool
	// depth is at most Config.NestedLevels and so is the index of the waiter's queue.
	depth    int
	queuedAt time.Duration
	// expires is the last moment at which the waiter may be granted.
	expires time.Duration
	// reason is reported when the waiter expires.
	reason Reason
}

func (w *waiter) rank() int { return rankOf(w.priority, w.late) }

// teamQueue holds the waiters of one team in order of arrival.
type teamQueue struct {
	team    string
	weight  float64
	waiters []*waiter
	// deficit is the number of requests that the team may start before its turn ends.
	deficit float64
}

// queueLoad compares teams in a full queue. The first waiter of a team is free, so that a light team has room for one
// beside a heavy team.
func queueLoad(waiters int, weight float64) float64 { return float64(waiters-1) / weight }

// minQuantum bounds the rounds that a light team waits for its next turn while heavier teams wait too.
const minQuantum = 0.25

// fairQueue serves teams by deficit round robin. Every request costs one slot. A team that joins has its first turn
// free, so that a light team inside its rate doesn't wait several rounds.
type fairQueue struct {
	teams map[string]*teamQueue
	// ring holds the teams that wait; the first one is served next and has a deficit of at least 1.
	ring   []*teamQueue
	weight float64
	size   int
}

func newFairQueue() *fairQueue {
	return &fairQueue{teams: make(map[string]*teamQueue)}
}

func (q *fairQueue) teamSize(team string) int {
	t := q.teams[team]
	if t == nil {
		return 0
	}
	return len(t.waiters)
}

// position is the number of requests that would start up to and including a new one of the team, with equal turns.
func (q *fairQueue) position(team string) int {
	return min(q.size+1, (q.teamSize(team)+1)*max(len(q.ring), 1))
}

func (q *fairQueue) push(w *waiter) {
	t := q.teams[w.team]
	if t == nil {
		t = &teamQueue{team: w.team, weight: w.weight}
		q.teams[w.team] = t
		q.ring = append(q.ring, t)
		q.weight += t.weight
		t.deficit = max(q.quantum(t), 1)
	}
	t.waiters = append(t.waiters, w)
	q.size++
}

// quantum is the number of requests that a team may start in each round: its weight relative to the mean.
func (q *fairQueue) quantum(t *teamQueue) float64 {
	return max(t.weight*float64(len(q.ring))/q.weight, minQuantum)
}

// next returns the oldest waiter of the team whose turn it is. The queue must not be empty.
func (q *fairQueue) next() *waiter {
	return q.ring[0].waiters[0]
}

// pop removes the waiter that next returns and charges its team.
func (q *fairQueue) pop() {
	t := q.ring[0]
	t.waiters = t.waiters[1:]
	t.deficit--
	q.size--
	if len(t.waiters) == 0 {
		q.drop(t)
	}
	q.turn()
}

// turn passes the turn to the next team that may start a request.
func (q *fairQueue) turn() {
	for len(q.ring) > 0 && q.ring[0].deficit < 1 {
		t := q.ring[0]
		t.deficit += q.quantum(t)
		q.ring = append(q.ring[1:], t)
	}
}

// displaceable returns the newest waiter of the team with the most waiters for its weight, where that team would still
// have no fewer than the given one; nil otherwise.
func (q *fairQueue) displaceable(team string, weight float64) *waiter {
	longest := q.longest()
	if longest == nil || longest.team == team {
		return nil
	}
	if queueLoad(len(longest.waiters)-1, longest.weight) < queueLoad(q.teamSize(team)+1, weight) {
		return nil
	}
	return longest.waiters[len(longest.waiters)-1]
}

// longest returns the team with the most waiters for its weight; nil in an empty queue.
func (q *fairQueue) longest() *teamQueue {
	var longest *teamQueue
	for _, t := range q.ring {
		if longest == nil || queueLoad(len(t.waiters), t.weight) > queueLoad(len(longest.waiters), longest.weight) {
			longest = t
		}
	}
	return longest
}

// newestOfLongest returns the newest waiter of the team with the most waiters for its weight. The queue must not be
// empty.
func (q *fairQueue) newestOfLongest() *waiter {
	longest := q.longest()
	return longest.waiters[len(longest.waiters)-1]
}

// remove takes one waiter out of the queue. Its team keeps its turn.
func (q *fairQueue) remove(w *waiter) {
	t := q.teams[w.team]
	if t == nil {
		return
	}
	for i, other := range t.waiters {
		if other == w {
			t.waiters = append(t.waiters[:i:i], t.waiters[i+1:]...)
			q.size--
			break
		}
	}
	if len(t.waiters) == 0 {
		q.drop(t)
		q.turn()
	}
}

// drop removes a team without waiters.
func (q *fairQueue) drop(t *teamQueue) {
	delete(q.teams, t.team)
	q.weight -= t.weight
	if len(q.teams) == 0 {
		q.weight = 0 // rounding errors must not add up
	}
	for i, other := range q.ring {
		if other == t {
			q.ring = append(q.ring[:i:i], q.ring[i+1:]...)
			return
		}
	}
}

// all returns the waiters, team by team in turn.
func (q *fairQueue) all() []*waiter {
	waiters := make([]*waiter, 0, q.size)
	for _, t := range q.ring {
		waiters = append(waiters, t.waiters...)
	}
	return waiters
}
