package quota

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"time"
)

// event is an action at a time in virtual time.
type event struct {
	at     time.Duration
	action func()
}

// arrival is one request of a team at a process.
type arrival struct {
	at      time.Duration
	process int
	team    string
	// withinRate is true if an ideal bucket without any delay would admit the request.
	withinRate bool
}

// maxTokenWait is the maximum time for which a simulated request waits for a token.
const maxTokenWait = 50 * time.Millisecond

// simFleet runs the holders of several processes and one owner in virtual time.
type simFleet struct {
	now          time.Duration
	queue        []event // in order of time
	delay        time.Duration
	holders      []*Holder
	owner        *Owner
	waiting      map[teamAtProcess][]*waitingRequest
	messages     int
	incarnations uint64

	tally map[string]*tally
	waits []time.Duration
}

// teamAtProcess is one team at one process.
type teamAtProcess struct {
	process int
	team    string
}

// tally counts the requests of one team. refused counts only those within the rate.
type tally struct {
	withinRate, refused, admitted int
}

type waitingRequest struct {
	arrival
	done bool
}

func newSimFleet(processes int, delay time.Duration, limits map[string]Limit) *simFleet {
	f := &simFleet{
		delay:   delay,
		owner:   NewOwner(Config{Start: -10 * time.Second}),
		waiting: make(map[teamAtProcess][]*waitingRequest),
		tally:   make(map[string]*tally),
	}
	for team, limit := range limits {
		f.owner.SetTeam(team, limit)
		f.tally[team] = &tally{}
	}
	for p := range processes {
		f.holders = append(f.holders, nil)
		f.startHolder(p)
		f.pollRegularly(p)
	}
	return f
}

func (f *simFleet) at(when time.Duration, action func()) {
	i := sort.Search(len(f.queue), func(i int) bool { return f.queue[i].at > when })
	f.queue = slices.Insert(f.queue, i, event{when, action})
}

func (f *simFleet) run(until time.Duration) {
	for len(f.queue) > 0 && f.queue[0].at < until {
		e := f.queue[0]
		f.queue = f.queue[1:]
		f.now = e.at
		e.action()
	}
}

// offer schedules the arrivals, each when the one before it has arrived.
func (f *simFleet) offer(arrivals []arrival) {
	if len(arrivals) == 0 {
		return
	}
	f.at(arrivals[0].at, func() {
		f.arrive(arrivals[0])
		f.offer(arrivals[1:])
	})
}

func (f *simFleet) startHolder(p int) {
	f.incarnations++
	f.holders[p] = NewHolder(Config{Process: fmt.Sprint(p), Incarnation: f.incarnations})
}

func (f *simFleet) pollRegularly(p int) {
	f.poll(p)
	f.at(f.now+10*time.Millisecond, func() { f.pollRegularly(p) })
}

func (f *simFleet) poll(p int) {
	f.send(p, f.holders[p].Poll(f.now))
}

// send delivers requests to the owner, which runs at process 0, and its replies back.
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
	key := teamAtProcess{p, reply.Team}
	waiting := f.waiting[key]
	delete(f.waiting, key)
	for _, w := range waiting {
		if !w.done {
			f.tryTake(w, f.holders[p].Retry)
		}
	}
	f.poll(p)
}

func (f *simFleet) arrive(a arrival) {
	if a.withinRate {
		f.tally[a.team].withinRate++
	}
	f.tryTake(&waitingRequest{arrival: a}, f.holders[a.process].Take)
	f.poll(a.process)
}

// tryTake admits the request if a token is available. Otherwise the request waits for a reply or for the time that the
// holder returned, or is refused if that time exceeds maxTokenWait.
func (f *simFleet) tryTake(w *waitingRequest, take func(time.Duration, string) (bool, time.Duration)) {
	ok, retryAfter := take(f.now, w.team)
	if ok {
		w.done = true
		f.tally[w.team].admitted++
		f.waits = append(f.waits, f.now-w.at)
		return
	}
	if f.now+retryAfter > w.at+maxTokenWait {
		w.done = true
		if w.withinRate {
			f.tally[w.team].refused++
		}
		return
	}
	key := teamAtProcess{w.process, w.team}
	if !slices.Contains(f.waiting[key], w) {
		f.waiting[key] = append(f.waiting[key], w)
	}
	f.at(f.now+retryAfter, func() {
		if !w.done {
			f.tryTake(w, f.holders[w.process].Retry)
			f.poll(w.process)
		}
	})
}

// markWithinRate sets withinRate of the arrivals by ideal buckets.
func markWithinRate(arrivals []arrival, limits map[string]Limit) {
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
			a.withinRate = true
		}
	}
}

// staticSplit gives every process an equal part of the rate and burst, at least one token, and returns the percentage
// of the requests within the rate that it refuses.
func staticSplit(arrivals []arrival, limits map[string]Limit, processes int) float64 {
	buckets := make(map[teamAtProcess]*idealBucket)
	withinRate, refused := 0, 0
	for _, a := range arrivals {
		key := teamAtProcess{a.process, a.team}
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
		if a.withinRate {
			withinRate++
		}
		if a.withinRate && !admitted {
			refused++
		}
	}
	return percent(refused, withinRate)
}

func percent(part, whole int) float64 {
	return 100 * float64(part) / float64(max(whole, 1))
}

// poisson appends a team's arrivals at a mean rate per second. pickProcess chooses the process of each.
func poisson(rnd *rand.Rand, arrivals []arrival, team string, rate float64, until time.Duration,
	pickProcess func(at time.Duration) int,
) []arrival {
	for at := time.Duration(0); ; {
		at += time.Duration(rnd.ExpFloat64() / rate * float64(time.Second))
		if at >= until {
			return arrivals
		}
		arrivals = append(arrivals, arrival{at: at, process: pickProcess(at), team: team})
	}
}
