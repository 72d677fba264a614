package membership

import (
	"container/heap"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"time"
)

func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

const simStep = 50 * time.Millisecond

// sim runs nodes over a simulated network with delays, losses, duplicates and one-way cuts.
type sim struct {
	rnd        *rand.Rand
	now        time.Duration
	nodes      []*Node
	addrs      map[string]int
	queue      packetQueue
	order      int
	cut        map[[2]int]bool // by sender and receiver: packets are lost
	loss       float64
	late       float64 // share of packets that are up to 10 s late
	sent       []int
	bytes      []int
	maxBytes   int
	countBytes bool // record sizes, which requires the encoding of each packet
	deathsSeen map[[2]string]int
	paused     map[int]bool
}

type queuedPacket struct {
	at    time.Duration
	order int
	from  int
	to    int
	p     Packet
}

type packetQueue []queuedPacket

func (q packetQueue) Len() int { return len(q) }
func (q packetQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q packetQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *packetQueue) Push(x any)   { *q = append(*q, x.(queuedPacket)) }
func (q *packetQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func simName(i int) string    { return fmt.Sprintf("vm%04d", i) }
func simAddress(i int) string { return fmt.Sprintf("10.0.%d.%d:7400", i/250, i%250+1) }

func newSim(n int, seed uint64) *sim {
	s := &sim{
		rnd:        rand.New(rand.NewPCG(seed, 0)),
		addrs:      make(map[string]int),
		cut:        make(map[[2]int]bool),
		sent:       make([]int, n),
		bytes:      make([]int, n),
		deathsSeen: make(map[[2]string]int),
		paused:     make(map[int]bool),
	}
	for i := range n {
		s.addrs[simAddress(i)] = i
		s.nodes = append(s.nodes, nil)
		s.start(i, 1)
	}
	return s
}

func (s *sim) start(i int, incarnation uint64) {
	self := Member{Name: simName(i), Address: simAddress(i), Domain: fmt.Sprintf("d%d", i%3), Incarnation: incarnation}
	s.nodes[i] = New(self, Config{}, rand.New(rand.NewPCG(s.rnd.Uint64(), 0)))
	s.nodes[i].SetRoster(s.roster())
	s.send(i, s.nodes[i].Join(s.now, []string{simAddress((i + 1) % len(s.sent)), simAddress((i + 7) % len(s.sent))}))
}

func (s *sim) roster() []RosterEntry {
	var entries []RosterEntry
	for i := range s.sent {
		entries = append(entries, RosterEntry{Name: simName(i), Address: simAddress(i)})
	}
	return entries
}

func (s *sim) send(from int, out []Outgoing) {
	for _, o := range out {
		s.sent[from]++
		if s.countBytes {
			data, _ := json.Marshal(o.Packet)
			s.bytes[from] += len(data)
			s.maxBytes = max(s.maxBytes, len(data))
		}
		copies := 1
		if s.loss > 0 && s.rnd.IntN(50) == 0 {
			copies = 2
		}
		for range copies {
			s.transmit(from, s.addrs[o.To], o.Packet)
		}
	}
}

func (s *sim) transmit(from, to int, p Packet) {
	if s.cut[[2]int{from, to}] || s.rnd.Float64() < s.loss {
		return
	}
	delay := time.Millisecond + time.Duration(s.rnd.Int64N(int64(15*time.Millisecond)))
	if s.rnd.Float64() < s.late {
		delay = time.Duration(s.rnd.Int64N(int64(10 * time.Second)))
	}
	s.order++
	heap.Push(&s.queue, queuedPacket{at: s.now + delay, order: s.order, from: from, to: to, p: p})
}

// step advances the time by simStep, delivers the packets that are due and ticks all nodes. All nodes share one clock.
func (s *sim) step() {
	s.now += simStep
	for len(s.queue) > 0 && s.queue[0].at <= s.now {
		f := heap.Pop(&s.queue).(queuedPacket)
		if !s.paused[f.to] {
			s.send(f.to, s.nodes[f.to].Receive(f.at, simAddress(f.from), f.p))
		}
	}
	for i, n := range s.nodes {
		if s.paused[i] {
			continue
		}
		s.send(i, n.Tick(s.now))
		for _, e := range n.Events() {
			if e.Kind == EventStatus && e.Member.Status == StatusDead {
				s.deathsSeen[[2]string{n.Self().Name, e.Member.Name}]++
			}
		}
	}
}

// heartbeat delivers a heartbeat of control, 1 ms after the request, to the processes for which reach returns true.
func (s *sim) heartbeat(number, version uint64, reach func(i int) bool) {
	for i, n := range s.nodes {
		if !s.paused[i] && reach(i) {
			n.ObserveHeartbeat(LeaderHeartbeat{Number: number, Version: version}, s.now-time.Millisecond, s.now)
		}
	}
}

// runWithControl runs for the time d with a heartbeat to all processes every second.
func (s *sim) runWithControl(d time.Duration) {
	for end := s.now + d; s.now < end; {
		if s.now%time.Second == 0 {
			s.heartbeat(uint64(s.now/time.Second), 1, func(int) bool { return true })
		}
		s.step()
	}
}

// count returns the number of nodes, other than the member itself, at which the member has the status.
func (s *sim) count(name string, status Status) int {
	seen := 0
	for i, n := range s.nodes {
		if m, ok := n.Member(name); ok && m.Status == status && simName(i) != name {
			seen++
		}
	}
	return seen
}
