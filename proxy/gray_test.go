package proxy

import (
	"context"
	"io"
	"net/http"
	"sort"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemaryline.dev/routing"
)

// failHandler responds to every request immediately with a server error.
func failHandler(w http.ResponseWriter, _ *http.Request) {
	http.Error(w, "failed", http.StatusInternalServerError)
}

// failingAndHealthy returns an entry that knows a failing backend server and a healthy one. The healthy one appears
// loaded, so that the failing one is tried first.
func failingAndHealthy(t *testing.T, change ...func(*EntryOptions)) (entry *testVM, failing, healthy *backend) {
	v := newFleetView(t, 4)
	failing, healthy = newBackend(t, failHandler), newBackend(t, nil)
	first, second := newVM(t, "vm2", v, nil), newVM(t, "vm3", v, nil)
	first.announce(t, "b", addressOf(failing.Server), "1")
	second.announce(t, "b", addressOf(healthy.Server), "1")
	busy := newPeer("vm3", addressOf(second.peer))
	busy.InFlight, busy.Age = 100, 0
	return newVM(t, "vm1", v, directory{newPeer("vm2", addressOf(first.peer)), busy}, change...), failing, healthy
}

// Guards against returning a failure for a repeatable request that another backend server could serve, and against a
// second run of a request that may not be repeated.
func TestFailedAnswerIsTriedElsewhere(t *testing.T) {
	entry, failing, healthy := failingAndHealthy(t)
	resp, text, _ := sendRequest(t, entry.caller, "GET", "/a", nil)
	assert.Equal(t, resp.StatusCode, 200, text)
	assert.Equal(t, failing.count(), 1)
	assert.Equal(t, healthy.count(), 1)
	entry, failing, healthy = failingAndHealthy(t)
	resp, text, _ = sendRequest(t, entry.caller, "POST", "/once", strings.NewReader("body"))
	assert.Equal(t, resp.StatusCode, 500)
	assert.Equal(t, strings.TrimSpace(text), "failed", "the backend server's response is passed on")
	assert.Equal(t, failing.count(), 1)
	assert.Equal(t, healthy.count(), 0)
}

// Guards against a failing backend server that keeps receiving requests that may not be repeated. After two failures
// its gate must refuse them with the outcome not-run, so that they are sent elsewhere.
func TestRequestsThatMayNotBeRepeatedLeaveAFailingServer(t *testing.T) {
	entry, failing, _ := failingAndHealthy(t)
	served := 0
	for range 20 {
		resp, _, _ := sendRequest(t, entry.caller, "POST", "/once", strings.NewReader("body"))
		if resp.StatusCode == 200 {
			served++
		}
	}
	assert.Assert(t, failing.count() <= 2, "%d ran at the failing backend server", failing.count())
	assert.Assert(t, served >= 18, "%d served", served)
}

// Guards against entries that still avoid a backend server after its recovery, and against notifying entries whose
// requests were not refused.
func TestGateTellsRefusedEntriesOfRecovery(t *testing.T) {
	v := newFleetView(t, 4)
	failed := atomic.Bool{}
	failed.Store(true)
	b := newBackend(t, func(w http.ResponseWriter, _ *http.Request) {
		if failed.Load() {
			w.WriteHeader(http.StatusInternalServerError)
		}
	})
	m := newVM(t, "vm1", v, nil)
	var notified []string
	m.gate.opts.OnRecovered = func(service string, entries []string) {
		assert.Equal(t, service, "svc")
		notified = append(notified, entries...)
	}
	m.announce(t, "b", addressOf(b.Server), "1")
	run := func(entry string, mayFail bool) Reason {
		req := newTestRequest(t, "once")
		req.Entry, req.MayFail = entry, mayFail
		resp, err := m.gate.Run(context.Background(), req)
		if err != nil {
			return asRefusal(err).Reason
		}
		resp.Body.Close()
		return ""
	}
	assert.Equal(t, run("vm2", false), Reason(""))
	assert.Equal(t, run("vm3", false), ReasonSuspect)
	assert.Equal(t, run("vm2", true), Reason(""))
	assert.Equal(t, run("vm3", false), ReasonFaulty)
	failed.Store(false)
	for range 200 {
		if run("vm2", true) == "" && run("vm2", false) == "" {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	sort.Strings(notified)
	assert.DeepEqual(t, notified, []string{"vm2", "vm3"})
}

// Guards against entries in other failure domains that keep sending requests to a faulty backend server, whose gate
// would refuse them, and against a faulty backend server that no entry tries again.
func TestOnlyNearEntriesTryAFaultyServer(t *testing.T) {
	v := newFleetView(t, 4)
	for _, test := range []struct{ domain, want string }{{"d1", "vm2"}, {"d2", "vm3"}} {
		faulty, healthy := newPeer("vm2", "address"), newPeer("vm3", "address")
		faulty.Domain = test.domain
		r := newVM(t, "vm1", v, directory{faulty, healthy}).entry.router
		r.recordTrippedBreaker("vm2", "svc", notRunRefusal(503, ReasonFaulty, "test"))
		time.Sleep(routing.TrialInterval)
		req := newTestRequest(t, "a")
		req.MayFail = true
		chosen, ok := r.choose(req, map[string]bool{})
		assert.Assert(t, ok)
		assert.Equal(t, chosen.peer.VM, test.want)
		req.MayFail = false
		chosen, ok = r.choose(req, map[string]bool{})
		assert.Assert(t, ok)
		assert.Equal(t, chosen.peer.VM, "vm3")
		r.markRecovered("vm2", "svc")
		_, ok = r.choose(req, map[string]bool{"vm3": true})
		assert.Assert(t, ok)
	}
}

// Guards against more retries than the budget allows, and against a refusal that replaces the failure reported by the
// backend server.
func TestRetriesOfFailedAnswersKeepTheBudget(t *testing.T) {
	v := newFleetView(t, 4)
	failing := newBackend(t, failHandler)
	first, second := newVM(t, "vm2", v, nil), newVM(t, "vm3", v, nil)
	first.announce(t, "b", addressOf(failing.Server), "1")
	second.announce(t, "b", addressOf(failing.Server), "1")
	hosts := directory{newPeer("vm2", addressOf(first.peer)), newPeer("vm3", addressOf(second.peer))}
	entry := newVM(t, "vm1", v, hosts, func(o *EntryOptions) {
		o.RetryRatio = 0.1
		o.RetryReserve = func() float64 { return 2 }
	})
	const requests = 50
	for range requests {
		resp, _, _ := sendRequest(t, entry.caller, "GET", "/a", nil)
		assert.Assert(t, resp.StatusCode >= 500)
	}
	assert.Assert(t, failing.count() <= requests+2+requests/10, "%d arrivals", failing.count())
}

// sheddingDialect is defaultDialect with a header for requests that did not run.
type sheddingDialect struct{ defaultDialect }

func (sheddingDialect) FromBackend(resp *http.Response) BackendResponse {
	return BackendResponse{
		ID:     resp.Header.Get(HeaderRequestID),
		NotRun: resp.Header.Get("Not-Run") != "", OtherInstance: resp.StatusCode == 421,
	}
}

// Guards against counting a request as run although the backend server declined it. Such a request may be sent
// elsewhere even if it may not be repeated, and its refusal must say not-run.
func TestDeclinedRequestDidNotRun(t *testing.T) {
	for _, test := range []struct {
		desc   string
		status int
		reason Reason
	}{{"shed", 503, ReasonShed}, {"another instance", 421, ReasonOtherInstance}} {
		t.Run(test.desc, func(t *testing.T) {
			b := newBackend(t, func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID)) // without it the refusal is not believed
				w.Header().Set("Not-Run", "1")
				w.WriteHeader(test.status)
			})
			gate := NewGate(GateOptions{
				VM: "vm1", Domain: "d1", Fleet: NewFleet(newFleetView(t, 4)), Clock: NewClock(), Log: discardLogger(),
				Claimer: &fakeClaimer{}, Observer: &observer{}, Dialect: sheddingDialect{},
			})
			assert.NilError(t, gate.Announce(Announcement{Name: "b", Service: "svc", Address: addressOf(b.Server), Instance: "1"}, time.Now()))
			defer gate.Withdraw("b")
			_, err := gate.Run(t.Context(), newTestRequest(t, "once"))
			refusal := asRefusal(err)
			assert.Equal(t, refusal.Reason, test.reason)
			assert.Equal(t, refusal.Outcome, OutcomeNotRun)
			assert.Assert(t, refusal.Reached, "the arrival counts in the retry budget")
		})
	}
}

// Guards against a status that implies that the request did not run, although an earlier attempt may have run.
func TestFinalRefusalIsTrueAfterSeveralAttempts(t *testing.T) {
	history := &attemptHistory{tried: map[string]bool{}, breakerTripped: map[string]bool{}}
	history.recordRefusal("vm1", unknownRefusal(http.StatusBadGateway, ReasonBrokenAnswer, "run"))
	history.recordRefusal("vm2", notRunRefusal(http.StatusServiceUnavailable, ReasonNoCapacity, "gate"))
	final := history.finalRefusal()
	assert.Equal(t, final.Outcome, OutcomeUnknown)
	assert.Equal(t, final.Status, http.StatusBadGateway)
}

// Guards against applying announcements that arrive late: from a previous instance, with an earlier state, or after the
// instance was withdrawn.
func TestOvertakenAnnouncements(t *testing.T) {
	gate, _, _ := gateWithFakeClock(t)
	announce := func(instance string, started int64, sequence uint64, draining bool) {
		a := Announcement{Name: "b", Service: "svc", Address: "127.0.0.1:1", Instance: instance, StartedMs: started, Sequence: sequence, Draining: draining}
		assert.NilError(t, gate.Announce(a, time.Now()))
	}
	serving := func() int {
		if s := gate.Summary(); len(s) > 0 {
			return s[0].Serving
		}
		return 0
	}
	announce("i-1", 1000, 5, true)
	announce("i-1", 1000, 4, false)
	assert.Equal(t, serving(), 0, "an earlier state came late")
	announce("i-2", 2000, 1, false)
	assert.Equal(t, serving(), 1)
	announce("i-1", 1000, 9, true)
	assert.Equal(t, serving(), 1, "a former instance came late")
	gate.WithdrawInstance("i-2", 0)
	announce("i-2", 2000, 2, false)
	assert.Equal(t, serving(), 0, "a withdrawn instance came late")
	announce("i-2", 3000, 1, false)
	assert.Equal(t, serving(), 1, "the instance id started again")
}

// Guards against using a backend server again that left before the process was restarted: its late announcements may arrive
// before or after the departure is known, and while its service is not in the configuration yet.
func TestDepartureFromBeforeARestart(t *testing.T) {
	gate, o, _ := gateWithFakeClock(t)
	gate.opts.HoldUnknownServices = true
	announce := func(service string, started int64, sequence uint64, draining bool) {
		a := Announcement{Name: "b", Service: service, Address: "127.0.0.1:1", Instance: "i-1", StartedMs: started, Sequence: sequence, Draining: draining}
		assert.NilError(t, gate.Announce(a, time.Now()))
	}
	announce("svc", 1000, 7, false)
	gate.Depart(Departure{Instance: "i-1", StartedMs: 1000, Through: 7})
	assert.Equal(t, len(gate.Summary()), 0)
	assert.DeepEqual(t, o.removed, []string{"b"})
	announce("svc", 1000, 6, false)
	assert.Equal(t, len(gate.Summary()), 0)
	announce("unknown", 1000, 7, false)
	announce("unknown", 1000, 8, false)
	assert.Equal(t, len(gate.heldAnnouncements), 1, "a later announcement is not outdated")
	gate.WithdrawInstance("i-1", 1000)
	assert.Equal(t, len(gate.heldAnnouncements), 0)
	announce("svc", 1000, 9, false)
	assert.Equal(t, len(gate.Summary()), 0)
	announce("svc", 2000, 1, false)
	assert.Equal(t, gate.Summary()[0].Serving, 1, "the instance started again")
}

// Guards against passing on part of a short response that broke off. Nothing was sent to the caller yet, so the request
// must be retried elsewhere.
func TestBrokenShortAnswerIsTriedElsewhere(t *testing.T) {
	v := newFleetView(t, 4)
	failing, healthy := newBackend(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		io.WriteString(w, "half")
		panic(http.ErrAbortHandler)
	}), newBackend(t, nil)
	first, second := newVM(t, "vm2", v, nil), newVM(t, "vm3", v, nil)
	first.announce(t, "b", addressOf(failing.Server), "1")
	second.announce(t, "b", addressOf(healthy.Server), "1")
	busy := newPeer("vm3", addressOf(second.peer))
	busy.InFlight, busy.Age = 100, 0
	entry := newVM(t, "vm1", v, directory{newPeer("vm2", addressOf(first.peer)), busy})
	resp, text, readErr := sendRequest(t, entry.caller, "GET", "/a", nil)
	assert.NilError(t, readErr)
	assert.Equal(t, resp.StatusCode, 200)
	assert.Equal(t, text, "ok")
	candidates, _, _ := entry.entry.Explain("svc")
	assert.Equal(t, candidates[0].State, routing.StateServing)
	assert.Equal(t, candidates[0].PathPenalty, 0.0, "the path is not to blame")
}

// Guards against an entry that leaves requests that may not be repeated waiting or refused while it avoids backend servers of
// which nobody knows whether they have recovered: it tests each of them once in a while, and only where no VM has a free slot.
func TestPressedRequestsTestAvoidedServers(t *testing.T) {
	hosts := directory{newPeer("vm2", "127.0.0.1:1"), newPeer("vm3", "127.0.0.1:2")}
	r := newVM(t, "vm1", newFleetView(t, 4), hosts).entry.router
	tripped := routing.Target{VM: "vm2", Service: "svc"}
	record := func(trialIn time.Duration) {
		r.recordTrippedBreaker("vm2", "svc", &Refusal{Reason: ReasonFaulty, TrialIn: trialIn})
	}
	for _, test := range []struct {
		desc    string
		load    Load
		trialIn time.Duration
		want    string
	}{
		{"a free slot elsewhere", Load{Slots: 4}, 0, "vm3"},
		{"none, trial allowed", Load{Slots: 4, InFlight: 4, Queued: 2}, 0, "vm2"},
		{"none, trial not allowed yet", Load{Slots: 4, InFlight: 4, Queued: 2}, time.Second, "vm3"},
	} {
		t.Run(test.desc, func(t *testing.T) {
			r.trippedBreakers.Clear(tripped)
			record(test.trialIn)
			r.loads.report("vm3", "svc", test.load, r.opts.Clock())
			r.loads.report("vm2", "svc", Load{Slots: 4}, r.opts.Clock())
			req := &Request{Service: "svc"}
			chosen, ok := r.choose(req, map[string]bool{})
			assert.Assert(t, ok)
			assert.Equal(t, chosen.peer.VM, test.want)
			assert.Equal(t, req.Pressed, test.want == "vm2")
			if req.Pressed {
				next, _ := r.choose(&Request{Service: "svc"}, map[string]bool{})
				assert.Equal(t, next.peer.VM, "vm3", "a second trial at the same time")
			}
		})
	}
}
