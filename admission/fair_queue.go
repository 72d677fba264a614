package admission

import "time"

// waiter is a queued request.
type waiter struct {
	ticket Ticket
	team   string
	weight float64
	// priority is Request.Priority; lower values start first.
	priority int
	// objective is the time at which the waiter becomes late; 0 means never.
	objective time.Duration
	late      bool
	// depth is the level of the request and so the index of its queue; at most Config.NestedLevels.
	depth    int
	queuedAt time.Duration
	// expiresAt is the time at which the waiter expires. From then on it must not start.
	expiresAt time.Duration
	// expiryReason is the reason of the refusal when the waiter expires.
	expiryReason Reason
	// expectedCost is Request.ExpectedCost.
	expectedCost time.Duration
	// bytes is Request.Bytes.
	bytes int64
}

// currentRank returns the rank of the waiter in a priorityQueue. It changes when the waiter becomes late.
func (w *waiter) currentRank() int { return rankOf(w.priority, w.late) }

// teamQueue holds the waiters of one team in order of arrival.
type teamQueue struct {
	team    string
	weight  float64
	waiters []*waiter
	// deficit is the number of requests that the team may start before its turn ends, as in deficit round robin.
	deficit float64
}

// weightedLength returns the number of waiters of a team divided by its weight, by which teams are compared in a full
// queue. The first waiter does not count, so that a team with a small weight can queue one request beside a team with a
// large weight.
func weightedLength(waiters int, weight float64) float64 { return float64(waiters-1) / weight }

// minQuantum is the least number of requests that a round adds to a team's deficit. It limits how many rounds a team
// with a small weight waits for its next start while teams with larger weights wait too.
const minQuantum = 0.25

// fairQueue schedules teams by weighted deficit round robin; every request costs 1. A team that joins starts with a
// deficit of at least 1, so that a team with a small weight does not wait several rounds for its first start.
type fairQueue struct {
	teams map[string]*teamQueue
	// ring holds the teams with waiters in round-robin order. The first one is served next and has a deficit of at
	// least 1.
	ring []*teamQueue
	// weight is the sum of the weights of the teams in ring.
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

// position estimates the place of a new request of the team in the starting order, counted from 1, as if all teams
// had the same weight.
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

// quantum returns the number of requests that each round adds to the team's deficit: its weight relative to the mean
// weight.
func (q *fairQueue) quantum(t *teamQueue) float64 {
	return max(t.weight*float64(len(q.ring))/q.weight, minQuantum)
}

// next returns the waiter that starts next: the oldest one of the first team in the ring. The queue must not be
// empty.
func (q *fairQueue) next() *waiter {
	return q.ring[0].waiters[0]
}

// pop removes the waiter that next returns and reduces its team's deficit by 1.
func (q *fairQueue) pop() {
	t := q.ring[0]
	t.waiters = t.waiters[1:]
	t.deficit--
	q.size--
	if len(t.waiters) == 0 {
		q.removeTeam(t)
	}
	q.advanceTurn()
}

// advanceTurn moves teams that have used up their deficit to the end of the ring until the first one may start a
// request.
func (q *fairQueue) advanceTurn() {
	for len(q.ring) > 0 && q.ring[0].deficit < 1 {
		t := q.ring[0]
		t.deficit += q.quantum(t)
		q.ring = append(q.ring[1:], t)
	}
}

// displacementCandidate returns the waiter that a new request of the given team may displace: the newest waiter of
// the team with the most waiters for its weight. It returns nil when that team is the given one or would then have
// fewer waiters for its weight than the given team.
func (q *fairQueue) displacementCandidate(team string, weight float64) *waiter {
	longest := q.longest()
	if longest == nil || longest.team == team {
		return nil
	}
	if weightedLength(len(longest.waiters)-1, longest.weight) < weightedLength(q.teamSize(team)+1, weight) {
		return nil
	}
	return longest.waiters[len(longest.waiters)-1]
}

// longest returns the team with the most waiters for its weight; nil in an empty queue.
func (q *fairQueue) longest() *teamQueue {
	var longest *teamQueue
	for _, t := range q.ring {
		if longest == nil || weightedLength(len(t.waiters), t.weight) > weightedLength(len(longest.waiters), longest.weight) {
			longest = t
		}
	}
	return longest
}

// newestOfLongestTeam returns the newest waiter of the team with the most waiters for its weight. The queue must not
// be empty.
func (q *fairQueue) newestOfLongestTeam() *waiter {
	longest := q.longest()
	return longest.waiters[len(longest.waiters)-1]
}

// remove removes a waiter at any position. Its team keeps its place in the ring and its deficit.
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
		q.removeTeam(t)
		q.advanceTurn()
	}
}

// removeTeam removes a team that has no waiters left.
func (q *fairQueue) removeTeam(t *teamQueue) {
	delete(q.teams, t.team)
	q.weight -= t.weight
	if len(q.teams) == 0 {
		q.weight = 0 // keeps rounding errors from adding up
	}
	for i, other := range q.ring {
		if other == t {
			q.ring = append(q.ring[:i:i], q.ring[i+1:]...)
			return
		}
	}
}

// all returns the waiters, grouped by team in the order of the ring.
func (q *fairQueue) all() []*waiter {
	waiters := make([]*waiter, 0, q.size)
	for _, t := range q.ring {
		waiters = append(waiters, t.waiters...)
	}
	return waiters
}
