package outlier

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "1000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// viewDelay is the maximum time until the arbiter of the model learns of a change of capacity.
const viewDelay = 2 * time.Second

// floorModel runs the gates of one service and an arbiter over a network that loses, duplicates and delays messages.
// Each gate has its own clock.
type floorModel struct {
	rnd        *rand.Rand
	now        time.Duration
	floor      int // percent
	gates      []*floorGate
	arbiter    *Arbiter
	nextView   []Capacity // capacity that the arbiter learns at nextViewAt, or nil
	nextViewAt time.Duration
	lostAt     time.Duration // last loss of capacity
	lossRate   float64
	lateRate   float64
	inFlight   []floorMessage
}

type floorGate struct {
	vm          string
	slots       int
	out         bool // its capacity is lost
	faulty      bool
	partitioned bool // its messages are lost
	run         uint64
	rate        float64 // of its clock against true time
	offset      time.Duration
	holder      *Holder
	ejector     *Ejector
}

type floorMessage struct {
	at      time.Duration
	gate    int
	request *PermitRequest
	reply   *PermitReply
}

func newFloorModel(t *rapid.T) *floorModel {
	m := &floorModel{
		rnd:      rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)),
		floor:    rapid.SampledFrom([]int{0, 50, 70, 80, 100}).Draw(t, "floor"),
		lossRate: rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "loss"),
		lateRate: rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "late"),
		lostAt:   never,
	}
	for i := range rapid.IntRange(2, 9).Draw(t, "gates") {
		g := &floorGate{
			vm:     fmt.Sprintf("vm%d", i),
			slots:  rapid.IntRange(1, 7).Draw(t, "slots"),
			rate:   0.97 + 0.06*m.rnd.Float64(),
			offset: time.Duration(m.rnd.Int64N(int64(time.Hour))),
		}
		m.gates = append(m.gates, g)
		m.restart(g)
	}
	m.newArbiter()
	return m
}

func (m *floorModel) restart(g *floorGate) {
	g.run++
	g.holder = NewHolder(g.vm, g.run)
	g.ejector = NewEjector(EjectorConfig{}, g.holder)
	g.ejector.AddServer(g.vm, "s", g.slots, m.clock(g))
}

func (m *floorModel) newArbiter() {
	m.arbiter = NewArbiter(ArbiterConfig{Service: "s", FloorPercent: m.floor, Start: m.now})
	m.arbiter.SetCapacity(m.capacity())
}

func (m *floorModel) clock(g *floorGate) time.Duration {
	return g.offset + time.Duration(float64(m.now)*g.rate)
}

func (m *floorModel) capacity() []Capacity {
	var rows []Capacity
	for _, g := range m.gates {
		c := Capacity{VM: g.vm, Slots: g.slots}
		if g.out {
			c.Out = g.slots
		}
		rows = append(rows, c)
	}
	return rows
}

func (m *floorModel) send(f floorMessage) {
	if m.gates[f.gate].partitioned || m.rnd.Float64() < m.lossRate {
		return
	}
	for range 1 + m.rnd.IntN(5)/4 {
		f.at = m.now + time.Duration(m.rnd.Int64N(int64(10*time.Millisecond)))
		if m.rnd.Float64() < m.lateRate {
			f.at = m.now + time.Duration(m.rnd.Int64N(int64(20*time.Second)))
		}
		m.inFlight = append(m.inFlight, f)
	}
}

func (m *floorModel) step() {
	m.now += 50 * time.Millisecond
	if m.nextView != nil && m.now >= m.nextViewAt {
		m.arbiter.SetCapacity(m.nextView)
		m.nextView = nil
	}
	inFlight := m.inFlight
	m.inFlight = nil
	for _, f := range inFlight {
		switch {
		case f.at > m.now:
			m.inFlight = append(m.inFlight, f)
		case f.request != nil:
			reply := m.arbiter.Request(m.now, *f.request)
			m.send(floorMessage{gate: f.gate, reply: &reply})
		default:
			g := m.gates[f.gate]
			g.holder.Receive(m.clock(g), *f.reply)
		}
	}
	for i, g := range m.gates {
		m.stepGate(i, g)
	}
}

func (m *floorModel) stepGate(i int, g *floorGate) {
	now := m.clock(g)
	v := Verdict{Server: g.vm, Service: "s"}
	if g.faulty {
		v.Health, v.Cause = Faulty, CauseSlow
	}
	for _, a := range g.ejector.Step(now, []Verdict{v}) {
		if a.Kind == ActionProbe {
			g.ejector.ProbeResult(g.vm, !g.faulty, now)
		}
	}
	for _, r := range g.holder.Poll(now) {
		m.send(floorMessage{gate: i, request: &r})
	}
}

// check compares the ejected capacity with the floor. Ejections may never take out more than the announced capacity
// above the floor. After other capacity was lost, ejected servers must return within a permit lifetime after the
// arbiter knows: within the sum of viewDelay, PermitLifetime and PermitMargin.
func (m *floorModel) check(t assert.TestingT) {
	total, out, ejected := 0, 0, 0
	for _, g := range m.gates {
		total += g.slots
		switch {
		case g.out:
			out += g.slots
		case g.ejector.Ejected(g.vm, m.clock(g)):
			ejected += g.slots
		}
	}
	floor := (total*m.floor + 99) / 100
	if ejected == 0 {
		return
	}
	assert.Assert(t, total-ejected >= floor, "at %v: %d of %d slots ejected, floor %d", m.now, ejected, total, floor)
	if m.now-m.lostAt > viewDelay+PermitLifetime+PermitMargin {
		assert.Assert(t, total-out-ejected >= floor && total-out-ejected > 0,
			"at %v: of %d slots %d out and %d ejected, floor %d", m.now, total, out, ejected, floor)
	}
}

func (m *floorModel) advance(t assert.TestingT, d time.Duration) {
	for end := m.now + d; m.now < end; {
		m.step()
		m.check(t)
	}
}

// TestEjectionKeepsFloor guards against ejections that go below the floor. Several holders see faulty servers at the
// same time, messages are lost, late or duplicated, clocks differ by up to 3% from true time, arbiters and holders
// restart, and the arbiter learns of changes of the capacity late.
func TestEjectionKeepsFloor(t *testing.T) {
	ejections := 0
	rapid.Check(t, func(t *rapid.T) {
		m := newFloorModel(t)
		gate := func(t *rapid.T) *floorGate { return rapid.SampledFrom(m.gates).Draw(t, "gate") }
		t.Repeat(map[string]func(*rapid.T){
			"sick": func(t *rapid.T) { gate(t).faulty = true },
			"all sick": func(*rapid.T) {
				for _, g := range m.gates {
					g.faulty = true
				}
			},
			"well":    func(t *rapid.T) { gate(t).faulty = false },
			"cut":     func(t *rapid.T) { gate(t).partitioned = rapid.Bool().Draw(t, "cut") },
			"restart": func(t *rapid.T) { m.restart(gate(t)) },
			"new arbiter": func(t *rapid.T) {
				if rapid.Uint64().Draw(t, "rare")%4 == 0 {
					m.newArbiter()
				}
			},
			"capacity": func(t *rapid.T) {
				g := gate(t)
				g.out = rapid.Bool().Draw(t, "out")
				if g.out {
					m.lostAt = m.now
				}
				if m.nextView == nil {
					m.nextViewAt = m.now + time.Duration(m.rnd.Int64N(int64(viewDelay)))
				}
				m.nextView = m.capacity()
			},
			"advance": func(t *rapid.T) {
				m.advance(t, rapid.SampledFrom([]time.Duration{100 * time.Millisecond, time.Second, 4 * time.Second,
					8 * time.Second}).Draw(t, "time"))
				for _, g := range m.gates {
					if g.ejector.Ejected(g.vm, m.clock(g)) {
						ejections++
					}
				}
			},
		})
	})
	assert.Assert(t, ejections > 100, "the model ejects too seldom to check anything: %d", ejections)
}
