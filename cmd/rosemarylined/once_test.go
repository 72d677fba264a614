package main

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"rosemaryline.dev/standin"
)

// totalRuns returns the number of requests that the backend servers started, over all VMs.
func (f *testFleet) totalRuns() int {
	total := 0
	for _, vm := range f.vms {
		for _, n := range vm.standin.Runs() {
			total += n
		}
	}
	return total
}

// TestKeyedRequestRunsOnceAcrossCrash guards against running a request with an idempotency key twice: the process
// that forwards it, on one of the three control VMs (those with a disk), is killed while the request runs. The caller then
// repeats the request through the other processes and through the restarted one.
func TestKeyedRequestRunsOnceAcrossCrash(t *testing.T) {
	f := startFleet(t)
	f.issueKey("demo", "key-1")
	f.startStandins(f.vms)
	for _, vm := range f.vms {
		f.waitServing(vm, "key-1")
	}
	for _, vm := range f.vms {
		vm.standin.SetFaults(standin.Faults{SlowFactor: 400})
	}
	before := f.totalRuns()
	victim := f.vms[0]
	clientDone := make(chan struct{})
	go func() {
		defer close(clientDone)
		// The process is killed while the request runs, so there is no response.
		_, _ = request(victim, http.MethodPost, "/rounds/book", "key-1", "booking-1")
	}()
	f.eventually("the booking is running", func() error {
		if f.totalRuns() == before {
			return fmt.Errorf("no backend server started it")
		}
		return nil
	})
	f.kill(victim)
	<-clientDone
	for _, vm := range f.vms[1:] {
		a, err := request(vm, http.MethodPost, "/rounds/book", "key-1", "booking-1")
		assert.NilError(t, err)
		assert.Assert(t, a.status != http.StatusOK, "response %s", a.body)
	}
	f.start(victim)
	f.eventually("response of the restarted process", func() error {
		a, err := request(victim, http.MethodPost, "/rounds/book", "key-1", "booking-1")
		if err != nil {
			return err
		}
		if a.status != http.StatusConflict || a.outcome != "unknown" {
			return fmt.Errorf("status %d, outcome %q: %s", a.status, a.outcome, a.body)
		}
		return nil
	})
	assert.Equal(t, f.totalRuns(), before+1)
}
