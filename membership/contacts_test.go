package membership

import (
	"encoding/json"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// contactFleet simulates only the exchange of contacts, so that 2,000 processes fit into one test process.
type contactFleet struct {
	rnd   *rand.Rand
	now   time.Duration
	nodes []*evidence
	bytes int // sent in replies by all processes
}

func newContactFleet(size int, seed uint64) *contactFleet {
	f := &contactFleet{rnd: rand.New(rand.NewPCG(seed, 0))}
	var names []string
	for i := range size {
		names = append(names, simName(i))
	}
	for _, name := range names {
		e := newEvidence(name, staleHeartbeatAge)
		e.setRoster(names)
		e.begin(0)
		e.observeReply(&Packet{Heartbeat: &LeaderHeartbeat{Number: 1, Version: 1}}, 0, 0)
		f.nodes = append(f.nodes, e)
	}
	return f
}

// step advances the time by d. Each process pings peers at the intervals that Node uses while its newest heartbeat is
// stale.
func (f *contactFleet) step(d time.Duration) {
	cfg := Config{}.withDefaults()
	f.now += d
	for i := range f.nodes {
		offset := time.Duration(i) * 7 * time.Millisecond
		contact := cfg.ContactInterval
		if f.nodes[i].lagging(f.now) {
			contact /= 2
		}
		for _, interval := range []time.Duration{cfg.Period, contact} {
			if (f.now+offset)/interval != (f.now+offset-d)/interval {
				f.ping(i)
			}
		}
	}
}

// ping lets process i receive the reply of a random peer, with a delay of 16 ms each way.
func (f *contactFleet) ping(i int) {
	const late = 16 * time.Millisecond
	peer := f.nodes[f.rnd.IntN(len(f.nodes))]
	p := Packet{Kind: KindAck, From: peer.self, Subject: peer.self, Seq: f.rnd.Uint64(), Version: peer.version}
	p.Established, p.Contacts, p.Heartbeat = peer.established, peer.contactsForAck(f.now-late), peer.heartbeatForPacket(f.now-late)
	if i%100 == 0 {
		data, _ := json.Marshal(p)
		f.bytes += 100 * len(data)
	}
	f.nodes[i].observeReply(&p, f.now-2*late, f.now)
}

func (f *contactFleet) fresh() int {
	count := 0
	for _, e := range f.nodes {
		if e.fresh(f.now) {
			count++
		}
	}
	return count
}

// measureContacts simulates a fleet without control for the time d. It returns the lowest number of processes that may
// admit requests at any time, the highest age of contact with a majority in seconds, and the bytes per second that a
// process sends in replies.
func measureContacts(size int, d time.Duration) (least int, worst, rate float64) {
	f := newContactFleet(size, 1)
	least = size
	for f.now < d {
		f.step(50 * time.Millisecond)
		if f.now <= staleHeartbeatAge {
			continue
		}
		least = min(least, f.fresh())
		if f.now < 5*time.Second {
			continue
		}
		for _, e := range f.nodes {
			worst = max(worst, (f.now - e.majorityContact(f.now)).Seconds())
		}
	}
	return least, worst, float64(f.bytes) / float64(size) / (d - staleHeartbeatAge).Seconds()
}

// TestContactsReachMajority guards against processes that stop admitting requests while control is unavailable although
// all processes reach each other, and against traffic above 16 KB/s per process. BenchmarkContacts measures 2,000
// processes, which take too long under the race detector.
func TestContactsReachMajority(t *testing.T) {
	const size = 300
	least, worst, rate := measureContacts(size, 10*time.Second)
	t.Logf("%d of %d may admit at all times, contact at most %.2f s old, %.0f bytes/s", least, size, worst, rate)
	assert.Equal(t, least, size)
	assert.Assert(t, rate <= 16_000)
}

// BenchmarkContacts measures the design size of 2,000 processes. Run it with -benchtime 1x.
func BenchmarkContacts(b *testing.B) {
	for b.Loop() {
		least, worst, rate := measureContacts(2000, 20*time.Second)
		b.ReportMetric(float64(least), "admitting")
		b.ReportMetric(worst, "worst-age-s")
		b.ReportMetric(rate, "bytes/s")
	}
}
