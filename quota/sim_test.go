package quota

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"time"
)

// event is an action at a point in virtual time.
type event struct {
	at time.Duration
	do func()
}

// arrival is one request of a team at a process.
type arrival struct {
	at      time.Duration
	process int
	team    string
	// inside is true where an ideal bucket without any delay admits the request.
	inside bool
}

// maxTokenWait is how long a simulated entry holds a request for a token.
const maxTokenWait = 50 * time.Millisecond

// simFleet runs holders and one owner in virtual time.
type simFleet struct {
	now      time.Duration
	queue    []event // in order of time
	delay    time.Duration
	holders  []*Holder
	owner    *Owner
	waiting  map[place][]*waitingRequest
	messages int
	lives    uint64

	tally map[string]*tally
	waits []time.Duration
}

// place is one team at one process.
type place struct {
	process int
	team    string
}

// tally counts the requests of one team.
type tally struct {
	inside, refused, admitted int
}

type waitingRequest struct {
	arrival
	done bool
}

func newSimFleet(processes int, delay time.Duration, limits map[string]Limit) *simFleet {
	f := &simFleet{
		delay:   delay,
		owner:   NewOwner(Config{Start: -10 * time.Second}),
		waiting: make(map[place][]*waitingRequest),
		tally:   make(map[string]*tally),
	}
	for team, limit := range limits {
		f.owner.SetTeam(team, limit)
		f.tally[team] = &tally{}
	}
	for p := range processes {
		f.holders = append(f.holders, nil)
		f.join(p)
		f.tick(p)
	}
	return f
}

func (f *simFleet) at(when time.Duration, do func()) {
	i := sort.Search(len(f.queue), func(i int) bool { return f.queue[i].at > when })
	f.queue = slices.Insert(f.queue, i, event{when, do})
}

func (f *simFleet) run(until time.Duration) {
	for len(f.queue) > 0 && f.queue[0].at < until {
		e := f.queue[0]
		f.queue = f.queue[1:]
		f.now = e.at
		e.do()
	}
}

// offer schedules the arrivals one after the other.
func (f *simFleet) offer(arrivals []arrival) {
	if len(arrivals) == 0 {
		return
	}
	f.at(arrivals[0].at, func() {
		f.arrive(arrivals[0])
		f.offer(arrivals[1:])
	})
}

func (f *simFleet) join(p int) {
	f.lives++
	f.holders[p] = NewHolder(Config{Process: fmt.Sprint(p), Incarnation: f.lives})
}

func (f *simFleet) tick(p int) {
	f.poll(p)
	f.at(f.now+10*time.Millisecond, func() { f.tick(p) })
}

func (f *simFleet) poll(p int) {
	f.send(p, f.holders[p].Poll(f.now))
}

// send carries requests to the owner beside process 0 and the answers back.
func (f *simFleet) send(p int, requests []GrantRequest) {
	delay := f.delay
	if p == 0 {
		delay = 0
	}
	for _, r := range requests {
		f.messages++
		f.at(f.now+delay, func() {
			reply := f.owner.Request(f.now, r)
			f.at(f.now+delay, func() { f.receive(p, reply) })
		})
	}
}

func (f *simFleet) receive(p int, reply GrantReply) {
	f.holders[p].Receive(f.now, reply)
	key := place{p, reply.Team}
	waiting := f.waiting[key]
	delete(f.waiting, key)
	for _, w := range waiting {
		if !w.done {
			f.try(w, f.holders[p].Retry)
		}
	}
	f.poll(p)
}

func (f *simFleet) arrive(a arrival) {
	if a.inside {
		f.tally[a.team].inside++
	}
	f.try(&waitingRequest{arrival: a}, f.holders[a.process].Take)
	f.poll(a.process)
}

// try spends a token, or waits for an answer or the time that the holder names, or refuses the request.
func (f *simFleet) try(w *waitingRequest, take func(time.Duration, string) (bool, time.Duration)) {
	ok, after := take(f.now, w.team)
	if ok {
		w.done = true
		f.tally[w.team].admitted++
		f.waits = append(f.waits, f.now-w.at)
		return
	}
	if f.now+after > w.at+maxTokenWait {
		w.done = true
		if w.inside {
			f.tally[w.team].refused++
		}
		return
	}
	key := place{w.process, w.team}
	if !slices.Contains(f.waiting[key], w) {
		f.waiting[key] = append(f.waiting[key], w)
	}
	f.at(f.now+after, func() {
		if !w.done {
			f.try(w, f.holders[w.process].Retry)
			f.poll(w.process)
		}
	})
}

// markInside runs ideal buckets over the arrivals.
func markInside(arrivals []arrival, limits map[string]Limit) {
	buckets := make(map[string]*idealBucket)
	for i := range arrivals {
		a := &arrivals[i]
		b := buckets[a.team]
		if b == nil {
			b = newIdealBucket(limits[a.team])
			buckets[a.team] = b
		}
		b.refill(a.at)
		if b.level >= 1 {
			b.level--
			a.inside = true
		}
	}
}

// staticSplit gives every process an equal part of the rate and burst, at least one token, and returns the share of
// requests inside the rate that it refuses, in percent.
func staticSplit(arrivals []arrival, limits map[string]Limit, processes int) float64 {
	buckets := make(map[place]*idealBucket)
	inside, refused := 0, 0
	for _, a := range arrivals {
		key := place{a.process, a.team}
		b := buckets[key]
		if b == nil {
			limit := limits[a.team]
			b = newIdealBucket(Limit{Rate: limit.Rate / float64(processes), Burst: max(limit.Burst/processes, 1)})
			buckets[key] = b
		}
		b.refill(a.at)
		admitted := b.level >= 1
		if admitted {
			b.level--
		}
		if a.inside {
			inside++
		}
		if a.inside && !admitted {
			refused++
		}
	}
	return percent(refused, inside)
}

func percent(part, whole int) float64 {
	return 100 * float64(part) / float64(max(whole, 1))
}

// poisson appends a team's arrivals at a mean rate; place chooses the process.
func poisson(rnd *rand.Rand, arrivals []arrival, team string, rate float64, until time.Duration,
	place func(at time.Duration) int,
) []arrival {
	for at := time.Duration(0); ; {
		at += time.Duration(rnd.ExpFloat64() / rate * float64(time.Second))
		if at >= until {
			return arrivals
		}
		arrivals = append(arrivals, arrival{at: at, process: place(at), team: team})
	}
}
