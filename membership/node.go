package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"
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

	lastTick time.Duration
	// youngUntil is the end of the time in which digests are exchanged more often, because a new process and the fleet know
	// little of each other.
	youngUntil time.Duration
	statusAt   time.Duration // next check of suspects and dead members
	started    bool
	meta       []byte // newest metadata from SetMeta that is not published yet
	metaDirty  bool
	// metaUrgent makes metaDirty metadata go out before the interval is over.
	metaUrgent bool
	metaAt     time.Duration
}

// youngTime is the time after the start in which digests are exchanged each Config.Period.
const youngTime = 3 * time.Second

// record is a member with the local state around it.
type record struct {
	Member
	accusers    map[string]bool // processes that could not reach the member in this incarnation
	suspectedAt time.Duration
	repeated    bool // the suspicion was announced a second time
	deadAt      time.Duration
	askedAt     time.Duration // last request for newer metadata
	answeredAt  time.Duration // send time of the newest ping that the member answered directly
}

func newRecord(m Member) *record {
	return &record{Member: m, answeredAt: never, askedAt: never}
}

// New returns a node that knows only itself. The name, address and domain of self are fixed; Incarnation should grow
// with each start of the process, for example by taking the wall clock's seconds.
func New(self Member, cfg Config, rnd *rand.Rand) *Node {
	cfg = cfg.withDefaults()
	self.Status = StatusAlive
	// The versions of a later run start above those of this one, so that its metadata replaces that of the former run at
	// once. Where the clock was set back, mergeSelf raises them.
	self.MetaVersion = self.Incarnation
	n := &Node{
		cfg:      cfg,
		rnd:      rnd,
		self:     newRecord(self),
		members:  make(map[string]*record),
		evidence: newEvidence(self.Name, cfg.StaleBeat),
		gossip:   gossip{items: make(map[string]*gossipItem)},
	}
	// A random start keeps answers to a former run of the process from matching questions of this run.
	n.prober.seq = rnd.Uint64() >> 1
	n.insert(n.self)
	n.announce(n.self)
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

// SetMeta replaces the own metadata. It is published at most once per Config.MetaInterval. Metadata that does not fit
// into a packet is refused, and the former metadata stays.
func (n *Node) SetMeta(meta []byte) error {
	probe := Update{Member: n.self.withoutMeta()}
	probe.Meta = meta
	if size := updateBytes(&probe); size > n.cfg.MaxPacketBytes {
		return errors.Errorf("metadata of %d bytes needs %d bytes in a packet; the limit is %d",
			len(meta), size, n.cfg.MaxPacketBytes)
	}
	n.meta = slices.Clone(meta)
	n.metaDirty = true
	return nil
}

// PublishMeta makes the next Tick publish the metadata from SetMeta without waiting for the interval. It is meant for
// rare changes such as a drain, not for load reports.
func (n *Node) PublishMeta() { n.metaUrgent = true }

// Join contacts the addresses of processes that are already in the fleet. Node repeats this until one answers.
func (n *Node) Join(now time.Duration, addresses []string) []Outgoing {
	n.begin(now)
	n.takeMeta(now)
	n.seeds = slices.Clone(addresses)
	return n.joinSeeds(now)
}

// Leave announces a graceful stop to some peers, which pass it on. The node goes on to answer.
func (n *Node) Leave(now time.Duration) []Outgoing {
	n.begin(now)
	n.self.Status = StatusLeaving
	n.announce(n.self)
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
	out := n.publishMeta(now)
	out = append(out, n.tickProbes(now)...)
	n.tickStatus(now)
	return append(out, n.tickSync(now)...)
}

// Receive handles a packet. from is the address at which the sender takes packets.
func (n *Node) Receive(now time.Duration, from string, p Packet) []Outgoing {
	n.begin(now)
	n.evidence.hear(&p, now)
	for i := range p.Updates {
		n.merge(&p.Updates[i], now)
	}
	out := append(n.handle(now, from, &p), n.askForMeta(now, from, &p)...)
	return append(out, n.correct(now, from, &p)...)
}

func (n *Node) handle(now time.Duration, from string, p *Packet) []Outgoing {
	switch p.Kind {
	case KindPing:
		return n.answerPing(now, from, p)
	case KindPingRequest:
		return n.relayPing(now, from, p)
	case KindAck:
		return n.receiveAck(now, p)
	case KindSync:
		return n.answerSync(now, from, p)
	case KindUpdates:
		return n.continueSync(now, from, p)
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
	n.sync.next = now + jitter(n.cfg.Period, n.rnd)
	n.youngUntil = now + youngTime
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

// publishMeta makes new metadata known and sends it to a few peers, from which others fetch it.
func (n *Node) publishMeta(now time.Duration) []Outgoing {
	if !n.metaDirty || !n.metaUrgent && now-n.metaAt < n.metaInterval() {
		return nil
	}
	n.takeMeta(now)
	const fanout = 3
	var out []Outgoing
	for _, r := range n.pick(fanout, func(r *record) bool { return r.Status != StatusDead }) {
		u := Update{Member: n.self.Member, HasMeta: true}
		out = append(out, n.packetTo(r, now, Packet{Kind: KindUpdates, Updates: []Update{u}}))
	}
	return out
}

// takeMeta makes the newest metadata part of the own entry.
func (n *Node) takeMeta(now time.Duration) {
	if !n.metaDirty {
		return
	}
	n.metaDirty, n.metaUrgent = false, false
	n.metaAt = now
	n.self.Meta = n.meta
	n.self.MetaVersion++
	n.announceMeta(n.self)
}

func (n *Node) metaInterval() time.Duration {
	return max(n.cfg.MetaInterval, time.Duration(len(n.names))*n.cfg.MetaIntervalPerMember)
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

// pick returns up to count different random members other than this process. It draws names at random, and looks at
// all members only when that finds too few.
func (n *Node) pick(count int, accept func(*record) bool) []*record {
	var picked []*record
	for range 4 * count {
		r := n.members[n.names[n.rnd.IntN(len(n.names))]]
		if r != n.self && accept(r) && !slices.Contains(picked, r) {
			picked = append(picked, r)
		}
		if len(picked) == count {
			return picked
		}
	}
	return n.pickFromAll(count, accept)
}

func (n *Node) pickFromAll(count int, accept func(*record) bool) []*record {
	var all []*record
	for _, name := range n.names {
		if r := n.members[name]; r != n.self && accept(r) {
			all = append(all, r)
		}
	}
	n.rnd.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(count, len(all))]
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
	n.piggyback(&p, r, n.cfg.MaxPacketBytes-packetBytes(&p))
	return Outgoing{To: address, Packet: p}
}

func jitter(d time.Duration, rnd *rand.Rand) time.Duration {
	return time.Duration(rnd.Int64N(int64(d)) + 1)
}
