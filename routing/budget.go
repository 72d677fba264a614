package routing

import "time"

// Budget settings.
const (
	// RetryRatio is the share of requests that may be retries.
	RetryRatio = 0.2
	// RetryReserve is the number of retries that are possible without recent requests.
	RetryReserve = 10
	// RetryReserveRefill is the number of retries a second that come back without requests.
	RetryReserveRefill = 1
)

// RetryBudget bounds the retries of one service, so that retries cannot multiply an overload. Over any time of t
// seconds it allows at most RetryRatio*requests + RetryReserve + RetryReserveRefill*t retries.
type RetryBudget struct {
	tokens float64
	last   time.Duration
}

// NewRetryBudget returns a budget with a full reserve.
func NewRetryBudget(now time.Duration) *RetryBudget {
	return &RetryBudget{tokens: RetryReserve, last: now}
}

// Request counts a new request, which is not a retry.
func (b *RetryBudget) Request(now time.Duration) {
	b.refill(now)
	b.add(RetryRatio)
}

// Retry takes one retry from the budget and tells whether it may be sent.
func (b *RetryBudget) Retry(now time.Duration) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *RetryBudget) refill(now time.Duration) {
	if now <= b.last {
		return
	}
	b.add(RetryReserveRefill * (now - b.last).Seconds())
	b.last = now
}

func (b *RetryBudget) add(n float64) {
	b.tokens = min(b.tokens+n, RetryReserve)
}
