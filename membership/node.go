package membership

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Node is the membership state of one process.
type Node struct {
	cfg  Config
	rnd  *rand.Rand
	self *record

	members map[string]*record // includes self
	names   []string           // sorted keys of members; all iteration uses it, so that runs repeat
	events  []Event

	evidence      *evidence
	rosterAddress map[string]string
	seeds         []string

	prober prober
	gossip gossip
	sync   syncState

	lastTick  time.Duration
	started   bool
	meta      []byte // newest metadata from SetMeta that is not published yet
	metaDirty bool
	metaAt    time.Duration
}

// record is a member with the local state around it.
type record struct {
	Member
	accusers    map[string]bool // processes that could not reach the member in this incarnation
	suspectedAt time.Duration
	deadAt      time.Duration
	answeredAt  time.Duration // send time of the newest ping that the member answered directly
}

// New returns a node that knows only itself. The name, address and domain of self are fixed; Incarnation should grow
// with each start of the process, for example by taking the wall clock's seconds.
func New(self Member, cfg Config, rnd *rand.Rand) *Node {
	self.Status = StatusAlive
	n := &Node{
		cfg:      cfg.withDefaults(),
		rnd:      rnd,
		self:     &record{Member: self, answeredAt: never},
		members:  make(map[string]*record),
		evidence: newEvidence(self.Name),
		gossip:   gossip{items: make(map[string]*gossipItem)},
	}
	// A random start keeps answers to a former run of the process from matching questions of this run.
	n.prober.seq = rnd.Uint64() >> 1
	n.insert(n.self)
	n.announce(n.self, true)
	return n
}

// Self returns this process's own entry.
func (n *Node) Self() Member { return n.self.Member }

// Members returns all known members, sorted by name, with this process and with the dead that are not forgotten yet.
// The metadata is shared and must not be changed.
func (n *Node) Members() []Member {
	all := make([]Member, 0, len(n.names))
	for _, name := range n.names {
		all = append(all, n.members[name].Member)
	}
	return all
}

// Member returns one member by name.
func (n *Node) Member(name string) (Member, bool) {
	r := n.members[name]
	if r == nil {
		return Member{}, false
	}
	return r.Member, true
}

// Events returns the changes since the last call, in order. The caller must call it regularly.
func (n *Node) Events() []Event {
	events := n.events
	n.events = nil
	return events
}

// SetMeta replaces the own metadata. It is published at most once per Config.MetaInterval.
func (n *Node) SetMeta(meta []byte) {
	n.meta = slices.Clone(meta)
	n.metaDirty = true
}

// Join contacts the addresses of processes that are already in the fleet. Node repeats this until one answers.
func (n *Node) Join(now time.Duration, addresses []string) []Outgoing {
	n.begin(now)
	n.seeds = slices.Clone(addresses)
	return n.joinSeeds(now)
}

// Leave announces a graceful stop to some peers, which pass it on. The node goes on to answer.
func (n *Node) Leave(now time.Duration) []Outgoing {
	n.begin(now)
	n.self.Status = StatusLeaving
	n.announce(n.self, false)
	const fanout = 8
	var out []Outgoing
	for _, r := range n.pick(fanout, func(r *record) bool { return r.Status != StatusDead }) {
		out = append(out, n.packetTo(r, now, Packet{Kind: KindUpdates}))
	}
	return out
}

// Tick does all work that is due. Call it every 20 to 50 ms; a longer gap counts as a pause of this process and not as
// a fault of its peers.
func (n *Node) Tick(now time.Duration) []Outgoing {
	n.begin(now)
	n.skipPause(now)
	n.publishMeta(now)
	out := n.tickProbes(now)
	n.tickSuspicions(now)
	out = append(out, n.tickSync(now)...)
	n.forgetDead(now)
	return out
}

// Receive handles a packet. from is the address at which the sender takes packets.
func (n *Node) Receive(now time.Duration, from string, p Packet) []Outgoing {
	n.begin(now)
	n.evidence.hear(&p, now)
	for i := range p.Updates {
		n.merge(&p.Updates[i], now)
	}
	switch p.Kind {
	case KindPing:
		return n.answerPing(now, from, &p)
	case KindPingRequest:
		return n.relayPing(now, from, &p)
	case KindAck:
		return n.receiveAck(now, &p)
	case KindSync:
		return n.answerSync(now, from, &p)
	case KindUpdates:
		return n.continueSync(now, from, &p)
	}
	return nil
}

func (n *Node) begin(now time.Duration) {
	if n.started {
		return
	}
	n.started = true
	n.lastTick = now
	n.metaAt = now - n.cfg.MetaInterval
	n.evidence.begin(now)
	n.prober.begin(now, n)
	n.sync.next = now + jitter(n.cfg.SyncInterval, n.rnd)
}

// skipPause moves all running timers by the length of a pause of this process, since answers that came during the
// pause are not handled yet.
func (n *Node) skipPause(now time.Duration) {
	gap := now - n.lastTick
	n.lastTick = now
	if gap < n.cfg.PingTimeout {
		return
	}
	n.prober.shift(gap)
	for _, name := range n.names {
		n.members[name].suspectedAt += gap
	}
}

func (n *Node) publishMeta(now time.Duration) {
	if !n.metaDirty || now-n.metaAt < n.cfg.MetaInterval {
		return
	}
	n.metaDirty = false
	n.metaAt = now
	n.self.Meta = n.meta
	n.self.MetaVersion++
	n.announce(n.self, true)
}

func (n *Node) insert(r *record) {
	n.members[r.Name] = r
	i, _ := slices.BinarySearch(n.names, r.Name)
	n.names = slices.Insert(n.names, i, r.Name)
}

func (n *Node) remove(name string) {
	delete(n.members, name)
	if i, found := slices.BinarySearch(n.names, name); found {
		n.names = slices.Delete(n.names, i, i+1)
	}
	n.gossip.drop(name)
}

func (n *Node) event(kind EventKind, r *record) {
	n.events = append(n.events, Event{Kind: kind, Member: r.Member})
}

// pick returns up to count different random members other than this process.
func (n *Node) pick(count int, accept func(*record) bool) []*record {
	var picked []*record
	seen := 0
	for _, name := range n.names {
		r := n.members[name]
		if r == n.self || !accept(r) {
			continue
		}
		seen++
		if len(picked) < count {
			picked = append(picked, r)
		} else if i := n.rnd.IntN(seen); i < count {
			picked[i] = r
		}
	}
	return picked
}

// packetTo fills in what every packet carries and the updates that fit.
func (n *Node) packetTo(r *record, now time.Duration, p Packet) Outgoing {
	return n.packet(r.Address, r, now, p)
}

func (n *Node) packet(address string, r *record, now time.Duration, p Packet) Outgoing {
	p.From = n.self.Name
	p.Beat = n.evidence.sendBeat(now)
	p.Version = n.evidence.version
	p.Established = n.evidence.established
	p.Updates = append(p.Updates, n.piggyback(r, n.cfg.MaxPacketBytes-packetBytes(&p))...)
	return Outgoing{To: address, Packet: p}
}

func jitter(d time.Duration, rnd *rand.Rand) time.Duration {
	return time.Duration(rnd.Int64N(int64(d)) + 1)
}
