package routing

// Budget settings.
const (
	// RetryRatio is the share of requests that may be retries.
	RetryRatio = 0.2
	// RetryReserve is the number of retries that are possible before any request earned them.
	RetryReserve = 10
)

// RetryBudget bounds the retries of one service, so that retries cannot multiply an overload. Over any time it allows
// at most ratio*requests + reserve retries.
type RetryBudget struct {
	ratio, reserve float64
	tokens         float64
}

// NewRetryBudget returns a budget with the default ratio and a full reserve.
func NewRetryBudget() *RetryBudget {
	return NewRetryBudgetWith(RetryRatio, RetryReserve)
}

// NewRetryBudgetWith returns a budget with a full reserve of at least one retry.
func NewRetryBudgetWith(ratio, reserve float64) *RetryBudget {
	reserve = max(reserve, 1)
	return &RetryBudget{ratio: ratio, reserve: reserve, tokens: reserve}
}

// Request counts a new request, which is not a retry.
func (b *RetryBudget) Request() {
	b.tokens = min(b.tokens+b.ratio, b.reserve)
}

// Refund gives back a retry that was taken and not sent.
func (b *RetryBudget) Refund() { b.tokens = min(b.tokens+1, b.reserve) }

// Retry takes one retry from the budget and tells whether it may be sent.
func (b *RetryBudget) Retry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
