package replica

import "github.com/pkg/errors"

// Errors of this package. Returned errors may wrap them, so compare them with errors.Is.
var (
	// ErrEmpty: the data folder holds no group state. Initialise creates a new group, Join joins an existing one.
	ErrEmpty = errors.New("replica: data folder holds no group")
	// ErrNotEmpty: the data folder already holds the state of a group.
	ErrNotEmpty = errors.New("replica: data folder already holds a group")
	// ErrBadVoters: the list of voters contains a duplicate or 0, or does not contain this member's ID.
	ErrBadVoters = errors.New("replica: bad list of voters")
	// ErrStopped: the Group is stopped, and the call had no effect.
	ErrStopped = errors.New("replica: stopped")
	// ErrTooLarge: the proposal is larger than Options.MaxProposalBytes, 8 MiB by default.
	ErrTooLarge = errors.New("replica: proposal too large")
)

// UnknownError reports a proposal with an unknown outcome: it may have been applied or may be applied later. It does not
// unwrap to its cause, because ErrStopped and context errors on their own mean that a proposal had no effect.
type UnknownError struct {
	// Err is the reason why the wait for the outcome ended.
	Err error
}

func (e *UnknownError) Error() string { return "replica: outcome unknown: " + e.Err.Error() }
