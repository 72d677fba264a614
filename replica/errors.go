package replica

import "github.com/pkg/errors"

// Errors of this package. Returned errors may wrap them; compare with errors.Is.
var (
	// ErrEmpty: the data folder holds no group. Initialise founds one, Join enters one.
	ErrEmpty = errors.New("replica: data folder holds no group")
	// ErrNotEmpty: the data folder already holds a group.
	ErrNotEmpty = errors.New("replica: data folder already holds a group")
	// ErrBadVoters: the list of voters has duplicates or lacks the own id.
	ErrBadVoters = errors.New("replica: bad list of voters")
	// ErrStopped: the group is stopped; the call had no effect.
	ErrStopped = errors.New("replica: stopped")
	// ErrTooLarge: the proposal is larger than Options.MaxProposalBytes.
	ErrTooLarge = errors.New("replica: proposal too large")
)

// UnknownError reports a proposal whose outcome is not known: it may be applied, now or later. It does not unwrap to
// its cause, since ErrStopped and errors of a context stand for proposals without effect.
type UnknownError struct {
	// Err tells why the wait for the outcome ended.
	Err error
}

func (e *UnknownError) Error() string { return "replica: outcome unknown: " + e.Err.Error() }
