package node

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemaryline.dev/control"
	"rosemaryline.dev/fleet/config"
	"rosemaryline.dev/fleet/state"
	"rosemaryline.dev/membership"
	"rosemaryline.dev/proxy"
)

// fleetFixture holds the fleet state of control, which a test changes by commands, and a copy of it.
type fleetFixture struct {
	t            *testing.T
	copy         *control.Copy
	controlState *state.State
	fleet        *proxy.Fleet
}

func newFleetFixture(t *testing.T, vms ...string) *fleetFixture {
	t.Helper()
	f := &fleetFixture{t: t, copy: control.NewCopy(), controlState: state.New()}
	f.fleet = proxy.NewFleet(f.copy)
	change := config.Change{}
	change.Domains.Set = map[string]config.Domain{"dom": {Region: "region"}}
	f.propose(state.Command{Apply: &state.ApplyChange{Change: change, ContentHash: change.Hash()}})
	for _, vm := range vms {
		f.propose(state.Command{Join: &state.Process{Name: vm, Address: vm + ":1", Domain: "dom"}})
	}
	return f
}

func (f *fleetFixture) propose(c state.Command) {
	f.t.Helper()
	before := f.controlState.Version()
	c.ChangeID, c.Operator = fmt.Sprint("change-", before), "test"
	data, err := c.Encode()
	assert.NilError(f.t, err)
	result, err := state.DecodeResult(f.controlState.Apply(data))
	assert.NilError(f.t, err)
	assert.Assert(f.t, result.Err == nil, "%v", result.Err)
	deltas, ok := f.controlState.Since(before)
	assert.Assert(f.t, ok)
	_, err = f.copy.Apply(deltas)
	assert.NilError(f.t, err)
	f.fleet.Refresh()
}

func (f *fleetFixture) assign(shard int, vm string) {
	f.t.Helper()
	f.propose(state.Command{AssignShards: &state.AssignShards{Owners: map[int]string{shard: vm}}})
}

// Guards against two owners of one shard that act at the same time: a team would get twice its rate, and ejections
// could go below the floor.
func TestShardOwnerWaitsForFormerOwner(t *testing.T) {
	const shard = 7
	now := time.Duration(0)
	may := true
	f := newFleetFixture(t, "vm-a", "vm-b")
	s := newShards("vm-b", func() time.Duration { return now }, f.fleet, func() bool { return may })
	s.update()
	owns := func() bool {
		_, ok := s.owns(shard)
		return ok
	}
	assert.Assert(t, !owns(), "no owner is named")

	f.assign(shard, "vm-a")
	s.update()
	f.assign(shard, "vm-b")
	s.update()
	assert.Assert(t, !owns(), "vm-a may still act")
	now += handoverWait - time.Millisecond
	assert.Assert(t, !owns(), "vm-a may still act")
	now += time.Millisecond
	assert.Assert(t, owns())
	may = false
	assert.Assert(t, !owns(), "this process has lost the permission to admit requests")
	may = true

	f.assign(shard, "vm-a")
	s.update()
	assert.Assert(t, !owns())
	f.assign(shard, "vm-b")
	s.update()
	s.setInForce(f.fleet.Version() - 1)
	assert.Assert(t, !owns(), "the version that names vm-b is not in force")
	s.setInForce(f.fleet.Version())
	assert.Assert(t, owns())
}

// Guards against a restarted process that acts for its shards at once although its copy may be outdated and another
// process may own them now.
func TestRestartedShardOwnerWaits(t *testing.T) {
	const shard = 7
	now := time.Duration(0)
	f := newFleetFixture(t, "vm-a")
	f.assign(shard, "vm-a")
	s := newShards("vm-a", func() time.Duration { return now }, f.fleet, func() bool { return true })
	s.update()
	_, ok := s.owns(shard)
	assert.Assert(t, !ok)
	now = handoverWait
	since, ok := s.owns(shard)
	assert.Assert(t, ok)
	assert.Equal(t, since, handoverWait)
}

// Guards against shard owners that fail together with control: nobody could assign new ones until control is back.
func TestShardOwnersAvoidControlVMs(t *testing.T) {
	f := newFleetFixture(t, "control-1", "proxy-1", "proxy-2")
	c := &controlRole{machine: &controlMachine{state: f.controlState}}
	member := func(name string, control bool, status membership.Status) peerInfo {
		info := peerInfo{Member: membership.Member{Name: name, Status: status}}
		if control {
			info.meta.Control = 1
		}
		return info
	}
	for _, test := range []struct {
		desc    string
		members []peerInfo
		want    []string
	}{
		{
			desc: "with proxies",
			members: []peerInfo{
				member("control-1", true, membership.StatusAlive),
				member("proxy-1", false, membership.StatusAlive),
				member("proxy-2", false, membership.StatusLeaving),
				member("stranger", false, membership.StatusAlive),
			},
			want: []string{"proxy-1"},
		},
		{
			desc:    "only control VMs",
			members: []peerInfo{member("control-1", true, membership.StatusAlive)},
			want:    []string{"control-1"},
		},
	} {
		t.Run(test.desc, func(t *testing.T) {
			assert.DeepEqual(t, c.shardCandidates(test.members), test.want)
		})
	}
}

// Guards against shards that stay on control VMs for good because the other processes joined late: when all control VMs are
// lost, nobody grants the teams of these shards a request.
func TestControlVMsGiveUpShards(t *testing.T) {
	const shard = 7
	f := newFleetFixture(t, "control-1", "proxy-1")
	f.assign(shard, "control-1")
	c := &controlRole{machine: &controlMachine{state: f.controlState}, node: &Node{clock: func() time.Duration { return time.Hour }}}
	control := peerInfo{Member: membership.Member{Name: "control-1", Status: membership.StatusAlive}}
	control.meta.Control = 1
	command, ok := c.shardCommand([]peerInfo{control})
	assert.Assert(t, ok)
	_, moved := command.AssignShards.Owners[shard]
	assert.Assert(t, !moved)
	command, ok = c.shardCommand([]peerInfo{control, {Member: membership.Member{Name: "proxy-1", Status: membership.StatusAlive}}})
	assert.Assert(t, ok)
	assert.Equal(t, command.AssignShards.Owners[shard], "proxy-1")
}

// Guards against moving shards of processes that stay when another process leaves.
func TestRendezvousMovesOnlyLostShards(t *testing.T) {
	all := []string{"vm-a", "vm-b", "vm-c", "vm-d"}
	rest := all[:3]
	for shard := range state.Shards {
		before := rendezvous(all, shard)
		if before != "vm-d" {
			assert.Equal(t, rendezvous(rest, shard), before)
		}
	}
}

// Guards against a fleet that grants nothing after all processes were lost at once until control has elected a leader
// and issued a heartbeat, and against a process that continues to own shards provisionally long after it was cut off.
func TestRestartedShardOwnerActsProvisionally(t *testing.T) {
	const shard = 7
	now := time.Duration(0)
	may := false
	f := newFleetFixture(t, "vm-a")
	f.assign(shard, "vm-a")
	s := newShards("vm-a", func() time.Duration { return now }, f.fleet, func() bool { return may })
	s.update()
	provisionally := func() bool {
		_, ok := s.ownsProvisionally(shard)
		return ok
	}
	assert.Assert(t, provisionally(), "the process has just started")
	_, owns := s.owns(shard)
	assert.Assert(t, !owns, "a former owner may still act")
	now = restartGrace - time.Millisecond
	assert.Assert(t, provisionally())
	now = restartGrace
	assert.Assert(t, !provisionally(), "no heartbeat was received")
	may = true
	assert.Assert(t, provisionally())
}
