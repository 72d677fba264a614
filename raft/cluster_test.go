package raft

import (
	"flag"
	"fmt"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Tests use a fixed seed and size by default. The flags -rapid.seed, -rapid.checks and -rapid.steps select another seed
// or a longer run.
func init() {
	for name, value := range map[string]string{"seed": "1", "checks": "400", "steps": "100", "nofailfile": "true"} {
		_ = flag.Set("rapid."+name, value)
	}
}

// disk is the state that a member has synced.
type disk struct {
	hs       HardState
	snapshot Snapshot
	entries  []Entry
}

// save stores the parts of a Ready in the order and by the rules that Ready documents.
func (d *disk) save(r Ready) {
	if r.HardState != nil {
		d.hs = *r.HardState
	}
	if len(r.Entries) > 0 {
		keep := r.Entries[0].Index - d.snapshot.Index - 1
		d.entries = append(slices.Clone(d.entries[:keep]), r.Entries...)
	}
	if r.Snapshot != nil {
		d.saveSnapshot(*r.Snapshot)
	}
}

func (d *disk) saveSnapshot(s Snapshot) {
	at := slices.IndexFunc(d.entries, func(e Entry) bool { return e.Index == s.Index && e.Term == s.Term })
	d.entries = slices.Clone(d.entries[at+1:])
	if at < 0 {
		d.entries = nil
	}
	d.snapshot = s
}

// registerMachine is the replicated state machine. Its state is a hash of all applied commands and the last command.
type registerMachine struct {
	index uint64
	hash  uint64
	value string
}

func (s *registerMachine) apply(e Entry) {
	s.index = e.Index
	if e.Kind != EntryCommand || len(e.Data) == 0 {
		return
	}
	h := fnv.New64a()
	fmt.Fprintf(h, "%d %s", s.hash, e.Data)
	s.hash, s.value = h.Sum64(), string(e.Data)
}

func (s *registerMachine) encode() []byte { return fmt.Appendf(nil, "%d %s", s.hash, s.value) }

func (s *registerMachine) restore(snap Snapshot) {
	*s = registerMachine{index: snap.Index}
	_, _ = fmt.Sscanf(string(snap.Data), "%d %s", &s.hash, &s.value)
}

type member struct {
	id    ID
	node  *Node // nil while down
	disk  disk
	state registerMachine
	ready *Ready      // synced, Advance not called yet
	reads []ReadState // confirmed, their index not applied yet
}

type link struct{ from, to ID }

// cluster runs the members of one group over a network that the test controls.
type cluster struct {
	t         rapid.TB
	rnd       *rand.Rand
	members   map[ID]*member
	inTransit []Message
	blocked   map[link]bool
	paused    map[ID]bool
	oracle    *oracle
	// lockstep is set if the clocks of all members run at the same speed, so that no other leader may be elected during a
	// valid lease.
	lockstep bool
	// noLease is the setting of the members.
	noLease         bool
	rejectedAppends int
	// droppedAppends is the number of append messages that were not delivered.
	droppedAppends int
}

func newCluster(t rapid.TB, seed uint64, voters ...ID) *cluster {
	return newClusterWith(t, seed, false, voters...)
}

func newClusterWith(t rapid.TB, seed uint64, noLease bool, voters ...ID) *cluster {
	c := &cluster{
		t: t, noLease: noLease, rnd: rand.New(rand.NewPCG(seed, 1)),
		members: map[ID]*member{}, blocked: map[link]bool{}, paused: map[ID]bool{}, oracle: newOracle(t),
	}
	for _, id := range voters {
		boot := Bootstrap(voters)
		c.start(&member{id: id, disk: disk{hs: boot.HardState, snapshot: boot.Snapshot}})
	}
	return c
}

// add starts a member with an empty log, which must then be added as a learner.
func (c *cluster) add(id ID) { c.start(&member{id: id}) }

func (c *cluster) start(m *member) {
	node, err := New(Config{
		ID: m.id, ElectionTicks: 6, HeartbeatTicks: 1, MaxAppendBytes: 120, MaxInflight: 3, RetainedEntries: 2, NoLease: c.noLease,
		Rand: rand.New(rand.NewPCG(c.rnd.Uint64(), 2)),
	}, PersistentState{HardState: m.disk.hs, Snapshot: m.disk.snapshot, Entries: m.disk.entries})
	if err != nil {
		c.t.Fatalf("restart of %d: %v", m.id, err)
	}
	m.node, m.ready, m.reads = node, nil, nil
	m.state.restore(m.disk.snapshot)
	c.members[m.id] = m
}

func (c *cluster) crash(id ID)   { c.members[id].node = nil }
func (c *cluster) restart(id ID) { c.start(c.members[id]) }

// ids returns the running members in ascending order.
func (c *cluster) ids() []ID {
	ids := slices.Sorted(maps.Keys(c.members))
	return slices.DeleteFunc(ids, func(id ID) bool { return c.members[id].node == nil })
}

// active returns the running members that are not paused, in ascending order.
func (c *cluster) active() []ID {
	return slices.DeleteFunc(c.ids(), func(id ID) bool { return c.paused[id] })
}

// syncReady fetches a member's Ready, if there is one, and syncs it. completeReady does the rest of the work. Messages
// may be delivered to the member between the two calls.
func (c *cluster) syncReady(m *member) bool {
	r, ok := m.node.Ready()
	if ok {
		m.disk.save(r)
		m.ready = &r
		c.oracle.observe(m)
	}
	return ok
}

func (c *cluster) completeReady(m *member) {
	r := m.ready
	if r == nil {
		return
	}
	m.ready = nil
	c.inTransit = append(c.inTransit, r.Messages...)
	if r.Snapshot != nil {
		c.oracle.snapshots++
		m.state.restore(*r.Snapshot)
		c.oracle.applied(m)
	}
	for _, e := range r.Committed {
		m.state.apply(e)
		c.oracle.committed(m, e)
	}
	c.oracle.reads(m, *r)
	m.node.Advance()
}

func (c *cluster) drain(m *member) {
	c.completeReady(m)
	for c.syncReady(m) {
		c.completeReady(m)
	}
}

// deliver removes message i from the network and passes it to its receiver, unless the receiver is not running or paused
// or the link is blocked.
func (c *cluster) deliver(i int) {
	msg := c.inTransit[i]
	c.inTransit = slices.Delete(c.inTransit, i, i+1)
	to := c.members[msg.To]
	if to == nil || to.node == nil || c.paused[msg.To] || c.blocked[link{msg.From, msg.To}] {
		if msg.Kind == MessageAppend {
			c.droppedAppends++
		}
		return
	}
	if err := to.node.Step(msg); err != nil {
		c.oracle.stepFailed(msg, err)
	}
	c.oracle.observe(to)
	for _, id := range c.ids() {
		other := c.members[id].node
		if c.lockstep && to.node.role == Leader && other.leaseValid() && other.term < to.node.term {
			c.t.Fatalf("%d leads in term %d while %d has a lease in term %d", msg.To, to.node.term, id, other.term)
		}
	}
	if msg.Kind == MessageAppendReply && msg.Reject {
		c.rejectedAppends++
	}
}

// runUntilIdle delivers messages in order until none is left.
func (c *cluster) runUntilIdle() {
	for busy := true; busy; {
		busy = false
		for _, id := range c.active() {
			c.drain(c.members[id])
		}
		for len(c.inTransit) > 0 {
			c.deliver(0)
			busy = true
		}
	}
}

// run ticks all active members n times and delivers all messages after each tick.
func (c *cluster) run(n int) {
	for range n {
		for _, id := range c.active() {
			c.members[id].node.Tick()
		}
		c.runUntilIdle()
	}
}

// leader returns the running leader with the highest term, or nil if there is none.
func (c *cluster) leader() *member {
	var best *member
	for _, id := range c.ids() {
		if m := c.members[id]; isLeader(m) && (best == nil || m.node.term > best.node.term) {
			best = m
		}
	}
	return best
}

// elect runs the cluster until there is a leader, and returns it.
func (c *cluster) elect() *member {
	c.t.Helper()
	for range 100 {
		if m := c.leader(); m != nil {
			return m
		}
		c.run(1)
	}
	c.t.Fatalf("no leader after 100 ticks")
	return nil
}

func (c *cluster) propose(m *member, data string) uint64 {
	c.t.Helper()
	index, term, err := m.node.Propose([]byte(data))
	if err != nil {
		c.t.Fatalf("propose on %d: %v", m.id, err)
	}
	c.oracle.writeStarted(index, term, data)
	return index
}

// compact saves a snapshot of the applied state and compacts the log up to it.
func (c *cluster) compact(m *member) {
	s, err := m.node.SnapshotAt(m.state.index, m.state.encode())
	if err == nil {
		m.disk.saveSnapshot(s)
		err = m.node.Compact(s)
	}
	if err != nil {
		c.t.Fatalf("compact on %d: %v", m.id, err)
	}
}

// TestElectAndReplicate guards against a group that elects no leader or does not apply proposals on all members.
func TestElectAndReplicate(t *testing.T) {
	for _, voters := range [][]ID{{1}, {1, 2, 3}, {1, 2, 3, 4, 5}} {
		c := newCluster(t, 1, voters...)
		leader := c.elect()
		for i := range 20 {
			c.propose(leader, fmt.Sprintf("v%d", i))
		}
		c.run(2)
		for _, id := range c.ids() {
			assert.Equal(t, c.members[id].state.value, "v19")
		}
	}
}
