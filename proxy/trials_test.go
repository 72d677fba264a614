package proxy

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemaryline.dev/fleet/config"
	"rosemaryline.dev/routing"
)

// newTrialRouter returns a router that knows tripped circuit breakers on ten VMs of its own failure domain and one sound VM.
func newTrialRouter(t *testing.T, concurrency string) (*router, *time.Duration) {
	now := new(time.Duration)
	hosts := directory{newPeer("sound", "")}
	for i := range 10 {
		hosts = append(hosts, newPeer(fmt.Sprint("tripped", i), ""))
	}
	fleet := NewFleet(newFleetView(t, 4))
	fleet.Defaults.Concurrency = concurrency
	r := newRouter(EntryOptions{
		VM: "entry", Domain: "d1", Fleet: fleet, Log: discardLogger(), Directory: hosts,
		Clock: func() time.Duration { return *now }, RetryReserve: func() float64 { return 10 },
	})
	for _, h := range hosts[1:] {
		r.recordTrippedBreaker(h.VM, "svc", &Refusal{Reason: ReasonFaulty, TrialIn: 7 * time.Second})
	}
	return r, now
}

// Guards against a request that tests one tripped circuit breaker after the other while sound backend servers are free.
func TestRequestTestsFewTrippedBreakers(t *testing.T) {
	for concurrency, want := range map[string]int{"": 10, config.ConcurrencyAdaptive: maxTrialsPerRequest} {
		r, now := newTrialRouter(t, concurrency)
		*now = time.Second
		req := &Request{Service: "svc", MayFail: true}
		tried := map[string]bool{}
		trials := 0
		for range 11 {
			chosen, ok := r.choose(req, tried)
			assert.Assert(t, ok)
			tried[chosen.peer.VM] = true
			if chosen.reason != routing.ReasonTrial {
				break
			}
			trials++
		}
		assert.Equal(t, trials, want, "concurrency %q", concurrency)
	}
}

// Guards against requests that may not be repeated and ask a gate again before it admits one of them, and against a backend
// server that is avoided for good.
func TestRequestsAvoidATargetUntilItsTrial(t *testing.T) {
	for concurrency, want := range map[string]time.Duration{"": routing.FaultyTargetTTL, config.ConcurrencyAdaptive: 8 * time.Second} {
		r, now := newTrialRouter(t, concurrency)
		req := &Request{Service: "svc"}
		avoided := func() int { return len(r.withTrippedBreakers(req, r.opts.Directory.Hosts("svc"), map[string]bool{})) }
		*now = want - time.Millisecond
		assert.Equal(t, avoided(), 10, "concurrency %q", concurrency)
		*now = want
		assert.Equal(t, avoided(), 0, "concurrency %q", concurrency)
	}
}
