package node

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
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
	// gossipTick is the time between two calls of membership.Node.Tick.
	gossipTick = 25 * time.Millisecond
	// gossipWorkers is the number of packets that are sent at once; a packet to a dead address occupies one.
	gossipWorkers = 16
	// gossipQueue bounds the packets that wait for a worker; more are dropped, as a network would.
	gossipQueueLength = 1024
	// gossipSendTimeout bounds sending one packet.
	gossipSendTimeout = 500 * time.Millisecond
)

// metadata is what this process gossips about itself. It holds only what changes rarely: load travels with answers and
// digests go to the gates of the same service, so that gossip stays small in a large fleet.
type metadata struct {
	Rows []serviceRow `json:"rows,omitempty"`
	// Control and Records are this process's member ids in the two groups; 0 without the control role.
	Control raft.ID `json:"control,omitempty"`
	Records raft.ID `json:"records,omitempty"`
	// Admin is the admin listener's address; only processes with the control role tell it.
	Admin string `json:"admin,omitempty"`
}

// row describes the backend servers of one service on one VM.
type serviceRow struct {
	Service string `json:"service"`
	// Slots is the sum of the slots of all announced backend servers.
	Slots int `json:"slots"`
	// Out is the part of Slots that is lost or draining; ejected slots are not counted in it.
	Out int `json:"out,omitempty"`
	// Effective is the capacity in use now, after ramp, drain and ejection.
	Effective int `json:"effective"`
	// State is the text of a routing.State.
	State string `json:"state"`
	// Load is the number of running and queued requests, in coarse steps, for operators. Entries go by the load in
	// answers.
	Load int `json:"load,omitempty"`
}

// envelope carries a packet and the address at which its sender takes packets.
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
	// nameTaken is called when another process uses this one's name.
	onNameTaken func(address string)

	mu      sync.Mutex // guards the fields below
	node    *membership.Node
	ownMeta metadata
	// published is the encoded form of own.
	publishedMeta []byte
	members       map[string]peerInfo // the other members
	// changes counts the changes of members and of the own metadata.
	changes uint64
}

// peerInfo is a member with its decoded metadata.
type peerInfo struct {
	membership.Member
	meta metadata
	// at is when the metadata was received.
	receivedAt time.Duration
}

func newGossip(self membership.Member, cfg membership.Config, clock proxy.Clock, client *rpc.Client, logger *log.Logger) *gossip {
	rnd := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &gossip{
		clock:  clock,
		client: client,
		log:    logger,
		queue:  make(chan membership.Outgoing, gossipQueueLength),

		onNameTaken: func(string) {},
		node:        membership.New(self, cfg, rnd),
		members:     map[string]peerInfo{},
	}
}

// start runs the ticker and the senders until the tomb dies.
func (g *gossip) start(t *tomb.Tomb, join []string) {
	g.mu.Lock()
	g.send(g.node.Join(g.clock(), join))
	g.mu.Unlock()
	t.Go(func() error { return every(t, gossipTick, g.tick) })
	for range gossipWorkers {
		t.Go(func() error { return g.sendLoop(t) })
	}
}

// setJoin replaces the addresses of other processes.
func (g *gossip) setJoin(addresses []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.send(g.node.Join(g.clock(), addresses))
}

func (g *gossip) tick() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.send(g.node.Tick(g.clock()))
	g.applyEvents()
}

// receive handles a packet of a peer.
func (g *gossip) receive(_ context.Context, _ string, e gossipEnvelope) (struct{}, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if address, found := g.newerProcess(e.Packet.Updates); found {
		g.onNameTaken(address)
		return struct{}{}, nil
	}
	g.send(g.node.Receive(g.clock(), e.From, e.Packet))
	g.applyEvents()
	return struct{}{}, nil
}

// successor returns the address of a process that started later under this one's name. Of two such processes the older
// one must stop: both would go on to outdate each other's claims. The caller holds mu.
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

// send queues packets. The caller holds mu.
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
			ctx, cancel := context.WithTimeout(context.Background(), gossipSendTimeout)
			// Delivery is best effort; the membership module notices the missing answer.
			err := g.client.Notify(ctx, o.To, methodGossip, gossipEnvelope{From: self, Packet: o.Packet})
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

// takeEvents updates the table of members. The caller holds mu.
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

// update takes over a member. Metadata that cannot be decoded leaves the former rows in use. The caller holds mu.
func (g *gossip) updateMember(m membership.Member) {
	info := g.members[m.Name]
	changed := info.MetaVersion != m.MetaVersion || info.Incarnation != m.Incarnation
	info.Member = m
	if changed {
		var meta metadata
		if err := json.Unmarshal(m.Meta, &meta); err == nil {
			info.meta = meta
			info.receivedAt = g.clock()
		}
	}
	g.members[m.Name] = info
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

// changeCount grows with each change of what list returns.
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

// setMeta replaces the own metadata. An urgent change is gossiped at once; others wait for the interval that bounds the
// gossip of a large fleet.
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
	return nil
}

// setRoster passes on the roster of the fleet state.
func (g *gossip) setRoster(entries []membership.RosterEntry) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.node.SetRoster(entries)
}

// setVersion tells which version this process runs.
func (g *gossip) setVersion(version uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.node.SetConfigVersion(version, g.clock())
}

// observeBeat takes over a beat from an answer of control to a question sent at asked.
func (g *gossip) observeBeat(b membership.Beat, asked time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.node.ObserveBeat(b, asked, g.clock())
}

// denial tells why this process may not admit requests on open routes while it runs version.
func (g *gossip) denial(version uint64) membership.Denial {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.node.Denial(g.clock(), version)
}

// leave tells the peers that this process stops.
func (g *gossip) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.send(g.node.Leave(g.clock()))
}

// spawn runs f in a goroutine of the tomb. It does nothing and returns false once the tomb is dying: a tomb takes no
// goroutines when its last one has ended.
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
