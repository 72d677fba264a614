package proxy

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemaryline.dev/fleet/state"
	"rosemaryline.dev/rollout"
)

// beginTestRollout records v1 as admitted and orders a rollout to v2.
func beginTestRollout(t testing.TB, v *fleetView) state.Rollout {
	t.Helper()
	v.apply(t, state.Command{Operator: "test", AdmitVersions: &state.AdmitVersions{Service: "svc", Versions: []string{"v1"}}})
	v.apply(t, state.Command{Operator: "test", BeginRollout: &state.BeginRollout{Service: "svc", NewVersion: "v2", DurationMs: 10_000}})
	r, _ := v.s.Rollout("svc")
	return r
}

func decideTestRollout(t testing.TB, v *fleetView, phase state.RolloutPhase, percent int) {
	t.Helper()
	r, _ := v.s.Rollout("svc")
	v.apply(t, state.Command{Operator: "test", DecideRollout: &state.DecideRollout{
		Service: "svc", ID: r.ID, Previous: r.Decision, Phase: phase, Percent: percent, Reason: "test",
	}})
}

// versionFleet is an entry and two gates with one server each, of v1 and v2.
type versionFleet struct {
	view            *fleetView
	entry, old, new *testVM
	oldServer       *backend
	newServer       *backend
}

func newVersionFleet(t *testing.T, h http.HandlerFunc) *versionFleet {
	f := &versionFleet{view: newFleetView(t, 4), oldServer: newBackend(t, nil), newServer: newBackend(t, h)}
	f.old = newVM(t, "old", f.view, nil)
	f.new = newVM(t, "new", f.view, nil)
	f.announce(t)
	oldPeer, newPeer := newPeer("old", addressOf(f.old.peer)), newPeer("new", addressOf(f.new.peer))
	oldPeer.Version, newPeer.Version = "v1", "v2"
	f.entry = newVM(t, "entry", f.view, directory{oldPeer, newPeer})
	return f
}

func (f *versionFleet) announce(t *testing.T) {
	t.Helper()
	assert.NilError(t, f.old.gate.Announce(Announcement{Name: "b", Service: "svc", Address: addressOf(f.oldServer.Server), Instance: "1", Version: "v1"}, time.Now()))
	assert.NilError(t, f.new.gate.Announce(Announcement{Name: "b", Service: "svc", Address: addressOf(f.newServer.Server), Instance: "1", Version: "v2"}, time.Now()))
}

func (f *versionFleet) refresh() {
	for _, m := range []*testVM{f.entry, f.old, f.new} {
		m.fleet.Refresh()
	}
}

func (f *versionFleet) send(t *testing.T, n int) {
	t.Helper()
	for range n {
		resp, text, err := sendRequest(t, f.entry.caller, "GET", "/x", nil)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusOK, text)
	}
}

// allow gives the gate of the new version an allowance, as the reply to a report does.
func (f *versionFleet) allow(t *testing.T, allowed uint64) rollout.Report {
	t.Helper()
	reports, isNew := f.new.gate.RolloutReports()
	assert.Equal(t, len(reports), 1)
	assert.Assert(t, isNew[0])
	f.new.gate.RolloutReplied(&reports[0], rollout.Reply{Allowed: allowed})
	return reports[0]
}

// Guards against a new version that gets more requests than the control leader allowed, whatever the entries offer, and
// against callers who are refused because of it.
func TestNewVersionGetsOnlyWhatWasAllowed(t *testing.T) {
	f := newVersionFleet(t, nil)
	beginTestRollout(t, f.view)
	decideTestRollout(t, f.view, state.RolloutCanary, 100)
	f.refresh()
	f.send(t, 5)
	assert.Equal(t, f.newServer.count(), 0)
	report := f.allow(t, 3)
	assert.Equal(t, report.Refused, uint64(5))
	f.send(t, 10)
	assert.Equal(t, f.newServer.count(), 3)
	assert.Equal(t, f.oldServer.count(), 12)
	report = f.allow(t, 3)
	assert.Equal(t, report.Arrived, uint64(3))
	assert.Equal(t, report.Routes["root"].Succeeded, uint32(3))
	assert.Equal(t, report.Routes["root"].Started, uint32(3))
	assert.Equal(t, report.Running, 0)
	old, _ := f.old.gate.RolloutReports()
	assert.Equal(t, old[0].Arrived, uint64(12))
}

// Guards against requests to a version that no rollout ordered, to a new version after its roll-back, and to old versions
// from cutover on, by entries that know and by those that do not.
func TestVersionsThatGetNoRequests(t *testing.T) {
	f := newVersionFleet(t, nil)
	f.view.apply(t, state.Command{Operator: "test", AdmitVersions: &state.AdmitVersions{Service: "svc", Versions: []string{"v1"}}})
	f.refresh()
	f.send(t, 5)
	assert.Equal(t, f.newServer.count(), 0)
	f.view.apply(t, state.Command{Operator: "test", BeginRollout: &state.BeginRollout{Service: "svc", NewVersion: "v2", DurationMs: 10_000}})
	decideTestRollout(t, f.view, state.RolloutCutover, 100)
	f.refresh()
	f.send(t, 5)
	assert.Equal(t, f.newServer.count(), 5)
	_, err := f.old.gate.Run(context.Background(), newTestRequest(t, "root"))
	assert.Equal(t, asRefusal(err).Reason, ReasonVersion)
	assert.Equal(t, asRefusal(err).Outcome, OutcomeNotRun)
	decideTestRollout(t, f.view, state.RolloutRolledBack, 0)
	f.refresh()
	f.send(t, 5)
	assert.Equal(t, f.newServer.count(), 5)
	_, err = f.new.gate.Run(context.Background(), newTestRequest(t, "root"))
	assert.Equal(t, asRefusal(err).Reason, ReasonVersion)
}

// Guards against a request that a server declined and that counts as started without a result, which makes its version look slow.
func TestShedRequestsCountForNeitherSide(t *testing.T) {
	f := newVersionFleet(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	f.new.gate.opts.Dialect = sheddingDialect{}
	beginTestRollout(t, f.view)
	decideTestRollout(t, f.view, state.RolloutCanary, 100)
	f.refresh()
	f.allow(t, 1)
	_, err := f.new.gate.Run(t.Context(), newTestRequest(t, "root"))
	assert.Equal(t, asRefusal(err).Reason, ReasonShed)
	counts := f.allow(t, 1).Routes["root"]
	assert.Equal(t, counts, rollout.RouteCounts{Started: 1, Shed: 1})
}

// Guards against an explanation, and a wait for a first host, that take VMs for candidates whose version gets no requests.
func TestExplainLeavesOutVersionsThatGetNoRequests(t *testing.T) {
	f := newVersionFleet(t, nil)
	explain := func(phase string, candidate string, reason string) {
		t.Helper()
		f.refresh()
		candidates, _, _ := f.entry.entry.Explain("svc")
		assert.Equal(t, len(candidates), 1, phase)
		assert.Equal(t, candidates[0].VM, candidate, phase)
		list := f.entry.entry.ExplainRequest(ExplainQuery{Service: "svc"})
		assert.Equal(t, len(list), 2, phase)
		assert.Assert(t, list[0].Chosen && list[0].VM == candidate && !list[1].Chosen, phase)
		assert.Equal(t, list[1].Reason, "not a candidate: version "+reason, phase)
	}
	f.view.apply(t, state.Command{Operator: "test", AdmitVersions: &state.AdmitVersions{Service: "svc", Versions: []string{"v1"}}})
	explain("no rollout", "old", "v2 is not admitted")
	f.view.apply(t, state.Command{Operator: "test", BeginRollout: &state.BeginRollout{Service: "svc", NewVersion: "v2", DurationMs: 10_000}})
	decideTestRollout(t, f.view, state.RolloutCanary, 5)
	explain("canary", "old", "v2 gets only the requests that its rollout draws for it")
	decideTestRollout(t, f.view, state.RolloutCutover, 100)
	explain("cutover", "new", "v1 is not admitted")

	g := newVersionFleet(t, nil)
	g.view.apply(t, state.Command{Operator: "test", AdmitVersions: &state.AdmitVersions{Service: "svc", Versions: []string{"v0"}}})
	g.refresh()
	began := time.Now()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	g.entry.entry.startedAt = g.entry.entry.opts.Clock()
	g.entry.entry.awaitHost(ctx, "svc")
	assert.Assert(t, time.Since(began) >= 50*time.Millisecond, "no wait, though no version is admitted")
}

// Guards against a queued request that runs at a version which was rolled back while it waited.
func TestQueuedRequestOfRolledBackVersion(t *testing.T) {
	release := make(chan struct{})
	finish := sync.OnceFunc(func() { close(release) })
	defer finish()
	f := newVersionFleet(t, func(w http.ResponseWriter, r *http.Request) {
		<-release
		io.WriteString(w, "ok")
	})
	beginTestRollout(t, f.view)
	decideTestRollout(t, f.view, state.RolloutCanary, 100)
	f.refresh()
	f.allow(t, 100)
	// One of the four slots is reserved for nested calls.
	results := make(chan error, 4)
	for range cap(results) {
		go func() {
			resp, err := f.new.gate.Run(context.Background(), newTestRequest(t, "root"))
			if err == nil {
				resp.Body.Close()
			}
			results <- err
		}()
	}
	eventually(t, "one request waits", func() bool { return f.new.gate.Load("svc").Queued == 1 })
	decideTestRollout(t, f.view, state.RolloutRolledBack, 0)
	f.refresh()
	finish()
	refused := 0
	for range cap(results) {
		if err := <-results; err != nil {
			assert.Equal(t, asRefusal(err).Reason, ReasonVersion)
			refused++
		}
	}
	assert.Equal(t, refused, 1)
	assert.Equal(t, f.newServer.count(), 3)
}

// Guards against evidence that blames a version for what its requests did not cause, and against failures of one kind that are
// counted as another.
func TestResultsOfVersions(t *testing.T) {
	var status atomic.Int32
	f := newVersionFleet(t, func(w http.ResponseWriter, r *http.Request) {
		if status.Load() == 0 {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(int(status.Load()))
	})
	beginTestRollout(t, f.view)
	decideTestRollout(t, f.view, state.RolloutCanary, 100)
	f.refresh()
	f.allow(t, 100)
	run := func(s int) {
		status.Store(int32(s))
		req := newTestRequest(t, "root")
		req.Forced = true
		if resp, err := f.new.gate.Run(context.Background(), req); err == nil {
			resp.Body.Close()
		}
	}
	for _, s := range []int{500, 500, 0, 200, 404} {
		run(s)
	}
	counts := f.allow(t, 100).Routes["root"]
	assert.Equal(t, counts.Failed, uint32(2))
	assert.Equal(t, counts.Broken, uint32(1))
	assert.Equal(t, counts.Succeeded, uint32(2))
}

// Guards against callers who get 503 because all servers of the version that an outdated entry drew refuse, while those of the
// other version have free slots.
func TestEntryThatIsBehindARollout(t *testing.T) {
	for _, test := range []struct {
		desc    string
		percent int
		next    state.RolloutPhase
	}{{"cutover", 0, state.RolloutCutover}, {"roll-back", 100, state.RolloutRolledBack}} {
		t.Run(test.desc, func(t *testing.T) {
			f := newVersionFleet(t, nil)
			var hosts directory
			for i := range 6 {
				oldPeer := newPeer("old"+string(rune('a'+i)), addressOf(f.old.peer))
				newPeer := newPeer("new"+string(rune('a'+i)), addressOf(f.new.peer))
				oldPeer.Version, newPeer.Version = "v1", "v2"
				hosts = append(hosts, oldPeer, newPeer)
			}
			f.entry = newVM(t, "entry", f.view, hosts)
			beginTestRollout(t, f.view)
			decideTestRollout(t, f.view, state.RolloutCanary, test.percent)
			f.refresh()
			decideTestRollout(t, f.view, test.next, 0)
			f.old.fleet.Refresh()
			f.new.fleet.Refresh()
			f.send(t, 3)
		})
	}
}

// holdingHandler returns a handler that responds once release is called.
func holdingHandler() (h http.HandlerFunc, release func()) {
	hold := make(chan struct{})
	release = sync.OnceFunc(func() { close(hold) })
	return func(w http.ResponseWriter, r *http.Request) { <-hold }, release
}

// start runs requests at a gate and returns a channel with their results.
func (f *versionFleet) start(t *testing.T, m *testVM, n int) <-chan error {
	results := make(chan error, n)
	for range n {
		go func() {
			resp, err := m.gate.Run(context.Background(), newTestRequest(t, "root"))
			if err == nil {
				resp.Body.Close()
			}
			results <- err
		}()
	}
	return results
}

// Guards against a new version that gets more requests than allowed, because requests in a queue keep a part of an allowance that
// the leader takes back and gives to other gates.
func TestQueuedRequestsKeepTheirAllowance(t *testing.T) {
	h, release := holdingHandler()
	defer release()
	f := newVersionFleet(t, h)
	beginTestRollout(t, f.view)
	decideTestRollout(t, f.view, state.RolloutCanary, 100)
	f.refresh()
	f.allow(t, 6)
	results := f.start(t, f.new, 6)
	eventually(t, "requests run and wait", func() bool { return f.newServer.count() == 3 && f.new.gate.Load("svc").Queued == 3 })
	f.allow(t, 1)
	report := f.allow(t, 1)
	assert.Equal(t, report.Arrived, uint64(3))
	assert.Equal(t, report.Granted, uint64(6))
	release()
	for range cap(results) {
		assert.NilError(t, <-results)
	}
	assert.Assert(t, f.allow(t, 1).Arrived <= report.Granted)
}

// Guards against old servers that stop while a request runs there that was sent before the gate learned of the rollout.
func TestReportsIncludeEarlierRequests(t *testing.T) {
	h, release := holdingHandler()
	defer release()
	f := newVersionFleet(t, h)
	f.refresh()
	results := f.start(t, f.new, 1)
	eventually(t, "the request runs", func() bool { return f.newServer.count() == 1 })
	f.view.apply(t, state.Command{Operator: "test", BeginRollout: &state.BeginRollout{Service: "svc", NewVersion: "v3", DurationMs: 10_000}})
	decideTestRollout(t, f.view, state.RolloutCutover, 100)
	f.refresh()
	reports, isNew := f.new.gate.RolloutReports()
	assert.Assert(t, !isNew[0])
	assert.Equal(t, reports[0].Running, 1)
	release()
	assert.NilError(t, <-results)
	reports, _ = f.new.gate.RolloutReports()
	assert.Equal(t, reports[0].Running, 0)
}

// Guards against a queued request that runs at the new version without an allowance, because the rollout began, or a server of
// the new version took the place of an old one, while it waited.
func TestQueuedRequestWhoseServerBecomesNew(t *testing.T) {
	for _, test := range []struct {
		desc    string
		replace bool
	}{{"rollout begins", false}, {"server is replaced", true}} {
		t.Run(test.desc, func(t *testing.T) {
			h, release := holdingHandler()
			defer release()
			f := newVersionFleet(t, h)
			m, b := f.new, f.newServer
			announce := func(instance, version string) {
				assert.NilError(t, m.gate.Announce(Announcement{Name: "b", Service: "svc", Address: addressOf(b.Server), Instance: instance, Version: version}, time.Now()))
			}
			if test.replace {
				announce("2", "v1")
				beginTestRollout(t, f.view)
				f.refresh()
			}
			results := f.start(t, m, 4)
			eventually(t, "a request waits", func() bool { return m.gate.Load("svc").Queued == 1 && b.count() == 3 })
			if test.replace {
				announce("3", "v2")
			} else {
				beginTestRollout(t, f.view)
				f.refresh()
			}
			release()
			refused := 0
			for range cap(results) {
				if err := <-results; err != nil {
					assert.Equal(t, asRefusal(err).Reason, ReasonExposure)
					assert.Equal(t, asRefusal(err).Outcome, OutcomeNotRun)
					refused++
				}
			}
			assert.Equal(t, refused, 1)
			assert.Equal(t, b.count(), 3)
			reports, isNew := m.gate.RolloutReports()
			assert.Assert(t, len(reports) == 1 && isNew[0])
			assert.Equal(t, reports[0].Arrived, uint64(0))
			assert.Equal(t, reports[0].Running, 0)
		})
	}
}

// Guards against a loaded phase without evidence, because the VMs that take part are in a failure domain that is out of service.
func TestServersOutOfServiceTakeNoPart(t *testing.T) {
	view := rollout.NewView([]string{"v1"}, &rollout.Plan{ID: "a", NewVersion: "v2", Phase: rollout.Loaded, Percent: 10, Servers: 1})
	var hosts []Peer
	for i := range 8 {
		p := newPeer(string(rune('a'+i)), "")
		p.Version = "v2"
		if i > 0 {
			p.Domain = "d2"
		}
		hosts = append(hosts, p)
	}
	takingPart := newHosts(hosts, view, map[string]bool{"d2": true})
	assert.Assert(t, len(takingPart) == 1 && takingPart[0].VM == "a", "%v", takingPart)
}

// Guards against results that count as at load because other requests ran when the response came: only the load at arrival tells
// a version that is bad at load from one that is bad at any load.
func TestReportsTellTheLoadAtArrival(t *testing.T) {
	h, release := holdingHandler()
	defer release()
	f := newVersionFleet(t, h)
	beginTestRollout(t, f.view)
	decideTestRollout(t, f.view, state.RolloutCanary, 100)
	f.refresh()
	f.allow(t, 100)
	assert.Assert(t, f.allow(t, 100).AtLoad != nil)
	var results []<-chan error
	for n := range 3 {
		results = append(results, f.start(t, f.new, 1))
		eventually(t, "the request runs", func() bool { return f.newServer.count() == n+1 })
	}
	// The server has four slots.
	assert.Equal(t, f.allow(t, 100).AtLoad["root"], rollout.RouteCounts{Started: 1})
	release()
	for _, result := range results {
		assert.NilError(t, <-result)
	}
	report := f.allow(t, 100)
	assert.Equal(t, report.Routes["root"].Succeeded, uint32(3))
	assert.Equal(t, report.AtLoad["root"].Succeeded, uint32(1))
}

// Guards against a rollout that misses its servers, or an allowance that does not hold, where a server of each version runs on one
// VM: entries see one version for each VM, and the gate decides for each server.
func TestTwoVersionsOnOneVM(t *testing.T) {
	f := newVersionFleet(t, nil)
	assert.NilError(t, f.new.gate.Announce(Announcement{Name: "c", Service: "svc", Address: addressOf(f.oldServer.Server), Instance: "1", Version: "v1"}, time.Now()))
	beginTestRollout(t, f.view)
	decideTestRollout(t, f.view, state.RolloutCanary, 100)
	f.refresh()
	reports, isNew := f.new.gate.RolloutReports()
	assert.Equal(t, len(reports), 2)
	assert.Assert(t, isNew[0] != isNew[1] && reports[0].Version != reports[1].Version)
	run := func(n int) {
		for range n {
			if resp, err := f.new.gate.Run(t.Context(), newTestRequest(t, "root")); err == nil {
				resp.Body.Close()
			} else {
				assert.Equal(t, asRefusal(err).Outcome, OutcomeNotRun)
			}
		}
	}
	run(5)
	assert.Equal(t, f.newServer.count(), 0, "no allowance was given")
	decideTestRollout(t, f.view, state.RolloutCutover, 100)
	f.refresh()
	before := f.oldServer.count()
	run(5)
	assert.Equal(t, f.newServer.count(), 5)
	assert.Equal(t, f.oldServer.count(), before)
}

// Guards against a server that stays without requests after its rollout, or blocks it, because it announces no version: it counts
// as one of the old servers, and gets requests in every phase, since no version of it can be refused.
func TestServerWithoutVersionInCutover(t *testing.T) {
	f := newVersionFleet(t, nil)
	assert.NilError(t, f.old.gate.Announce(Announcement{Name: "b", Service: "svc", Address: addressOf(f.oldServer.Server), Instance: "2"}, time.Now()))
	beginTestRollout(t, f.view)
	for _, phase := range []state.RolloutPhase{state.RolloutCutover, state.RolloutCompleted} {
		decideTestRollout(t, f.view, phase, 100)
		f.refresh()
		before := f.oldServer.count()
		resp, err := f.old.gate.Run(t.Context(), newTestRequest(t, "root"))
		assert.NilError(t, err)
		resp.Body.Close()
		assert.Equal(t, f.oldServer.count(), before+1)
		if phase == state.RolloutCutover {
			reports, isNew := f.old.gate.RolloutReports()
			assert.Assert(t, len(reports) == 1 && !isNew[0] && reports[0].Version == "")
		}
	}
}
