package outlier

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// detectCase is one scenario of a service. Times count from the start of the run; faults begin at faultAt.
type detectCase struct {
	desc             string
	servers          int
	rate             float64       // requests a second for each server
	medianTime       time.Duration // median service time
	logStdDev        float64       // standard deviation of the logarithm of the service time
	faulty           bool          // server 0 must be ejected
	maxDelay         time.Duration // target for the time to its ejection
	noFalseEjections bool          // target: no false ejection
	// factor returns the factor by which the service time differs from the usual one.
	factor func(s *detectSim, g *simGate) float64
	// outcome decides whether a request that starts now fails fast or hangs.
	outcome func(s *detectSim, g *simGate) (fails, hangs bool)
	// paused reports whether the process of a gate is paused.
	paused func(s *detectSim, g *simGate) bool
	// reaches reports whether digests from one gate arrive at the other.
	reaches func(from, to *simGate) bool
}

const (
	faultAt      = 12 * time.Second
	runTime      = 36 * time.Second
	simTick      = 10 * time.Millisecond
	simSlots     = 5
	simQueue     = 20
	simMaxWait   = time.Second
	simTimeout   = 10 * time.Second
	gossipPeriod = 2500 * time.Millisecond
)

// detector is the part of a Detector that the simulation needs, so that a baseline can take its place.
type detector interface {
	Start(name string, id uint64, now time.Duration)
	Finish(name string, id uint64, now time.Duration, failed bool)
	Evaluate(now time.Duration) []Verdict
}

// detectSim runs the gates of one service, each with one backend server.
type detectSim struct {
	c        detectCase
	rnd      *rand.Rand
	now      time.Duration
	gates    []*simGate
	arbiter  *Arbiter
	nextID   uint64
	messages []simMessage
	serving  []*simGate // buffer of arrive
}

type simGate struct {
	index      int
	name       string
	detect     detector
	holder     *Holder
	ejector    *Ejector
	waiting    []time.Duration // arrival times
	running    []simRequest
	served     int // since the last cold start
	variation  float64
	nextGossip time.Duration
	wasPaused  bool
	ejections  []time.Duration
}

type simRequest struct {
	id    uint64
	ends  time.Duration
	fails bool
}

type simMessage struct {
	at     time.Duration
	to     *simGate
	digest Digest
	asOf   time.Duration
}

func newDetectSim(c detectCase, seed uint64, newDetector func(name string, c detectCase) detector) *detectSim {
	s := &detectSim{c: c, rnd: rand.New(rand.NewPCG(seed, 0))}
	s.arbiter = NewArbiter(ArbiterConfig{Service: "s", FloorPercent: 50, Start: -time.Minute})
	var rows []Capacity
	for i := range c.servers {
		g := &simGate{index: i, name: fmt.Sprintf("vm%02d", i), served: 1000}
		g.detect = newDetector(g.name, c)
		g.holder = NewHolder(g.name, 1)
		g.ejector = NewEjector(EjectorConfig{}, g.holder)
		g.ejector.AddServer(g.name, "s", simSlots, 0)
		g.variation = 0.5 + s.rnd.Float64()
		g.nextGossip = time.Duration(s.rnd.Int64N(int64(gossipPeriod)))
		rows = append(rows, Capacity{VM: g.name, Slots: simSlots})
		s.gates = append(s.gates, g)
	}
	s.arbiter.SetCapacity(rows)
	return s
}

func (s *detectSim) run() {
	for s.now < runTime {
		s.now += simTick
		s.arrive()
		s.deliver()
		for _, g := range s.gates {
			if s.c.paused != nil && s.c.paused(s, g) {
				g.wasPaused = true
				continue
			}
			s.work(g)
			if g.wasPaused || s.now%(100*time.Millisecond) == 0 {
				g.wasPaused = false
				s.evaluate(g)
			}
		}
	}
}

// arrive spreads the new requests of the service over the servers that are not ejected.
func (s *detectSim) arrive() {
	serving := s.serving[:0]
	for _, g := range s.gates {
		if !g.ejector.Ejected(g.name, s.now) {
			serving = append(serving, g)
		}
	}
	s.serving = serving
	mean := s.c.rate * float64(s.c.servers) * simTick.Seconds()
	for n := poisson(s.rnd, mean); n > 0; n-- {
		g := serving[s.rnd.IntN(len(serving))]
		if len(g.waiting) < simQueue {
			g.waiting = append(g.waiting, s.now)
		}
	}
}

func poisson(rnd *rand.Rand, mean float64) int {
	n := 0
	for p := rnd.Float64(); p > math.Exp(-mean); p *= rnd.Float64() {
		n++
	}
	return n
}

// work ends and starts requests of a gate. Requests that would have ended while the process was paused end now.
func (s *detectSim) work(g *simGate) {
	for len(g.running) > 0 && g.running[0].ends <= s.now {
		r := g.running[0]
		g.running = g.running[1:]
		g.served++
		g.detect.Finish(g.name, r.id, s.now, r.fails)
	}
	for len(g.waiting) > 0 && (len(g.running) < simSlots || s.now-g.waiting[0] > simMaxWait) {
		expired := s.now-g.waiting[0] > simMaxWait
		g.waiting = g.waiting[1:]
		if !expired {
			s.begin(g)
		}
	}
}

func (s *detectSim) begin(g *simGate) {
	s.nextID++
	r := simRequest{id: s.nextID, ends: s.now + s.serviceTime(g)}
	if s.c.outcome != nil {
		fails, hangs := s.c.outcome(s, g)
		if fails {
			r.fails, r.ends = true, s.now+2*time.Millisecond
		}
		if hangs {
			r.fails, r.ends = true, s.now+simTimeout
		}
	}
	i, _ := slices.BinarySearchFunc(g.running, r.ends, func(r simRequest, at time.Duration) int { return cmp.Compare(r.ends, at) })
	g.running = slices.Insert(g.running, i, r)
	g.detect.Start(g.name, r.id, s.now)
}

func (s *detectSim) serviceTime(g *simGate) time.Duration {
	factor := math.Exp(s.c.logStdDev * s.rnd.NormFloat64())
	if s.c.factor != nil {
		factor *= s.c.factor(s, g)
	}
	return time.Duration(float64(s.c.medianTime) * factor)
}

func (s *detectSim) evaluate(g *simGate) {
	verdicts := g.detect.Evaluate(s.now)
	if verdicts[0].NeedsPeerDigests {
		s.askPeers(g)
	}
	for _, a := range g.ejector.Step(s.now, verdicts) {
		switch a.Kind {
		case ActionEject:
			g.ejections = append(g.ejections, s.now)
		case ActionReadmit:
			if d, ok := g.detect.(*Detector); ok {
				d.Reset(g.name)
			}
		case ActionProbe:
			s.probe(g)
		}
	}
	for _, r := range g.holder.Poll(s.now) {
		g.holder.Receive(s.now, s.arbiter.Request(s.now, r))
	}
	s.gossipDigests(g)
}

func (s *detectSim) probe(g *simGate) {
	latency := time.Duration(float64(ProbeCost) * math.Exp(0.3*s.rnd.NormFloat64()))
	if s.c.factor != nil {
		latency = time.Duration(float64(latency) * s.c.factor(s, g))
	}
	failed := false
	if s.c.outcome != nil {
		fails, hangs := s.c.outcome(s, g)
		failed = fails || hangs
	}
	g.ejector.ProbeResult(g.name, ProbeOK(latency, failed), s.now)
	if d, ok := g.detect.(*Detector); ok {
		d.ObserveProbe(g.name, s.now, latency, failed)
	}
}

// gossipDigests sends the periodic digests by gossip, which takes up to 3 s.
func (s *detectSim) gossipDigests(g *simGate) {
	d, ok := g.detect.(*Detector)
	if !ok || s.now < g.nextGossip {
		return
	}
	g.nextGossip = s.now + gossipPeriod
	for _, to := range s.gates {
		s.sendDigest(d, g, to, time.Duration(s.rnd.Int64N(int64(3*time.Second))))
	}
}

// askPeers requests digests from some peers. The round trip takes 20 ms, and a paused process does not respond.
func (s *detectSim) askPeers(g *simGate) {
	for _, i := range s.rnd.Perm(len(s.gates))[:min(PeersToAsk, len(s.gates))] {
		peer := s.gates[i]
		reached := s.c.reaches == nil || s.c.reaches(g, peer)
		if reached && (s.c.paused == nil || !s.c.paused(s, peer)) {
			s.sendDigest(peer.detect.(*Detector), peer, g, 20*time.Millisecond)
		}
	}
}

func (s *detectSim) sendDigest(d *Detector, from, to *simGate, delay time.Duration) {
	if from == to || s.c.reaches != nil && !s.c.reaches(from, to) {
		return
	}
	if digest, ok := d.Digest(from.name, s.now); ok {
		s.messages = append(s.messages, simMessage{at: s.now + delay, to: to, digest: digest, asOf: s.now})
	}
}

func (s *detectSim) deliver() {
	kept := s.messages[:0]
	for _, m := range s.messages {
		if m.at > s.now || s.c.paused != nil && s.c.paused(s, m.to) {
			kept = append(kept, m)
			continue
		}
		m.to.detect.(*Detector).AddPeerDigest("s", m.digest, m.asOf)
	}
	s.messages = kept
}
