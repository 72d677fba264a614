package main

import (
	"sync"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

// outcome is how a request ended.
type outcome int

const (
	answered     outcome = iota
	overRate             // 429
	noCapacity           // 503
	pastDeadline         // 504
	nestedFailed         // 200, but the backend server's nested call failed
	failed               // any other status, a cut answer, or none
	outcomes
)

var outcomeNames = [outcomes]string{"answered", "overRate", "noCapacity", "pastDeadline", "nestedFailed", "failed"}

func (o outcome) String() string { return outcomeNames[o] }

const (
	// histogram limits in microseconds, and digits
	lowestLatency  = 1
	highestLatency = 120_000_000
	latencyDigits  = 3
	// lateSend is the delay of a send from which on it counts as late: the machine was too busy.
	lateSend = 50 * time.Millisecond
	// badSecondShare is the share of requests in time below which a second counts as bad.
	badSecondShare = 0.95
)

// tally counts requests. A request that is not answered counts with its route's deadline in the histogram, so that
// failing fast does not look like a short answer.
type tally struct {
	offered, inTime int
	ended           [outcomes]int
	latency         *hdr.Histogram
	answered        *hdr.Histogram // answered requests only
}

func newTally() *tally {
	return &tally{latency: newHistogram(), answered: newHistogram()}
}

func newHistogram() *hdr.Histogram { return hdr.New(lowestLatency, highestLatency, latencyDigits) }

func (t *tally) add(o outcome, took, deadline, limit time.Duration) {
	t.offered++
	t.ended[o]++
	if o != answered {
		took = max(took, deadline)
	} else if took <= limit {
		t.inTime++
	}
	micros := min(max(took.Microseconds(), lowestLatency), highestLatency)
	// A value within the limits is always recorded.
	_ = t.latency.RecordValue(micros)
	if o == answered {
		_ = t.answered.RecordValue(micros)
	}
}

// share returns the share answered in time.
func (t *tally) share() float64 {
	if t.offered == 0 {
		return 1
	}
	return float64(t.inTime) / float64(t.offered)
}

// admittedShare returns the share answered in time of the requests that were not refused for the rate.
func (t *tally) admittedShare() float64 {
	admitted := t.offered - t.ended[overRate]
	if admitted == 0 {
		return 1
	}
	return float64(t.inTime) / float64(admitted)
}

// p99 returns the 99th percentile in milliseconds.
func (t *tally) p99() float64 { return millis(t.latency, 99) }

func millis(h *hdr.Histogram, quantile float64) float64 {
	return float64(h.ValueAtQuantile(quantile)) / 1000
}

// teamTally counts a team's requests, also against a token bucket with its rate and burst.
type teamTally struct {
	*tally
	// inside counts the requests that the token bucket grants.
	inside int
}

// refusedInside returns how many refusals for the rate the team did not deserve.
func (t *teamTally) refusedInside() int {
	return max(0, t.ended[overRate]-(t.offered-t.inside))
}

// admittedOutside returns how many requests were let through above the team's rate and burst. Status 503 says that a
// request did not run, so the team did not receive it.
func (t *teamTally) admittedOutside() int {
	return max(0, t.offered-t.ended[overRate]-t.ended[noCapacity]-t.inside)
}

// phase is a part of the measured time.
type phase int

const (
	warmUp phase = iota // not measured
	before
	during
	after
	phases
)

// recorder counts what a system did with a schedule.
type recorder struct {
	times  times
	limit  time.Duration // in time
	except string        // team that is over its rate, or ""

	mu      sync.Mutex // guards the fields below
	teams   map[string]*teamTally
	phases  [phases]*tally // without the team that is over its rate
	keyed   *tally
	seconds map[int]*[2]int // offered and in time by second, without the team that is over its rate
	late    int
}

func newRecorder(u *user, t times, limit time.Duration, except string) *recorder {
	r := &recorder{times: t, limit: limit, except: except, teams: map[string]*teamTally{}, keyed: newTally(), seconds: map[int]*[2]int{}}
	for _, team := range u.teams {
		r.teams[team] = &teamTally{tally: newTally()}
	}
	for i := range r.phases {
		r.phases[i] = newTally()
	}
	return r
}

func (r *recorder) add(a *arrival, o outcome, took, late time.Duration) {
	p := r.times.phase(a.at)
	if p == warmUp {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if late > lateSend {
		r.late++
	}
	deadline := a.route.deadline
	team := r.teams[a.team]
	team.add(o, took, deadline, r.limit)
	if a.inside {
		team.inside++
	}
	if a.keyed {
		r.keyed.add(o, took, deadline, r.limit)
	}
	if a.team == r.except {
		return
	}
	r.phases[p].add(o, took, deadline, r.limit)
	r.addSecond(int(a.at/time.Second), o == answered && took <= r.limit)
}

func (r *recorder) addSecond(second int, inTime bool) {
	counts, ok := r.seconds[second]
	if !ok {
		counts = &[2]int{}
		r.seconds[second] = counts
	}
	counts[0]++
	if inTime {
		counts[1]++
	}
}

// badSeconds counts the seconds in which too few requests were answered in time.
func (r *recorder) badSeconds() int {
	bad := 0
	for _, counts := range r.seconds {
		if float64(counts[1]) < badSecondShare*float64(counts[0]) {
			bad++
		}
	}
	return bad
}
