package proxy

import (
	"context"
	"testing"
	"time"

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
