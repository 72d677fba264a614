package proxy

import (
	"context"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"rosemaryline.dev/fleet/config"
	"rosemaryline.dev/fleet/state"
)

// setDomain takes the failure domain d1 out of service or brings it back.
func (v *fleetView) setDomain(t testing.TB, out bool) {
	v.apply(t, state.Command{Operator: "test", SetDomain: &state.SetDomain{Domain: "d1", Out: out, Force: true}})
}

// gateWithColdRate returns a gate with a backend server that is warm, whose service takes rate requests per second while cold.
func gateWithColdRate(t *testing.T, rate float64) (*testVM, *fleetView, *backend) {
	v, b := newFleetView(t, 4), newBackend(t, nil)
	service := config.Service{Slots: 4, Connections: 100, FloorPercent: 50, Ramp: config.Ramp{InitialSlots: 4}}
	if rate > 0 {
		service.Ramp.Rate, service.Ramp.Time = rate, config.Duration(time.Minute)
	}
	service.Queue = config.Queue{Length: 4, TeamPercent: 100, MaxWait: config.Duration(50 * time.Millisecond)}
	change := config.Change{}
	change.Services.Set = map[string]config.Service{"svc": service}
	change.SetDefaults()
	v.apply(t, state.Command{Operator: "test", Apply: &state.ApplyChange{Change: change, ContentHash: change.Hash()}})
	m := newSingleVM(t, v, nil)
	announceWarm(t, m, b, 1)
	return m, v, b
}

func announceWarm(t *testing.T, m *testVM, b *backend, sequence uint64) {
	t.Helper()
	a := Announcement{Name: "b", Service: "svc", Address: addressOf(b.Server), Instance: "1", StartedMs: 1, Sequence: sequence}
	assert.NilError(t, m.gate.Announce(a, time.Now()))
}

// startedOf sends n requests to the gate, one after the other, and returns how many ran.
func startedOf(t *testing.T, g *Gate, n int) (started int) {
	t.Helper()
	for range n {
		resp, err := g.Run(context.Background(), newTestRequest(t, "a"))
		if err == nil {
			resp.Body.Close()
			started++
		}
	}
	return started
}

// Guards against the full load on a cold backend server when its failure domain returns to service: until its next
// announcement it must get no more than the cold rate, whether or not requests reached the gate while the domain was out.
func TestBackendServersCountAsColdWhenTheirDomainReturns(t *testing.T) {
	for _, test := range []struct {
		desc    string
		observe func(g *Gate)
	}{
		{"requests meanwhile", func(g *Gate) { startedOf(t, g, 1) }},
		{"no requests meanwhile", func(g *Gate) { g.Sweep() }},
	} {
		t.Run(test.desc, func(t *testing.T) {
			m, v, b := gateWithColdRate(t, 2)
			assert.Equal(t, startedOf(t, m.gate, 6), 6)
			v.setDomain(t, true)
			test.observe(m.gate)
			announceWarm(t, m, b, 2) // sent while the domain is out; it must not count after the return
			time.Sleep(time.Second)  // the starts before the evacuation leave the window of the cold rate
			v.setDomain(t, false)
			assert.Equal(t, startedOf(t, m.gate, 5), 2)
			announceWarm(t, m, b, 3)
			assert.Equal(t, startedOf(t, m.gate, 5), 5)
		})
	}
}

// Guards against an announcement that is the first to see the failure domain back: it reports how long the backend server remains
// cold, and must not be overridden by the assumption.
func TestAnnouncementAfterTheReturnDecides(t *testing.T) {
	m, v, b := gateWithColdRate(t, 2)
	v.setDomain(t, true)
	m.gate.Sweep()
	v.setDomain(t, false)
	announceWarm(t, m, b, 2)
	assert.Equal(t, startedOf(t, m.gate, 6), 6)
}

// Guards against a service without a cold rate that is slowed down when its failure domain returns.
func TestServicesWithoutAColdRateReturnAtOnce(t *testing.T) {
	m, v, _ := gateWithColdRate(t, 0)
	v.setDomain(t, true)
	m.gate.Sweep()
	v.setDomain(t, false)
	assert.Equal(t, startedOf(t, m.gate, 6), 6)
}

// Guards against queued requests that run in a failure domain after it was taken out of service. They must be refused as not run,
// so that their entries send them elsewhere, and the running request must finish.
func TestQueuedRequestsOfADomainThatIsOutAreNotRun(t *testing.T) {
	release := make(chan struct{})
	b := newBackend(t, func(w http.ResponseWriter, _ *http.Request) {
		<-release
		io.WriteString(w, "done")
	})
	v := newFleetView(t, 1)
	m := newSingleVM(t, v, b)
	running := make(chan string, 1)
	go func() {
		resp, err := m.gate.Run(context.Background(), newTestRequest(t, "a"))
		if err != nil {
			running <- err.Error()
			return
		}
		defer resp.Body.Close()
		text, _ := io.ReadAll(resp.Body)
		running <- string(text)
	}()
	eventually(t, "one request runs", func() bool { return b.count() == 1 })
	const queued = 3
	refusals := make(chan error, queued)
	var all sync.WaitGroup
	for range queued {
		all.Go(func() {
			resp, err := m.gate.Run(context.Background(), newTestRequest(t, "a"))
			if err == nil {
				resp.Body.Close()
			}
			refusals <- err
		})
	}
	eventually(t, "the others wait", func() bool { return m.gate.Load("svc").Queued == queued })
	v.setDomain(t, true)
	close(release)
	all.Wait()
	assert.Equal(t, <-running, "done")
	for range queued {
		var refusal *Refusal
		err := <-refusals
		assert.Assert(t, errors.As(err, &refusal), "%v", err)
		assert.Equal(t, refusal.Reason, ReasonDomainOut)
		assert.Equal(t, refusal.Outcome, OutcomeNotRun)
		assert.Equal(t, refusal.Status, http.StatusServiceUnavailable)
	}
	assert.Equal(t, b.count(), 1)
	assert.Equal(t, m.gate.Load("svc").InFlight, 0)
	v.setDomain(t, false)
	assert.Equal(t, startedOf(t, m.gate, 1), 1)
}
