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

// viewDelay is the longest time after which the arbiter of the model knows a change of capacity.
const viewDelay = 2 * time.Second

// floorModel runs the gates of one service against an arbiter over a network that loses, repeats and delays messages.
// Each gate has its own clock.
type floorModel struct {
	rnd     *rand.Rand
	now     time.Duration
	floor   int // percent
	gates   []*floorGate
	arbiter *Arbiter
	view    []Capacity // what the arbiter will know at viewAt
	viewAt  time.Duration
	fellAt  time.Duration // last loss of capacity
	loss    float64
	late    float64
	flights []floorFlight
}

type floorGate struct {
	vm      string
	slots   int
	out     bool
	sick    bool
	cut     bool // no messages
	run     uint64
	rate    float64 // of the clock
	offset  time.Duration
	holder  *Holder
	ejector *Ejector
}

type floorFlight struct {
	at      time.Duration
	gate    int
	request *PermitRequest
	reply   *PermitReply
}

func newFloorModel(t *rapid.T) *floorModel {
	m := &floorModel{
		rnd:    rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)),
		floor:  rapid.SampledFrom([]int{0, 50, 70, 80, 100}).Draw(t, "floor"),
		loss:   rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "loss"),
		late:   rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "late"),
		fellAt: never,
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

func (m *floorModel) send(f floorFlight) {
	if m.gates[f.gate].cut || m.rnd.Float64() < m.loss {
		return
	}
	for range 1 + m.rnd.IntN(5)/4 {
		f.at = m.now + time.Duration(m.rnd.Int64N(int64(10*time.Millisecond)))
		if m.rnd.Float64() < m.late {
			f.at = m.now + time.Duration(m.rnd.Int64N(int64(20*time.Second)))
		}
		m.flights = append(m.flights, f)
	}
}

func (m *floorModel) step() {
	m.now += 50 * time.Millisecond
	if m.view != nil && m.now >= m.viewAt {
		m.arbiter.SetCapacity(m.view)
		m.view = nil
	}
	flights := m.flights
	m.flights = nil
	for _, f := range flights {
		switch {
		case f.at > m.now:
			m.flights = append(m.flights, f)
		case f.request != nil:
			reply := m.arbiter.Request(m.now, *f.request)
			m.send(floorFlight{gate: f.gate, reply: &reply})
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
	if g.sick {
		v.Health, v.Cause = Faulty, CauseSlow
	}
	for _, a := range g.ejector.Step(now, []Verdict{v}) {
		if a.Kind == ActionProbe {
			g.ejector.ProbeResult(g.vm, !g.sick, now)
		}
	}
	for _, r := range g.holder.Poll(now) {
		m.send(floorFlight{gate: i, request: &r})
	}
}

// check compares the ejected capacity with the floor. Ejection may never take out more than announced capacity above
// the floor. When other capacity was lost, ejected servers return within a permit lifetime after the arbiter knows.
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
	if m.now-m.fellAt > viewDelay+PermitLifetime+PermitMargin {
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

// Guards against ejection that passes the floor, with several holders that all see sick servers, lost, late and
// duplicated messages, clocks that differ by 3%, restarts of arbiters and holders, and an arbiter whose view of the
// capacity is late.
func TestEjectionKeepsFloor(t *testing.T) {
	ejections := 0
	rapid.Check(t, func(t *rapid.T) {
		m := newFloorModel(t)
		gate := func(t *rapid.T) *floorGate { return rapid.SampledFrom(m.gates).Draw(t, "gate") }
		t.Repeat(map[string]func(*rapid.T){
			"sick": func(t *rapid.T) { gate(t).sick = true },
			"all sick": func(*rapid.T) {
				for _, g := range m.gates {
					g.sick = true
				}
			},
			"well":    func(t *rapid.T) { gate(t).sick = false },
			"cut":     func(t *rapid.T) { gate(t).cut = rapid.Bool().Draw(t, "cut") },
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
					m.fellAt = m.now
				}
				if m.view == nil {
					m.viewAt = m.now + time.Duration(m.rnd.Int64N(int64(viewDelay)))
				}
				m.view = m.capacity()
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
