package routing

// Default limits of a RetryBudget.
const (
	// RetryRatio is the number of retries that each request adds to the budget.
	RetryRatio = 0.2
	// RetryReserve is the number of retries in a new budget, and the most that it can hold.
	RetryReserve = 10
)

// RetryBudget limits the retries of one service, so that retries cannot multiply an overload. In any period of time
// it allows at most ratio * requests + reserve retries.
type RetryBudget struct {
	ratio, reserve float64
	tokens         float64 // retries that may be sent now
}

// NewRetryBudget returns a full budget with RetryRatio and RetryReserve.
func NewRetryBudget() *RetryBudget {
	return NewRetryBudgetWith(RetryRatio, RetryReserve)
}

// NewRetryBudgetWith returns a full budget with the given limits. A reserve below 1 is raised to 1.
func NewRetryBudgetWith(ratio, reserve float64) *RetryBudget {
	reserve = max(reserve, 1)
	return &RetryBudget{ratio: ratio, reserve: reserve, tokens: reserve}
}

// RecordRequest records a new request that is not a retry, and adds its share to the budget.
func (b *RetryBudget) RecordRequest() {
	b.tokens = min(b.tokens+b.ratio, b.reserve)
}

// Refund returns a retry to the budget that TryRetry took and that was not sent.
func (b *RetryBudget) Refund() { b.tokens = min(b.tokens+1, b.reserve) }

// TryRetry takes one retry from the budget and reports whether it may be sent.
func (b *RetryBudget) TryRetry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
