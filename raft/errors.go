package raft

import (
	"fmt"

	"github.com/pkg/errors"
)

// Errors of Node. Returned errors wrap them with details; compare with errors.Is.
var (
	// ErrTransferring: a leadership transfer is under way, no proposal is taken.
	ErrTransferring = errors.New("raft: leadership transfer in progress")
	// ErrBusy: too much uncommitted data waits for a quorum; see Config.MaxUncommittedBytes.
	ErrBusy = errors.New("raft: too much uncommitted data")
	// ErrEmptyProposal: empty data is reserved for the start of a leader's term.
	ErrEmptyProposal = errors.New("raft: empty proposal")
	// ErrChangePending: an earlier membership change, or the first entry of the leader's term, is not committed yet.
	ErrChangePending = errors.New("raft: membership change pending")
	// ErrNotCaughtUp: the learner lacks committed entries or does not answer.
	ErrNotCaughtUp = errors.New("raft: learner has not caught up")
	// ErrBadChange: the change does not fit the current membership.
	ErrBadChange = errors.New("raft: membership change does not fit")
	// ErrNotVoter: the member is no voter of the group.
	ErrNotVoter = errors.New("raft: not a voter")
	// ErrWrongMember: the message is addressed to another member, for example to the former ID of a VM that lost its
	// disk.
	ErrWrongMember = errors.New("raft: message for another member")
	// ErrLostState: the group counts this member as a voter, but its storage is empty. It may have voted and
	// acknowledged entries before, so it must join under a new ID.
	ErrLostState = errors.New("raft: voter without its stored state")
	// ErrCompacted: the index is no longer in the log, or not applied yet.
	ErrCompacted = errors.New("raft: index not available")
	// ErrMalformed: the message or the restored state contradicts itself or the committed log.
	ErrMalformed = errors.New("raft: malformed")
)

// NotLeaderError reports that the call needs the leader. Leader is 0 where none is known.
type NotLeaderError struct{ Leader ID }

func (e *NotLeaderError) Error() string {
	if e.Leader == 0 {
		return "raft: not the leader, leader unknown"
	}
	return fmt.Sprintf("raft: not the leader, leader is %v", e.Leader)
}
