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
	// term, vote and the log are the durable state; saved is the hard state handed out last.
	term   uint64
	vote   ID
	saved  HardState
	leader ID

	// ticks counts Tick calls since New.
	ticks int
	// elapsed counts ticks since the last contact with a leader or the last campaign.
	elapsed         int
	electionTimeout int
	// lastContact is the tick of the last message from a leader. It is 0 after a start, because the member may have
	// answered a leader just before.
	lastContact int
	votes       map[ID]bool

	// The following fields are used by a leader only.
	peers        map[ID]*progress
	heartbeatDue int
	electedTick  int
	termStart    uint64
	uncommitted  int // bytes of data after commit
	rounds       rounds
	reads        readQueue
	transferee   ID
	transferTick int
	leaseGivenUp bool

	pendingSnapshot *Snapshot
	messages        []Message
	readStates      []ReadState
	failedReads     []uint64
	outstanding     *Ready
}

// foundingSnapshotIndex is the index of a new group's first snapshot, before any entry.
const foundingSnapshotIndex = 1

// Bootstrap returns the state with which each founding voter of a group starts. It must be saved before New is called.
// Its snapshot has empty data, which stands for the state machine's initial state.
func Bootstrap(voters []ID) Restored {
	sorted := slices.Clone(voters)
	slices.Sort(sorted)
	return Restored{
		HardState: HardState{Term: 1, Commit: foundingSnapshotIndex},
		Snapshot:  Snapshot{Index: foundingSnapshotIndex, Term: 1, Membership: Membership{Voters: sorted}},
	}
}

// New returns a member with the restored state. It fails with ErrMalformed when the restored state contradicts itself.
func New(cfg Config, r Restored) (*Node, error) {
	cfg = cfg.withDefaults()
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	if hasVoters := len(r.Snapshot.Membership.Voters) > 0; hasVoters != (r.Snapshot.Index > 0) {
		return nil, errors.Wrap(ErrMalformed, "a snapshot and its voters must come together; see Bootstrap")
	}
	if r.Snapshot.Index == 0 && len(r.Entries) > 0 {
		return nil, errors.Wrap(ErrMalformed, "entries without a snapshot; see Bootstrap")
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
		term: r.HardState.Term, vote: r.HardState.Vote, saved: r.HardState,
	}
	n.becomeFollower(n.term, 0)
	return n, nil
}

// Tick advances the member's clock by one tick.
func (n *Node) Tick() {
	n.ticks++
	n.elapsed++
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if (n.elapsed >= n.electionTimeout || n.isFounder()) && n.mayCampaign() {
		n.campaignPreVote()
	}
}

// isFounder reports whether this member is the only voter of a group without any entry yet, so that no other leader can
// exist and it need not wait for one. A later group of one may still have a former leader with a lease.
func (n *Node) isFounder() bool {
	m := n.membership()
	return len(m.Voters) == 1 && m.IsVoter(n.cfg.ID) && n.log.last() == foundingSnapshotIndex
}

// Status describes the member.
func (n *Node) Status() Status {
	s := Status{
		ID: n.cfg.ID, Role: n.role, Term: n.term, Leader: n.leader,
		Commit: n.log.commit, Applied: n.log.applied, LastIndex: n.log.last(), FirstIndex: n.log.base + 1,
		Membership: n.membership().clone(), LeaseValid: n.leaseValid(),
	}
	if n.role == Follower && !n.membership().IsVoter(n.cfg.ID) {
		s.Role = Learner
	}
	if n.role == Leader {
		s.Match = map[ID]uint64{n.cfg.ID: n.log.stable}
		for _, id := range n.peerIDs() {
			p := n.peers[id]
			s.Match[id] = p.match
			if p.lostState {
				s.LostState = append(s.LostState, id)
			}
		}
	}
	return s
}

func (n *Node) membership() Membership { return n.log.config().membership }

// isEmpty reports whether the member never had a log: it waits for its first snapshot.
func (n *Node) isEmpty() bool { return n.log.last() == 0 }

func (n *Node) send(m Message) {
	m.From = n.cfg.ID
	if m.Term == 0 {
		m.Term = n.term
	}
	n.messages = append(n.messages, m)
}
