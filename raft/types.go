// Package raft implements the Raft consensus algorithm as a deterministic state machine. Its inputs are messages and
// ticks; Ready returns the messages to send, the entries to sync and the entries to apply. The package uses no clock,
// socket, goroutine or package-level state.
package raft

// ID identifies a member of a group. It is chosen at random and stored in the member's data folder. 0 means no member.
type ID uint64

// EntryKind is the type of an entry's data.
type EntryKind uint8

const (
	// EntryCommand holds a command for the state machine. A new leader appends one with empty data to start its term.
	EntryCommand EntryKind = iota
	// EntryMembership holds an encoded Membership.
	EntryMembership
)

// Entry is one log entry.
type Entry struct {
	Term  uint64    `json:"term"`
	Index uint64    `json:"index"`
	Kind  EntryKind `json:"kind"`
	Data  []byte    `json:"data,omitempty"`
}

// HardState is the state that a member must sync before it sends messages that depend on it.
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

// Snapshot is the state of the state machine after it has applied the entry at Index.
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

// Message is sent from one member of a group to another.
type Message struct {
	Kind MessageKind `json:"kind"`
	From ID          `json:"from"`
	To   ID          `json:"to"`
	Term uint64      `json:"term"`
	// LogTerm and Index identify the entry before Entries, or the sender's last entry in a vote request. In an append
	// reply Index is the highest index up to which the logs match; in a rejecting one it is the Index of the request.
	LogTerm uint64  `json:"logTerm,omitempty"`
	Index   uint64  `json:"index,omitempty"`
	Commit  uint64  `json:"commit,omitempty"`
	Entries []Entry `json:"entries,omitempty"`
	Reject  bool    `json:"reject,omitempty"`
	// RejectHint is the index from which the leader should retry. It is 1 if the sender's log is empty, also in a
	// heartbeat reply.
	RejectHint uint64    `json:"rejectHint,omitempty"`
	Snapshot   *Snapshot `json:"snapshot,omitempty"`
	// Context is the number of the leader's heartbeat round. Replies return it, which confirms the leader for that round.
	Context uint64 `json:"context,omitempty"`
	// Transfer marks a vote request that the leader itself asked for. Voters reply to it even if they recently received
	// a message from the leader, because the leader no longer relies on its lease.
	Transfer bool `json:"transfer,omitempty"`
}

// PersistentState is the state that a member starts from, usually as recovered by the storage. With the zero value it
// starts with an empty log and waits for a snapshot from a leader. Bootstrap returns the state for an initial voter of
// a new group.
type PersistentState struct {
	HardState HardState
	Snapshot  Snapshot
	// Entries start at Snapshot.Index+1 and have no gaps.
	Entries []Entry
}

// ReadState is the result of a Node.Read call: the read may be served once the entry at Index has been applied.
type ReadState struct {
	Context uint64
	Index   uint64
}

// Ready holds the work that the caller must do, in this order: sync HardState, Entries and Snapshot; send Messages;
// restore the state machine from Snapshot; apply Committed; complete Reads; call Advance.
type Ready struct {
	HardState *HardState
	// Entries replace all stored entries from their first index on.
	Entries []Entry
	// Snapshot was received from the leader. Unless the stored entry at Snapshot.Index has the term Snapshot.Term, all
	// stored entries must be deleted, because they conflict with the log that the snapshot replaces. Entries is empty
	// when Snapshot is set.
	Snapshot *Snapshot
	Messages []Message
	// Committed includes membership entries and empty commands, which must not be passed to the state machine.
	Committed []Entry
	Reads     []ReadState
	// FailedReads holds the contexts of reads that failed because this member is no longer the leader.
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

// MemberRole is the current Raft role of a member.
type MemberRole uint8

// Roles of a member.
const (
	Follower MemberRole = iota
	PreCandidate
	Candidate
	Leader
	Learner
)

// Status is a copy of a Node's state, for the caller and for operators.
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
	// Match holds the highest replicated index of each member. It is nil unless this member is the leader.
	Match map[ID]uint64
	// Active holds this member and the members that replied to a heartbeat round that started within the last
	// ElectionTicks. It is nil unless this member is the leader.
	Active map[ID]bool
	// LostState holds the voters that report an empty log. They neither vote nor acknowledge entries or reads, and
	// they must be replaced by members with new IDs. It is empty unless this member is the leader.
	LostState []ID
	// LeaseValid is true if this member is the leader and a quorum has confirmed it within an election timeout, counted
	// in its own ticks. A paused process counts no ticks, so a valid lease is not enough to serve reads. It is never true
	// with Config.NoLease.
	LeaseValid bool
}
