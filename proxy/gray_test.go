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

// failing answers every request with a server error at once.
func failing(w http.ResponseWriter, _ *http.Request) {
	http.Error(w, "failed", http.StatusInternalServerError)
}

// grayPair is an entry in front of a backend server that fails and a sound one, which looks full.
func grayPair(t *testing.T, change ...func(*EntryOptions)) (entry *vm, bad, good *backend) {
	v := newView(t, 4)
	bad, good = newBackend(t, failing), newBackend(t, nil)
	first, second := newVM(t, "vm2", v, nil), newVM(t, "vm3", v, nil)
	first.announce(t, "b", addressOf(bad.Server), "1")
	second.announce(t, "b", addressOf(good.Server), "1")
	far := host("vm3", addressOf(second.peer))
	far.InFlight, far.Age = 100, 0
	return newVM(t, "vm1", v, directory{host("vm2", addressOf(first.peer)), far}, change...), bad, good
}

// Guards against a gray failure that callers see although the request may be repeated, and against a second run of one
// that may not.
func TestFailedAnswerIsTriedElsewhere(t *testing.T) {
	entry, bad, good := grayPair(t)
	resp, text, _ := call(t, entry.caller, "GET", "/a", nil)
	assert.Equal(t, resp.StatusCode, 200, text)
	assert.Equal(t, bad.count(), 1)
	assert.Equal(t, good.count(), 1)
	entry, bad, good = grayPair(t)
	resp, text, _ = call(t, entry.caller, "POST", "/once", strings.NewReader("body"))
	assert.Equal(t, resp.StatusCode, 500)
	assert.Equal(t, strings.TrimSpace(text), "failed", "the backend server's answer is passed on")
	assert.Equal(t, bad.count(), 1)
	assert.Equal(t, good.count(), 0)
}

// Guards against the third and later requests that may not be repeated at a backend server that fails: its gate must turn
// them away as not run, so that they are tried elsewhere.
func TestRequestsThatMayNotBeRepeatedLeaveAFailingServer(t *testing.T) {
	entry, bad, _ := grayPair(t)
	served := 0
	for range 20 {
		resp, _, _ := call(t, entry.caller, "POST", "/once", strings.NewReader("body"))
		if resp.StatusCode == 200 {
			served++
		}
	}
	assert.Assert(t, bad.count() <= 2, "%d ran at the failing backend server", bad.count())
	assert.Assert(t, served >= 18, "%d served", served)
}

// Guards against entries that go on to avoid a backend server after its recovery, and against those that are told although
// nothing was refused them.
func TestGateTellsRefusedEntriesOfRecovery(t *testing.T) {
	v := newView(t, 4)
	failed := atomic.Bool{}
	failed.Store(true)
	b := newBackend(t, func(w http.ResponseWriter, _ *http.Request) {
		if failed.Load() {
			w.WriteHeader(http.StatusInternalServerError)
		}
	})
	m := newVM(t, "vm1", v, nil)
	var told []string
	m.gate.opts.Recovered = func(service string, entries []string) {
		assert.Equal(t, service, "svc")
		told = append(told, entries...)
	}
	m.announce(t, "b", addressOf(b.Server), "1")
	run := func(entry string, mayFail bool) Reason {
		req := testRequest(t, "once")
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
	sort.Strings(told)
	assert.DeepEqual(t, told, []string{"vm2", "vm3"})
}

// Guards against requests that cross failure domains to a backend server which keeps failing, where each would be refused,
// and against one that no entry tries again.
func TestOnlyNearEntriesTryAFaultyServer(t *testing.T) {
	v := newView(t, 4)
	for _, test := range []struct{ domain, want string }{{"d1", "vm2"}, {"d2", "vm3"}} {
		faulty, sound := host("vm2", "address"), host("vm3", "address")
		faulty.Domain = test.domain
		r := newVM(t, "vm1", v, directory{faulty, sound}).entry.route
		r.noteDoubt("vm2", "svc", notRun(503, ReasonFaulty, "test"))
		time.Sleep(routing.TrialInterval)
		req := testRequest(t, "a")
		req.MayFail = true
		chosen, ok := r.choose(req, map[string]bool{})
		assert.Assert(t, ok)
		assert.Equal(t, chosen.peer.VM, test.want)
		req.MayFail = false
		chosen, ok = r.choose(req, map[string]bool{})
		assert.Assert(t, ok)
		assert.Equal(t, chosen.peer.VM, "vm3")
		r.recovered("vm2", "svc")
		_, ok = r.choose(req, map[string]bool{"vm3": true})
		assert.Assert(t, ok)
	}
}

// Guards against retries beyond the budget, and against a refusal in place of the failure that the backend server
// reported.
func TestRetriesOfFailedAnswersKeepTheBudget(t *testing.T) {
	v := newView(t, 4)
	bad := newBackend(t, failing)
	first, second := newVM(t, "vm2", v, nil), newVM(t, "vm3", v, nil)
	first.announce(t, "b", addressOf(bad.Server), "1")
	second.announce(t, "b", addressOf(bad.Server), "1")
	hosts := directory{host("vm2", addressOf(first.peer)), host("vm3", addressOf(second.peer))}
	entry := newVM(t, "vm1", v, hosts, func(o *EntryOptions) {
		o.RetryRatio = 0.1
		o.RetryReserve = func() float64 { return 2 }
	})
	const requests = 50
	for range requests {
		resp, _, _ := call(t, entry.caller, "GET", "/a", nil)
		assert.Assert(t, resp.StatusCode >= 500)
	}
	assert.Assert(t, bad.count() <= requests+2+requests/10, "%d arrivals", bad.count())
}

// sheddingDialect is the project's own, with a mark for requests that did not run.
type sheddingDialect struct{ ownDialect }

func (sheddingDialect) FromBackend(resp *http.Response) BackendAnswer {
	return BackendAnswer{NotRun: resp.Header.Get("Not-Run") != "", OtherInstance: resp.StatusCode == 421}
}

// Guards against a request that a backend server declined and that is taken for run: it may be sent elsewhere, also where
// it may not be repeated, and the refusal is true.
func TestDeclinedRequestDidNotRun(t *testing.T) {
	for _, test := range []struct {
		desc   string
		status int
		reason Reason
	}{{"shed", 503, ReasonShed}, {"another instance", 421, ReasonOtherInstance}} {
		t.Run(test.desc, func(t *testing.T) {
			b := newBackend(t, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Not-Run", "1")
				w.WriteHeader(test.status)
			})
			gate := NewGate(GateOptions{
				VM: "vm1", Domain: "d1", Fleet: NewFleet(newView(t, 4)), Clock: NewClock(), Log: quiet(),
				Claimer: &fakeClaimer{}, Observer: &observer{}, Dialect: sheddingDialect{},
			})
			assert.NilError(t, gate.Announce(Announcement{Name: "b", Service: "svc", Address: addressOf(b.Server), Instance: "1"}, time.Now()))
			defer gate.Withdraw("b")
			_, err := gate.Run(t.Context(), testRequest(t, "once"))
			refusal := asRefusal(err)
			assert.Equal(t, refusal.Reason, test.reason)
			assert.Equal(t, refusal.Outcome, OutcomeNotRun)
			assert.Assert(t, refusal.Reached, "the arrival counts in the retry budget")
		})
	}
}

// Guards against a status that promises that a request did not run after an attempt that may have run.
func TestFinalRefusalIsTrueAfterSeveralAttempts(t *testing.T) {
	c := &course{tried: map[string]bool{}, doubtful: map[string]bool{}}
	c.note("vm1", unknown(http.StatusBadGateway, ReasonBrokenAnswer, "run"))
	c.note("vm2", notRun(http.StatusServiceUnavailable, ReasonNoCapacity, "gate"))
	final := c.finalRefusal()
	assert.Equal(t, final.Outcome, OutcomeUnknown)
	assert.Equal(t, final.Status, http.StatusBadGateway)
}

// Guards against announcements that were overtaken: of a former instance, of an earlier state, or after the instance was
// withdrawn.
func TestOvertakenAnnouncements(t *testing.T) {
	gate, _, _ := steppedGate(t)
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

// Guards against a short answer that breaks off and is passed on in part: nothing of it was sent yet, so the request is
// tried elsewhere.
func TestBrokenShortAnswerIsTriedElsewhere(t *testing.T) {
	v := newView(t, 4)
	bad, good := newBackend(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		io.WriteString(w, "half")
		panic(http.ErrAbortHandler)
	}), newBackend(t, nil)
	first, second := newVM(t, "vm2", v, nil), newVM(t, "vm3", v, nil)
	first.announce(t, "b", addressOf(bad.Server), "1")
	second.announce(t, "b", addressOf(good.Server), "1")
	far := host("vm3", addressOf(second.peer))
	far.InFlight, far.Age = 100, 0
	entry := newVM(t, "vm1", v, directory{host("vm2", addressOf(first.peer)), far})
	resp, text, readErr := call(t, entry.caller, "GET", "/a", nil)
	assert.NilError(t, readErr)
	assert.Equal(t, resp.StatusCode, 200)
	assert.Equal(t, text, "ok")
	cands, _, _ := entry.entry.Explain("svc")
	assert.Equal(t, cands[0].State, routing.StateServing)
	assert.Equal(t, cands[0].PathPenalty, 0.0, "the path is not to blame")
}
