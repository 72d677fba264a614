package proxy

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rosemaryline.dev/routing"
)

// fakeRunner replaces the gate of another VM. It ends each request as configured and counts the runs.
type fakeRunner struct {
	mu   sync.Mutex
	next string
	runs map[string]int
}

func (f *fakeRunner) Run(_ context.Context, req *Request) (*Response, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.next != "not run" {
		if err := req.Body.BufferUpTo(DefaultMaxBufferedBody); err != nil {
			return nil, notRunRefusal(503, ReasonBadRequest, "fake")
		}
		f.runs[req.ID]++
	}
	switch f.next {
	case "answer":
		return &Response{Status: 200, Header: http.Header{}, Body: http.NoBody}, nil
	case "not run":
		return nil, notRunRefusal(503, ReasonDraining, "fake")
	case "break":
		panic(http.ErrAbortHandler)
	default:
		return nil, unknownRefusal(502, ReasonBrokenAnswer, "fake")
	}
}

func (f *fakeRunner) set(next string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.next = next
}

func (f *fakeRunner) count(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[id]
}

// Checks the guarantees of the entry under random sequences of events. A successful response means that the request
// ran, and not-run means that it did not. A request that may not be repeated runs at most once. A request succeeds if
// every VM would serve it. Retries stay within the budget.
func TestStatefulEntry(t *testing.T) {
	v := newFleetView(t, 4)
	var runners []*fakeRunner
	var hosts directory
	for _, name := range []string{"vm2", "vm3", "vm4"} {
		f := &fakeRunner{runs: map[string]int{}}
		s := httptest.NewUnstartedServer(&GateHandler{Gate: f, MaxBufferedBody: DefaultMaxBufferedBody})
		start(t, s)
		runners, hosts = append(runners, f), append(hosts, newPeer(name, addressOf(s)))
	}
	rapid.Check(t, func(rt *rapid.T) {
		m := NewEntry(newVM(t, "vm1", v, hosts).entry.opts)
		requests, runs := 0, 0
		rt.Repeat(map[string]func(*rapid.T){
			"change a VM": func(rt *rapid.T) {
				rapid.SampledFrom(runners).Draw(rt, "VM").set(rapid.SampledFrom([]string{"answer", "not run", "break", "unknown"}).Draw(rt, "end"))
			},
			"send": func(rt *rapid.T) {
				once := rapid.Bool().Draw(rt, "once")
				r := httptest.NewRequest("GET", map[bool]string{true: "/once", false: "/a"}[once], nil)
				r.Header.Set("Authorization", "Bearer red-key")
				w := httptest.NewRecorder()
				m.ServeHTTP(w, r)
				id := w.Header().Get(HeaderRequestID)
				n, responses := 0, 0
				for _, f := range runners {
					n += f.count(id)
					if f.next == "answer" {
						responses++
					}
				}
				requests, runs = requests+1, runs+n
				outcome := w.Header().Get(HeaderOutcome)
				if w.Code == 200 && n == 0 || outcome == "not-run" && n != 0 || once && n > 1 || outcome == "" && w.Code != 200 {
					rt.Fatalf("status %d, outcome %q, %d runs, once %v", w.Code, outcome, n, once)
				}
				if responses == len(runners) && w.Code != 200 {
					rt.Fatalf("every VM would respond, status %d", w.Code)
				}
				if float64(runs) > float64(requests)*(1+routing.RetryRatio)+routing.RetryReserve {
					rt.Fatalf("%d runs for %d requests", runs, requests)
				}
			},
		})
	})
}

// gateRun is one request that the gate test started.
type gateRun struct {
	id     string
	cancel context.CancelFunc
	ended  chan *Refusal // receives nil for a response
}

// gateModel is the expected state of a gate and its backend server.
type gateModel struct {
	t       *testing.T
	gate    *Gate
	backend *backend
	release chan struct{}
	open    map[string]*gateRun
	order   []string // IDs in order of their start
	// serving is true if the backend server accepts requests: it is neither draining nor ejected.
	serving, draining, ejected bool
	instance                   int
}

func (m *gateModel) announce(draining bool) {
	a := Announcement{Name: "b", Service: "svc", Address: addressOf(m.backend.Server), Instance: string(rune('a' + m.instance)), Draining: draining}
	assert.NilError(m.t, m.gate.Announce(a, time.Now()))
	m.draining = draining
	m.serving = !m.draining && !m.ejected
}

func (m *gateModel) eject(ejected bool) {
	m.gate.SetEjected("b", ejected)
	m.ejected = ejected
	m.serving = !m.draining && !m.ejected
}

func (m *gateModel) start(rt *rapid.T) {
	req := newTestRequest(m.t, "once")
	req.Team = rapid.SampledFrom([]string{"red", "blue"}).Draw(rt, "team")
	ctx, cancel := context.WithCancel(context.Background())
	run := &gateRun{id: req.ID, cancel: cancel, ended: make(chan *Refusal, 1)}
	m.open[req.ID] = run
	m.order = append(m.order, req.ID)
	go func() {
		resp, err := m.gate.Run(ctx, req)
		if err != nil {
			run.ended <- asRefusal(err)
			return
		}
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		run.ended <- nil
	}()
	m.settle(rt)
	if !m.serving && m.open[req.ID] != nil {
		rt.Fatal("a request was accepted although no backend server accepts requests")
	}
}

// finish lets one running request end and waits until it has ended.
func (m *gateModel) finish(rt *rapid.T) {
	before := len(m.open)
	select {
	case m.release <- struct{}{}:
	case <-time.After(10 * time.Second):
		rt.Fatal("no request runs")
	}
	eventually(m.t, "a request ends", func() bool { m.settle(rt); return len(m.open) < before })
}

// settle waits until every open request either runs or waits in the queue, and checks the requests that ended.
func (m *gateModel) settle(rt *rapid.T) {
	eventually(m.t, "the requests settle", func() bool {
		for id, run := range m.open {
			select {
			case refusal := <-run.ended:
				m.check(rt, id, refusal)
				delete(m.open, id)
			default:
			}
		}
		l := m.gate.Load("svc")
		return l.InFlight+l.Queued == len(m.open) && m.running() == l.InFlight
	})
	if l := m.gate.Load("svc"); l.InFlight > 3 || !m.serving && l.Queued > 0 {
		rt.Fatalf("load %+v, serving %v", l, m.serving)
	}
}

// running counts the open requests that reached the backend server.
func (m *gateModel) running() (n int) {
	m.backend.mu.Lock()
	defer m.backend.mu.Unlock()
	for id := range m.open {
		n += m.backend.runs[id]
	}
	return n
}

func (m *gateModel) check(rt *rapid.T, id string, refusal *Refusal) {
	m.backend.mu.Lock()
	runs := m.backend.runs[id]
	m.backend.mu.Unlock()
	if refusal == nil && runs == 1 || refusal != nil && refusal.Outcome == OutcomeNotRun && runs == 0 {
		return
	}
	rt.Fatalf("request ended with %v after %d runs", refusal, runs)
}

// Checks the guarantees of the gate under random sequences of events. Never more requests run than there are slots.
// Each request runs at most once, and a request refused as not-run never runs. No new request runs while the backend
// server is draining, ejected or withdrawn.
func TestStatefulGate(t *testing.T) {
	release := make(chan struct{})
	b := newBackend(t, func(http.ResponseWriter, *http.Request) { <-release })
	v := newFleetView(t, 3)
	rapid.Check(t, func(rt *rapid.T) {
		gate := NewGate(GateOptions{VM: "vm1", Domain: "d1", Fleet: NewFleet(v), Clock: NewClock(), Log: discardLogger(), Claimer: &fakeClaimer{}, Observer: &observer{}})
		m := &gateModel{t: t, gate: gate, backend: b, release: release, open: map[string]*gateRun{}}
		m.announce(false)
		rt.Repeat(map[string]func(*rapid.T){
			"":      func(rt *rapid.T) { m.settle(rt) },
			"start": m.start,
			"finish": func(rt *rapid.T) {
				if m.running() > 0 {
					m.finish(rt)
				}
			},
			"leave": func(rt *rapid.T) {
				// Always cancel the oldest open request, so that the same seed gives the same run.
				for _, id := range m.order {
					if run := m.open[id]; run != nil && run.cancel != nil {
						run.cancel()
						run.cancel = nil
						return
					}
				}
			},
			"drain":        func(*rapid.T) { m.announce(true) },
			"renew":        func(*rapid.T) { m.announce(false) },
			"new instance": func(*rapid.T) { m.instance++; m.announce(false) },
			"eject":        func(*rapid.T) { m.eject(true) },
			"admit":        func(*rapid.T) { m.eject(false) },
		})
		for m.running() > 0 {
			m.finish(rt)
		}
		gate.Withdraw("b")
	})
}
