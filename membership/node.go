package membership

import (
	"math"
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
	names   []string           // sorted keys of members; all iteration uses them, so that simulations are reproducible
	events  []Event

	evidence      *evidence
	rosterAddress map[string]string
	seeds         []string

	prober prober
	gossip gossip
	sync   syncState

	// expectedTick is the time by which the next Tick was due; a later Tick means that this process was paused.
	expectedTick time.Duration
	// lastCall is the time of the last call with a time.
	lastCall time.Duration
	// startupUntil is the end of the startup period, in which digests are exchanged more often because a new process and
	// the fleet know little of each other.
	startupUntil    time.Duration
	nextStatusCheck time.Duration // time of the next check of suspects and dead members; see tickStatus
	started         bool
	pendingMeta     []byte // newest metadata from SetMeta; unpublished while metaPending is set
	metaPending     bool
	// metaUrgent makes the next Tick publish pendingMeta before the interval is over.
	metaUrgent      bool
	metaPublishedAt time.Duration
}

// startupPeriod is the time after the start in which digests are exchanged once per Config.Period instead of once per
// Config.SyncInterval.
const startupPeriod = 3 * time.Second

// record is a member with the local state of this process about it.
type record struct {
	Member
	accusers        map[string]bool // processes that failed to reach the member in this incarnation
	suspectedAt     time.Duration
	reannounced     bool // the suspicion was queued for gossip a second time
	deadAt          time.Duration
	metaRequestedAt time.Duration // last request for newer metadata
	repliedAt       time.Duration // send time of the newest ping that the member replied to directly, or never
}

func newRecord(m Member) *record {
	return &record{Member: m, repliedAt: never, metaRequestedAt: never}
}

// New returns a node that knows only itself. The name, address and domain of self do not change. Incarnation should be
// higher at each start of the process, for example the Unix time in seconds.
func New(self Member, cfg Config, rnd *rand.Rand) *Node {
	cfg = cfg.withDefaults()
	self.Status = StatusAlive
	// Metadata versions start at the incarnation, so those of a later run start above those of this run and its metadata
	// replaces that of this run at once. If the clock was set back between the runs, mergeSelf raises the version.
	self.MetaVersion = self.Incarnation
	n := &Node{
		cfg:      cfg,
		rnd:      rnd,
		self:     newRecord(self),
		members:  make(map[string]*record),
		evidence: newEvidence(self.Name, cfg.StaleHeartbeatAge),
		gossip:   gossip{items: make(map[string]*gossipItem)},
	}
	// With a random first sequence number, a reply to a previous run of the process does not match a ping of this run.
	n.prober.seq = rnd.Uint64() >> 1
	n.insert(n.self)
	n.announce(n.self)
	return n
}

// Self returns this process as a member.
func (n *Node) Self() Member { return n.self.Member }

// Members returns all known members sorted by name, including this process and dead members that are not removed yet.
// The caller must not modify the metadata.
func (n *Node) Members() []Member {
	all := make([]Member, 0, len(n.names))
	for _, name := range n.names {
		all = append(all, n.members[name].Member)
	}
	return all
}

// Member returns the member with the name, and false if it is not known.
func (n *Node) Member(name string) (Member, bool) {
	r := n.members[name]
	if r == nil {
		return Member{}, false
	}
	return r.Member, true
}

// Events returns the changes since the last call, in the order in which this process learned of them. It must be called
// regularly, because the list grows until then.
func (n *Node) Events() []Event {
	events := n.events
	n.events = nil
	return events
}

// SetMeta replaces the metadata of this process. Tick publishes it after the minimum time since the last version; see
// Config.MetaInterval and Config.MetaIntervalPerMember. Metadata that does not fit into a packet is an error and leaves
// the previous metadata in place.
func (n *Node) SetMeta(meta []byte) error {
	probe := Update{Member: n.self.withoutMeta()}
	probe.Meta = meta
	if size := updateBytes(&probe); size > n.cfg.MaxPacketBytes {
		return errors.Errorf("metadata of %d bytes needs %d bytes in a packet; the limit is %d",
			len(meta), size, n.cfg.MaxPacketBytes)
	}
	n.pendingMeta = slices.Clone(meta)
	n.metaPending = true
	return nil
}

// PublishMeta makes the next Tick publish the metadata from SetMeta without waiting for the interval. Use it for rare
// changes such as a drain, not for load reports.
func (n *Node) PublishMeta() { n.metaUrgent = true }

// Join contacts processes of the fleet at the addresses. Tick contacts them again until one replies.
func (n *Node) Join(now time.Duration, addresses []string) []Outgoing {
	n.begin(now)
	n.applyPendingMeta(now)
	n.seeds = slices.Clone(addresses)
	return n.joinSeeds(now)
}

// Leave announces a graceful stop to up to 8 peers, which pass it on. The node continues to reply to packets.
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

// Tick does all work that is due and returns the packets to send. It must be called by the time that NextTick returns;
// it may be called earlier. A Tick that is late by Config.PingTimeout or more counts as a pause of this process and not
// as a failure of its peers.
func (n *Node) Tick(now time.Duration) []Outgoing {
	n.begin(now)
	n.skipPause(now)
	out := n.publishMeta(now)
	out = append(out, n.tickProbes(now)...)
	n.tickStatus(now)
	out = append(out, n.tickSync(now)...)
	n.expectedTick = math.MaxInt64
	n.NextTick()
	return out
}

// NextTick returns the time by which Tick has work to do. Other methods can make it earlier, so it must be asked again
// after each call.
func (n *Node) NextTick() time.Duration {
	if !n.started {
		return 0
	}
	next := min(n.prober.next(n.evidence), n.nextStatusCheck, n.sync.nextSync)
	n.expectedTick = min(n.expectedTick, max(next, n.lastCall))
	switch {
	case n.metaPending && n.metaUrgent:
		return n.lastCall
	case n.metaPending:
		return min(next, n.metaPublishedAt+n.metaInterval())
	}
	return next
}

// Receive handles a packet and returns the packets to send. from is the address at which the sender receives packets.
func (n *Node) Receive(now time.Duration, from string, p Packet) []Outgoing {
	n.begin(now)
	n.evidence.observe(&p, now)
	for i := range p.Updates {
		n.merge(&p.Updates[i], now)
	}
	out := append(n.handle(now, from, &p), n.requestMeta(now, from, &p)...)
	return append(out, n.sendRefutations(now, from, &p)...)
}

func (n *Node) handle(now time.Duration, from string, p *Packet) []Outgoing {
	switch p.Kind {
	case KindPing:
		return n.replyToPing(now, from, p)
	case KindPingRequest:
		return n.relayPing(now, from, p)
	case KindAck:
		return n.receiveAck(now, p)
	case KindSync:
		return n.replyToSync(now, from, p)
	case KindUpdates:
		return n.continueSync(now, from, p)
	}
	return nil
}

// begin starts all timers at the first call.
func (n *Node) begin(now time.Duration) {
	n.lastCall = max(n.lastCall, now)
	if n.started {
		return
	}
	n.started = true
	n.expectedTick = now
	n.metaPublishedAt = now - n.cfg.MetaInterval
	n.evidence.begin(now)
	n.prober.begin(now, n)
	n.sync.nextSync = now + jitter(n.cfg.Period, n.rnd)
	n.startupUntil = now + startupPeriod
}

// skipPause delays the timers of pings and suspicions by the length of a pause of this process, because replies that
// arrived during the pause are not handled yet.
func (n *Node) skipPause(now time.Duration) {
	late := now - n.expectedTick
	if late < n.cfg.PingTimeout {
		return
	}
	n.prober.shift(late)
	for _, name := range n.names {
		n.members[name].suspectedAt += late
	}
}

// publishMeta publishes pending metadata if it is due and sends it to 3 peers, from which the others fetch it.
func (n *Node) publishMeta(now time.Duration) []Outgoing {
	if !n.metaPending || !n.metaUrgent && now-n.metaPublishedAt < n.metaInterval() {
		return nil
	}
	n.applyPendingMeta(now)
	const fanout = 3
	var out []Outgoing
	for _, r := range n.pick(fanout, func(r *record) bool { return r.Status != StatusDead }) {
		u := Update{Member: n.self.Member, HasMeta: true}
		out = append(out, n.packetTo(r, now, Packet{Kind: KindUpdates, Updates: []Update{u}}))
	}
	return out
}

// applyPendingMeta makes pending metadata the next version of this process's metadata.
func (n *Node) applyPendingMeta(now time.Duration) {
	if !n.metaPending {
		return
	}
	n.metaPending, n.metaUrgent = false, false
	n.metaPublishedAt = now
	n.self.Meta = n.pendingMeta
	n.self.MetaVersion++
	n.announceMeta(n.self)
}

// metaInterval returns the minimum time between two versions of this process's metadata.
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

func (n *Node) addEvent(kind EventKind, r *record) {
	n.events = append(n.events, Event{Kind: kind, Member: r.Member})
}

// pickNear returns a random member that is not dead, mostly one of the own failure domain; none if there is no member.
func (n *Node) pickNear() []*record {
	near := n.preferNear()
	picked := n.pick(1, func(r *record) bool { return r.Status != StatusDead && n.isNear(r) == near })
	if len(picked) == 0 {
		picked = n.pick(1, func(r *record) bool { return r.Status != StatusDead })
	}
	return picked
}

// pick returns up to count distinct random members other than this process that accept allows. It draws names at random
// and searches all members only if that finds too few.
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

// packetTo returns p addressed to a member, with the common fields and the updates that fit.
func (n *Node) packetTo(r *record, now time.Duration, p Packet) Outgoing {
	return n.packet(r.Address, r, now, p)
}

// packet is like packetTo with an explicit address; r is the receiver, or nil if it is not known as a member.
func (n *Node) packet(address string, r *record, now time.Duration, p Packet) Outgoing {
	p.From = n.self.Name
	p.Heartbeat = n.evidence.heartbeatForPacket(now)
	p.Version = n.evidence.version
	p.Established = n.evidence.established
	n.piggyback(&p, r, n.cfg.MaxPacketBytes-packetBytes(&p))
	return Outgoing{To: address, Packet: p}
}

// jitter returns a random duration above 0 and up to d.
func jitter(d time.Duration, rnd *rand.Rand) time.Duration {
	return time.Duration(rnd.Int64N(int64(d)) + 1)
}
