package membership

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// driftMargin is the time that control adds for clock drift to ContactWindow+FetchGrace before it reports a version in
// force without all confirmations.
const driftMargin = 500 * time.Millisecond

// controlModel models control as specified in section 4.4 of the design page. It dates a confirmation by the send time
// of its own previous reply, which the poll repeats, since a poll can be late like any packet.
type controlModel struct {
	version     uint64
	heartbeat   LeaderHeartbeat
	heartbeatAt time.Duration
	confirmed   map[int]map[uint64]time.Duration // by process and version: lower bound on the time of the confirmation
	majorityAt  map[uint64]time.Duration
	inForce     uint64
	unavailable bool
}

func newControlModel() *controlModel {
	return &controlModel{
		version:    1,
		confirmed:  make(map[int]map[uint64]time.Duration),
		majorityAt: make(map[uint64]time.Duration),
	}
}

// confirm records that process i ran the version at since or later.
func (c *controlModel) confirm(i int, version uint64, since time.Duration) {
	if c.confirmed[i] == nil {
		c.confirmed[i] = make(map[uint64]time.Duration)
	}
	for v := c.inForce + 1; v <= version; v++ {
		c.confirmed[i][v] = max(c.confirmed[i][v], since)
	}
}

// report advances the version in force: either all processes confirmed it, or a majority did and the waiting time is
// over.
func (c *controlModel) report(now time.Duration, roster int) {
	for v := c.inForce + 1; v <= c.version; v++ {
		recent := 0
		for i := range roster {
			if since, ok := c.confirmed[i][v]; ok && now-since <= ConfirmWindow {
				recent++
			}
		}
		if _, ok := c.majorityAt[v]; !ok && recent > roster/2 {
			c.majorityAt[v] = now
		}
		at, ok := c.majorityAt[v]
		waited := ok && now-at >= ContactWindow+FetchGrace+driftMargin
		if recent < roster && !waited {
			return
		}
		c.inForce = v
	}
}

// fleetModel combines the simulated nodes, the control model and the versions that the processes run.
type fleetModel struct {
	*sim
	control      *controlModel
	running      []uint64
	startedAt    []time.Duration
	incarnations []uint64
	cutControl   map[int]bool
	fetch        float64 // probability that a fetch of the state succeeds
	polls        []poll
}

// poll is a long poll of control in flight, as a request or, with reply set, as a reply.
type poll struct {
	i           int
	sentAt      time.Duration
	arrives     time.Duration
	incarnation uint64
	runs        uint64
	repeated    time.Duration // send time of the previous reply, or never
	reply       bool
	heartbeat   LeaderHeartbeat
	version     uint64
	replySentAt time.Duration
}

func newFleetModel(n int, seed uint64) *fleetModel {
	f := &fleetModel{
		sim:          newSim(n, seed),
		control:      newControlModel(),
		running:      make([]uint64, n),
		startedAt:    make([]time.Duration, n),
		incarnations: make([]uint64, n),
		cutControl:   make(map[int]bool),
		fetch:        1,
	}
	for i := range n {
		f.running[i] = 1
		f.poll(i, never)
	}
	return f
}

func (f *fleetModel) delay() time.Duration {
	if f.rnd.Float64() < f.late {
		return time.Duration(f.rnd.Int64N(int64(10 * time.Second)))
	}
	return time.Millisecond + time.Duration(f.rnd.Int64N(int64(10*time.Millisecond)))
}

func (f *fleetModel) poll(i int, repeated time.Duration) {
	f.polls = append(f.polls, poll{
		i: i, sentAt: f.now, arrives: f.now + f.delay(), incarnation: f.incarnations[i], runs: f.running[i],
		repeated: repeated,
	})
}

// stepAll runs one step of control, the polls, the fetches from peers and the gossip.
func (f *fleetModel) stepAll() {
	c := f.control
	if !c.unavailable && f.now-c.heartbeatAt >= time.Second {
		c.heartbeat = LeaderHeartbeat{Number: c.heartbeat.Number + 1, Version: c.version}
		c.heartbeatAt = f.now
	}
	polls := f.polls
	f.polls = nil
	for _, p := range polls {
		f.handlePoll(p)
	}
	if !c.unavailable {
		c.report(f.now, len(f.nodes))
	}
	f.fetchFromPeers()
	f.step()
}

func (f *fleetModel) handlePoll(p poll) {
	c := f.control
	blocked := c.unavailable || f.cutControl[p.i]
	switch {
	case p.arrives > f.now || blocked && !p.reply:
		// A broken connection is retried; the process keeps the time of the first request.
		f.polls = append(f.polls, p)
	case !p.reply:
		c.confirm(p.i, p.runs, p.repeated)
		p.reply, p.replySentAt, p.arrives = true, f.now, f.now+f.delay()
		p.heartbeat, p.version = c.heartbeat, c.version
		p.heartbeat.Age = f.now - c.heartbeatAt
		f.polls = append(f.polls, p)
	case p.incarnation != f.incarnations[p.i]:
		// The reply belongs to a previous run of the process.
	default:
		if f.rnd.Float64() < f.fetch {
			f.run(p.i, p.version)
		}
		f.nodes[p.i].ObserveHeartbeat(p.heartbeat, p.sentAt, f.now)
		f.poll(p.i, p.replySentAt)
	}
}

func (f *fleetModel) run(i int, version uint64) {
	f.running[i] = max(f.running[i], version)
	f.nodes[i].SetConfigVersion(f.running[i], f.now)
}

// fetchFromPeers lets each process fetch newer state from a random peer if both directions are open.
func (f *fleetModel) fetchFromPeers() {
	for i := range f.nodes {
		j := f.rnd.IntN(len(f.nodes))
		reach := i != j && f.rnd.Float64() < f.fetch && !f.cut[[2]int{i, j}] && !f.cut[[2]int{j, i}]
		if reach && f.running[j] > f.running[i] {
			f.run(i, f.running[j])
		}
	}
}

// restart starts a process again with version 1, a new incarnation and a new poll.
func (f *fleetModel) restart(i int) {
	f.incarnations[i]++
	f.running[i] = 1
	f.startedAt[i] = f.now
	f.start(i, f.incarnations[i]+1)
	f.poll(i, never)
}

// checkAdmission fails if a process may admit requests with an older version than control reports in force.
func (f *fleetModel) checkAdmission(t assert.TestingT) {
	for i, n := range f.nodes {
		if f.running[i] < f.control.inForce && n.MayAdmit(f.now, f.running[i]) {
			assert.Assert(t, false, "at %v %s admits with version %d, in force is %d",
				f.now, simName(i), f.running[i], f.control.inForce)
		}
	}
}

// TestPermissionToAdmit guards against a withdrawn key that still works: a process that is cut off from control and
// from most peers must stop admitting requests before control reports a newer version in force. Each phase cuts off
// some processes, often while a change is accepted, with one-way cuts, lost, late and duplicated packets, slow fetches,
// restarts and unavailable control. After the last phase all processes must admit requests again.
func TestPermissionToAdmit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(3, 6).Draw(t, "n")
		f := newFleetModel(n, rapid.Uint64().Draw(t, "seed"))
		f.loss = rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(t, "loss")
		f.late = rapid.SampledFrom([]float64{0, 0.05, 0.4}).Draw(t, "late")
		f.advance(t, 3*time.Second)
		for range rapid.SampledFrom([]int{2, 4, 8, 12}).Draw(t, "phases") {
			f.drawPhase(t)
		}
		clear(f.cut)
		clear(f.cutControl)
		f.control.unavailable, f.late, f.loss, f.fetch = false, 0, 0, 1
		f.advance(t, 15*time.Second) // covers polls and replies that are up to 10 s late
		for i, node := range f.nodes {
			assert.Equal(t, node.Denial(f.now, f.running[i]), DenialNone)
		}
	})
}

func (f *fleetModel) drawPhase(t *rapid.T) {
	n := len(f.nodes)
	clear(f.cut)
	clear(f.cutControl)
	chance := func(label string, outOf int) bool {
		return rapid.Uint64().Draw(t, label)%uint64(outOf) == 1 // rapid draws small numbers of an IntRange more often
	}
	f.control.unavailable = chance("away", 8)
	f.fetch = rapid.SampledFrom([]float64{0, 0.02, 1}).Draw(t, "fetch")
	if chance("change", 2) {
		f.control.version++
	}
	leak := rapid.SampledFrom([]int{1000, 8, 3}).Draw(t, "leak")
	side := make([]bool, n)
	for i := range side {
		side[i] = rapid.Bool().Draw(t, "side")
		f.cutControl[i] = side[i] && !chance("reaches control", 8)
	}
	for i := range n {
		for j := range n {
			f.cut[[2]int{i, j}] = side[i] != side[j] && !chance("leaks", leak)
		}
	}
	if chance("restart", 3) {
		f.restart(rapid.IntRange(0, n-1).Draw(t, "restarted"))
	}
	seconds := rapid.SampledFrom([]float64{0.2, 1, 2, 3, 4, 5, 6, 7, 9}).Draw(t, "seconds")
	f.advance(t, time.Duration(seconds*float64(time.Second)))
}

func (f *fleetModel) advance(t assert.TestingT, d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.stepAll()
		f.checkAdmission(t)
	}
}

// TestRestartNeedsNewEvidence guards against a restarted process that admits requests with an old version although it
// confirmed a newer one before the restart. A heartbeat from before the start, or contact within ConfirmWindow after
// the start, must not permit it to admit.
func TestRestartNeedsNewEvidence(t *testing.T) {
	const start = time.Minute
	cases := []struct {
		desc  string
		at    time.Duration // send time of the request
		p     Packet
		admit bool
	}{
		{"heartbeat from before the start", start + 1, Packet{Heartbeat: &LeaderHeartbeat{Number: 7, Age: time.Second}}, false},
		{"heartbeat from after the start", start + 2, Packet{Heartbeat: &LeaderHeartbeat{Number: 7, Age: 1}}, true},
		{"contact within the confirm window", start + ConfirmWindow - 1, Packet{From: "b", Established: true}, false},
		{"contact after the confirm window", start + ConfirmWindow, Packet{From: "b", Established: true}, true},
		{"contact with a process not established", start + ConfirmWindow, Packet{From: "b"}, false},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			e := newEvidence("a", staleHeartbeatAge)
			e.setRoster([]string{"a", "b", "c"})
			e.begin(start)
			second := c.p
			if second.From != "" {
				second.From = "c" // the process itself does not count before it is established
				e.observeReply(&second, c.at, c.at+1)
			}
			e.observeReply(&c.p, c.at, c.at+1)
			assert.Equal(t, e.fresh(c.at+1), c.admit)
		})
	}
}

// TestControlAway guards against a fleet that stops admitting requests because control is unavailable, and against a
// process that continues although it is cut off from control and from most peers.
func TestControlAway(t *testing.T) {
	f := newFleetModel(27, 1)
	for f.now < 5*time.Second {
		f.stepAll()
	}
	f.control.unavailable = true
	for f.now < 3*time.Minute {
		f.stepAll()
		for i, n := range f.nodes {
			assert.Assert(t, n.MayAdmit(f.now, f.running[i]), "at %v %s: %s", f.now, simName(i), n.Denial(f.now, 1))
		}
	}
	for j := 13; j < 27; j++ { // process 0 keeps 12 of its 26 peers
		f.cut[[2]int{0, j}], f.cut[[2]int{j, 0}] = true, true
	}
	f.advanceTo(f.now + 4*time.Second)
	assert.Assert(t, f.nodes[0].MayAdmit(f.now, 1), "contact through peers counts")
	for j := 1; j < 27; j++ {
		f.cut[[2]int{j, 0}] = true
	}
	f.advanceTo(f.now + ContactWindow + simStep)
	assert.Equal(t, f.nodes[0].Denial(f.now, 1), DenialCutOff)
}

func (f *fleetModel) advanceTo(end time.Duration) {
	for f.now < end {
		f.stepAll()
	}
}

// Guards against a process that knows of a newer version without reporting for how long.
func TestVersionLag(t *testing.T) {
	n := New(Member{Name: "a"}, Config{}, rand.New(rand.NewPCG(1, 0)))
	n.SetConfigVersion(3, time.Second)
	assert.Equal(t, n.VersionLag(2*time.Second), time.Duration(0))
	n.evidence.observe(&Packet{Version: 4}, 3*time.Second)
	n.evidence.observe(&Packet{Version: 6}, 4*time.Second)
	assert.Equal(t, n.VersionLag(5*time.Second), 2*time.Second)
	n.SetConfigVersion(5, 5*time.Second)
	assert.Equal(t, n.VersionLag(6*time.Second), 3*time.Second)
	n.SetConfigVersion(6, 7*time.Second)
	assert.Equal(t, n.VersionLag(8*time.Second), time.Duration(0))
}
