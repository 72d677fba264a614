package admission

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	simSlots       = 5
	simServiceTime = 20 * time.Millisecond
	simDuration    = 60 * time.Second
	simDeadline    = 500 * time.Millisecond
)

// simRates maps each team to its rate in requests per second. The sum is 180; the slots can serve 250.
var simRates = map[string]float64{
	"large-a": 60, "large-b": 45, "medium-a": 25, "medium-b": 20, "small-a": 12, "small-b": 10, "tiny-a": 5, "tiny-b": 3,
}

type simRequest struct {
	at      time.Duration
	team    string
	service time.Duration
}

// generateArrivals returns Poisson traffic at the rates of the teams, each multiplied by its factor (1 if absent).
func generateArrivals(factor map[string]float64) []simRequest {
	rnd := rand.New(rand.NewPCG(1, 2))
	var requests []simRequest
	for _, team := range sortedTeams() {
		rate := simRates[team] * cmp.Or(factor[team], 1)
		for at := time.Duration(0); at < simDuration; at += time.Duration(rnd.ExpFloat64() / rate * 1e9) {
			service := simServiceTime/2 + time.Duration(rnd.ExpFloat64()*float64(simServiceTime/2))
			requests = append(requests, simRequest{at, team, service})
		}
	}
	slices.SortFunc(requests, func(a, b simRequest) int { return cmp.Compare(a.at, b.at) })
	return requests
}

func sortedTeams() []string {
	var teams []string
	for team := range simRates {
		teams = append(teams, team)
	}
	slices.Sort(teams)
	return teams
}

// admitter is the queueing scheme under test: a Gate or a single FIFO queue.
type admitter interface {
	offer(now time.Duration, id int, r simRequest) bool
	// done ends a request and returns the requests that start now.
	done(now time.Duration, id int) []int
}

// gateAdmitter uses a Gate that is already warm.
type gateAdmitter struct {
	gate     *Gate
	byTicket map[Ticket]int
	tickets  map[int]Ticket
	started  map[int]time.Duration
}

func newGateAdmitter() *gateAdmitter {
	return &gateAdmitter{
		gate:     NewGate(Config{Slots: simSlots, InitialSlots: simSlots}),
		byTicket: make(map[Ticket]int),
		tickets:  make(map[int]Ticket),
		started:  make(map[int]time.Duration),
	}
}

func (a *gateAdmitter) offer(now time.Duration, id int, r simRequest) bool {
	a.gate.Expire(now)
	d := a.gate.Offer(now, Request{Team: r.team, Weight: simRates[r.team], Deadline: r.at + simDeadline})
	a.byTicket[d.Ticket] = id
	a.tickets[id] = d.Ticket
	a.started[id] = now
	return d.Verdict == Admitted
}

func (a *gateAdmitter) done(now time.Duration, id int) []int {
	var started []int
	for _, g := range a.gate.Done(now, a.tickets[id], now-a.started[id], Succeeded) {
		next := a.byTicket[g.Ticket]
		a.started[next] = now
		started = append(started, next)
	}
	return started
}

// fifoAdmitter has the same number of slots and the same queue length as the Gate, but one queue in order of arrival.
type fifoAdmitter struct {
	inFlight int
	queue    []int
	requests []simRequest
}

func (a *fifoAdmitter) offer(_ time.Duration, id int, _ simRequest) bool {
	if a.inFlight < simSlots {
		a.inFlight++
		return true
	}
	if len(a.queue) < DefaultQueuePerSlot*simSlots {
		a.queue = append(a.queue, id)
	}
	return false
}

func (a *fifoAdmitter) done(now time.Duration, _ int) []int {
	a.inFlight--
	for len(a.queue) > 0 {
		id := a.queue[0]
		a.queue = a.queue[1:]
		if now < a.requests[id].at+simDeadline {
			a.inFlight++
			return []int{id}
		}
	}
	return nil
}

// teamResult holds the offered requests of one team and the waits of those that were served.
type teamResult struct {
	offered int
	waits   []time.Duration
}

func (s *teamResult) percent() float64 {
	return 100 * float64(len(s.waits)) / float64(max(s.offered, 1))
}

func (s *teamResult) p99() time.Duration {
	slices.Sort(s.waits)
	return s.waits[len(s.waits)*99/100].Round(100 * time.Microsecond)
}

// simulate runs the requests in virtual time.
func simulate(requests []simRequest, a admitter) map[string]*teamResult {
	type finish struct {
		at time.Duration
		id int
	}
	result := make(map[string]*teamResult)
	var running []finish
	start := func(now time.Duration, id int) {
		r := requests[id]
		result[r.team].waits = append(result[r.team].waits, now-r.at)
		running = append(running, finish{now + r.service, id})
		slices.SortFunc(running, func(a, b finish) int { return cmp.Compare(a.at, b.at) })
	}
	for id, r := range requests {
		for len(running) > 0 && running[0].at <= r.at {
			f := running[0]
			running = running[1:]
			for _, next := range a.done(f.at, f.id) {
				start(f.at, next)
			}
		}
		if result[r.team] == nil {
			result[r.team] = &teamResult{}
		}
		result[r.team].offered++
		if a.offer(r.at, id, r) {
			start(r.at, id)
		}
	}
	return result
}

// worstServedTeam returns, among the teams other than noisy, the one with the lowest share of served requests, that
// share in percent, and the largest p99 wait of any of them.
func worstServedTeam(result map[string]*teamResult, noisy string) (team string, share float64, wait time.Duration) {
	share = 101
	for _, name := range sortedTeams() {
		if name == noisy {
			continue
		}
		if p := result[name].percent(); p < share {
			team, share = name, p
		}
		wait = max(wait, result[name].p99())
	}
	return team, share, wait
}

// TestWorstServedTeam guards the target that a team at 5 times its rate affects only itself: at least 99% of the
// requests of every other team are served. It logs the worst-served other team beside the result of a single FIFO
// queue.
func TestWorstServedTeam(t *testing.T) {
	t.Logf("%-10s %-6s %-10s %8s %9s %14s", "noisy", "queue", "worst team", "served %", "wait p99", "noisy served %")
	for _, noisy := range []string{"", "large-a", "medium-a", "small-a"} {
		requests := generateArrivals(map[string]float64{noisy: 5})
		for _, kind := range []string{"fifo", "fair"} {
			var a admitter = newGateAdmitter()
			if kind == "fifo" {
				a = &fifoAdmitter{requests: requests}
			}
			result := simulate(requests, a)
			team, share, wait := worstServedTeam(result, noisy)
			noisyShare := 100.0
			if noisy != "" {
				noisyShare = result[noisy].percent()
			}
			t.Logf("%-10s %-6s %-10s %8.2f %9v %14.2f", cmp.Or(noisy, "none"), kind, team, share, wait, noisyShare)
			if kind == "fair" && share < 99 {
				t.Errorf("noisy %s: %s is served %.2f%%, want 99%%", noisy, team, share)
			}
		}
	}
}
