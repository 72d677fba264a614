package proxy

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemaryline.dev/fleet/config"
	"rosemaryline.dev/fleet/state"
	"rosemaryline.dev/routing"
)

// newLeastCompletionView is newFleetView with placement least-completion.
func newLeastCompletionView(t testing.TB, slots int) *fleetView {
	v := newFleetView(t, slots)
	change := config.Change{}
	v.View(func(s *state.State) {
		service := s.Config().Services["svc"]
		service.Placement = config.PlacementLeastCompletion
		change.Services.Set = map[string]config.Service{"svc": service}
	})
	change.SetDefaults()
	v.apply(t, state.Command{Operator: "test", Apply: &state.ApplyChange{Change: change, ContentHash: change.Hash()}})
	return v
}

// Guards against values that another build or a fault could send and that would be taken for a report.
func TestParseWork(t *testing.T) {
	w := Work{Start: 120 * time.Millisecond, Speed: 0.25, Cost: 840 * time.Millisecond}
	assert.Equal(t, formatWork(w), "120;250;840")
	assert.DeepEqual(t, parseWork([]string{"120;250;840"}), &w)
	assert.Equal(t, formatWork(Work{Start: time.Microsecond, Speed: 1e-9, Cost: time.Hour}), "1;1;600000")
	for _, text := range []string{"", "1;2", "1;2;3;4", "-1;2;3", "+1;2;3", " 1;2;3", "1;2;3 ", "1;0;3", "01;2;3", "1;2;", "1.5;2;3",
		"600001;1;1", "1;100001;1", "1;1;600001", "99999999999999999999;1;1", "1,2,3", "٣;1;1"} {
		assert.Assert(t, parseWork([]string{text}) == nil, "%q", text)
	}
	assert.Assert(t, parseWork(nil) == nil)
	assert.Assert(t, parseWork([]string{"1;2;3", "1;2;3"}) == nil, "two values")
}

// FuzzParseWork guards against values outside the limits, and against a report that changes when it is sent on.
func FuzzParseWork(f *testing.F) {
	f.Add("120;250;840")
	f.Add("0;1000;0")
	f.Add("1;2")
	f.Fuzz(func(t *testing.T, text string) {
		w := parseWork([]string{text})
		if w == nil {
			return
		}
		if w.Start < 0 || w.Start > maxPeerDeadline || w.Cost < 0 || w.Cost > maxPeerDeadline || w.Speed <= 0 || w.Speed > maxSpeedPermille/permille {
			t.Fatalf("%q: %+v", text, w)
		}
		again := parseWork([]string{formatWork(*w)})
		if again == nil || *again != *w {
			t.Fatalf("%q: %+v became %+v", text, w, again)
		}
	})
}

// Guards against a gate that sends no report, or sends one where the placement of the service does not need it.
func TestGateReportsWork(t *testing.T) {
	b := newBackend(t, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(20 * time.Millisecond)
		io.WriteString(w, "ok")
	})
	entry, gate := newEntryAndGate(t, newLeastCompletionView(t, 4), b)
	for range 3 {
		resp, _, err := sendRequest(t, entry.caller, "GET", "/", nil)
		assert.NilError(t, err)
		assert.Equal(t, resp.Header.Get(headerWork), "", "the caller must not see it")
	}
	w := gate.gate.Work("svc", "root")
	assert.Assert(t, w != nil && w.Cost >= 20*time.Millisecond && w.Start == 0 && w.Speed > 0.3, "%+v", w)
	candidates, _, _ := entry.entry.Explain("svc")
	assert.Assert(t, candidates[0].Work.Speed > 0.3 && candidates[0].Work.Cost >= 15*time.Millisecond, "%+v", candidates[0].Work)

	plain, plainGate := newEntryAndGate(t, newFleetView(t, 4), b)
	_, _, err := sendRequest(t, plain.caller, "GET", "/", nil)
	assert.NilError(t, err)
	assert.Assert(t, plainGate.gate.Work("svc", "root") == nil)
	candidates, _, _ = plain.entry.Explain("svc")
	assert.Equal(t, candidates[0].Work, routing.Work{})
}

// Guards against a backend server that fails at once, has a short queue and therefore attracts requests.
func TestFailuresLookSlow(t *testing.T) {
	b := newBackend(t, func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/once") {
			w.WriteHeader(http.StatusInternalServerError)
		}
	})
	entry, _ := newEntryAndGate(t, newLeastCompletionView(t, 4), b)
	_, _, err := sendRequest(t, entry.caller, "GET", "/", nil)
	assert.NilError(t, err)
	before, _, _ := entry.entry.Explain("svc")
	_, _, err = sendRequest(t, entry.caller, "POST", "/once", nil)
	assert.NilError(t, err)
	after, _, _ := entry.entry.Explain("svc")
	assert.Assert(t, after[0].Work.Speed < before[0].Work.Speed/1.5, "%+v, then %+v", before[0].Work, after[0].Work)
}

// Guards against own requests since the report that are not counted, a report that stays after its gate cannot be reached,
// and a target on slower hardware that is not told apart.
func TestWorkTable(t *testing.T) {
	const cost, now = 100 * time.Millisecond, 10 * time.Second
	local := routing.Locality{VM: "vm0", Domain: "d1"}
	table := newWorkTable()
	see := func(vm string) routing.Work {
		c := []routing.Candidate{{VM: vm, Domain: "d1", Capacity: 1}}
		table.apply(c, &local, nil, "svc", "root", now+time.Second)
		return c[0].Work
	}
	assert.Equal(t, see("vm1"), routing.Work{})
	for range 20 {
		table.responded("vm1", "svc", "root", &Response{Work: &Work{Speed: 1, Cost: cost}}, now)
		table.responded("vm2", "svc", "root", &Response{Work: &Work{Speed: 0.5, Cost: 3 * cost, Start: cost}}, now)
	}
	fast, slow := see("vm1"), see("vm2")
	assert.Assert(t, slow.Cost > 2*fast.Cost, "%+v, %+v", fast, slow)
	assert.Equal(t, slow.Speed, 0.5)
	assert.Equal(t, slow.Start, cost)
	assert.Equal(t, slow.Age, time.Second)
	end := table.begin("vm1", "svc", "root", now+time.Millisecond)
	assert.Equal(t, see("vm1").Own, 1)
	assert.Assert(t, see("vm1").OwnCost > cost/2)
	end()
	assert.Equal(t, see("vm1").Own, 0)
	table.refused("vm1", "svc", "root", &Refusal{}, now)
	assert.Equal(t, see("vm1").Speed, 0.0)
	table.sweep(now + 2*loadRetention)
	assert.Equal(t, len(table.rows), 0)
}

// Guards against an explanation that sends a request, or that gives no reason for a candidate.
func TestExplainRequest(t *testing.T) {
	b := newBackend(t, nil)
	v := newLeastCompletionView(t, 4)
	entry, gate := newEntryAndGate(t, v, b)
	_, _, err := sendRequest(t, entry.caller, "GET", "/", nil)
	assert.NilError(t, err)
	far := newPeer("vm3", "")
	far.Domain = "d2"
	entry.entry.opts.Directory = directory{newPeer("vm2", addressOf(gate.peer)), far, {VM: "vm4", Domain: "d1", State: routing.StateDraining}}
	list := entry.entry.ExplainRequest(ExplainQuery{Service: "svc", Route: "root"})
	assert.Equal(t, b.count(), 1)
	assert.Equal(t, len(list), 3)
	assert.Assert(t, list[0].Chosen && list[0].Reason == "chosen: own-domain", "%+v", list[0])
	assert.Assert(t, strings.HasPrefix(list[1].Reason, "not chosen: a candidate of the own failure domain"), "%+v", list[1])
	assert.Equal(t, list[2].Reason, "draining")
	assert.Assert(t, list[0].ExpectedCompletion() > 0)
}
