package node

import (
	"sync"
	"time"

	"rosemaryline.dev/fleet/state"
	"rosemaryline.dev/proxy"
)

// handoverWait is how long a new owner of a shard waits for the former one. By then the former owner has applied the
// version that names the new owner or lost its permission to admit requests. This takes at most 5.5 s
// (control.MajorityDelay); the rest is reserve.
const handoverWait = 6 * time.Second

// restartGrace is how long after its start a process owns shards provisionally without permission to admit requests,
// because it has received no heartbeat yet. It covers the election of a control leader after all processes were lost at
// once (1 to 2 s in docs/incidents/inc-7632.md) and the leader's first heartbeat.
const restartGrace = 3 * time.Second

// maxStateWait limits the time before the first fleet state for which a provisional owner grants tokens.
const maxStateWait = time.Second

// shards implements shardOwnership from this process's copy of the fleet state.
type shards struct {
	vm    string
	clock proxy.Clock
	fleet *proxy.Fleet
	// mayAdmit reports whether this process has permission to admit requests, without which it does not act as an owner.
	mayAdmit func() bool

	// startedAt is when the process started, on its clock.
	startedAt time.Duration

	mu         sync.Mutex // guards the fields below
	stateKnown bool       // a fleet state was seen by an earlier update
	owners     [state.Shards]string
	// exclusiveSince is the time after which no former owner acts for the shard. Before it, the present owner owns the
	// shard only provisionally.
	exclusiveSince [state.Shards]time.Duration
	// namedAtVersion is the version of the copy in which the present owner was first seen.
	namedAtVersion [state.Shards]uint64
	// firstSeen is when the present owner was first seen, or earlier if it was in the first fleet state.
	firstSeen [state.Shards]time.Duration
	// inForce is the highest version known to be in force.
	inForce uint64
}

func newShards(vm string, clock proxy.Clock, fleet *proxy.Fleet, mayAdmit func() bool) *shards {
	return &shards{vm: vm, clock: clock, fleet: fleet, mayAdmit: mayAdmit, startedAt: clock()}
}

// update reads the owners from the fleet state. A shard that had no owner before is owned at once. For any other
// shard, and for all shards known at the start of the process, a former owner may still be acting.
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
		if !s.stateKnown {
			// The fleet state named this owner before. The requests that waited for the state need tokens at once.
			s.firstSeen[i] = max(s.startedAt, now-maxStateWait)
		}
		s.namedAtVersion[i] = s.fleet.Version()
		if s.stateKnown && s.owners[i] == "" {
			s.exclusiveSince[i] = now
		}
	}
	s.owners = owners
	s.stateKnown = s.stateKnown || s.fleet.Version() > 0
}

// setInForce ends the wait for former owners of the shards whose owner was named at or before version, which is in
// force: former owners have applied that version or lost their permission to admit requests.
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

// owns implements shardOwnership.
func (s *shards) owns(shard int) (since time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.owners[shard] != s.vm || s.clock() < s.exclusiveSince[shard] || !s.mayAdmit() {
		return 0, false
	}
	return s.exclusiveSince[shard], true
}

// ownsProvisionally implements shardOwnership.
func (s *shards) ownsProvisionally(shard int) (since time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.owners[shard] != s.vm || !s.mayAdmit() && s.clock() >= s.startedAt+restartGrace {
		return 0, false
	}
	return s.firstSeen[shard], true
}

// ownerAddress implements shardOwnership.
func (s *shards) ownerAddress(name string) (address string, ok bool) {
	shard := state.ShardOf(name)
	s.fleet.Read(func(st *state.State) {
		var p state.Process
		p, ok = st.Process(st.ShardOwner(shard))
		address = p.Address
	})
	return address, ok
}
