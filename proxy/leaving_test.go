package proxy

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemaryline.dev/routing"
)

// Guards against a stop that refuses what was accepted: requests that the entry of the last VM of a service accepted must be
// served by its own gate while the process stops. Requests of other entries are refused, so that they go elsewhere.
func TestLastVMServesWhatItAcceptedWhileLeaving(t *testing.T) {
	b := newBackend(t, nil)
	v := newFleetView(t, 4)
	self := newPeer("vm1", "")
	self.State = routing.StateDraining
	m := newVM(t, "vm1", v, directory{self})
	m.announce(t, "b", addressOf(b.Server), "1")
	m.gate.Leave()
	for _, method := range []string{"GET", "POST"} {
		resp, text, err := sendRequest(t, m.caller, method, "/once", strings.NewReader("body"))
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusOK, text)
	}
	other := newVM(t, "vm2", v, directory{newPeer("vm1", addressOf(m.peer))})
	resp, _, _ := sendRequest(t, other.caller, "POST", "/once", strings.NewReader("body"))
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, resp.Header.Get(HeaderOutcome), "not-run")
	assert.Equal(t, b.count(), 2)
}

// Guards against preferring the own gate while another VM still serves the service, also before gossip says that the own VM
// is leaving.
func TestLeavingVMSendsRequestsElsewhere(t *testing.T) {
	own, other := newBackend(t, nil), newBackend(t, nil)
	v := newFleetView(t, 4)
	gate := newVM(t, "vm2", v, nil)
	gate.announce(t, "b2", addressOf(other.Server), "1")
	m := newVM(t, "vm1", v, directory{newPeer("vm1", ""), newPeer("vm2", addressOf(gate.peer))})
	m.announce(t, "b1", addressOf(own.Server), "1")
	m.gate.Leave()
	for range 4 {
		resp, _, _ := sendRequest(t, m.caller, "POST", "/once", strings.NewReader("body"))
		assert.Equal(t, resp.StatusCode, http.StatusOK)
	}
	assert.Equal(t, own.count(), 0)
	assert.Equal(t, other.count(), 4)
}

// Guards against a stop that ends work in progress: the gate of another VM cancelled an overdue request, so that its entry
// retries it elsewhere, while the process of that entry was stopping; the caller got a failure although the backend server
// was at work. With an entry that goes on, the request is cancelled. A process that began to stop tells its gates, also the own
// one, a second before gossip says that it is leaving.
func TestOverdueRequestOfALeavingEntryContinues(t *testing.T) {
	for _, test := range []struct {
		desc              string
		entry             string
		leaving, stopping bool
	}{
		{"goes on", "vm1", false, false}, {"leaving", "vm1", true, false},
		{"stopping", "vm1", false, true}, {"stopping beside the gate", "vm2", false, true},
	} {
		leaving := test.leaving
		var ahead atomic.Int64
		began := time.Now()
		clock := func() time.Duration { return time.Since(began) + time.Duration(ahead.Load()) }
		gate := NewGate(GateOptions{VM: "vm2", Domain: "d1", Fleet: NewFleet(newFleetView(t, 4)), Clock: clock, Log: discardLogger(),
			Claimer: &fakeClaimer{}, Observer: &observer{}, AnnouncementTTL: time.Hour,
			EntryLeaving: func(vm string) bool { return leaving && vm == "vm1" }})
		release := make(chan struct{})
		b := newBackend(t, func(w http.ResponseWriter, r *http.Request) {
			select {
			case <-release:
			case <-r.Context().Done():
			}
		})
		assert.NilError(t, gate.Announce(Announcement{Name: "b", Service: "svc", Address: addressOf(b.Server), Instance: "1"}, time.Now()))
		t.Cleanup(func() { gate.Withdraw("b") })
		req := newTestRequest(t, "root")
		req.Entry, req.Repeatable, req.MayFail = test.entry, true, true
		type result struct {
			resp *Response
			err  error
		}
		done := make(chan result, 1)
		go func() {
			resp, err := gate.Run(t.Context(), req)
			done <- result{resp, err}
		}()
		eventually(t, "the request runs", func() bool { return b.count() == 1 })
		ahead.Store(int64(4 * time.Second)) // more than half of the time to the deadline
		if test.stopping {
			gate.EntryStopping(test.entry)
		}
		gate.Sweep()
		if !test.leaving && !test.stopping {
			assert.Equal(t, asRefusal((<-done).err).Reason, ReasonEjected, test.desc)
			continue
		}
		close(release)
		r := <-done
		assert.NilError(t, r.err, test.desc)
		assert.Equal(t, r.resp.Status, http.StatusOK)
		assert.NilError(t, r.resp.Body.Close())
	}
}

// Guards against a stop of which the gates with requests of the entry are not told, and against requests of a stopping entry that
// a gate may cancel for a retry.
func TestStoppingEntryNamesItsGates(t *testing.T) {
	release := make(chan struct{})
	b := newBackend(t, func(http.ResponseWriter, *http.Request) { <-release })
	entry, _ := newEntryAndGate(t, newFleetView(t, 4), b)
	assert.Equal(t, len(entry.entry.BeginStop()), 0)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _, _ = sendRequest(t, entry.caller, "GET", "/x", nil)
	}()
	eventually(t, "the request runs", func() bool { return b.count() == 1 })
	assert.DeepEqual(t, entry.entry.BeginStop(), []string{"vm2"})
	assert.Assert(t, !entry.entry.router.mayFail(&Request{Deadline: deadlineIn(5000)}, &attemptHistory{retryReserved: true}))
	close(release)
	<-done
}

// stoppingGate is a gate with one slot, whose backend server holds each request until it is released.
type stoppingGate struct {
	*Gate
	t       *testing.T
	backend *backend
	release chan struct{}
}

func newStoppingGate(t *testing.T) *stoppingGate {
	g := &stoppingGate{t: t, release: make(chan struct{})}
	g.Gate = NewGate(GateOptions{VM: "vm2", Domain: "d1", Fleet: NewFleet(newFleetView(t, 1)), Clock: NewClock(), Log: discardLogger(),
		Claimer: &fakeClaimer{}, Observer: &observer{}, AnnouncementTTL: time.Hour})
	g.backend = newBackend(t, func(http.ResponseWriter, *http.Request) { <-g.release })
	assert.NilError(t, g.Announce(Announcement{Name: "b", Service: "svc", Address: addressOf(g.backend.Server), Instance: "1"}, time.Now()))
	t.Cleanup(func() { g.Withdraw("b") })
	return g
}

// start sends a request and returns what becomes of it: nil if a backend server answered it.
func (g *stoppingGate) start(lastResort bool) <-chan *Refusal {
	req := newTestRequest(g.t, "once")
	req.LastResort = lastResort
	done := make(chan *Refusal, 1)
	go func() {
		resp, err := g.Run(context.Background(), req)
		if err != nil {
			done <- asRefusal(err)
			return
		}
		resp.Body.Close()
		done <- nil
	}()
	return done
}

// result waits for what becomes of a request.
func (g *stoppingGate) result(done <-chan *Refusal) *Refusal {
	g.t.Helper()
	select {
	case refusal := <-done:
		return refusal
	case <-time.After(10 * time.Second):
		g.t.Fatal("the request has not ended")
		return nil
	}
}

func (g *stoppingGate) waitQueued(n int) {
	g.t.Helper()
	eventually(g.t, "the requests wait", func() bool { return g.Load("svc").Queued == n })
}

// Guards against a gate that starts waiting requests while its process stops and then cuts them at the backend server: they are
// refused as not run when the stop begins, so that their entries try elsewhere. What runs continues.
func TestWaitingRequestsLeaveAStoppingGate(t *testing.T) {
	g := newStoppingGate(t)
	running := g.start(false)
	eventually(t, "the first request runs", func() bool { return g.backend.count() == 1 })
	waiting := []<-chan *Refusal{g.start(false), g.start(false)}
	g.waitQueued(2)
	g.Leave()
	for _, done := range waiting {
		refusal := g.result(done)
		assert.Equal(t, refusal.Reason, ReasonLeaving)
		assert.Equal(t, refusal.Outcome, OutcomeNotRun)
	}
	close(g.release)
	assert.Assert(t, g.result(running) == nil)
	assert.Equal(t, g.backend.count(), 1)
}

// Guards against a request of the own entry that a stopping gate starts although it usually takes longer than what is left of the
// stop.
func TestStoppingGateStartsOnlyWhatCanEnd(t *testing.T) {
	const usual = 100 * time.Millisecond
	for _, test := range []struct {
		desc string
		left time.Duration
		runs bool
	}{{"enough time", time.Minute, true}, {"too little", usual / 2, false}} {
		t.Run(test.desc, func(t *testing.T) {
			g := newStoppingGate(t)
			first := g.start(false)
			time.Sleep(usual)
			g.release <- struct{}{}
			assert.Assert(t, g.result(first) == nil)
			second := g.start(false)
			eventually(t, "the second request runs", func() bool { return g.backend.count() == 2 })
			g.Leave()
			waits := g.start(true)
			g.waitQueued(1)
			g.StopWithin(test.left)
			close(g.release)
			assert.Assert(t, g.result(second) == nil)
			refusal := g.result(waits)
			assert.Equal(t, refusal == nil, test.runs)
			if refusal != nil {
				assert.Equal(t, refusal.Reason, ReasonLeaving)
				assert.Equal(t, refusal.Outcome, OutcomeNotRun)
			}
		})
	}
}
