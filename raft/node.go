package raft

import (
	"slices"

	"github.com/pkg/errors"
)

// Node is one member of a group. It is not safe for concurrent use.
type Node struct {
	cfg  Config
	log  *raftLog
	role MemberRole
	// term, vote and the log are the durable state. savedHardState is the latest hard state known to be synced.
	term           uint64
	vote           ID
	savedHardState HardState
	leader         ID

	// ticks is the number of Tick calls since New.
	ticks int
	// electionElapsed is the number of ticks since the election timer was reset, by a leader, a granted vote or a
	// campaign.
	electionElapsed int
	electionTimeout int
	// lastContact is the tick of the last message from a leader. Unless Config.NoLease is set, it starts at 0, as if a
	// message had just arrived, because the member may have acknowledged a leader's heartbeat just before it restarted.
	lastContact int
	// heardLeader is set after the first message from a leader since New.
	heardLeader bool
	votes       map[ID]bool

	// The fields from here to leaseRevoked are used only by a leader.
	peers            map[ID]*progress
	heartbeatElapsed int
	electedTick      int
	termStartIndex   uint64
	uncommittedBytes int // bytes of data in entries after commit
	heartbeatRounds  heartbeatRounds
	reads            readQueue
	transferee       ID
	transferTick     int
	leaseRevoked     bool

	pendingSnapshot  *Snapshot
	messages         []Message
	readStates       []ReadState
	failedReads      []uint64
	outstandingReady *Ready
}

// bootstrapIndex is the index of the first snapshot of a new group. The first entry follows it.
const bootstrapIndex = 1

// Bootstrap returns the state from which each initial voter of a new group starts. The caller must save it before it
// calls New. The snapshot has no data, which means that the state machine is in its initial state.
func Bootstrap(voters []ID) PersistentState {
	sorted := slices.Clone(voters)
	slices.Sort(sorted)
	return PersistentState{
		HardState: HardState{Term: 1, Commit: bootstrapIndex},
		Snapshot:  Snapshot{Index: bootstrapIndex, Term: 1, Membership: Membership{Voters: sorted}},
	}
}

// New returns a member that starts from state r. It returns ErrMalformed if r is inconsistent.
func New(cfg Config, r PersistentState) (*Node, error) {
	cfg = cfg.withDefaults()
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	if hasVoters := len(r.Snapshot.Membership.Voters) > 0; hasVoters != (r.Snapshot.Index > 0) {
		return nil, errors.Wrap(ErrMalformed, "a snapshot needs voters, and voters need a snapshot; Bootstrap returns both")
	}
	if r.Snapshot.Index == 0 && len(r.Entries) > 0 {
		return nil, errors.Wrap(ErrMalformed, "entries without a snapshot; Bootstrap returns the first snapshot")
	}
	log, err := newLog(r)
	if err != nil {
		return nil, err
	}
	if r.HardState.Term < log.lastTerm() {
		return nil, errors.Wrapf(ErrMalformed, "term %d is before the last entry's term %d", r.HardState.Term, log.lastTerm())
	}
	n := &Node{
		cfg: cfg, log: log,
		term: r.HardState.Term, vote: r.HardState.Vote, savedHardState: r.HardState,
	}
	if cfg.NoLease {
		n.lastContact = -cfg.ElectionTicks
	}
	n.becomeFollower(n.term, 0)
	return n, nil
}

// Tick advances the member's logical clock by one tick.
func (n *Node) Tick() {
	n.ticks++
	n.electionElapsed++
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if (n.electionElapsed >= n.electionTimeout || n.isNewGroupOfOne()) && n.mayCampaign() {
		n.startPreVote()
	}
}

// isNewGroupOfOne reports whether this member is the only voter of a new group without any entries. No other leader can
// exist in such a group, so the member need not wait for an election timeout. This does not hold for a group that was
// reduced to one voter later: a removed leader may still have a valid lease.
func (n *Node) isNewGroupOfOne() bool {
	m := n.membership()
	return len(m.Voters) == 1 && m.IsVoter(n.cfg.ID) && n.log.lastIndex() == bootstrapIndex
}

// Status returns a copy of the member's current state.
func (n *Node) Status() Status {
	s := Status{
		ID: n.cfg.ID, Role: n.role, Term: n.term, Leader: n.leader,
		Commit: n.log.commit, Applied: n.log.applied, LastIndex: n.log.lastIndex(), FirstIndex: n.log.baseIndex + 1,
		Membership: n.membership().clone(), LeaseValid: n.leaseValid(),
	}
	if n.role == Follower && !n.membership().IsVoter(n.cfg.ID) {
		s.Role = Learner
	}
	if n.role == Leader {
		s.Match = map[ID]uint64{n.cfg.ID: n.log.stable}
		s.Active = map[ID]bool{n.cfg.ID: true}
		for _, id := range n.peerIDs() {
			p := n.peers[id]
			s.Match[id] = p.match
			if n.isActive(p) {
				s.Active[id] = true
			}
			if p.lostState {
				s.LostState = append(s.LostState, id)
			}
		}
	}
	return s
}

func (n *Node) membership() Membership { return n.log.latestMembership().membership }

// hasEmptyLog reports whether the member has neither entries nor a snapshot and waits for its first snapshot.
func (n *Node) hasEmptyLog() bool { return n.log.lastIndex() == 0 }

func (n *Node) send(m Message) {
	m.From = n.cfg.ID
	if m.Term == 0 {
		m.Term = n.term
	}
	n.messages = append(n.messages, m)
}
