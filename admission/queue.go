package admission

import "time"

// waiter is a queued request.
type waiter struct {
	ticket   Ticket
	team     string
	level    int
	queuedAt time.Duration
	// expires is the last moment at which the waiter may be granted.
	expires time.Duration
	// reason is reported when the waiter expires.
	reason Reason
}

// teamQueue holds the waiters of one team in order of arrival.
type teamQueue struct {
	team    string
	waiters []*waiter
}

// fairQueue serves teams in turn. Every request costs one slot, so deficit round robin with a quantum of one request
// is a plain round robin over the teams that wait.
type fairQueue struct {
	teams map[string]*teamQueue
	// ring holds the teams that wait; the first one is served next.
	ring []*teamQueue
	size int
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

func (q *fairQueue) push(w *waiter) {
	t := q.teams[w.team]
	if t == nil {
		t = &teamQueue{team: w.team}
		q.teams[w.team] = t
		q.ring = append(q.ring, t)
	}
	t.waiters = append(t.waiters, w)
	q.size++
}

// next returns the oldest waiter of the team whose turn it is. The queue must not be empty.
func (q *fairQueue) next() *waiter {
	return q.ring[0].waiters[0]
}

// pop removes the waiter that next returns and ends its team's turn.
func (q *fairQueue) pop() {
	t := q.ring[0]
	t.waiters = t.waiters[1:]
	q.size--
	q.ring = q.ring[1:]
	if len(t.waiters) == 0 {
		delete(q.teams, t.team)
		return
	}
	q.ring = append(q.ring, t)
}

// displaceable returns the newest waiter of the team with the most waiters, where that team would still have no fewer
// than the given one; nil otherwise.
func (q *fairQueue) displaceable(team string) *waiter {
	var longest *teamQueue
	for _, t := range q.ring {
		if longest == nil || len(t.waiters) > len(longest.waiters) {
			longest = t
		}
	}
	if longest == nil || len(longest.waiters) <= q.teamSize(team)+1 {
		return nil
	}
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
	}
}

// drop removes a team without waiters.
func (q *fairQueue) drop(t *teamQueue) {
	delete(q.teams, t.team)
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
