package main

import "time"

// bucket is a token bucket.
type bucket struct {
	rate, burst float64 // tokens a second, and at most
	level       float64
	at          time.Duration
}

// newBucket returns a full bucket.
func newBucket(rate, burst float64) *bucket { return &bucket{rate: rate, burst: burst, level: burst} }

// take takes one token. now does not decrease.
func (b *bucket) take(now time.Duration) bool {
	b.level = min(b.burst, b.level+b.rate*(now-b.at).Seconds())
	b.at = now
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}
