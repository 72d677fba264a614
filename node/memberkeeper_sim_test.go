package node

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"rosemaryline.dev/raft"
)

const (
	simSlots     = 5
	simTolerated = keeperMinQuorum - 1
	// simCatchUp is how long a VM still counts as lost after it is back or, if it is new, after its start.
	simCatchUp = 4 * time.Second
	// simSettle is the time that a new leader needs before losses are counted exactly: it must notice which members are silent.
	simSettle = 2500 * time.Millisecond
)

// simVM is one VM of the control group. Its member id changes with its disk.
type simVM struct {
	name    string
	slot    int
	id      raft.ID
	running bool // replies to others
	leaving bool
	// downAt is when it last stopped running, upAt when it last began, and lostUntil the end of its catch-up time.
	downAt, upAt time.Duration
	// seenAt is when gossip reports it with its present id, forgottenAt when gossip no longer does.
	seenAt, forgottenAt time.Duration
	// leavingSeenAt is when gossip reports that it is leaving.
	leavingSeenAt time.Duration
	readyAt       time.Duration // when it has caught up as a learner
	gone          bool
}

// keeperWorld is a control group whose VMs are lost, cut off and replaced at random, never more at a time than tolerated.
type keeperWorld struct {
	t          *testing.T
	rnd        *rand.Rand
	now        time.Duration
	vms        []*simVM
	lostUntil  [simSlots]time.Duration
	lost       [simSlots]bool
	replacing  [simSlots]bool // a planned replacement has begun, and the old VM has not left yet
	membership raft.Membership
	leader     *simVM
	keeper     *memberKeeper
	ledSince   time.Duration
	electAt    time.Duration
	timers     map[time.Duration][]func()
	nextID     raft.ID
	history    []string
}

const never = time.Duration(1<<62 - 1)

func newKeeperWorld(t *testing.T, seed uint64) *keeperWorld {
	w := &keeperWorld{t: t, rnd: rand.New(rand.NewPCG(seed, 7)), timers: map[time.Duration][]func(){}, nextID: 1}
	for slot := range simSlots {
		vm := w.newVM(slot)
		vm.seenAt = 0
		w.membership.Voters = append(w.membership.Voters, vm.id)
	}
	w.leader, w.keeper = w.vms[0], newMemberKeeper(keeperMinQuorum)
	return w
}

func (w *keeperWorld) log(format string, args ...any) {
	w.history = append(w.history, fmt.Sprintf("%6.1f ", w.now.Seconds())+fmt.Sprintf(format, args...))
}

func (w *keeperWorld) between(least, most time.Duration) time.Duration {
	return (least + time.Duration(w.rnd.Int64N(int64(most-least)+1))).Round(memberCheckInterval)
}

func (w *keeperWorld) after(d time.Duration, f func()) {
	at := w.now + max(d.Round(memberCheckInterval), memberCheckInterval)
	w.timers[at] = append(w.timers[at], f)
}

func (w *keeperWorld) newVM(slot int) *simVM {
	vm := &simVM{name: fmt.Sprintf("vm-%d-%d", slot, w.nextID), slot: slot, id: w.nextID, running: true, upAt: w.now,
		seenAt: w.now + w.between(0, 600*time.Millisecond), forgottenAt: never, leavingSeenAt: never, readyAt: never}
	w.nextID++
	w.vms = append(w.vms, vm)
	return vm
}

// recover ends the losses whose catch-up time is over, unless the leader is new.
func (w *keeperWorld) recover() {
	for slot, until := range w.lostUntil {
		settled := w.leader != nil && w.now >= w.ledSince+simSettle
		w.lost[slot] = until > w.now || w.lost[slot] && !settled
	}
}

func (w *keeperWorld) lostSlots() (list []int) {
	for slot := range simSlots {
		if w.lost[slot] {
			list = append(list, slot)
		}
	}
	return list
}

// stop makes a VM silent.
func (w *keeperWorld) stop(vm *simVM) {
	vm.running, vm.downAt = false, w.now
	w.lostUntil[vm.slot] = never
	vm.forgottenAt = w.now + w.between(5*time.Second, 10*time.Second)
}

// start makes a VM reply again, unless it was replaced meanwhile.
func (w *keeperWorld) start(vm *simVM) {
	if vm.gone || vm.running {
		return
	}
	vm.running, vm.upAt, vm.forgottenAt, vm.leaving, vm.leavingSeenAt = true, w.now, never, false, never
	if vm.readyAt != never {
		vm.readyAt = w.now + w.between(200*time.Millisecond, time.Second)
	}
	w.lostUntil[vm.slot] = w.now + simCatchUp
}

// leave makes a VM announce that it is stopping: to the leader, and by gossip, which may not reach a later leader in time.
func (w *keeperWorld) leave(vm *simVM) {
	vm.leaving = true
	switch {
	case w.leader != nil && w.leader != vm:
		vm.leavingSeenAt = w.now + w.between(0, 200*time.Millisecond)
	case w.rnd.IntN(10) > 0:
		vm.leavingSeenAt = w.now + w.between(0, 2*time.Second)
	}
}

// disturb starts a random fault or replacement if the tolerated losses allow it. A VM that counts as lost may be hit again.
func (w *keeperWorld) disturb() {
	slot := w.rnd.IntN(simSlots)
	if !w.lost[slot] && len(w.lostSlots()) >= simTolerated {
		return
	}
	var present []*simVM
	for _, vm := range w.vms {
		if vm.slot == slot && vm.running && !vm.gone {
			present = append(present, vm)
		}
	}
	if len(present) == 0 {
		return
	}
	vm := present[w.rnd.IntN(len(present))]
	down := w.between(300*time.Millisecond, 8*time.Second)
	kind := w.rnd.IntN(6)
	if w.replacing[slot] {
		kind = w.rnd.IntN(4)
	}
	switch kind {
	case 0, 1:
		w.log("%s is silent for %v", vm.name, down)
		w.stop(vm)
		w.after(down, func() { w.start(vm) })
	case 2:
		w.log("%s restarts, %v", vm.name, down)
		w.leave(vm)
		w.stop(vm)
		w.after(down, func() { w.start(vm) })
	case 3:
		w.log("%s loses its disk, %v", vm.name, down)
		w.stop(vm)
		w.after(down, func() {
			if vm.gone {
				return
			}
			vm.id, vm.readyAt = w.nextID, never
			w.nextID++
			vm.seenAt = w.now + w.between(0, 600*time.Millisecond)
			w.start(vm)
		})
	case 4:
		w.log("%s is gone, replaced after %v", vm.name, down/4)
		w.stop(vm)
		vm.gone = true
		w.after(down/4, func() {
			w.lostUntil[slot] = w.now + simCatchUp
			w.log("%s replaces %s", w.newVM(slot).name, vm.name)
		})
	default:
		next := w.newVM(slot)
		w.replacing[slot] = true
		w.lostUntil[slot] = w.now + simCatchUp
		delay := w.between(500*time.Millisecond, 3*time.Second)
		w.log("%s joins to replace %s, which leaves after %v", next.name, vm.name, delay)
		w.after(delay, func() {
			w.replacing[slot] = false
			w.leave(vm)
			until := w.lostUntil[slot]
			w.stop(vm)
			vm.gone = true
			w.lostUntil[slot] = until
			if !next.running {
				w.lostUntil[slot] = never
			}
		})
	}
}

func (w *keeperWorld) vmByID(id raft.ID) *simVM {
	for _, vm := range w.vms {
		if vm.id == id {
			return vm
		}
	}
	return nil
}

// replies reports whether a member replies to the leader.
func (w *keeperWorld) replies(id raft.ID) bool {
	vm := w.vmByID(id)
	return vm != nil && vm.running
}

// elect replaces a leader that is not running any more.
func (w *keeperWorld) elect() {
	if w.leader != nil && (!w.leader.running || !w.membership.IsVoter(w.leader.id)) {
		w.leader, w.electAt = nil, w.now+w.between(time.Second, 2200*time.Millisecond)
	}
	if w.leader != nil || w.now < w.electAt {
		return
	}
	var candidates []*simVM
	for _, id := range w.membership.Voters {
		if w.replies(id) {
			candidates = append(candidates, w.vmByID(id))
		}
	}
	if len(candidates) < w.membership.Quorum() {
		return
	}
	w.leader = candidates[w.rnd.IntN(len(candidates))]
	w.keeper, w.ledSince = newMemberKeeper(keeperMinQuorum), w.now
	w.log("%s leads", w.leader.name)
}

// act lets the leader's keeper make the changes that are due.
func (w *keeperWorld) act() {
	for range 10 {
		if w.leader == nil {
			return
		}
		g := groupView{self: w.leader.id, membership: w.membership, active: map[raft.ID]bool{}, ready: map[raft.ID]bool{}}
		var vms []controlVM
		for _, vm := range w.vms {
			const activeFor = time.Second // the election timeout
			if vm.running || w.now-vm.downAt < activeFor && vm.downAt > w.ledSince {
				g.active[vm.id] = true
			}
			g.ready[vm.id] = vm.running && w.now >= vm.readyAt
			if w.now >= vm.seenAt && w.now < vm.forgottenAt {
				vms = append(vms, controlVM{id: vm.id, vm: vm.name, leaving: w.now >= vm.leavingSeenAt})
			}
		}
		change, ok := w.keeper.next(w.now, g, vms)
		if !ok {
			return
		}
		next := applyChange(w.membership, change)
		alive := 0
		for _, id := range next.Voters {
			if w.replies(id) {
				alive++
			}
		}
		if alive < next.Quorum() {
			w.log("%v cannot be committed with %v", change, next)
			return
		}
		w.log("%v, voters %v", change, next.Voters)
		w.membership = next
		if vm := w.vmByID(change.ID); change.Kind == raft.AddLearner {
			vm.readyAt = w.now + w.between(200*time.Millisecond, time.Second)
		}
		w.check()
	}
}

// check fails if the losses that are still tolerated could leave no quorum.
func (w *keeperWorld) check() {
	lost := w.lostSlots()
	for mask := range 1 << simSlots {
		missing := slices.Clone(lost)
		for slot := range simSlots {
			if mask>>slot&1 == 1 && !slices.Contains(lost, slot) {
				missing = append(missing, slot)
			}
		}
		if len(missing) > max(simTolerated, len(lost)) {
			continue
		}
		available := 0
		for _, id := range w.membership.Voters {
			if vm := w.vmByID(id); vm != nil && vm.running && !slices.Contains(missing, vm.slot) {
				available++
			}
		}
		if available < w.membership.Quorum() {
			for _, vm := range w.vms {
				if w.membership.Contains(vm.id) || !vm.gone {
					w.log("%+v", *vm)
				}
			}
			w.fail("%d of %d voters remain without the slots %v (%v are lost already)", available, len(w.membership.Voters), missing, lost)
		}
	}
	if w.membership.Quorum() < keeperMinQuorum {
		w.fail("the quorum of %v is too small", w.membership.Voters)
	}
}

func (w *keeperWorld) fail(format string, args ...any) {
	w.t.Helper()
	w.t.Fatalf("at %v: %s\n%s", w.now, fmt.Sprintf(format, args...), fmt.Sprintln(w.history[max(0, len(w.history)-40):]))
}

func (w *keeperWorld) step() {
	w.now += memberCheckInterval
	due := w.timers[w.now]
	delete(w.timers, w.now)
	for _, f := range due {
		f()
	}
	w.recover()
	w.elect()
	w.act()
	w.check()
}

// Guards against a group that cannot bear the tolerated losses, or does not return to its living members, after its VMs were
// replaced in a planned way or unplanned, lost their disks, restarted, were cut off or frozen, in any order, several at a
// time, and also again before they voted.
func TestMemberKeeperBearsTheToleratedLosses(t *testing.T) {
	seeds := uint64(150)
	if testing.Short() {
		seeds = 30
	}
	for seed := range seeds {
		w := newKeeperWorld(t, seed)
		w.log("seed %d", seed)
		for range 1200 {
			if w.rnd.IntN(8) == 0 {
				w.disturb()
				w.recover()
			}
			w.step()
		}
		for range 300 {
			w.step()
		}
		living := []raft.ID{}
		for _, vm := range w.vms {
			if vm.running {
				living = append(living, vm.id)
			}
		}
		slices.Sort(living)
		slices.Sort(w.membership.Voters)
		if !slices.Equal(living, w.membership.Voters) || len(w.membership.Learners) > 0 {
			w.fail("members %v, living %v", w.membership, living)
		}
	}
}
