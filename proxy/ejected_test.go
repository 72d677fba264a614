package proxy

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemaryline.dev/admission"
	"rosemaryline.dev/fleet/config"
	"rosemaryline.dev/fleet/state"
)

// Guards against repeatable requests that wait until their deadline for a backend server that hangs and was ejected,
// and against cancelling a request that may not be repeated.
func TestEjectionGivesUpRepeatableRequests(t *testing.T) {
	hang := make(chan struct{})
	b := newBackend(t, func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-hang:
		case <-r.Context().Done():
		}
	})
	m := newSingleVM(t, newFleetView(t, 4), b)
	type result struct {
		resp *Response
		err  error
	}
	run := func(repeatable bool) chan result {
		done := make(chan result, 1)
		req := newTestRequest(t, "root")
		req.Repeatable = repeatable
		go func() {
			resp, err := m.gate.Run(context.Background(), req)
			done <- result{resp, err}
		}()
		return done
	}
	reader, booking := run(true), run(false)
	eventually(t, "both run", func() bool { return b.count() == 2 })
	m.gate.SetEjected("b", true)
	r := <-reader
	refusal := asRefusal(r.err)
	assert.Equal(t, refusal.Reason, ReasonEjected)
	assert.Equal(t, refusal.Outcome, OutcomeUnknown)
	select {
	case <-booking:
		t.Fatal("a request that may not be repeated was cancelled")
	default:
	}
	close(hang)
	r = <-booking
	assert.NilError(t, r.err)
	assert.NilError(t, r.resp.Body.Close())
}

// Guards against a process that is cut off and runs new work in a failure domain that was taken out of service, and
// against deadlocks because it refuses nested calls of running requests.
func TestIsolatedGateRefusesNewWork(t *testing.T) {
	b := newBackend(t, nil)
	m := newSingleVM(t, newFleetView(t, 4), b)
	m.gate.opts.Admitter = admitter(false)
	_, err := m.gate.Run(context.Background(), newTestRequest(t, "root"))
	assert.Equal(t, asRefusal(err).Reason, ReasonIsolated)
	assert.Equal(t, asRefusal(err).Outcome, OutcomeNotRun)
	assert.Equal(t, b.count(), 0)
	nested := newTestRequest(t, "root")
	nested.Depth = 1
	resp, err := m.gate.Run(context.Background(), nested)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
}

// Guards against changed settings that only take effect for backend servers announced after the change.
func TestChangedSettingsReachAnnouncedServers(t *testing.T) {
	v := newFleetView(t, 4)
	b := newBackend(t, nil)
	m := newSingleVM(t, v, b)
	assert.Equal(t, m.gate.servers["b"].load().Slots, 4)
	change := config.Change{}
	change.Services.Set = map[string]config.Service{"svc": {Slots: 2, Connections: 10, FloorPercent: 50}}
	change.SetDefaults()
	v.apply(t, state.Command{Operator: "test", Apply: &state.ApplyChange{Change: change, ContentHash: change.Hash()}})
	m.announce(t, "b", addressOf(b.Server), "1")
	assert.Equal(t, m.gate.servers["b"].load().Slots, 2)
}

// fakeObservation counts the calls of its methods.
type fakeObservation struct{ paused, resumed int }

func (p *fakeObservation) Pause()               { p.paused++ }
func (p *fakeObservation) Resume()              { p.resumed++ }
func (p *fakeObservation) End(admission.Result) {}

// Guards against blaming a backend server for the time of its nested calls. Overlapping nested calls count once, and
// one that is still running when the request ends counts until then.
func TestNestedTimeCountsOnce(t *testing.T) {
	now := time.Duration(0)
	seen := &fakeObservation{}
	p := &parentRequest{clock: func() time.Duration { return now }, observation: seen}
	p.beginNested()
	now += 10
	p.beginNested()
	now += 10
	p.endNested()
	now += 10
	p.endNested()
	now += 100
	p.beginNested()
	now += 5
	assert.Equal(t, p.end(admission.Succeeded), time.Duration(35))
	p.endNested()
	assert.Equal(t, *seen, fakeObservation{paused: 2, resumed: 1})
}
