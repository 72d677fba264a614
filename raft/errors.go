package raft

import (
	"fmt"

	"github.com/pkg/errors"
)

// Errors that the methods of Node return, usually wrapped with details. Compare them with errors.Is.
var (
	// ErrTransferring: proposals are rejected while a leadership transfer is in progress.
	ErrTransferring = errors.New("raft: leadership transfer in progress")
	// ErrBusy: the leader's uncommitted entries would hold more data than Config.MaxUncommittedBytes, 16 MiB by default.
	ErrBusy = errors.New("raft: too much uncommitted data")
	// ErrEmptyProposal: the proposal has no data. Empty entries are reserved for the start of a leader's term.
	ErrEmptyProposal = errors.New("raft: empty proposal")
	// ErrChangePending: an earlier membership change, or the first entry of the leader's term, is not committed yet.
	ErrChangePending = errors.New("raft: membership change pending")
	// ErrNotCaughtUp: the learner lacks committed entries or does not reply to the leader.
	ErrNotCaughtUp = errors.New("raft: learner has not caught up")
	// ErrBadChange: the change is not valid for the current membership.
	ErrBadChange = errors.New("raft: membership change does not fit")
	// ErrNotVoter: the member is not a voter of the group.
	ErrNotVoter = errors.New("raft: not a voter")
	// ErrWrongMember: the message is addressed to another member, for example to the previous ID of a VM that lost its
	// disk.
	ErrWrongMember = errors.New("raft: message for another member")
	// ErrLostState: the group lists this member as a voter, but its storage is empty. Before it lost its state it may have
	// voted and acknowledged entries, so it must join under a new ID.
	ErrLostState = errors.New("raft: voter without its stored state")
	// ErrCompacted: the index was already compacted, or is not applied yet.
	ErrCompacted = errors.New("raft: index not available")
	// ErrMalformed: the message or the initial state is inconsistent in itself or conflicts with the committed log.
	ErrMalformed = errors.New("raft: malformed")
)

// NotLeaderError reports that the call must be made on the leader. Leader is 0 if no leader is known.
type NotLeaderError struct{ Leader ID }

func (e *NotLeaderError) Error() string {
	if e.Leader == 0 {
		return "raft: not the leader, leader unknown"
	}
	return fmt.Sprintf("raft: not the leader, leader is %v", e.Leader)
}
