package node

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/phuslu/log"
	"gopkg.in/tomb.v2"

	"rosemaryline.dev/membership"
	"rosemaryline.dev/proxy"
	"rosemaryline.dev/raft"
	"rosemaryline.dev/rpc"
)

const (
	methodGossip = "gossip.packet"
	// minGossipTick is the minimum time between two calls of membership.Node.Tick, so that work that is due at almost the
	// same time wakes the process once.
	minGossipTick = 10 * time.Millisecond
	// gossipWorkers is the number of packets that are sent at the same time. A packet to an unreachable address
	// occupies a worker for up to gossipSendTimeout.
	gossipWorkers = 16
	// gossipQueueLength limits the packets that wait for a worker. Further packets are dropped, as on a network.
	gossipQueueLength = 1024
	// gossipSendTimeout limits sending one packet.
	gossipSendTimeout = 500 * time.Millisecond
)

// metadata is what a process gossips about itself. Only data that changes rarely belongs here, so that gossip stays
// small in a large fleet: load is part of responses, and digests are sent only to the gates of the same service.
type metadata struct {
	Rows []serviceRow `json:"rows,omitempty"`
	// Control and Records are the process's member ids in the two groups; 0 without the control role.
	Control raft.ID `json:"control,omitempty"`
	Records raft.ID `json:"records,omitempty"`
	// Admin is the address of the admin listener. Only processes with the control role set it.
	Admin string `json:"admin,omitempty"`
	// Features names what the process knows beyond earlier builds. Only processes with the control role set it.
	Features []string `json:"features,omitempty"`
}

// serviceRow describes the backend servers of one service on one VM.
type serviceRow struct {
	Service string `json:"service"`
	// Slots is the sum of the slots of all announced backend servers.
	Slots int `json:"slots"`
	// Out is the number of Slots of backend servers that are lost or draining. Ejected slots do not count.
	Out int `json:"out,omitempty"`
	// Effective is the number of slots in use now, after ramp, drain and ejection.
	Effective int `json:"effective"`
	// State is the text of a routing.State.
	State string `json:"state"`
	// Version is the version of the servers' software; empty where it is not known or differs.
	Version string `json:"version,omitempty"`
	// Load is the number of running and queued requests, rounded up to a power of two. It is for operators only:
	// entries use the load in responses.
	Load int `json:"load,omitempty"`
}

// maxRowSlots limits the slots of a row. It is above those of the 1,024 servers with 10,000 slots that a process accepts.
const maxRowSlots = 1 << 24

// decodeMetadata decodes the metadata of a member. Numbers out of range are replaced by the nearest valid ones: negative slots
// would lower the floor of the service for ejections.
func decodeMetadata(data []byte) (metadata, error) {
	var meta metadata
	if err := json.Unmarshal(data, &meta); err != nil {
		return metadata{}, err
	}
	for i := range meta.Rows {
		r := &meta.Rows[i]
		r.Slots = min(max(r.Slots, 0), maxRowSlots)
		r.Out = min(max(r.Out, 0), r.Slots)
		r.Effective = min(max(r.Effective, 0), maxRowSlots)
	}
	return meta, nil
}

// gossipEnvelope carries a packet and the address at which its sender receives packets.
type gossipEnvelope struct {
	From   string            `json:"from"`
	Packet membership.Packet `json:"packet"`
}

// gossip drives a membership.Node.
type gossip struct {
	clock  proxy.Clock
	client *rpc.Client
	log    *log.Logger
	queue  chan membership.Outgoing
	deps   *dependencies
	// datagrams sends short packets; nil if all packets are sent over connections.
	datagrams *rpc.Datagrams
	// wakeTicker makes the ticker check when the next Tick is due.
	wakeTicker chan struct{}
	// onNameTaken is called when a process that started later uses this process's name.
	onNameTaken func(address string)

	mu      sync.Mutex // guards the fields below
	node    *membership.Node
	ownMeta metadata
	// publishedMeta is the JSON encoding of ownMeta.
	publishedMeta []byte
	members       map[string]peerInfo // the other members, by name
	domains       map[string]string   // failure domains of the members, by IP address
	// changes counts the changes of members and of the process's own metadata.
	changes uint64
	// tickAt is the time for which the ticker is set.
	tickAt time.Duration
}

// peerInfo is a member with its decoded metadata.
type peerInfo struct {
	membership.Member
	meta metadata
	// receivedAt is when the metadata was received, on the process's clock.
	receivedAt time.Duration
}

func newGossip(self membership.Member, cfg membership.Config, clock proxy.Clock, client *rpc.Client, logger *log.Logger) *gossip {
	rnd := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &gossip{
		clock:  clock,
		client: client,
		log:    logger,
		queue:  make(chan membership.Outgoing, gossipQueueLength),

		wakeTicker: make(chan struct{}, 1),

		onNameTaken: func(string) {},
		node:        membership.New(self, cfg, rnd),
		members:     map[string]peerInfo{},
		domains:     map[string]string{},
	}
}

// start joins the fleet at the given addresses and starts the ticker and the senders, which run until the tomb dies.
func (g *gossip) start(t *tomb.Tomb, join []string) {
	g.mu.Lock()
	g.send(g.node.Join(g.clock(), join))
	g.mu.Unlock()
	t.Go(func() error { return g.tickWhenDue(t) })
	for range gossipWorkers {
		t.Go(func() error { return g.sendLoop(t) })
	}
	if g.datagrams == nil {
		return
	}
	t.Go(func() error {
		rpc.ReceiveDatagrams(g.datagrams, g.receiveEnvelope, g.logPanic)
		return nil
	})
	t.Go(func() error {
		<-t.Dying()
		g.datagrams.Close()
		return nil
	})
}

// setJoin replaces the addresses that are contacted to join the fleet.
func (g *gossip) setJoin(addresses []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.send(g.node.Join(g.clock(), addresses))
}

// tickWhenDue calls tick whenever the membership node has work to do, until the tomb dies. A fixed short interval would
// wake an idle process many times for each time that there is work.
func (g *gossip) tickWhenDue(t *tomb.Tomb) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			g.tick()
		case <-g.wakeTicker:
		case <-t.Dying():
			return nil
		}
		timer.Reset(g.untilTick())
	}
}

// untilTick returns the time until the next tick and records when that is.
func (g *gossip) untilTick() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock()
	g.tickAt = max(g.node.NextTick(), now+minGossipTick)
	return g.tickAt - now
}

// reschedule wakes the ticker if the next tick has become due earlier. The caller holds mu.
func (g *gossip) reschedule() {
	if g.node.NextTick() >= g.tickAt {
		return
	}
	select {
	case g.wakeTicker <- struct{}{}:
	default:
	}
}

func (g *gossip) tick() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.send(g.node.Tick(g.clock()))
	g.applyEvents()
}

// logPanic logs a panic of the handling of a packet.
func (g *gossip) logPanic(value any, stack []byte) {
	g.log.Error().Str("panic", fmt.Sprint(value)).Bytes("stack", stack).Msg("membership: could not handle a packet.")
}

// receive processes a packet that a peer sent over a connection.
func (g *gossip) receive(_ context.Context, _ string, e gossipEnvelope) (struct{}, error) {
	g.receiveEnvelope(e)
	return struct{}{}, nil
}

// receiveEnvelope processes a packet from a peer.
func (g *gossip) receiveEnvelope(e gossipEnvelope) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if address, found := g.newerProcess(e.Packet.Updates); found {
		g.onNameTaken(address)
		return
	}
	g.send(g.node.Receive(g.clock(), e.From, e.Packet))
	g.applyEvents()
	g.reschedule()
}

// place returns where the process with an IP address is.
func (g *gossip) place(ip string) rpc.Place {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch domain, known := g.domains[ip]; {
	case !known:
		return rpc.PlaceUnknown
	case domain == g.node.Self().Domain:
		return rpc.PlaceOwnDomain
	default:
		return rpc.PlaceOtherDomain
	}
}

// newerProcess returns the address of a process with this process's name and a higher incarnation, that is, one that
// started later. The older of two such processes must stop, because each would otherwise keep outdating what the other
// gossips about itself. The caller holds mu.
func (g *gossip) newerProcess(updates []membership.Update) (address string, found bool) {
	self := g.node.Self()
	for _, u := range updates {
		other := u.Name == self.Name && u.Address != self.Address
		if other && u.Status == membership.StatusAlive && u.Incarnation > self.Incarnation {
			return u.Address, true
		}
	}
	return "", false
}

// send queues packets and drops those that exceed the queue. The caller holds mu.
func (g *gossip) send(out []membership.Outgoing) {
	for _, o := range out {
		select {
		case g.queue <- o:
		default:
		}
	}
}

func (g *gossip) sendLoop(t *tomb.Tomb) error {
	self := g.self().Address
	for {
		select {
		case o := <-g.queue:
			envelope := gossipEnvelope{From: self, Packet: o.Packet}
			if g.datagrams != nil && g.datagrams.Send(o.To, methodGossip, envelope) {
				continue // the membership.Node notices a missing reply
			}
			ctx, cancel := context.WithTimeout(context.Background(), gossipSendTimeout)
			// Delivery is best effort; the membership.Node notices a missing reply.
			err := g.client.Notify(ctx, o.To, methodGossip, envelope)
			g.deps.recordResult(roleMember, o.To, err)
			cancel()
		case <-t.Dying():
			return nil
		}
	}
}

func (g *gossip) self() membership.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.node.Self()
}

// applyEvents updates the table of members. The caller holds mu.
func (g *gossip) applyEvents() {
	for _, e := range g.node.Events() {
		g.changes++
		if e.Kind == membership.EventRemoved {
			delete(g.members, e.Member.Name)
			continue
		}
		former, known := g.members[e.Member.Name]
		if !known || former.Status != e.Member.Status || former.Incarnation != e.Member.Incarnation {
			g.log.Info().Str("member", e.Member.Name).Str("address", e.Member.Address).
				Str("status", e.Member.Status.String()).Uint64("incarnation", e.Member.Incarnation).
				Msg("membership: member changed.")
		}
		g.updateMember(e.Member)
	}
}

// updateMember stores a member's new state. If its metadata cannot be decoded, the previous metadata stays in use. The
// caller holds mu.
func (g *gossip) updateMember(m membership.Member) {
	info := g.members[m.Name]
	changed := info.MetaVersion != m.MetaVersion || info.Incarnation != m.Incarnation
	info.Member = m
	if changed {
		if meta, err := decodeMetadata(m.Meta); err == nil {
			info.meta = meta
			info.receivedAt = g.clock()
		}
	}
	g.members[m.Name] = info
	if host, _, err := net.SplitHostPort(m.Address); err == nil {
		g.domains[host] = m.Domain
	}
}

// list returns this process and the other members that are not dead.
func (g *gossip) list() []peerInfo {
	g.mu.Lock()
	defer g.mu.Unlock()
	own := peerInfo{Member: g.node.Self(), meta: g.ownMeta, receivedAt: g.clock()}
	all := []peerInfo{own}
	for _, m := range g.members {
		if m.Name != own.Name && m.Status != membership.StatusDead {
			all = append(all, m)
		}
	}
	return all
}

// changeCount returns a number that grows with each change of members or of the process's own metadata.
func (g *gossip) changeCount() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.changes
}

// member returns one member by name.
func (g *gossip) member(name string) (peerInfo, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if self := g.node.Self(); self.Name == name {
		return peerInfo{Member: self, meta: g.ownMeta, receivedAt: g.clock()}, true
	}
	m, ok := g.members[name]
	return m, ok
}

// setMeta replaces the process's own metadata. An urgent change is gossiped at once. Any other waits for the minimum
// interval between metadata updates, which limits gossip in a large fleet.
func (g *gossip) setMeta(meta metadata, urgent bool) error {
	data, err := json.Marshal(meta)
	if err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ownMeta = meta
	if bytes.Equal(data, g.publishedMeta) {
		return nil
	}
	if err := g.node.SetMeta(data); err != nil {
		return err
	}
	g.publishedMeta = data
	g.changes++
	if urgent {
		g.node.PublishMeta()
	}
	g.reschedule()
	return nil
}

// setRoster passes the roster of the fleet state to the membership node.
func (g *gossip) setRoster(entries []membership.RosterEntry) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.node.SetRoster(entries)
}

// setVersion sets the version of the fleet state that this process runs. It returns for how long the process knew of
// a newer version than the one that it ran before; 0 if it did not.
func (g *gossip) setVersion(version uint64) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock()
	lag := g.node.VersionLag(now)
	g.node.SetConfigVersion(version, now)
	return lag
}

// observeHeartbeat passes on a heartbeat from the reply to a fetch. sentAt is when the fetch was sent, on the
// process's clock.
func (g *gossip) observeHeartbeat(h membership.LeaderHeartbeat, sentAt time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.node.ObserveHeartbeat(h, sentAt, g.clock())
}

// denial returns why this process may not admit requests on open routes while it runs version.
func (g *gossip) denial(version uint64) membership.Denial {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.node.Denial(g.clock(), version)
}

// leave announces to the peers that this process is stopping.
func (g *gossip) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.send(g.node.Leave(g.clock()))
}

// spawn runs f in a goroutine of the tomb. Once the tomb is dying it does nothing and returns false, because Go on a
// tomb whose last goroutine has ended panics.
func spawn(t *tomb.Tomb, f func()) bool {
	if !t.Alive() {
		return false
	}
	t.Go(func() error {
		f()
		return nil
	})
	return true
}

// every calls f at an interval until the tomb dies.
func every(t *tomb.Tomb, interval time.Duration, f func()) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			f()
		case <-t.Dying():
			return nil
		}
	}
}
