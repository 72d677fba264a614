package main

import "time"

// tokenBucket is a token bucket that starts full.
type tokenBucket struct {
	rate, burst float64 // tokens per second, and the capacity in tokens
	tokens      float64
	updated     time.Duration // time of tokens, on the clock of takeToken's now
}

// newTokenBucket returns a full bucket. rate is in tokens per second.
func newTokenBucket(rate, burst float64) *tokenBucket {
	return &tokenBucket{rate: rate, burst: burst, tokens: burst}
}

// takeToken takes one token and reports whether there was one. now must not decrease from call to call.
func (b *tokenBucket) takeToken(now time.Duration) bool {
	b.tokens = min(b.burst, b.tokens+b.rate*(now-b.updated).Seconds())
	b.updated = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
