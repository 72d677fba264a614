package main

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"rosemaryline.dev/standin"
)

// ran counts the requests that all backend servers began.
func (f *testFleet) ran() int {
	total := 0
	for _, vm := range f.vms {
		for _, n := range vm.standin.Runs() {
			total += n
		}
	}
	return total
}

// Guards against a doubled booking: the process that runs a keyed request is killed, which is also one of three VMs with
// a disk, and the caller sends the request again through the other processes and through the restarted one.
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
	before := f.ran()
	victim := f.vms[0]
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		// The process is killed while the request runs, so the caller gets no answer.
		_, _ = request(victim, http.MethodPost, "/rounds/book", "key-1", "booking-1")
	}()
	f.eventually("booking runs", func() error {
		if f.ran() == before {
			return fmt.Errorf("no backend server began it")
		}
		return nil
	})
	f.kill(victim)
	<-answered
	for _, vm := range f.vms[1:] {
		a, err := request(vm, http.MethodPost, "/rounds/book", "key-1", "booking-1")
		assert.NilError(t, err)
		assert.Assert(t, a.status != http.StatusOK, "answer %s", a.body)
	}
	f.start(victim)
	f.eventually("answer of the restarted process", func() error {
		a, err := request(victim, http.MethodPost, "/rounds/book", "key-1", "booking-1")
		if err != nil {
			return err
		}
		if a.status != http.StatusConflict || a.outcome != "unknown" {
			return fmt.Errorf("status %d, outcome %q: %s", a.status, a.outcome, a.body)
		}
		return nil
	})
	assert.Equal(t, f.ran(), before+1)
}
