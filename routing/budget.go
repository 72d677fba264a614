package routing

// Budget settings.
const (
	// RetryRatio is the share of requests that may be retries.
	RetryRatio = 0.2
	// RetryReserve is the number of retries that are possible before any request earned them.
	RetryReserve = 10
)

// RetryBudget bounds the retries of one service, so that retries cannot multiply an overload. Over any time it allows
// at most RetryRatio*requests + RetryReserve retries.
type RetryBudget struct {
	tokens float64
}

// NewRetryBudget returns a budget with a full reserve.
func NewRetryBudget() *RetryBudget {
	return &RetryBudget{tokens: RetryReserve}
}

// Request counts a new request, which is not a retry.
func (b *RetryBudget) Request() {
	b.tokens = min(b.tokens+RetryRatio, RetryReserve)
}

// Retry takes one retry from the budget and tells whether it may be sent.
func (b *RetryBudget) Retry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
