package outlier

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// detectCase is one situation of a service. Times count from the start of the run; faults begin at faultAt.
type detectCase struct {
	desc    string
	servers int
	rate    float64       // requests a second for each server
	base    time.Duration // median service time
	width   float64       // standard deviation of the logarithm of the service time
	faulty  bool          // server 0 must be ejected
	within  time.Duration // target for the time to its ejection
	noFalse bool          // target: no false ejection
	// factor multiplies the service time.
	factor func(s *detectSim, g *simGate) float64
	// outcome tells whether a request that starts now fails fast or hangs.
	outcome func(s *detectSim, g *simGate) (fails, hangs bool)
	// paused tells whether the process of a gate stands still.
	paused func(s *detectSim, g *simGate) bool
	// reaches tells whether digests from one gate arrive at the other.
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

// detector is what the simulation measures.
type detector interface {
	Start(name string, id uint64, now time.Duration)
	Finish(name string, id uint64, now time.Duration, failed bool)
	Evaluate(now time.Duration) []Verdict
}

// detectSim runs the gates of one service, each with one backend server.
type detectSim struct {
	c       detectCase
	rnd     *rand.Rand
	now     time.Duration
	gates   []*simGate
	arbiter *Arbiter
	nextID  uint64
	mail    []simMail
	open    []*simGate // buffer of arrive
}

type simGate struct {
	i       int
	name    string
	detect  detector
	holder  *Holder
	ejector *Ejector
	waiting []time.Duration // arrival times
	running []simRequest
	served  int // since the last cold start
	spread  float64
	gossip  time.Duration
	stopped bool
	ejects  []time.Duration
}

type simRequest struct {
	id    uint64
	ends  time.Duration
	fails bool
}

type simMail struct {
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
		g := &simGate{i: i, name: fmt.Sprintf("vm%02d", i), served: 1000}
		g.detect = newDetector(g.name, c)
		g.holder = NewHolder(g.name, 1)
		g.ejector = NewEjector(EjectorConfig{}, g.holder)
		g.ejector.AddServer(g.name, "s", simSlots, 0)
		g.spread = 0.5 + s.rnd.Float64()
		g.gossip = time.Duration(s.rnd.Int64N(int64(gossipPeriod)))
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
				g.stopped = true
				continue
			}
			s.work(g)
			if g.stopped || s.now%(100*time.Millisecond) == 0 {
				g.stopped = false
				s.evaluate(g)
			}
		}
	}
}

// arrive spreads the load of the service over the servers that are not ejected.
func (s *detectSim) arrive() {
	open := s.open[:0]
	for _, g := range s.gates {
		if !g.ejector.Ejected(g.name, s.now) {
			open = append(open, g)
		}
	}
	s.open = open
	mean := s.c.rate * float64(s.c.servers) * simTick.Seconds()
	for n := poisson(s.rnd, mean); n > 0; n-- {
		g := open[s.rnd.IntN(len(open))]
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

// work ends and starts requests of a gate. Requests that ended while the process was paused end now.
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
	factor := math.Exp(s.c.width * s.rnd.NormFloat64())
	if s.c.factor != nil {
		factor *= s.c.factor(s, g)
	}
	return time.Duration(float64(s.c.base) * factor)
}

func (s *detectSim) evaluate(g *simGate) {
	verdicts := g.detect.Evaluate(s.now)
	if verdicts[0].WantPeers {
		s.askPeers(g)
	}
	for _, a := range g.ejector.Step(s.now, verdicts) {
		switch a.Kind {
		case ActionEject:
			g.ejects = append(g.ejects, s.now)
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
	s.sendDigests(g)
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

// sendDigests sends the regular digests by gossip, which takes up to 3 s.
func (s *detectSim) sendDigests(g *simGate) {
	d, ok := g.detect.(*Detector)
	if !ok || s.now < g.gossip {
		return
	}
	g.gossip = s.now + gossipPeriod
	for _, to := range s.gates {
		s.mailDigest(d, g, to, time.Duration(s.rnd.Int64N(int64(3*time.Second))))
	}
}

// askPeers asks some peers for their digests. The way there and back takes 20 ms, and a paused process answers nothing.
func (s *detectSim) askPeers(g *simGate) {
	for _, i := range s.rnd.Perm(len(s.gates))[:min(PeersToAsk, len(s.gates))] {
		peer := s.gates[i]
		reached := s.c.reaches == nil || s.c.reaches(g, peer)
		if reached && (s.c.paused == nil || !s.c.paused(s, peer)) {
			s.mailDigest(peer.detect.(*Detector), peer, g, 20*time.Millisecond)
		}
	}
}

func (s *detectSim) mailDigest(d *Detector, from, to *simGate, delay time.Duration) {
	if from == to || s.c.reaches != nil && !s.c.reaches(from, to) {
		return
	}
	if digest, ok := d.Digest(from.name, s.now); ok {
		s.mail = append(s.mail, simMail{at: s.now + delay, to: to, digest: digest, asOf: s.now})
	}
}

func (s *detectSim) deliver() {
	kept := s.mail[:0]
	for _, m := range s.mail {
		if m.at > s.now || s.c.paused != nil && s.c.paused(s, m.to) {
			kept = append(kept, m)
			continue
		}
		m.to.detect.(*Detector).PeerDigest("s", m.digest, m.asOf)
	}
	s.mail = kept
}
