package raft

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// founders is the number of voters at the start.
const founders = 3

// fuzzer drives a cluster with random faults. lost holds members whose disk is gone.
type fuzzer struct {
	*cluster
	lost    map[ID]bool
	nextID  ID
	counter int
	seen    map[string]int
}

func newFuzzer(t *rapid.T, seen map[string]int) *fuzzer {
	seed := rapid.Uint64().Draw(t, "seed")
	f := &fuzzer{newCluster(t, seed, 1, 2, 3), map[ID]bool{}, founders + 1, 0, seen}
	f.add(f.nextID)
	f.nextID++
	return f
}

// pick draws an element; the action is skipped without one.
func pick[T any](t *rapid.T, list []T) T {
	if len(list) == 0 {
		t.Skip("nothing to pick")
	}
	return list[rapid.IntRange(0, len(list)-1).Draw(t, "i")]
}

// any draws a running member for which ok holds.
func (f *fuzzer) any(t *rapid.T, ok func(m *member) bool) *member {
	ids := slices.DeleteFunc(f.ids(), func(id ID) bool { return !ok(f.members[id]) })
	return f.members[pick(t, ids)]
}

func up(*member) bool           { return true }
func leading(m *member) bool    { return m.node.role == Leader }
func hasReady(m *member) bool   { return m.ready != nil }
func isIdle(m *member) bool     { return m.ready == nil }
func canCompact(m *member) bool { return isIdle(m) && m.state.index > m.node.log.snapshot.Index }

func (f *fuzzer) tick(t *rapid.T) {
	m := f.any(t, up)
	for range rapid.IntRange(1, 15).Draw(t, "clock jump") {
		m.node.Tick()
	}
	f.oracle.observe(m)
}

// step lets some time pass for all members, with messages lost, doubled and reordered.
func (f *fuzzer) step(t *rapid.T) {
	loss := rapid.IntRange(0, 3).Draw(t, "loss in eighths")
	for range rapid.IntRange(1, 12).Draw(t, "rounds") {
		for _, id := range f.active() {
			f.members[id].node.Tick()
			f.drain(f.members[id])
		}
		for n := len(f.net); n > 0 && len(f.net) > 0; n-- {
			i := f.rnd.IntN(len(f.net))
			switch fate := f.rnd.IntN(16); {
			case fate < loss*2:
				f.net = slices.Delete(f.net, i, i+1)
			case fate == 15 && len(f.net) < 200:
				f.net = append(f.net, f.net[i])
			case fate < 13 || loss == 0:
				f.deliver(i)
			}
		}
	}
}

func (f *fuzzer) deliverSome(t *rapid.T) {
	for range min(len(f.net), rapid.IntRange(1, 10).Draw(t, "messages")) {
		f.deliver(rapid.IntRange(0, len(f.net)-1).Draw(t, "message"))
	}
}

func (f *fuzzer) takeReady(t *rapid.T)   { f.take(f.any(t, isIdle)) }
func (f *fuzzer) finishReady(t *rapid.T) { f.finish(f.any(t, hasReady)) }

func (f *fuzzer) write(t *rapid.T) {
	m := f.any(t, leading)
	for range rapid.IntRange(1, 12).Draw(t, "proposals") {
		f.writeOne(m)
	}
}

func (f *fuzzer) writeOne(m *member) {
	f.counter++
	data := fmt.Sprintf("v%d", f.counter)
	if index, term, err := m.node.Propose([]byte(data)); err == nil {
		f.oracle.writeStarted(index, term, data)
	}
}

// writeFew keeps the number of concurrent calls small, since the time to check a history grows exponentially with it.
func (f *fuzzer) writeFew(t *rapid.T) {
	if len(f.oracle.writes) > 4 {
		t.Skip("enough calls")
	}
	f.writeOne(f.any(t, leading))
}

func (f *fuzzer) read(t *rapid.T) {
	m := f.any(t, leading)
	f.counter++
	f.oracle.readStarted(uint64(f.counter))
	_ = m.node.Read(uint64(f.counter))
}

func (f *fuzzer) block(t *rapid.T) {
	a, b := pick(t, f.ids()), pick(t, f.ids())
	f.blocked[link{a, b}] = true
	if rapid.Bool().Draw(t, "isolate") {
		for id := range f.members {
			f.blocked[link{a, id}] = true
		}
	}
}

// pause stops a member's clock and cuts it off, as a frozen process does. Its clients may go on.
func (f *fuzzer) pause(t *rapid.T) { f.paused[f.any(t, up).id] = true }

func (f *fuzzer) heal(*rapid.T) {
	clear(f.blocked)
	clear(f.paused)
}

// crashMember stops a member anywhere between two steps of the driver; part of an unfinished sync may survive.
func (f *fuzzer) crashMember(t *rapid.T) {
	m := f.any(t, up)
	if m.ready != nil {
		sent := rapid.IntRange(0, len(m.ready.Messages)).Draw(t, "sent")
		f.net = append(f.net, m.ready.Messages[:sent]...)
	} else if r, ok := m.node.Ready(); ok && r.Snapshot == nil {
		r.Entries = r.Entries[:rapid.IntRange(0, len(r.Entries)).Draw(t, "synced")]
		m.disk.save(r)
	}
	f.crash(m.id)
}

func (f *fuzzer) down() []ID {
	ids := slices.Sorted(maps.Keys(f.members))
	return slices.DeleteFunc(ids, func(id ID) bool { return f.members[id].node != nil })
}

func (f *fuzzer) restartMember(t *rapid.T) { f.restart(pick(t, f.down())) }

// loseDisk empties a member's disk. A VM normally returns under a new ID; a founding voter may also return under its
// own ID by mistake and must then stay silent.
func (f *fuzzer) loseDisk(t *rapid.T) {
	m := f.any(t, func(m *member) bool { return len(f.lost) < 2 && !f.lost[m.id] })
	f.lost[m.id] = true
	f.crash(m.id)
	delete(f.members, m.id)
	if m.id <= founders && rapid.Bool().Draw(t, "same ID") {
		f.add(m.id)
		return
	}
	f.add(f.nextID)
	f.nextID++
}

// calm lets the members that are not paused work without faults for a while.
func (f *fuzzer) calm(t *rapid.T) {
	clear(f.blocked)
	f.run(rapid.IntRange(1, 15).Draw(t, "ticks"))
}

func (f *fuzzer) change(t *rapid.T) {
	m := f.any(t, leading)
	now := m.node.membership()
	kind := pick(t, []ChangeKind{AddLearner, PromoteLearner, RemoveMember})
	candidates := now.Members()
	switch kind {
	case AddLearner:
		candidates = slices.DeleteFunc(f.ids(), func(id ID) bool { return id <= founders || now.Contains(id) })
	case PromoteLearner:
		candidates = now.Learners
	}
	if _, err := m.node.ChangeMembership(MemberChange{Kind: kind, ID: pick(t, candidates)}); err == nil {
		f.seen[fmt.Sprintf("change %d", kind)]++
	}
}

func (f *fuzzer) transfer(t *rapid.T) {
	m := f.any(t, leading)
	_ = m.node.TransferLeadership(pick(t, m.node.membership().Voters))
}

func (f *fuzzer) compactSome(t *rapid.T) { f.compact(f.any(t, canCompact)) }

// recovers reports whether every member's membership has a quorum of voters that kept their disks.
func (f *fuzzer) recovers() bool {
	for _, m := range f.members {
		now := m.node.membership()
		kept := slices.DeleteFunc(slices.Clone(now.Voters), func(id ID) bool { return f.lost[id] })
		if !m.node.isEmpty() && len(kept) < now.Quorum() {
			return false
		}
	}
	return true
}

// settleAndWrite ends all faults; the group must then accept a write and bring it to every member.
func (f *fuzzer) settleAndWrite(t *rapid.T) {
	f.heal(t)
	for _, id := range f.down() {
		f.restart(id)
	}
	if !f.recovers() {
		return
	}
	f.run(60)
	leader := f.elect()
	index := f.propose(leader, "last")
	f.run(20)
	for _, id := range leader.node.membership().Members() {
		if m := f.members[id]; !f.lost[id] && m.state.index < index {
			t.Fatalf("member %d applied %d, the group %d: %+v", id, m.state.index, index, leader.node.Status())
		}
	}
	f.seen["recovered"]++
}

// Guards against two leaders in a term, lost acknowledged writes, diverging states, stale reads, and a group that does
// not recover after faults.
func TestFuzzGroup(t *testing.T) {
	seen := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		f := newFuzzer(t, seen)
		t.Repeat(map[string]func(*rapid.T){
			"tick": f.tick, "step": f.step, "step more": f.step, "calm": f.calm, "calm more": f.calm,
			"deliver": f.deliverSome, "take": f.takeReady, "finish": f.finishReady,
			"write": f.write, "write more": f.write, "read": f.read, "compact": f.compactSome,
			"block": f.block, "pause": f.pause, "heal": f.heal,
			"crash": f.crashMember, "restart": f.restartMember, "restart more": f.restartMember,
			"lose disk": f.loseDisk, "change": f.change, "change more": f.change, "transfer": f.transfer,
		})
		f.settleAndWrite(t)
		seen["acked"] += int(f.oracle.acked)
		seen["calls"] += len(f.oracle.history)
		seen["snapshots"] += f.oracle.snapshots
		seen["terms"] += len(f.oracle.leaders)
	})
	t.Log(seen)
	assert.Equal(t, len(seen), 8)
	for kind, n := range seen {
		assert.Check(t, n > 20, "the run is too calm: %s %d", kind, n)
	}
}

// Guards against reads and writes of a register that fit no single order.
func TestRegisterHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFuzzer(t, map[string]int{})
		t.Repeat(map[string]func(*rapid.T){
			"tick": f.tick, "step": f.step, "calm": f.calm, "deliver": f.deliverSome, "finish": f.finishReady,
			"take": f.takeReady, "write": f.writeFew, "read": f.read, "read more": f.read, "compact": f.compactSome,
			"block": f.block, "pause": f.pause, "heal": f.heal, "crash": f.crashMember, "restart": f.restartMember,
		})
		f.settleAndWrite(t)
		f.oracle.checkHistory()
	})
}

// Guards against a lease that is still valid when another leader is elected. All clocks run at the same speed here.
func TestLease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFuzzer(t, map[string]int{})
		f.lockstep = true
		t.Repeat(map[string]func(*rapid.T){
			"step": f.step, "step more": f.step, "calm": f.calm, "deliver": f.deliverSome, "write": f.write,
			"block": f.block, "heal": f.heal, "crash": f.crashMember, "restart": f.restartMember, "transfer": f.transfer,
			"restart more": f.restartMember, "change": f.change,
		})
	})
}
