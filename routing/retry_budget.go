package routing

import "time"

// Default limits of a RetryBudget.
const (
	// RetryRatio is the number of retries that each request of a window allows.
	RetryRatio = 0.2
	// RetryReserve is the number of retries in a window without requests.
	RetryReserve = 10
	// RetryWindow is the time over which requests and retries are counted.
	RetryWindow = 10 * time.Second
)

// retryBuckets is the number of parts into which RetryWindow is divided.
const retryBuckets = 10

// RetryBudget limits the retries of one service, so that retries cannot multiply an overload: the retries of a window
// (RetryWindow) are at most ratio * requests + reserve. It counts over a window instead of keeping a few tokens, because the
// entries of a large fleet share the reserve: an entry that gets a request every second and the failures of two calls at once
// would have no token for the second one, although the fleet has hardly used its budget.
type RetryBudget struct {
	ratio, reserve float64
	// bucket is the number of the newest part of the window; requests and retries hold the counts of the last parts.
	bucket   int64
	requests [retryBuckets]int
	// retries has one part more than requests, so that it always covers a whole window.
	retries [retryBuckets + 1]int
	// reserved is the number of retries that are reserved and not sent yet.
	reserved int
}

// NewRetryBudget returns a budget with RetryRatio and RetryReserve.
func NewRetryBudget() *RetryBudget {
	return NewRetryBudgetWith(RetryRatio, RetryReserve)
}

// NewRetryBudgetWith returns a budget with the given limits. A reserve below 1 is raised to 1.
func NewRetryBudgetWith(ratio, reserve float64) *RetryBudget {
	b := &RetryBudget{ratio: ratio}
	b.SetReserve(reserve)
	return b
}

// SetReserve changes the reserve. A reserve below 1 is raised to 1.
func (b *RetryBudget) SetReserve(reserve float64) { b.reserve = max(reserve, 1) }

// RecordRequest records a new request that is not a retry.
func (b *RetryBudget) RecordRequest(now time.Duration) {
	b.advance(now)
	b.requests[b.bucket%retryBuckets]++
}

// Reserve reserves a retry for a request and reports whether it may be sent. It must be ended by UseReserved or Release.
func (b *RetryBudget) Reserve(now time.Duration) bool {
	if !b.allows(now, 1) {
		return false
	}
	b.reserved++
	return true
}

// refusedShare is the part of the budget that retries of requests may use whose callers can send them again.
const refusedShare = 0.5

// TryRetryRefused is TryRetry for a request that did not run and whose caller learns that. It leaves a part of the budget to
// the others. Load pattern: all backend servers of a service shed a share of their requests; a caller that is refused comes
// back, but a request of which a call fails is lost after most of its work is done.
func (b *RetryBudget) TryRetryRefused(now time.Duration) bool {
	return b.allows(now, refusedShare) && b.TryRetry(now)
}

// ReserveRefused is Reserve for a request as in TryRetryRefused.
func (b *RetryBudget) ReserveRefused(now time.Duration) bool {
	return b.allows(now, refusedShare) && b.Reserve(now)
}

// UseReserved records that a reserved retry is sent.
func (b *RetryBudget) UseReserved(now time.Duration) {
	b.advance(now)
	b.reserved--
	b.retries[b.bucket%int64(len(b.retries))]++
}

// Release returns a reserved retry that was not sent.
func (b *RetryBudget) Release() { b.reserved-- }

// TryRetry records a retry and reports whether it may be sent.
func (b *RetryBudget) TryRetry(now time.Duration) bool {
	if !b.Reserve(now) {
		return false
	}
	b.UseReserved(now)
	return true
}

// allows reports whether one more retry is within a share of the budget.
func (b *RetryBudget) allows(now time.Duration, share float64) bool {
	b.advance(now)
	requests, retries := 0, b.reserved+1
	for _, n := range b.requests {
		requests += n
	}
	for _, n := range b.retries {
		retries += n
	}
	return float64(retries) <= share*b.ratio*float64(requests)+max(share*b.reserve, 1)
}

// advance clears the counts that have left the window.
func (b *RetryBudget) advance(now time.Duration) {
	newest := int64(now / (RetryWindow / retryBuckets))
	for i := max(b.bucket+1, newest-retryBuckets); i <= newest; i++ {
		b.requests[i%retryBuckets] = 0
		b.retries[i%int64(len(b.retries))] = 0
	}
	b.bucket = max(b.bucket, newest)
}
