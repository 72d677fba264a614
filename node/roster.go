package node

import (
	"context"
	"sort"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"rosemaryline.dev/fleet/state"
	"rosemaryline.dev/membership"
)

const (
	// rosterInterval is the time between two looks of the control leader at the members.
	rosterCheckInterval = 500 * time.Millisecond
	// rosterRetention is the time after which a dead process leaves the roster, so that failed VMs do not erode the
	// majority.
	rosterRetention = 10 * time.Minute
	// ownerGrace is the time for which a dead process keeps its shards. It is short, because a process counts as dead
	// only seconds after it failed, and the handover takes seconds more.
	shardOwnerGrace = time.Second
	// settleTime is the time without a roster change before a new fleet's shards are assigned, so that they spread.
	rosterSettleTime = 2 * time.Second
)

// rosterKeeper remembers, on the control leader, since when processes are dead.
type rosterKeeper struct {
	deadSince map[string]time.Duration
	size      int
	changedAt time.Duration
}

// keepRoster makes the control leader propose joins, leaves and owners of shards.
func (c *controlRole) keepRoster() {
	if !c.isLeader(groupControl) {
		c.keeper = rosterKeeper{}
		return
	}
	members := c.node.gossip.list()
	c.keeper.update(members, c.node.clock())
	for _, command := range c.rosterCommands(members) {
		c.proposeRoster(command)
	}
	if command, ok := c.shardCommand(members); ok {
		c.proposeRoster(command)
	}
	if version, ok := c.beats.pendingRosterChange(); ok {
		c.proposeRoster(state.Command{RosterInForce: &state.RosterInForce{Version: version}})
	}
}

// note updates since when members are dead.
func (k *rosterKeeper) update(members []peerInfo, now time.Duration) {
	alive := map[string]time.Duration{}
	for _, m := range members {
		alive[m.Name] = 0
	}
	if k.deadSince == nil {
		k.deadSince = map[string]time.Duration{}
		k.changedAt = now
	}
	for name := range alive {
		delete(k.deadSince, name)
	}
	if len(alive) != k.size {
		k.size = len(alive)
		k.changedAt = now
	}
}

// dead returns for how long a process of the roster has been missing.
func (k *rosterKeeper) deadFor(name string, alive bool, now time.Duration) time.Duration {
	if alive {
		return 0
	}
	since, ok := k.deadSince[name]
	if !ok {
		k.deadSince[name] = now
		return 0
	}
	return now - since
}

// rosterCommands returns joins of new or moved processes and leaves of processes that are dead for long.
func (c *controlRole) rosterCommands(members []peerInfo) []state.Command {
	var commands []state.Command
	alive := map[string]bool{}
	now := c.node.clock()
	c.machine.View(func(s *state.State) {
		for _, m := range members {
			alive[m.Name] = true
			wanted := state.Process{Name: m.Name, Address: m.Address, Domain: m.Domain}
			if current, ok := s.Process(m.Name); !ok || current != wanted {
				commands = append(commands, state.Command{Join: &wanted})
			}
		}
		for _, p := range s.Roster() {
			if c.keeper.deadFor(p.Name, alive[p.Name], now) > rosterRetention {
				commands = append(commands, state.Command{Leave: &state.Leave{Name: p.Name}})
			}
		}
	})
	return commands
}

// shardCommand returns an assignment of the shards whose owner is gone or leaves.
func (c *controlRole) shardCommand(members []peerInfo) (state.Command, bool) {
	now := c.node.clock()
	if now-c.keeper.changedAt < rosterSettleTime {
		return state.Command{}, false
	}
	staying := c.shardCandidates(members)
	if len(staying) == 0 {
		return state.Command{}, false
	}
	owners := map[int]string{}
	c.machine.View(func(s *state.State) {
		for shard, owner := range s.ShardOwners() {
			if c.keepsShard(owner, members, now) {
				continue
			}
			owners[shard] = rendezvous(staying, shard)
		}
	})
	if len(owners) == 0 {
		return state.Command{}, false
	}
	return state.Command{AssignShards: &state.AssignShards{Owners: owners}}, true
}

// staying returns the names of the processes in the roster that are alive and not leaving. Processes with the control
// role come into question only where there are no others: an owner that fails together with control cannot be replaced
// until control is back.
func (c *controlRole) shardCandidates(members []peerInfo) []string {
	var proxies, control []string
	c.machine.View(func(s *state.State) {
		for _, m := range members {
			_, listed := s.Process(m.Name)
			switch {
			case !listed || m.Status != membership.StatusAlive:
			case m.meta.Control != 0:
				control = append(control, m.Name)
			default:
				proxies = append(proxies, m.Name)
			}
		}
	})
	names := proxies
	if len(names) == 0 {
		names = control
	}
	sort.Strings(names)
	return names
}

func (c *controlRole) keepsShard(owner string, members []peerInfo, now time.Duration) bool {
	if owner == "" {
		return false
	}
	for _, m := range members {
		if m.Name == owner {
			return m.Status != membership.StatusLeaving
		}
	}
	return c.keeper.deadFor(owner, false, now) < shardOwnerGrace
}

// rendezvous returns the name with the highest hash together with the shard: when a process leaves, only its own
// shards move.
func rendezvous(names []string, shard int) string {
	best, bestHash := "", uint64(0)
	for _, name := range names {
		h := xxhash.Sum64String(name + "/" + strconv.Itoa(shard))
		if best == "" || h > bestHash {
			best, bestHash = name, h
		}
	}
	return best
}

// proposeRoster proposes a command of this process. A refusal means that the state changed meanwhile; the next look at
// the members decides anew.
func (c *controlRole) proposeRoster(command state.Command) {
	command.ChangeID = string(newClaimID())
	command.Operator = c.node.opts.Name
	command.Time = time.Now()
	ctx, cancel := context.WithTimeout(c.node.tomb.Context(context.Background()), proposeTryTimeout)
	defer cancel()
	result, err := c.node.groups.command(ctx, command)
	if err != nil {
		c.node.opts.Log.Warn().Err(err).Str("kind", string(command.Kind())).Msg("control: proposal failed.")
		return
	}
	if result.Err != nil && result.Err.Code == state.CodeUnchanged {
		return
	}
	if result.Err != nil {
		c.node.opts.Log.Warn().Str("kind", string(command.Kind())).Str("reason", result.Err.Error()).
			Msg("control: proposal refused.")
		return
	}
	c.node.opts.Log.Info().Str("kind", string(command.Kind())).Uint64("version", result.Version).
		Msg("control: changed the roster or its shards.")
}
