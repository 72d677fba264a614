package admission

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// limitServer simulates a backend server whose requests differ widely in their work: a spread of half the mean, and 2% with
// six times the work.
type limitServer struct {
	// slowness multiplies the time of all requests.
	slowness float64
	// capacity is the number of requests that run without slowing each other down; 0 is no limit.
	capacity int
	// shedAbove is the number of requests in flight above which it sheds; 0 is no limit.
	shedAbove int
	// falseSheds is the share of requests that it sheds at any load.
	falseSheds float64
	// episode is the length of the phases in which slowness applies and does not apply in turn; 0 is always.
	episode time.Duration
	// coldFor is the time in which requests take four times as long.
	coldFor time.Duration
}

const limitMeanWork = 840 * time.Millisecond

func (s limitServer) serve(rnd *rand.Rand, now time.Duration, inFlight int) (time.Duration, Result) {
	if s.shedAbove > 0 && inFlight > s.shedAbove || rnd.Float64() < s.falseSheds && (s.episode == 0 || now/s.episode%2 == 1) {
		return time.Millisecond, Overloaded
	}
	const sigma = 0.47 // a standard deviation of half the mean
	work := float64(limitMeanWork) * math.Exp(rnd.NormFloat64()*sigma-sigma*sigma/2)
	if rnd.Float64() < 0.02 {
		work *= 6
	}
	if s.capacity > 0 {
		work *= max(float64(inFlight)/float64(s.capacity), 1)
	}
	if s.slowness > 0 && (s.episode == 0 || now/s.episode%2 == 1) {
		work *= s.slowness
	}
	if now < s.coldFor {
		work *= 4
	}
	return time.Duration(work), Succeeded
}

// limitEvents is a heap of the ends of running requests.
type limitEvents []limitEvent

type limitEvent struct {
	at      time.Duration
	ticket  Ticket
	latency time.Duration
	result  Result
}

func (e limitEvents) Len() int           { return len(e) }
func (e limitEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e limitEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *limitEvents) Push(x any)        { *e = append(*e, x.(limitEvent)) }
func (e *limitEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// limitResult is the outcome of one replay.
type limitResult struct {
	// mean and lowest are the limit over time, after the first 10 s.
	mean   float64
	lowest int
	// last is the limit at the end.
	last    int
	served  int
	shed    int
	offered int
}

// replayLimit offers requests at random intervals for two minutes to a Gate in front of the server. Requests may wait for 4 s.
func replayLimit(cfg Config, s limitServer, perSecond float64, seed uint64) limitResult {
	const length, settled = 2 * time.Minute, 10 * time.Second
	rnd := rand.New(rand.NewPCG(seed, 1))
	cfg.QueueLength, cfg.TeamPercent, cfg.MaxWait = 1000, 100, time.Minute
	g := NewGate(cfg)
	var ends limitEvents
	r := limitResult{lowest: cfg.Slots}
	typical := 0.0
	inServer := 0
	start := func(now time.Duration, ticket Ticket) {
		inServer++
		latency, result := s.serve(rnd, now, inServer)
		heap.Push(&ends, limitEvent{at: now + latency, ticket: ticket, latency: latency, result: result})
	}
	var sampled time.Duration
	sample := func(now time.Duration) {
		l := g.Load().Effective
		if now > settled {
			r.mean += float64(l) * float64(now-max(sampled, settled)) / float64(length-settled)
			r.lowest = min(r.lowest, l)
		}
		sampled, r.last = now, l
	}
	next := time.Duration(0)
	for now := time.Duration(0); now < length; {
		if len(ends) > 0 && ends[0].at <= next {
			e := heap.Pop(&ends).(limitEvent)
			now = e.at
			if now >= length {
				break
			}
			inServer--
			switch e.result {
			case Overloaded:
				r.shed++
			case Succeeded:
				r.served++
				// Like proxy.smoothLatency, which supplies the expected cost.
				if weight := 1.0 / 32; float64(e.latency) > typical && typical > 0 {
					typical += weight * (float64(e.latency) - typical)
				} else if typical > 0 {
					typical += 4 * weight * (float64(e.latency) - typical)
				} else {
					typical = float64(e.latency)
				}
			}
			for _, grant := range g.Done(now, e.ticket, e.latency, e.result) {
				start(now, grant.Ticket)
			}
			sample(now)
			continue
		}
		now = next
		next += time.Duration(rnd.ExpFloat64() / perSecond * float64(time.Second))
		r.offered++
		g.Expire(now)
		d := g.Offer(now, Request{Team: "t", Deadline: now + 4*time.Second, ExpectedCost: time.Duration(typical)})
		if d.Verdict == Admitted {
			start(now, d.Ticket)
		}
		sample(now)
	}
	return r
}

// TestAdaptiveLimit guards against a limit that stays far below what the backend server can run, falls for a reason that
// fewer slots do not improve, or ignores overload.
func TestAdaptiveLimit(t *testing.T) {
	const always = -1
	cases := []struct {
		name   string
		server limitServer
		slots  []int
		// minMean is the least share of the slots that must be allowed on average; always requires all at all times.
		minMean float64
		// maxMean is the highest mean at 20 requests per second, as a share of the slots.
		maxMean float64
		// maxSheds is the highest number of requests that the backend server may shed in the two minutes at 20 requests per
		// second, three before the first reduction and one for each step up, with the wait doubled each time.
		maxSheds float64
	}{
		{name: "healthy", slots: []int{1, 2, 4, 8, 64}, minMean: always},
		{name: "cold for 30 s", server: limitServer{coldFor: 30 * time.Second}, slots: []int{1, 2, 4, 8, 64}, minMean: always},
		{name: "slow x4", server: limitServer{slowness: 4}, slots: []int{1, 2, 4, 8, 64}, minMean: always},
		{name: "slow x12", server: limitServer{slowness: 12}, slots: []int{1, 2, 4, 8, 64}, minMean: always},
		{name: "slow x4 for 5 of 10 s", server: limitServer{slowness: 4, episode: 5 * time.Second}, slots: []int{1, 2, 4, 8, 64}, minMean: 0.9},
		{name: "slow x12 for 5 of 10 s", server: limitServer{slowness: 12, episode: 5 * time.Second}, slots: []int{1, 2, 4, 8, 64}, minMean: 0.9},
		{name: "sheds 90% for 5 s", server: limitServer{falseSheds: 0.9, episode: 5 * time.Second}, slots: []int{2, 4, 8, 64}, minMean: 0.9},
		{name: "sheds 20% at any load", server: limitServer{falseSheds: 0.2}, slots: []int{1, 2, 4, 8, 64}, minMean: 0.75},
		{name: "sheds above 3 of 4", server: limitServer{shedAbove: 3}, slots: []int{4}, minMean: 0.7, maxMean: 0.85, maxSheds: 20},
		{name: "sheds above 1 of 2", server: limitServer{shedAbove: 1}, slots: []int{2}, minMean: 0.45, maxMean: 0.7, maxSheds: 20},
		{name: "sheds above 7 of 8", server: limitServer{shedAbove: 7}, slots: []int{8}, minMean: 0.7, maxMean: 0.95, maxSheds: 20},
		{name: "slower above 2 of 4", server: limitServer{capacity: 2}, slots: []int{4}, minMean: 0.5},
	}
	for _, c := range cases {
		for _, slots := range c.slots {
			for _, rate := range []float64{1, 3, 20} {
				t.Run(fmt.Sprintf("%s/%d slots/%v per s", c.name, slots, rate), func(t *testing.T) {
					const seeds = 8
					var mean, shed, offered float64
					lowest := slots
					for seed := range uint64(seeds) {
						r := replayLimit(Config{Slots: slots, Adaptive: true}, c.server, rate, seed)
						mean += r.mean / seeds / float64(slots)
						shed += float64(r.shed)
						offered += float64(r.offered)
						lowest = min(lowest, r.lowest)
					}
					t.Logf("mean limit %.2f of the slots, lowest %d, shed %.3f", mean, lowest, shed/offered)
					if c.minMean == always {
						assert.Equal(t, lowest, slots)
					}
					assert.Assert(t, mean >= c.minMean-1e-9, "mean limit %.2f of the slots", mean)
					if c.maxMean > 0 && rate == 20 {
						assert.Assert(t, mean <= c.maxMean, "mean limit %.2f of the slots", mean)
					}
					if c.maxSheds > 0 && rate == 20 {
						assert.Assert(t, shed/seeds <= c.maxSheds, "shed %.1f requests", shed/seeds)
					}
				})
			}
		}
	}
}

// TestAdaptiveLimitOnDemand guards against ignoring overload that shows only as longer times: at a varying load, requests
// that run beside many others take twice as long as the others.
func TestAdaptiveLimitOnDemand(t *testing.T) {
	l := newAdaptiveLimit(Config{Slots: 4, Adaptive: true})
	now := time.Duration(0)
	run := func(running int, ratio float64) {
		l.advance(now, running)
		start := l.started(100*time.Millisecond, running)
		now += time.Duration(ratio * float64(100*time.Millisecond))
		l.advance(now, running)
		l.ended(now, start, time.Duration(ratio*float64(100*time.Millisecond)), Succeeded)
	}
	for range minRounds + 1 {
		for range 3 {
			run(1, 1)
		}
		for range 3 {
			run(4, 2)
		}
	}
	run(1, 1)
	assert.Equal(t, l.slotsInUse(), 3)
	changes := l.takeChanges()
	assert.Equal(t, len(changes), 1)
	assert.Equal(t, changes[0].Cause, LimitSlow)
	assert.Assert(t, math.Abs(changes[0].Slowdown-2) < 0.01)
	assert.Equal(t, len(l.takeChanges()), 0)

	now += 2 * maxRaiseAfter
	l.advance(now, 0)
	assert.Equal(t, l.slotsInUse(), 4)
	assert.Equal(t, l.takeChanges()[0].Cause, LimitQuiet)
}

// TestSwitchOfLimit guards against results of the former limit that lower the new one, and slots that stay low after the
// setting changed.
func TestSwitchOfLimit(t *testing.T) {
	g := NewGate(Config{Slots: 4})
	assert.Equal(t, g.Load().Effective, 1)
	d := g.Offer(0, Request{Team: "t"})
	g.Reconfigure(0, Config{Slots: 4, Adaptive: true})
	assert.Equal(t, g.Load().Effective, 4)
	for range 3 {
		assert.Equal(t, g.Offer(0, Request{Team: "t"}).Verdict, Admitted)
	}
	g.Done(time.Second, d.Ticket, time.Second, Overloaded)
	assert.Equal(t, g.Load().Effective, 4)
	g.Reconfigure(time.Second, Config{Slots: 4})
	assert.Equal(t, g.Load().Effective, 1)
}
