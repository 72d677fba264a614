package routing

import "time"

// Outcome is what the entry knows about an attempt.
type Outcome int

const (
	// OutcomeAnswered means that the backend server sent a response.
	OutcomeAnswered Outcome = iota
	// OutcomeNotRun means that no backend server started the request: the gate reported it, or no connection was
	// established.
	OutcomeNotRun
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown
)

// Attempt describes a finished attempt at a request, for MayRetry.
type Attempt struct {
	Outcome      Outcome
	Repeatable   bool          // the request may run more than once
	Streaming    bool          // part of the response was already sent to the caller
	BodyConsumed bool          // the request body was read and is no longer available
	Number       int           // 1 for the first attempt
	Remaining    time.Duration // time left until the deadline
}

// Limits of the retries of one request.
const (
	// MaxAttempts is the maximum number of attempts at one request, the first one included.
	MaxAttempts = 4
	// MinRemaining is the minimum time left until the deadline for a retry.
	MinRemaining = 5 * time.Millisecond
)

// MayRetry reports whether a retry is allowed and has time to finish. The caller calls RetryBudget.TryRetry only if
// MayRetry returns true, so that retries that are never sent do not use up the budget.
func MayRetry(a Attempt) bool {
	if a.Outcome == OutcomeAnswered || a.Streaming || a.BodyConsumed {
		return false
	}
	if a.Outcome == OutcomeUnknown && !a.Repeatable {
		return false
	}
	return a.Number < MaxAttempts && a.Remaining >= MinRemaining
}
