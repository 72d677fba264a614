package proxy

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemaryline.dev/routing"
)

// Guards against a choice that looks at the own failure domain first and then differs in its tier from the policy's choice
// among all VMs, for random loads, tried VMs and tripped circuit breakers.
func TestChoiceByDomainKeepsTheTier(t *testing.T) {
	const hosts = 30
	var d directory
	for i := range hosts {
		d = append(d, Peer{VM: fmt.Sprint("vm", i), Domain: fmt.Sprint("d", i%3+1), Slots: 4, Age: time.Hour})
	}
	r := newVM(t, "vm0", newFleetView(t, 4), d).entry.router
	rnd := rand.New(rand.NewPCG(1, 1))
	seen := map[routing.Reason]int{}
	for round := range 500 {
		full := rnd.Float64()
		tried := map[string]bool{}
		now := r.opts.Clock()
		for i := range hosts {
			target := routing.Target{VM: d[i].VM, Service: "svc"}
			load := Load{Slots: 4}
			if rnd.Float64() < full {
				load.InFlight = 5
			}
			r.loads.report(d[i].VM, "svc", load, now)
			r.trippedBreakers.Clear(target)
			if rnd.IntN(4) == 0 {
				r.trippedBreakers.Record(target, now, true)
			}
			if rnd.IntN(4) == 0 {
				tried[d[i].VM] = true
			}
		}
		req := &Request{Service: "svc"}
		i, want, _ := r.pick(req, d, tried)
		chosen, ok := r.choose(req, tried)
		assert.Equal(t, ok, i >= 0, "round %d", round)
		if ok {
			assert.Equal(t, chosen.reason, want, "round %d", round)
		}
		seen[want]++
	}
	assert.Assert(t, len(seen) >= 3, "%v", seen)
}

// Guards against a request that its gate cancels when it is overdue, although no other backend server could get it: the
// caller then gets a failure while its own backend server is at work.
func TestOnlyRequestsWithAnAlternativeMayFail(t *testing.T) {
	peer := func(vm, domain string, state routing.State) Peer {
		return Peer{VM: vm, Domain: domain, Slots: 4, State: state}
	}
	for _, test := range []struct {
		desc    string
		others  directory
		tried   map[string]bool
		tripped string
		want    bool
	}{
		{"another VM serves", directory{peer("vm1", "d1", routing.StateServing)}, nil, "", true},
		{"no other VM", nil, nil, "", false},
		{"the other VM was tried", directory{peer("vm1", "d1", routing.StateServing)}, map[string]bool{"vm1": true}, "", false},
		{"the other VM is draining", directory{peer("vm1", "d1", routing.StateDraining)}, nil, "", false},
		{"the other backend server is faulty", directory{peer("vm1", "d1", routing.StateServing)}, nil, "vm1", false},
		{"one of two is faulty", directory{peer("vm1", "d1", routing.StateServing), peer("vm2", "d1", routing.StateServing)}, nil, "vm1", true},
	} {
		hosts := append(directory{peer("vm0", "d1", routing.StateServing)}, test.others...)
		r := newVM(t, "vm9", newFleetView(t, 4), hosts).entry.router
		if test.tripped != "" {
			r.trippedBreakers.Record(routing.Target{VM: test.tripped, Service: "svc"}, r.opts.Clock(), true)
		}
		assert.Equal(t, r.hasAlternative(&Request{Service: "svc"}, "vm0", test.tried), test.want, test.desc)
	}
}
