// Package raft is a replicated log as a pure step machine. Messages and ticks go in; messages to send, entries to
// sync and entries to apply come out of Ready. The package uses no clock, socket, goroutine or package-level state.
package raft

// ID names a member of a group. It is random and stored in the member's data folder. 0 means no member.
type ID uint64

// EntryKind tells what an entry's data holds.
type EntryKind uint8

const (
	// EntryCommand carries data for the state machine; empty data marks the start of a leader's term.
	EntryCommand EntryKind = iota
	// EntryMembership carries an encoded Membership.
	EntryMembership
)

// Entry is one record of the log.
type Entry struct {
	Term  uint64    `json:"term"`
	Index uint64    `json:"index"`
	Kind  EntryKind `json:"kind"`
	Data  []byte    `json:"data,omitempty"`
}

// HardState must be synced before messages that depend on it are sent.
type HardState struct {
	Term   uint64 `json:"term"`
	Vote   ID     `json:"vote"`
	Commit uint64 `json:"commit"`
}

// Membership lists the voters and learners of a group in ascending order.
type Membership struct {
	Voters   []ID `json:"voters"`
	Learners []ID `json:"learners,omitempty"`
}

// Snapshot is the state machine's state after the entry at Index.
type Snapshot struct {
	Index      uint64     `json:"index"`
	Term       uint64     `json:"term"`
	Membership Membership `json:"membership"`
	Data       []byte     `json:"data,omitempty"`
}

// MessageKind is the type of a Message.
type MessageKind uint8

// Message kinds.
const (
	MessagePreVote MessageKind = iota + 1
	MessagePreVoteReply
	MessageVote
	MessageVoteReply
	MessageAppend
	MessageAppendReply
	MessageHeartbeat
	MessageHeartbeatReply
	MessageSnapshot
	MessageTimeoutNow
)

// Message passes between members of one group.
type Message struct {
	Kind MessageKind `json:"kind"`
	From ID          `json:"from"`
	To   ID          `json:"to"`
	Term uint64      `json:"term"`
	// LogTerm and Index name the entry that precedes Entries, or the sender's last entry in vote requests. In replies
	// Index is the highest matching index; in a rejecting append reply it is the preceding index that did not match.
	LogTerm uint64  `json:"logTerm,omitempty"`
	Index   uint64  `json:"index,omitempty"`
	Commit  uint64  `json:"commit,omitempty"`
	Entries []Entry `json:"entries,omitempty"`
	Reject  bool    `json:"reject,omitempty"`
	// RejectHint is the index from which the leader may retry. It is 1 when the sender has no log at all,
	// also in heartbeat replies.
	RejectHint uint64    `json:"rejectHint,omitempty"`
	Snapshot   *Snapshot `json:"snapshot,omitempty"`
	// Context is the number of the leader's confirmation round; replies repeat it.
	Context uint64 `json:"context,omitempty"`
	// Transfer marks a vote request that the leader itself ordered; it is exempt from the lease check.
	Transfer bool `json:"transfer,omitempty"`
}

// Restored is what the storage recovered. The zero value starts a new member that waits for a leader's snapshot;
// Bootstrap gives the state of a founding member.
type Restored struct {
	HardState HardState
	Snapshot  Snapshot
	// Entries follow Snapshot.Index without a gap.
	Entries []Entry
}

// ReadState answers Node.Read: the read may be served once Index has been applied.
type ReadState struct {
	Context uint64
	Index   uint64
}

// Ready lists the work that a driver must do, in this order: sync HardState, Entries and Snapshot; send Messages;
// restore the state machine from Snapshot; apply Committed; answer Reads; call Advance.
type Ready struct {
	HardState *HardState
	// Entries replace any stored entries at or after their first index.
	Entries []Entry
	// Snapshot came from the leader. Unless the stored entry at Snapshot.Index has Snapshot.Term, all stored entries
	// must be dropped with it: they conflict with the log that the snapshot stands for. Entries is empty beside it.
	Snapshot *Snapshot
	Messages []Message
	// Committed includes membership entries and empty commands, which the state machine does not see.
	Committed []Entry
	Reads     []ReadState
	// FailedReads holds the contexts of reads that ended unanswered because this member stopped being the leader.
	FailedReads []uint64
}

// ChangeKind is the type of a MemberChange.
type ChangeKind uint8

// Kinds of membership change.
const (
	AddLearner ChangeKind = iota + 1
	PromoteLearner
	RemoveMember
)

// MemberChange adds, promotes or removes one member.
type MemberChange struct {
	Kind ChangeKind `json:"kind"`
	ID   ID         `json:"id"`
}

// MemberRole is a member's current role.
type MemberRole uint8

// Roles of a member.
const (
	Follower MemberRole = iota
	PreCandidate
	Candidate
	Leader
	Learner
)

// Status describes a Node for operators and drivers.
type Status struct {
	ID         ID
	Role       MemberRole
	Term       uint64
	Leader     ID
	Commit     uint64
	Applied    uint64
	LastIndex  uint64
	FirstIndex uint64
	Membership Membership
	// Match holds the highest replicated index per member; only a leader has it.
	Match map[ID]uint64
	// LostState holds the voters that answer with an empty log; only a leader knows them. They take part in nothing and
	// must be replaced under a new ID.
	LostState []ID
	// LeaseValid is true while a leader has heard from a quorum within an election timeout of its own ticks. A paused
	// process counts no ticks, so the lease alone must not be used to serve reads.
	LeaseValid bool
}
