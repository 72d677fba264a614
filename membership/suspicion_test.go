package membership

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestOneWayPartitionExpelsNobody guards against a healthy process that is declared dead because some one-way paths to
// or from it are cut, packets are lost and duplicated, or its accusers pause. Each process keeps two-way paths to more
// than half of its peers. It also guards against a flood of packets during such faults.
func TestOneWayPartitionExpelsNobody(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(5, 14).Draw(t, "n")
		s := newSim(n, rapid.Uint64().Draw(t, "seed"))
		s.runWithControl(3 * time.Second)
		s.loss = 0.03
		broken := make([]int, n)
		for range rapid.IntRange(0, 2*n).Draw(t, "cuts") {
			from, to := rapid.IntRange(0, n-1).Draw(t, "from"), rapid.IntRange(0, n-1).Draw(t, "to")
			if from == to || s.cut[[2]int{from, to}] || s.cut[[2]int{to, from}] {
				continue
			}
			if 2*(broken[from]+1) < n-1 && 2*(broken[to]+1) < n-1 {
				s.cut[[2]int{from, to}] = true
				broken[from]++
				broken[to]++
			}
		}
		before := append([]int(nil), s.sent...)
		pauser := rapid.IntRange(0, n-1).Draw(t, "pauser")
		s.runWithControl(10 * time.Second)
		s.paused[pauser] = true
		s.runWithControl(time.Second)
		s.paused[pauser] = false
		s.runWithControl(10 * time.Second)
		assert.Equal(t, len(s.deathsSeen), 0, "%v", s.deathsSeen)
		for i := range s.sent {
			checkPackets(t, s.sent[i]-before[i], 21*time.Second)
		}
	})
}

// checkPackets checks that a process sent no more packets in the time d than expected. In each period it sends a ping,
// up to three requests for indirect pings and, while its newest heartbeat is stale, up to three additional pings. It
// also replies to as many packets of others, relays pings and their replies, and sends a few packets for syncs. The
// bound does not depend on the fleet size.
func checkPackets(t assert.TestingT, packets int, d time.Duration) {
	const perPeriod = 1 + 3 + 3 + 4 + 6 + 2
	bound := perPeriod * (int(d/(500*time.Millisecond)) + 2)
	assert.Assert(t, packets <= bound, "%d packets in %v, bound %d", packets, d, bound)
}

// TestCrashAndRestart guards against a crashed process that stays a member, and against a restarted one that stays
// dead.
func TestCrashAndRestart(t *testing.T) {
	s := newSim(27, 1)
	s.runWithControl(5 * time.Second)
	s.paused[3] = true
	begin := s.now
	for s.count(simName(3), StatusDead) < 26 && s.now < begin+time.Minute {
		s.runWithControl(simStep)
	}
	t.Logf("all processes know of the crash after %v", s.now-begin)
	assert.Equal(t, s.count(simName(3), StatusDead), 26)
	s.paused[3] = false
	assert.NilError(t, s.nodes[3].SetMeta([]byte("x")))
	s.start(3, 1) // the same incarnation as before, which the process must raise by itself
	s.runWithControl(10 * time.Second)
	assert.Equal(t, s.count(simName(3), StatusAlive), 26)
	assert.Assert(t, s.nodes[3].Self().Incarnation > 1)
}

// TestLeave guards against a leaving process that becomes a suspect.
func TestLeave(t *testing.T) {
	s := newSim(12, 1)
	s.runWithControl(5 * time.Second)
	s.send(3, s.nodes[3].Leave(s.now))
	s.runWithControl(5 * time.Second)
	assert.Equal(t, s.count(simName(3), StatusLeaving), 11)
	s.paused[3] = true
	s.runWithControl(20 * time.Second)
	assert.Equal(t, s.count(simName(3), StatusDead), 11)
}

// TestPacketsAtDesignSize guards against a number of packets that grows with the fleet. It runs one process among
// 2,000. One in twenty of its pings gets no reply, and it receives one ping in each period.
func TestPacketsAtDesignSize(t *testing.T) {
	const size = 2000
	self := Member{Name: simName(0), Address: simAddress(0)}
	n := New(self, Config{}, rand.New(rand.NewPCG(1, 0)))
	var join Packet
	for i := 1; i < size; i++ {
		join.Updates = append(join.Updates, Update{Member: Member{Name: simName(i), Address: simAddress(i)}})
	}
	n.Receive(0, simAddress(1), join)
	const d = 30 * time.Second
	packets := 0
	for now := time.Duration(0); now < d; now += simStep {
		out := n.Tick(now)
		if now%(500*time.Millisecond) == 0 {
			out = append(out, n.Receive(now, simAddress(2), Packet{Kind: KindPing, From: simName(2), Seq: 1})...)
		}
		packets += len(out)
		for _, o := range out {
			if o.Packet.Kind != KindPing || rand.New(rand.NewPCG(o.Packet.Seq, 0)).IntN(20) == 0 {
				continue
			}
			for name, m := range n.members {
				if m.Address == o.To {
					n.Receive(now, o.To, Packet{Kind: KindAck, From: name, Subject: name, Seq: o.Packet.Seq})
				}
			}
		}
	}
	t.Logf("%.1f packets/s", float64(packets)/d.Seconds())
	checkPackets(t, packets, d)
}
