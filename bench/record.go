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
	failed               // any other status, a truncated response, or no response
	outcomes
)

var outcomeNames = [outcomes]string{"answered", "overRate", "noCapacity", "pastDeadline", "nestedFailed", "failed"}

func (o outcome) String() string { return outcomeNames[o] }

const (
	// lowestLatency and highestLatency are the limits of a histogram in microseconds. latencyDigits is its precision in
	// significant decimal digits.
	lowestLatency  = 1
	highestLatency = 120_000_000
	latencyDigits  = 3
	// lateSendThreshold is the delay after the scheduled time above which a send counts as late. A late send means that the
	// machine was too busy.
	lateSendThreshold = 50 * time.Millisecond
	// badSecondShare is the share of requests answered in time below which a second counts as bad.
	badSecondShare = 0.95
)

// tally counts requests and their latencies. The latency of a request that is not answered counts as at least its route's
// deadline, so that failing fast does not look like a fast response.
type tally struct {
	offered, inTime int // all requests, and those answered in time
	ended           [outcomes]int
	latency         *hdr.Histogram // all requests, in microseconds
	answered        *hdr.Histogram // answered requests only, in microseconds
}

func newTally() *tally {
	return &tally{latency: newHistogram(), answered: newHistogram()}
}

func newHistogram() *hdr.Histogram { return hdr.New(lowestLatency, highestLatency, latencyDigits) }

// add counts a request. took is its latency and deadline the deadline of its route.
func (t *tally) add(o outcome, took, deadline, inTimeLimit time.Duration) {
	t.offered++
	t.ended[o]++
	if o != answered {
		took = max(took, deadline)
	} else if took <= inTimeLimit {
		t.inTime++
	}
	micros := min(max(took.Microseconds(), lowestLatency), highestLatency)
	// RecordValue fails only for a value outside the limits.
	_ = t.latency.RecordValue(micros)
	if o == answered {
		_ = t.answered.RecordValue(micros)
	}
}

// inTimeShare returns the share of the requests that were answered in time, from 0 to 1.
func (t *tally) inTimeShare() float64 {
	if t.offered == 0 {
		return 1
	}
	return float64(t.inTime) / float64(t.offered)
}

// admittedInTimeShare is inTimeShare without the requests that were refused because their team was over its rate.
func (t *tally) admittedInTimeShare() float64 {
	admitted := t.offered - t.ended[overRate]
	if admitted == 0 {
		return 1
	}
	return float64(t.inTime) / float64(admitted)
}

// p99 returns the 99th percentile of the latency in milliseconds.
func (t *tally) p99() float64 { return percentileMillis(t.latency, 99) }

// percentileMillis returns a percentile, from 0 to 100, of a histogram in milliseconds.
func percentileMillis(h *hdr.Histogram, percentile float64) float64 {
	return float64(h.ValueAtQuantile(percentile)) / 1000
}

// teamTally counts a team's requests and compares them with a token bucket that has the team's rate and burst.
type teamTally struct {
	*tally
	// insideRate is the number of requests that the token bucket grants.
	insideRate int
}

// refusedInsideRate returns the number of refusals with 429 beyond the number of requests that the token bucket does not
// grant. These refusals are wrong, because the team's rate and burst allowed the requests.
func (t *teamTally) refusedInsideRate() int {
	return max(0, t.ended[overRate]-(t.offered-t.insideRate))
}

// admittedOutsideRate returns the number of admitted requests beyond the number that the token bucket grants. A request
// refused with 503 did not run, so it does not count as admitted.
func (t *teamTally) admittedOutsideRate() int {
	return max(0, t.offered-t.ended[overRate]-t.ended[noCapacity]-t.insideRate)
}

// phase is a part of a scenario, relative to the fault.
type phase int

const (
	warmUp phase = iota // not measured
	before
	during
	after
	phases
)

// recorder counts the outcomes of a schedule's requests at one system.
type recorder struct {
	timeline     timeline
	inTimeLimit  time.Duration // longest latency that counts as in time
	excludedTeam string        // team that sends above its rate, or ""

	mu        sync.Mutex // guards the fields below
	teams     map[string]*teamTally
	phases    [phases]*tally // without excludedTeam
	keyed     *tally
	seconds   map[int]*[2]int // requests offered and answered in time, by second, without excludedTeam
	lateSends int
}

func newRecorder(u *user, t timeline, inTimeLimit time.Duration, excludedTeam string) *recorder {
	r := &recorder{timeline: t, inTimeLimit: inTimeLimit, excludedTeam: excludedTeam, teams: map[string]*teamTally{}, keyed: newTally(), seconds: map[int]*[2]int{}}
	for _, team := range u.teams {
		r.teams[team] = &teamTally{tally: newTally()}
	}
	for i := range r.phases {
		r.phases[i] = newTally()
	}
	return r
}

// add counts a request, except for one during the warm-up. took is the time from the scheduled send to the end of the
// response, and sendDelay the time from the scheduled to the actual send.
func (r *recorder) add(a *arrival, o outcome, took, sendDelay time.Duration) {
	p := r.timeline.phase(a.at)
	if p == warmUp {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if sendDelay > lateSendThreshold {
		r.lateSends++
	}
	deadline := a.route.deadline
	team := r.teams[a.team]
	team.add(o, took, deadline, r.inTimeLimit)
	if a.insideRate {
		team.insideRate++
	}
	if a.keyed {
		r.keyed.add(o, took, deadline, r.inTimeLimit)
	}
	if a.team == r.excludedTeam {
		return
	}
	r.phases[p].add(o, took, deadline, r.inTimeLimit)
	r.addSecond(int(a.at/time.Second), o == answered && took <= r.inTimeLimit)
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

// badSeconds returns the number of seconds in which the share of requests answered in time was below badSecondShare.
func (r *recorder) badSeconds() int {
	bad := 0
	for _, counts := range r.seconds {
		if float64(counts[1]) < badSecondShare*float64(counts[0]) {
			bad++
		}
	}
	return bad
}
