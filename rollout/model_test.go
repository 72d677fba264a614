package rollout

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"time"
)

// The model runs a rollout on a fleet in steps of simulated time. Each VM is an entry, and a gate with one server.

const modelTick = 25 * time.Millisecond

// badness is what is wrong with the new version.
type badness struct {
	name               string
	fails, slows       bool
	late, load, oneWay bool
	// cold is how long new servers of a good version are cold.
	cold time.Duration
}

var modelKinds = []badness{
	{name: "good"},
	{name: "good, cold 3 s", cold: 3 * time.Second},
	{name: "fails at once", fails: true},
	{name: "fails late", fails: true, late: true},
	{name: "fails at load", fails: true, load: true},
	{name: "fails on a route", fails: true, oneWay: true},
	{name: "slow at once", slows: true},
	{name: "slow late", slows: true, late: true},
	{name: "slow at load", slows: true, load: true},
	{name: "slow on a route", slows: true, oneWay: true},
}

func (b badness) bad() bool { return b.fails || b.slows }

type modelConfig struct {
	seed     uint64
	vms      int
	kind     badness
	duration time.Duration
	// sameKind makes the failures of the version the same kind as gray ones.
	sameKind bool
	// exchange replaces the leader in the middle, restarts restarts some gates.
	exchange, restarts bool
	// alwaysGray lets 30% of the servers of each version fail at any time, and not only 30% of them at times.
	alwaysGray bool
	// earlierGates do not tell the load at which requests arrived.
	earlierGates bool
}

type modelResult struct {
	phase    Phase
	elapsed  time.Duration
	requests int
	exposed  int
	// exposedBefore counts the requests that the new version got before cutover.
	exposedBefore int
	// toRollBack is the time from the 50th bad response to the last request of the new version.
	toRollBack time.Duration
	// late counts requests that old gates started after completed.
	late   int
	reason string
	steps  []string
}

func (r modelResult) bound() float64 { return 0.1*float64(r.requests) + 50 }

type modelVM struct {
	name        string
	isNew       bool
	view        View
	decision    uint64
	cutOff      [2]time.Duration
	gray        [][2]time.Duration
	running     int
	openUntil   time.Duration
	openFor     time.Duration
	open        bool
	allowance   Allowance
	incarnation uint64
	sequence    uint64
	known       time.Duration
	arrived     uint64
	routes      map[string]RouteCounts
	atLoad      map[string]RouteCounts
	nextReport  time.Duration
}

type modelRun struct {
	modelConfig
	random    *rand.Rand
	now       time.Duration
	vms       []*modelVM
	old, new  []*modelVM
	newNames  []string
	byName    map[string]*modelVM
	events    map[time.Duration][]func()
	plan      Plan
	decider   *Decider
	share     float64
	factor    float64
	lateAt    time.Duration
	grayFast  bool
	completed bool
	badSeen   int
	fiftieth  time.Duration
	lastNew   time.Duration
	result    modelResult
}

var modelSettings = Settings{ExposureShare: 0.1, ExposureSlack: 50, RollbackAfter: 5 * time.Second, FloorPercent: 50}

const modelSlots = 10

func (m *modelRun) after(d time.Duration, f func()) {
	at := (m.now + d + modelTick - 1) / modelTick * modelTick
	if at <= m.now {
		at = m.now + modelTick
	}
	m.events[at] = append(m.events[at], f)
}

func (m *modelRun) between(a, b time.Duration) time.Duration {
	return a + time.Duration(m.random.Int64N(int64(b-a)+1))
}

func runModel(c modelConfig) modelResult {
	m := &modelRun{modelConfig: c, random: rand.New(rand.NewPCG(c.seed, 7)), events: map[time.Duration][]func(){}, byName: map[string]*modelVM{}}
	m.share = 0.3 + 0.4*m.random.Float64()
	m.factor = 3 + 9*m.random.Float64()
	m.lateAt = m.between(3*time.Second, 4*time.Second)
	m.grayFast = m.random.IntN(2) == 0
	m.plan = Plan{ID: fmt.Sprint("r", c.seed), Service: "s", NewVersion: "v2", Duration: c.duration, Phase: Canary}
	perVersion := max(3, c.vms*43/90)
	for i := range c.vms {
		vm := &modelVM{name: fmt.Sprint("vm", i), incarnation: 1, routes: map[string]RouteCounts{}, atLoad: map[string]RouteCounts{}, view: NewView([]string{"v1"}, nil)}
		vm.nextReport = m.between(0, 500*time.Millisecond)
		if m.random.IntN(20) == 0 {
			vm.cutOff[0] = m.between(0, c.duration)
			vm.cutOff[1] = vm.cutOff[0] + m.between(500*time.Millisecond, 3*time.Second)
		}
		// 30% of the servers fail at a time, or 30% have episodes with pauses of the same length.
		pause := 12800 * time.Millisecond
		if !c.alwaysGray {
			pause = 5500 * time.Millisecond
		}
		affected := c.alwaysGray || m.random.IntN(10) < 3
		for at := -m.between(15*time.Second, 25*time.Second); affected && at < c.duration; {
			at += time.Duration(m.random.ExpFloat64() * float64(pause))
			end := at + m.between(2*time.Second, 9*time.Second)
			vm.gray = append(vm.gray, [2]time.Duration{at, end})
			at = end
		}
		m.vms = append(m.vms, vm)
		m.byName[vm.name] = vm
		if i < perVersion {
			m.old = append(m.old, vm)
		} else if i < 2*perVersion {
			vm.isNew = true
			m.new = append(m.new, vm)
			m.newNames = append(m.newNames, vm.name)
		}
	}
	m.publish()
	m.decider = New(modelSettings, m.plan, 0)
	swapAt, swapEnd := time.Duration(-1), time.Duration(-1)
	if c.exchange {
		swapAt = m.between(c.duration/10, c.duration*3/5)
		swapEnd = swapAt + m.between(500*time.Millisecond, 1500*time.Millisecond)
	}
	if c.restarts {
		for range 1 + len(m.new)/20 {
			vm := m.vms[m.random.IntN(2*perVersion)]
			m.after(m.between(time.Second, c.duration), func() { m.restart(vm) })
		}
	}
	rate := 118 * float64(c.vms) / 90
	for ; m.now <= c.duration; m.now += modelTick {
		for _, f := range m.events[m.now] {
			f()
		}
		delete(m.events, m.now)
		if swapAt >= 0 && m.now >= swapAt && m.decider != nil && m.now < swapEnd {
			m.decider = nil
		}
		if m.decider == nil && m.now >= swapEnd {
			m.decider = New(modelSettings, m.plan, m.now+time.Hour)
			swapAt = -1
		}
		for n := m.poisson(rate * modelTick.Seconds()); n > 0; n-- {
			m.result.requests++
			m.send(m.vms[m.random.IntN(len(m.vms))], false, m.route())
		}
		for _, vm := range m.vms[:2*perVersion] {
			m.report(vm)
		}
		if m.decider != nil && m.now%(100*time.Millisecond) == 0 {
			m.step()
		}
	}
	m.result.phase = m.plan.Phase
	if m.fiftieth > 0 {
		m.result.toRollBack = max(0, m.lastNew-m.fiftieth)
	}
	return m.result
}

// clock is the leader's: another process has another one.
func (m *modelRun) clock() time.Duration {
	if m.decider.takeover {
		return m.now + time.Hour
	}
	return m.now
}

func (m *modelRun) poisson(mean float64) (n int) {
	for p := m.random.Float64(); p > math.Exp(-mean); p *= m.random.Float64() {
		n++
	}
	return n
}

func (m *modelRun) route() string {
	switch x := m.random.Float64(); {
	case x < 0.5:
		return "/a/"
	case x < 0.8:
		return "/b/"
	default:
		return "/c/"
	}
}

func (m *modelRun) publish() {
	plan := m.plan
	for _, vm := range m.vms {
		d := m.between(30*time.Millisecond, 300*time.Millisecond)
		if m.now+d >= vm.cutOff[0] && m.now+d < vm.cutOff[1] {
			d = vm.cutOff[1] - m.now
		}
		m.after(d, func() {
			if plan.Decision >= vm.decision {
				if vm.known == 0 {
					vm.known = m.now
				}
				vm.decision = plan.Decision
				vm.view = NewView(m.admittedAt(plan), &plan)
			}
		})
	}
}

func (m *modelRun) admittedAt(p Plan) []string {
	if p.Phase == Completed {
		return []string{"v2"}
	}
	return []string{"v1"}
}

func (m *modelRun) step() {
	decision, ok := m.decider.Step(m.clock())
	if !ok {
		return
	}
	proposer := m.decider
	m.after(m.between(20*time.Millisecond, 100*time.Millisecond), func() {
		if decision.Previous != m.plan.Decision || m.plan.Phase.Final() {
			return
		}
		m.plan.Decision++
		m.plan.Phase, m.plan.Percent, m.plan.Servers, m.plan.Elapsed = decision.Phase, decision.Percent, decision.Servers, decision.Elapsed
		m.result.elapsed, m.result.reason = m.now, decision.Reason
		m.result.steps = append(m.result.steps, fmt.Sprintf("%v %s %d%% %d: %s", m.now, decision.Phase, decision.Percent, decision.Servers, decision.Reason))
		m.completed = decision.Phase == Completed
		m.publish()
		if m.decider == proposer {
			m.decider.Apply(m.clock(), m.plan)
		}
	})
}

func (m *modelRun) restart(vm *modelVM) {
	vm.incarnation++
	vm.sequence, vm.arrived, vm.known = 0, 0, m.now
	vm.allowance, vm.routes, vm.atLoad = Allowance{}, map[string]RouteCounts{}, map[string]RouteCounts{}
	vm.running, vm.open, vm.openFor = 0, false, 0
}

func (m *modelRun) report(vm *modelVM) {
	if m.now < vm.nextReport || vm.known == 0 {
		return
	}
	vm.nextReport = m.now + time.Second
	if vm.isNew {
		vm.nextReport = m.now + 250*time.Millisecond
	}
	vm.sequence++
	r := Report{VM: vm.name, Incarnation: vm.incarnation, Sequence: vm.sequence, Rollout: m.plan.ID, Service: "s", Version: "v1",
		Applied: vm.decision, Arrived: vm.arrived, Running: vm.running, Slots: modelSlots, Routes: map[string]RouteCounts{},
		KnownMs: (m.now - vm.known).Milliseconds()}
	if vm.isNew {
		r.Version = "v2"
		if m.now < m.kind.cold {
			r.Slots = 0
		}
	}
	vm.allowance.Fill(&r)
	for route, counts := range vm.routes {
		r.Routes[route] = counts
	}
	if !m.earlierGates {
		r.AtLoad = maps.Clone(vm.atLoad)
	}
	if m.now >= vm.cutOff[0] && m.now < vm.cutOff[1] {
		return
	}
	copies := 1
	switch x := m.random.Float64(); {
	case x < 0.05:
		copies = 0
	case x < 0.08:
		copies = 2
	}
	for range copies {
		delay := m.between(time.Millisecond, 50*time.Millisecond)
		if m.random.IntN(100) == 0 {
			delay = m.between(500*time.Millisecond, 2*time.Second)
		}
		m.after(delay, func() {
			if m.decider == nil {
				return
			}
			reply := m.decider.Report(m.clock(), r)
			if m.random.IntN(50) == 0 {
				return
			}
			m.after(m.between(time.Millisecond, 50*time.Millisecond), func() {
				if vm.incarnation == r.Incarnation {
					vm.allowance.Replied(r.Sequence, reply)
				}
			})
		})
	}
}

// send sends a request from an entry.
func (m *modelRun) send(entry *modelVM, retry bool, route string) {
	view := entry.view
	if view.ToNew(m.random) && !(retry && view.Limited()) {
		names := view.Participants(m.newNames)
		for range 3 {
			a, b := m.byName[names[m.random.IntN(len(names))]], m.byName[names[m.random.IntN(len(names))]]
			if b.running < a.running {
				a = b
			}
			if m.start(a, entry, route, retry) {
				return
			}
		}
	}
	if view.OldRefuse() {
		return
	}
	for range 4 {
		a, b := m.old[m.random.IntN(len(m.old))], m.old[m.random.IntN(len(m.old))]
		if b.running < a.running {
			a = b
		}
		if m.start(a, entry, route, retry) {
			return
		}
	}
}

// start is the gate's part: it returns false if it refuses the request.
func (m *modelRun) start(vm, entry *modelVM, route string, retry bool) bool {
	version := "v1"
	if vm.isNew {
		version = "v2"
	}
	if !vm.view.Admits(version) || vm.running >= modelSlots {
		return false
	}
	trial := vm.open
	if trial && m.now < vm.openUntil {
		return false
	}
	if vm.isNew && vm.view.Limited() && !vm.allowance.Admit(vm.arrived) {
		return false
	}
	if trial {
		vm.openUntil = m.now + vm.openFor
	}
	vm.arrived++
	counted := []map[string]RouteCounts{vm.routes}
	if AtLoad(vm.running+1, modelSlots) {
		counted = append(counted, vm.atLoad)
	}
	for _, routes := range counted {
		counts := routes[route]
		counts.Started++
		routes[route] = counts
	}
	if vm.isNew {
		m.result.exposed++
		if m.plan.Phase == Canary || m.plan.Phase == Loaded {
			m.result.exposedBefore++
		}
		m.lastNew = m.now
	} else if m.completed {
		m.result.late++
	}
	failed, broken, took, bad := m.serve(vm, route)
	incarnation := vm.incarnation
	vm.running++
	cold := vm.isNew && m.now < m.kind.cold
	m.after(took, func() {
		if bad {
			if m.badSeen++; m.badSeen == 50 {
				m.fiftieth = m.now
			}
		}
		if vm.incarnation != incarnation {
			return
		}
		vm.running--
		for _, routes := range counted {
			counts := routes[route]
			switch {
			case failed:
				counts.Failed++
			case broken:
				counts.Broken++
			default:
				counts.Succeeded++
				if !cold {
					counts.Latency[LatencyBucket(took)]++
				}
			}
			routes[route] = counts
		}
		switch {
		case !failed && !broken:
			vm.open, vm.openFor = false, 0
		case trial || !vm.open:
			vm.open = true
			vm.openFor = min(time.Second, max(250*time.Millisecond, 2*vm.openFor))
			vm.openUntil = m.now + vm.openFor
		}
		if (failed || broken) && !retry && m.random.IntN(2) == 0 {
			m.send(entry, true, route)
		}
	})
	return true
}

// serve is the server's part.
func (m *modelRun) serve(vm *modelVM, route string) (failed, broken bool, took time.Duration, bad bool) {
	took = time.Duration(float64(840*time.Millisecond) * math.Exp(0.47*m.random.NormFloat64()-0.11))
	if m.random.IntN(50) == 0 {
		took *= 5
	}
	if vm.isNew && m.now < m.kind.cold {
		took *= 3
	}
	for _, g := range vm.gray {
		if m.now >= g[0] && m.now < g[1] && m.random.IntN(10) > 0 {
			if m.grayFast {
				took = 5 * time.Millisecond
			}
			return false, true, took, false
		}
	}
	if m.random.IntN(250) == 0 {
		return true, false, took, false
	}
	affected := vm.isNew && m.kind.bad() && (!m.kind.late || m.now >= m.lateAt) && (!m.kind.load || vm.running >= modelSlots/2) &&
		(!m.kind.oneWay || route == "/b/") && m.random.Float64() < m.share
	switch {
	case affected && m.kind.fails:
		return !m.sameKind, m.sameKind, took, true
	case affected:
		return false, false, time.Duration(float64(took) * m.factor), true
	}
	return false, false, took, false
}
