package routing

import "time"

// Outcome is what the entry knows about an attempt.
type Outcome int

const (
	// OutcomeAnswered means that the backend server answered.
	OutcomeAnswered Outcome = iota
	// OutcomeNotRun means that it is certain that no backend server began the request: the gate said so, or no
	// connection was established.
	OutcomeNotRun
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown
)

// Attempt describes a finished attempt for the decision to retry.
type Attempt struct {
	Outcome    Outcome
	Repeatable bool // the request may be repeated
	Streaming  bool // part of an answer was already sent to the caller
	BodySpent  bool // the request body was read and cannot be sent again
	Number     int  // 1 for the first attempt
	Remaining  time.Duration
}

// Limits of retries for one request.
const (
	// MaxAttempts bounds the attempts for one request.
	MaxAttempts = 4
	// MinRemaining is the least time before the deadline at which a retry is worth sending.
	MinRemaining = 5 * time.Millisecond
)

// MayRetry tells whether another attempt is correct and has a chance to finish. The caller takes the retry from the
// RetryBudget after that, so that impossible retries cost nothing.
func MayRetry(a Attempt) bool {
	if a.Outcome == OutcomeAnswered || a.Streaming || a.BodySpent {
		return false
	}
	if a.Outcome == OutcomeUnknown && !a.Repeatable {
		return false
	}
	return a.Number < MaxAttempts && a.Remaining >= MinRemaining
}
