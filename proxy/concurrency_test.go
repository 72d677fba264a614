package proxy

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemaryline.dev/fleet/config"
	"rosemaryline.dev/fleet/state"
)

// setAdaptive sets concurrency: adaptive for the service.
func setAdaptive(t *testing.T, v *fleetView) {
	t.Helper()
	service := v.s.Config().Services["svc"]
	service.Concurrency = config.ConcurrencyAdaptive
	change := config.Change{}
	change.Services.Set = map[string]config.Service{"svc": service}
	change.SetDefaults()
	v.apply(t, state.Command{Operator: "test", Apply: &state.ApplyChange{Change: change, ContentHash: change.Hash()}})
}

// Guards against a gray failure that also loses the requests queued at the backend server: they may not be repeated, so they must be
// refused as not run and sent elsewhere when the circuit breaker trips.
func TestQueuedRequestsLeaveAServerThatFails(t *testing.T) {
	v := newFleetView(t, 1)
	setAdaptive(t, v)
	hold := make(chan struct{})
	failing := newBackend(t, func(w http.ResponseWriter, r *http.Request) {
		<-hold
		failHandler(w, r)
	})
	healthy := newBackend(t, nil)
	first, second := newVM(t, "vm2", v, nil), newVM(t, "vm3", v, nil)
	first.announce(t, "b", addressOf(failing.Server), "1")
	second.announce(t, "b", addressOf(healthy.Server), "1")
	busy := newPeer("vm3", addressOf(second.peer))
	busy.InFlight, busy.Age = 100, 0
	entry := newVM(t, "vm1", v, directory{newPeer("vm2", addressOf(first.peer)), busy})

	var mu sync.Mutex
	statuses := map[int]int{}
	var wg sync.WaitGroup
	for range 3 {
		wg.Go(func() {
			resp, _, _ := sendRequest(t, entry.caller, "POST", "/once", strings.NewReader("body"))
			mu.Lock()
			defer mu.Unlock()
			statuses[resp.StatusCode]++
		})
	}
	for deadline := time.Now().Add(3 * time.Second); first.gate.Load("svc").Queued < 2; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), "requests are not queued")
	}
	close(hold)
	wg.Wait()
	assert.Equal(t, failing.count(), 1)
	assert.Equal(t, statuses[200], 2)
	assert.Equal(t, statuses[500], 1)
}

// Guards against calls of running requests that a gate refuses because they would miss the objective of their own route, although
// the run that waits for them would still end in time.
func TestCallsOfRunsHaveNoObjective(t *testing.T) {
	for _, adaptive := range []bool{false, true} {
		v := newFleetView(t, 1)
		change := config.Change{}
		change.Routes.Set = map[string]config.Route{"call": {Path: "/call", Service: "svc", Access: config.AccessPublic,
			Deadline: config.Duration(2 * time.Second), Objective: config.Duration(time.Second)}}
		change.SetDefaults()
		v.apply(t, state.Command{Operator: "test", Apply: &state.ApplyChange{Change: change, ContentHash: change.Hash()}})
		if adaptive {
			setAdaptive(t, v)
		}
		vm := newVM(t, "vm1", v, directory{newPeer("vm1", "")})
		req, refusal := vm.entry.accept(httptest.NewRequest(http.MethodGet, "/call", nil), "call-1", Caller{})
		assert.Assert(t, refusal == nil)
		assert.Equal(t, req.Objective.IsZero(), adaptive)
	}
}
