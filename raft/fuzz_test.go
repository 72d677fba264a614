package raft

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// initialVoters is the number of voters in the new group. They have the IDs 1 to initialVoters.
const initialVoters = 3

// fuzzer drives a cluster with random operations and faults. lost holds the members that lost their disks; counts holds
// the number of operations and events of each kind over all runs of a test.
type fuzzer struct {
	*cluster
	lost    map[ID]bool
	nextID  ID
	counter int
	counts  map[string]int
}

func newFuzzer(t *rapid.T, counts map[string]int, noLease bool) *fuzzer {
	seed := rapid.Uint64().Draw(t, "seed")
	f := &fuzzer{newClusterWith(t, seed, noLease, 1, 2, 3), map[ID]bool{}, initialVoters + 1, 0, counts}
	f.add(f.nextID)
	f.nextID++
	return f
}

// pick draws an element of the list. It skips the action if the list is empty.
func pick[T any](t *rapid.T, list []T) T {
	if len(list) == 0 {
		t.Skip("nothing to pick")
	}
	return list[rapid.IntRange(0, len(list)-1).Draw(t, "i")]
}

// any draws a running member for which ok returns true.
func (f *fuzzer) any(t *rapid.T, ok func(m *member) bool) *member {
	ids := slices.DeleteFunc(f.ids(), func(id ID) bool { return !ok(f.members[id]) })
	return f.members[pick(t, ids)]
}

func isUp(*member) bool         { return true }
func isLeader(m *member) bool   { return m.node.role == Leader }
func hasReady(m *member) bool   { return m.ready != nil }
func isIdle(m *member) bool     { return m.ready == nil }
func canCompact(m *member) bool { return isIdle(m) && m.state.index > m.node.log.snapshot.Index }

func (f *fuzzer) tick(t *rapid.T) {
	m := f.any(t, isUp)
	for range rapid.IntRange(1, 15).Draw(t, "clock jump") {
		m.node.Tick()
	}
	f.oracle.observe(m)
}

// step runs all members for a few ticks while messages are lost, duplicated and reordered.
func (f *fuzzer) step(t *rapid.T) {
	loss := rapid.IntRange(0, 3).Draw(t, "loss in eighths")
	for range rapid.IntRange(1, 12).Draw(t, "rounds") {
		for _, id := range f.active() {
			f.members[id].node.Tick()
			f.drain(f.members[id])
		}
		for n := len(f.inTransit); n > 0 && len(f.inTransit) > 0; n-- {
			i := f.rnd.IntN(len(f.inTransit))
			switch fate := f.rnd.IntN(16); {
			case fate < loss*2:
				f.inTransit = slices.Delete(f.inTransit, i, i+1)
			case fate == 15 && len(f.inTransit) < 200:
				f.inTransit = append(f.inTransit, f.inTransit[i])
			case fate < 13 || loss == 0:
				f.deliver(i)
			}
		}
	}
}

func (f *fuzzer) deliverSome(t *rapid.T) {
	for range min(len(f.inTransit), rapid.IntRange(1, 10).Draw(t, "messages")) {
		f.deliver(rapid.IntRange(0, len(f.inTransit)-1).Draw(t, "message"))
	}
}

func (f *fuzzer) takeReady(t *rapid.T)   { f.syncReady(f.any(t, isIdle)) }
func (f *fuzzer) finishReady(t *rapid.T) { f.completeReady(f.any(t, hasReady)) }

func (f *fuzzer) write(t *rapid.T) {
	m := f.any(t, isLeader)
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

// writeFew limits the number of concurrent calls, because the time to check a history grows exponentially with it.
func (f *fuzzer) writeFew(t *rapid.T) {
	if len(f.oracle.writes) > 4 {
		t.Skip("enough calls")
	}
	f.writeOne(f.any(t, isLeader))
}

func (f *fuzzer) read(t *rapid.T) {
	m := f.any(t, isLeader)
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

// pause stops a member's clock and the delivery of messages to it, as for a suspended process. Clients may still call
// it.
func (f *fuzzer) pause(t *rapid.T) { f.paused[f.any(t, isUp).id] = true }

func (f *fuzzer) heal(*rapid.T) {
	clear(f.blocked)
	clear(f.paused)
}

// crashMember stops a member at any point while it handles a Ready. A part of the messages may have been sent, or a part
// of the entries may have been synced.
func (f *fuzzer) crashMember(t *rapid.T) {
	m := f.any(t, isUp)
	if m.ready != nil {
		sent := rapid.IntRange(0, len(m.ready.Messages)).Draw(t, "sent")
		f.inTransit = append(f.inTransit, m.ready.Messages[:sent]...)
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

// loseDisk deletes a member's disk. The member normally returns under a new ID. An initial voter may also return under
// its old ID by mistake. It must then neither vote nor count for a commit or a read.
func (f *fuzzer) loseDisk(t *rapid.T) {
	m := f.any(t, func(m *member) bool { return len(f.lost) < 2 && !f.lost[m.id] })
	f.lost[m.id] = true
	f.crash(m.id)
	delete(f.members, m.id)
	if m.id <= initialVoters && rapid.Bool().Draw(t, "same ID") {
		f.add(m.id)
		return
	}
	f.add(f.nextID)
	f.nextID++
}

// runWithoutFaults unblocks all links and runs the members that are not paused for some ticks with a reliable network.
func (f *fuzzer) runWithoutFaults(t *rapid.T) {
	clear(f.blocked)
	f.run(rapid.IntRange(1, 15).Draw(t, "ticks"))
}

func (f *fuzzer) change(t *rapid.T) {
	m := f.any(t, isLeader)
	now := m.node.membership()
	kind := pick(t, []ChangeKind{AddLearner, PromoteLearner, RemoveMember})
	candidates := now.Members()
	switch kind {
	case AddLearner:
		candidates = slices.DeleteFunc(f.ids(), func(id ID) bool { return id <= initialVoters || now.Contains(id) })
	case PromoteLearner:
		candidates = now.Learners
	}
	if _, err := m.node.ChangeMembership(MemberChange{Kind: kind, ID: pick(t, candidates)}); err == nil {
		f.counts[fmt.Sprintf("change %d", kind)]++
	}
}

func (f *fuzzer) transfer(t *rapid.T) {
	m := f.any(t, isLeader)
	_ = m.node.TransferLeadership(pick(t, m.node.membership().Voters))
}

func (f *fuzzer) compactSome(t *rapid.T) { f.compact(f.any(t, canCompact)) }

// hasIntactQuorum reports whether the membership that each member knows has a quorum of voters that kept their disks.
func (f *fuzzer) hasIntactQuorum() bool {
	for _, m := range f.members {
		now := m.node.membership()
		kept := slices.DeleteFunc(slices.Clone(now.Voters), func(id ID) bool { return f.lost[id] })
		if !m.node.hasEmptyLog() && len(kept) < now.Quorum() {
			return false
		}
	}
	return true
}

// recoverAndWrite ends all faults. If enough voters kept their disks, the group must then accept a write and replicate
// it to every member.
func (f *fuzzer) recoverAndWrite(t *rapid.T) {
	f.heal(t)
	for _, id := range f.down() {
		f.restart(id)
	}
	if !f.hasIntactQuorum() {
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
	f.counts["recovered"]++
}

// TestFuzzGroup guards against two leaders in one term, the loss of acknowledged writes, diverging states, stale reads,
// and a group that does not recover once all faults have ended.
func TestFuzzGroup(t *testing.T) {
	counts := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		f := newFuzzer(t, counts, rapid.Bool().Draw(t, "no lease"))
		t.Repeat(map[string]func(*rapid.T){
			"tick": f.tick, "step": f.step, "step more": f.step, "calm": f.runWithoutFaults, "calm more": f.runWithoutFaults,
			"deliver": f.deliverSome, "take": f.takeReady, "finish": f.finishReady,
			"write": f.write, "write more": f.write, "read": f.read, "compact": f.compactSome,
			"block": f.block, "pause": f.pause, "heal": f.heal,
			"crash": f.crashMember, "restart": f.restartMember, "restart more": f.restartMember,
			"lose disk": f.loseDisk, "change": f.change, "change more": f.change, "transfer": f.transfer,
		})
		f.recoverAndWrite(t)
		counts["acked"] += int(f.oracle.maxApplied)
		counts["calls"] += len(f.oracle.history)
		counts["snapshots"] += f.oracle.snapshots
		counts["terms"] += len(f.oracle.leaders)
	})
	t.Log(counts)
	assert.Equal(t, len(counts), 8)
	for kind, n := range counts {
		assert.Check(t, n > 20, "too few events of kind %q: %d", kind, n)
	}
}

// TestRegisterHistories guards against reads and writes of a register that are not linearizable.
func TestRegisterHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFuzzer(t, map[string]int{}, rapid.Bool().Draw(t, "no lease"))
		t.Repeat(map[string]func(*rapid.T){
			"tick": f.tick, "step": f.step, "calm": f.runWithoutFaults, "deliver": f.deliverSome, "finish": f.finishReady,
			"take": f.takeReady, "write": f.writeFew, "read": f.read, "read more": f.read, "compact": f.compactSome,
			"block": f.block, "pause": f.pause, "heal": f.heal, "crash": f.crashMember, "restart": f.restartMember,
		})
		f.recoverAndWrite(t)
		f.oracle.checkHistory()
	})
}

// TestLease guards against a lease that is still valid when another leader is elected. All clocks run at the same
// speed, which leases rely on.
func TestLease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFuzzer(t, map[string]int{}, false)
		f.lockstep = true
		t.Repeat(map[string]func(*rapid.T){
			"step": f.step, "step more": f.step, "calm": f.runWithoutFaults, "deliver": f.deliverSome, "write": f.write,
			"block": f.block, "heal": f.heal, "crash": f.crashMember, "restart": f.restartMember, "transfer": f.transfer,
			"restart more": f.restartMember, "change": f.change,
		})
	})
}
