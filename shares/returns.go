package shares

import "time"

const (
	// returnBucket and returnBuckets divide the time in which refused requests are remembered.
	returnBucket  = time.Second
	returnBuckets = 16
	// returnWindow is the number of past buckets whose refused requests must fit into the capacity when they return.
	returnWindow = 5
)

// returns estimates the work of refused requests that come back, and when the next ones should. It handles the load
// pattern in which refused callers return at the same time and keep a service short after the cause has ended.
type returns struct {
	now int64 // index of the present bucket
	// refused and due hold slot seconds by bucket: refused work, and that of refused requests that were asked to come back.
	refused, due [returnBuckets]float64
	// known is how long requests have been refused without a break. Before the first second of it, the delay is not known.
	known time.Duration
}

// decide records the work that is refused from now on, in slots, and returns the mean delay after which it should
// return.
func (r *returns) decide(now, elapsed time.Duration, refused, demand, limit float64) time.Duration {
	r.advance(int64(now / returnBucket))
	if refused <= 0 {
		r.known = 0
	}
	delay := MinRetryAfter
	if r.known >= returnBucket {
		delay = r.delay(refused, demand, limit)
	}
	if refused <= 0 {
		return delay
	}
	r.known += min(elapsed, returnBucket)
	work := refused * min(elapsed, returnBucket).Seconds()
	r.refused[r.index(0)] += work
	r.due[r.index(int64(delay/returnBucket))] += work
	return delay
}

// delay returns the time over which the refused requests of the last seconds fit into the capacity that new demand leaves.
func (r *returns) delay(refused, demand, limit float64) time.Duration {
	pending := 0.0
	for i := range int64(returnWindow) {
		pending += r.refused[r.index(-i)]
	}
	// The buckets around the present one smooth the borders between buckets.
	returning := (r.due[r.index(-1)] + r.due[r.index(0)]) / 2 / returnBucket.Seconds()
	left := limit - max(demand-returning, 0)
	if left*MaxRetryAfter.Seconds() <= pending {
		return MaxRetryAfter
	}
	return max(time.Duration(pending/left*float64(time.Second)), MinRetryAfter)
}

// advance clears the buckets that begin.
func (r *returns) advance(now int64) {
	for n := 0; r.now < now && n < returnBuckets; n++ {
		r.now++
		// The bucket farthest in the future for due, and the one that begins for refused.
		r.refused[r.index(0)] = 0
		r.due[r.index(returnBuckets-2)] = 0
	}
	r.now = max(r.now, now)
}

// index returns the index of the bucket that is offset buckets from the present one.
func (r *returns) index(offset int64) int64 {
	return ((r.now+offset)%returnBuckets + returnBuckets) % returnBuckets
}
