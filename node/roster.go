package node

import (
	"context"
	"slices"
	"sort"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"rosemaryline.dev/fleet/state"
	"rosemaryline.dev/membership"
)

const (
	// rosterCheckInterval is the time between two checks of the control leader whether the roster or the shard owners
	// need a change.
	rosterCheckInterval = 500 * time.Millisecond
	// rosterRetention is how long a dead process stays in the roster. Removing it keeps failed VMs from making a majority
	// harder to reach.
	rosterRetention = 10 * time.Minute
	// shardOwnerGrace is how long a dead process keeps its shards. It is short because a process counts as dead only
	// seconds after it failed, and the handover takes more seconds.
	shardOwnerGrace = time.Second
	// rosterSettleTime is how long the number of members must be unchanged before shards are assigned, so that the
	// shards of a new fleet spread over all its processes.
	rosterSettleTime = 2 * time.Second
)

// rosterKeeper records, on the control leader, since when processes are dead.
type rosterKeeper struct {
	deadSince   map[string]time.Duration
	memberCount int
	changedAt   time.Duration
}

// keepRoster proposes joins, leaves and shard owners if this process leads the control group.
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
	if version, ok := c.heartbeats.pendingRosterChange(); ok {
		c.proposeRoster(state.Command{RosterInForce: &state.RosterInForce{Version: version}})
	}
}

// update forgets that members were dead once they are back, and records when the number of members changed.
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
	if len(alive) != k.memberCount {
		k.memberCount = len(alive)
		k.changedAt = now
	}
}

// deadFor returns how long a process of the roster has been missing. The first call that finds it missing records the
// time.
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

// rosterCommands returns commands that add new or moved processes to the roster and remove those that have been dead
// for rosterRetention.
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

// shardCommand returns a command that assigns the shards without an owner, and those whose owner is dead, leaving or a control
// VM that is no candidate, to new owners. ok is false if there are none.
func (c *controlRole) shardCommand(members []peerInfo) (state.Command, bool) {
	now := c.node.clock()
	if now-c.keeper.changedAt < rosterSettleTime {
		return state.Command{}, false
	}
	candidates := c.shardCandidates(members)
	if len(candidates) == 0 {
		return state.Command{}, false
	}
	owners := map[int]string{}
	c.machine.View(func(s *state.State) {
		for shard, owner := range s.ShardOwners() {
			if c.keepsShard(owner, members, candidates, now) {
				continue
			}
			owners[shard] = rendezvous(candidates, shard)
		}
	})
	if len(owners) == 0 {
		return state.Command{}, false
	}
	return state.Command{AssignShards: &state.AssignShards{Owners: owners}}, true
}

// shardCandidates returns the names of the processes that may own shards: those in the roster that are alive and not
// leaving. Processes with the control role are used only if there are no others, because an owner that fails together
// with control cannot be replaced until control is back.
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

// keepsShard reports whether a shard stays with its owner. A control VM that got shards before any other process had joined
// gives them up when one is there.
func (c *controlRole) keepsShard(owner string, members []peerInfo, candidates []string, now time.Duration) bool {
	if owner == "" {
		return false
	}
	for _, m := range members {
		if m.Name != owner {
			continue
		}
		if m.meta.Control != 0 && m.Status == membership.StatusAlive {
			return slices.Contains(candidates, owner)
		}
		return m.Status != membership.StatusLeaving
	}
	return c.keeper.deadFor(owner, false, now) < shardOwnerGrace
}

// rendezvous returns the owner of a shard by rendezvous hashing: the name whose hash together with the shard is
// highest. When a process leaves, only its own shards move.
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

// proposeRoster proposes a command in the name of this process. A refusal means that the state has changed meanwhile;
// the next check starts from the new state.
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
