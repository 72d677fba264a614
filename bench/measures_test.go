package main

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against counting refusals of requests above the team's rate as wrong, and against missing refusals of requests
// inside the rate.
func TestRefusedInsideRate(t *testing.T) {
	tests := []struct {
		desc                      string
		offered, refused, granted int
		shed                      int
		refusedInsideRate, above  int
	}{
		{desc: "nothing refused", offered: 100, refused: 0, granted: 100},
		{desc: "refused inside the rate", offered: 100, refused: 7, granted: 100, refusedInsideRate: 7},
		{desc: "exactly the excess refused", offered: 500, refused: 400, granted: 100},
		{desc: "more than the excess refused", offered: 500, refused: 410, granted: 100, refusedInsideRate: 10},
		{desc: "too little refused", offered: 500, refused: 390, granted: 100, above: 10},
		{desc: "a request refused with 503 did not run", offered: 500, refused: 380, shed: 15, granted: 100, above: 5},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			team := &teamTally{tally: newTally(), insideRate: test.granted}
			team.offered = test.offered
			team.ended[overRate] = test.refused
			team.ended[noCapacity] = test.shed
			assert.Equal(t, team.refusedInsideRate(), test.refusedInsideRate)
			assert.Equal(t, team.admittedOutsideRate(), test.above)
		})
	}
}

// Guards against a reference token bucket that grants more than rate*time + burst requests, or that refuses requests sent
// steadily at the rate.
func TestMarkInside(t *testing.T) {
	var list []arrival
	for i := range 100 {
		list = append(list, arrival{at: time.Duration(i) * 100 * time.Millisecond})
	}
	count := func(rate, burst float64) (granted int) {
		markInsideRate(list, newTokenBucket(rate, burst))
		for _, a := range list {
			if a.insideRate {
				granted++
			}
		}
		return granted
	}
	assert.Equal(t, count(10, 1), 100)
	assert.Equal(t, count(1, 5), 14) // the burst of 5 at once, and 9 more in 9.9 s
}

// Guards against counting a request that fails fast with a short latency, and a late response as one in time.
func TestTallyCountsFailuresAtTheDeadline(t *testing.T) {
	tally := newTally()
	for range 97 {
		tally.add(answered, 50*time.Millisecond, 3*time.Second, time.Second)
	}
	tally.add(answered, 2*time.Second, 3*time.Second, time.Second)
	tally.add(noCapacity, time.Millisecond, 3*time.Second, time.Second)
	tally.add(failed, 5*time.Second, 3*time.Second, time.Second)
	assert.Equal(t, tally.inTimeShare(), 0.97)
	assert.Assert(t, tally.p99() >= 2990 && tally.p99() <= 3010, "%v", tally.p99())
	assert.Equal(t, tally.ended[answered], 98)
	assert.Equal(t, tally.answered.TotalCount(), int64(98))
}

// Guards against reporting the team that is over its rate, or a mean over teams, as the worst team.
func TestWorstTeam(t *testing.T) {
	team := func(inTime, offered int, took time.Duration) *teamTally {
		tt := &teamTally{tally: newTally()}
		for i := range offered {
			o := answered
			if i >= inTime {
				o = failed
			}
			tt.add(o, took, time.Second, time.Second)
		}
		return tt
	}
	teams := map[string]*teamTally{
		"large": team(1000, 1000, 10*time.Millisecond),
		"small": team(9, 10, 10*time.Millisecond),
		"flood": team(1, 1000, 10*time.Millisecond),
	}
	assert.Equal(t, worstTeam(teams, "flood"), "small")
	assert.Equal(t, worstTeam(teams, ""), "flood")
	teams = map[string]*teamTally{"a": team(10, 10, 10*time.Millisecond), "b": team(10, 10, 90*time.Millisecond)}
	assert.Equal(t, worstTeam(teams, ""), "b")
}

// Guards against counting an ejection as a detection if it is before or after the fault or of another backend server.
func TestDetect(t *testing.T) {
	began := time.Unix(100, 0)
	at := func(d time.Duration) time.Time { return began.Add(d) }
	ended := at(10 * time.Second)
	fleet := []ejection{
		{server: "a", at: at(-time.Second), entry: -1},
		{server: "b", at: at(time.Second), entry: -1},
		{server: "a", at: at(2 * time.Second), entry: -1},
		{server: "a", at: at(11 * time.Second), entry: -1},
	}
	assert.Equal(t, detect(fleet, "a", began, ended, 4), detection{first: 2 * time.Second, most: 2 * time.Second, falseEjections: 3, falselyEjected: 2})
	entries := []ejection{
		{server: "a", at: at(time.Second), entry: 0},
		{server: "a", at: at(2 * time.Second), entry: 0},
		{server: "a", at: at(3 * time.Second), entry: 3},
	}
	assert.Equal(t, detect(entries, "a", began, ended, 4), detection{first: time.Second, most: 3 * time.Second})
	assert.Equal(t, detect(nil, "a", began, ended, 4), detection{first: -1, most: -1})
}

// Guards against traffic that differs between two runs with the same seed, or that misses the requested rate.
func TestScheduleRepeats(t *testing.T) {
	u := users[0]
	assert.NilError(t, u.load("../examples"))
	p := plan{user: u, rate: 300, totalTime: 20 * time.Second, seed: 7}
	one, two := p.schedule(), p.schedule()
	assert.Equal(t, len(one), len(two))
	for i := range one {
		assert.Equal(t, one[i], two[i])
	}
	assert.Assert(t, len(one) > 5500 && len(one) < 6500, "%d", len(one))
}
