package admission

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// coldServer simulates a backend server that warms up with each success and sheds requests when too many run at once.
type coldServer struct {
	// warmth goes from 0 (cold) to 1 (warm). A cold server is 4 times slower and handles one request at a time.
	warmth float64
	// collapses counts the requests that were shed because at least two more than the capacity were in flight.
	collapses int
}

func (s *coldServer) capacity() int { return 1 + int(s.warmth*(simSlots-1)) }

// serve returns the latency and the result of a request that starts while inFlight-1 others run.
func (s *coldServer) serve(rnd *rand.Rand, inFlight int) (time.Duration, Result) {
	excess := inFlight - s.capacity()
	if excess >= 2 {
		s.collapses++
		s.warmth = max(s.warmth-0.05, 0)
		return time.Millisecond, Overloaded
	}
	latency := float64(simServiceTime) * (0.75 + rnd.Float64()/2) * (4 - 3*s.warmth) * float64(1+2*max(excess, 0))
	s.warmth = min(s.warmth+1.0/60, 1)
	return time.Duration(latency), Succeeded
}

// coldResult is the result of a simulation with a cold server.
type coldResult struct {
	recovered time.Duration
	collapses int
	served    int
	offered   int
	// expired counts the requests that expired in the queue.
	expired int
}

// simulateColdServer offers Poisson traffic at the given rate to a cold server for 30 s. At restart, if not 0, the
// server becomes cold again without a new instance ID.
func simulateColdServer(cfg Config, perSecond float64, restart time.Duration) coldResult {
	type finish struct {
		at      time.Duration
		ticket  Ticket
		latency time.Duration
		result  Result
	}
	rnd := rand.New(rand.NewPCG(3, 4))
	gate, server := NewGate(cfg), &coldServer{}
	var running []finish
	var out coldResult
	start := func(now time.Duration, ticket Ticket) {
		latency, result := server.serve(rnd, gate.Load().InFlight)
		running = append(running, finish{now + latency, ticket, latency, result})
		slices.SortFunc(running, func(a, b finish) int { return cmp.Compare(a.at, b.at) })
	}
	for now := time.Duration(0); now < 30*time.Second; {
		now += time.Duration(rnd.ExpFloat64() / perSecond * 1e9)
		if restart > 0 && now >= restart {
			server.warmth, restart = 0, 0
			out.recovered = 0
		}
		for len(running) > 0 && running[0].at <= now {
			f := running[0]
			running = running[1:]
			if f.result == Succeeded {
				out.served++
			}
			for _, g := range gate.Done(f.at, f.ticket, f.latency, f.result) {
				start(f.at, g.Ticket)
			}
			if out.recovered == 0 && server.warmth == 1 && gate.Load().Effective == simSlots {
				out.recovered = f.at
			}
		}
		out.expired += len(gate.Expire(now))
		out.offered++
		d := gate.Offer(now, Request{Team: fmt.Sprint(out.offered % 3), Deadline: now + simDeadline})
		if d.Verdict == Admitted {
			start(now, d.Ticket)
		}
	}
	out.collapses = server.collapses
	return out
}

// TestColdServiceRecovers guards against a cold backend server that is overloaded and never warms up, and against a
// ramp that does not detect a restart without a new instance ID. It logs the results beside those of a start with all
// slots.
func TestColdServiceRecovers(t *testing.T) {
	cases := []struct {
		desc    string
		load    float64
		restart time.Duration
	}{
		{"cold, half load", 125, 0},
		{"cold, full load", 250, 0},
		{"cold, double load", 500, 0},
		{"unannounced restart at 10s, full load", 250, 10 * time.Second},
		{"unannounced restart at 10s, double load", 500, 10 * time.Second},
	}
	t.Logf("%-40s %-8s %10s %10s %9s %9s", "case", "ramp", "recovered", "collapses", "served %", "expired")
	for _, c := range cases {
		for _, initial := range []int{simSlots, 1} {
			run := simulateColdServer(Config{Slots: simSlots, InitialSlots: initial}, c.load, c.restart)
			kind := "from 5"
			if initial == 1 {
				kind = "from 1"
			}
			t.Logf("%-40s %-8s %10v %10d %9.1f %9d", c.desc, kind, run.recovered.Round(10*time.Millisecond), run.collapses,
				100*float64(run.served)/float64(run.offered), run.expired)
			if initial == 1 && run.recovered == 0 {
				t.Errorf("%s: not recovered after 30 s", c.desc)
			}
			if initial == 1 && c.restart == 0 && run.collapses > 0 {
				t.Errorf("%s: received more requests than its capacity %d times", c.desc, run.collapses)
			}
		}
	}
}
