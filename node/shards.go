package node

import (
	"sync"
	"time"

	"rosemaryline.dev/fleet/state"
	"rosemaryline.dev/proxy"
)

// handoverWait is the time after which a former owner of a shard has certainly stopped: it applied the version that
// names the new owner or lost its right to act. It is the time of the in-force rule with some reserve.
const handoverWait = 6 * time.Second

// restartGrace is the time after the start of a process in which it acts provisionally for the shards that its copy gives
// it, although no beat of control has reached it yet. It covers the election of a control leader after all processes were
// lost at once (1 to 2 s in docs/incidents/inc-7632.md) and its first beat.
const restartGrace = 3 * time.Second

// shards tells who owns each shard.
type shards struct {
	vm    string
	clock proxy.Clock
	fleet *proxy.Fleet
	// mayAct tells whether this process has the right to act for the fleet.
	mayAct func() bool

	// started is when the process started.
	startedAt time.Duration

	mu             sync.Mutex // guards the fields below
	stateKnown     bool
	owners         [state.Shards]string
	exclusiveSince [state.Shards]time.Duration
	// named is the version of this copy in which the owner was first seen.
	namedAtVersion [state.Shards]uint64
	// seen is when the present owner was first seen.
	firstSeen [state.Shards]time.Duration
	inForce   uint64
}

func newShards(vm string, clock proxy.Clock, fleet *proxy.Fleet, mayAct func() bool) *shards {
	return &shards{vm: vm, clock: clock, fleet: fleet, mayAct: mayAct, startedAt: clock()}
}

// update takes over the owners of the fleet state. A shard that had no owner before can be used at once; for any other
// one, and for all that this process finds at its start, the former owner may still be acting.
func (s *shards) update() {
	var owners [state.Shards]string
	s.fleet.Read(func(st *state.State) { owners = st.ShardOwners() })
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	for i, owner := range owners {
		if owner == s.owners[i] {
			continue
		}
		s.exclusiveSince[i] = now + handoverWait
		s.firstSeen[i] = now
		s.namedAtVersion[i] = s.fleet.Version()
		if s.stateKnown && s.owners[i] == "" {
			s.exclusiveSince[i] = now
		}
	}
	s.owners = owners
	s.stateKnown = s.stateKnown || s.fleet.Version() > 0
}

// setInForce ends the wait for former owners of shards whose new owner is in force: they confirmed the version or lost
// the right to act.
func (s *shards) setInForce(version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version <= s.inForce {
		return
	}
	s.inForce = version
	now := s.clock()
	for i := range s.exclusiveSince {
		if s.namedAtVersion[i] <= version {
			s.exclusiveSince[i] = min(s.exclusiveSince[i], now)
		}
	}
}

// owns implements owners.
func (s *shards) owns(shard int) (since time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.owners[shard] != s.vm || s.clock() < s.exclusiveSince[shard] || !s.mayAct() {
		return 0, false
	}
	return s.exclusiveSince[shard], true
}

// ownsProvisionally implements owners.
func (s *shards) ownsProvisionally(shard int) (since time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.owners[shard] != s.vm || !s.mayAct() && s.clock() >= s.startedAt+restartGrace {
		return 0, false
	}
	return s.firstSeen[shard], true
}

// ownerOf implements owners.
func (s *shards) ownerAddress(name string) (address string, ok bool) {
	shard := state.ShardOf(name)
	s.fleet.Read(func(st *state.State) {
		var p state.Process
		p, ok = st.Process(st.ShardOwner(shard))
		address = p.Address
	})
	return address, ok
}
