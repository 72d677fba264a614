package quota

import (
	"cmp"
	"slices"
	"time"
)

// holderKey identifies one life of a holder.
type holderKey struct {
	process     string
	incarnation uint64
}

func (k holderKey) compare(other holderKey) int {
	return cmp.Or(cmp.Compare(k.incarnation, other.incarnation), cmp.Compare(k.process, other.process))
}

// account is what an owner knows of one holder of a team's tokens.
type account struct {
	holder holderKey
	// outstanding is at least the number of tokens that the holder can still spend.
	outstanding int
	// expires is when the holder can no longer spend them.
	expires time.Duration
	// id is the last request and answer its reply, for when the request is repeated.
	id     uint64
	answer accountAnswer
}

// accountAnswer is what an account keeps of a GrantReply. Its size counts for every holder of every active team.
type accountAnswer struct {
	granted, confirmed int32
	tight              bool
	retryAfter         time.Duration
}

func keepAnswer(r GrantReply) accountAnswer {
	return accountAnswer{
		granted:    int32(r.Granted),
		confirmed:  int32(r.Confirmed),
		tight:      r.Tight,
		retryAfter: r.RetryAfter,
	}
}

// restore fills in the reply to a repeated request.
func (a accountAnswer) restore(r GrantReply) GrantReply {
	r.Granted = int(a.granted)
	r.Confirmed = int(a.confirmed)
	r.Tight = a.tight
	r.RetryAfter = a.retryAfter
	return r
}

// bucket is the state of one active team at its owner.
type bucket struct {
	// level is the number of tokens that may be granted.
	level float64
	// outstanding is the sum over accounts.
	outstanding int
	refilled    time.Duration
	// nextExpiry is no later than the earliest expiry of an account.
	nextExpiry time.Duration
	// accounts are sorted by holder. Most teams have few, for which a map costs several times the memory.
	accounts []account
}

// find returns the position of a holder's account, or where it belongs.
func (b *bucket) find(key holderKey) (int, bool) {
	return slices.BinarySearchFunc(b.accounts, key, func(a account, key holderKey) int { return a.holder.compare(key) })
}

// refill adds the tokens of the time since the last call, at most up to burst - outstanding.
func (b *bucket) refill(now time.Duration, rate float64, burst int) {
	if now > b.refilled {
		b.level += rate * (now - b.refilled).Seconds()
		b.refilled = now
	}
	b.level = max(min(b.level, float64(burst-b.outstanding)), 0)
}

// advance brings the bucket to the present: it refills and forgets holders whose tokens can no longer be spent. Their
// tokens are lost. Their room is refilled only from the last of these expiries on, because until then the tokens could
// be spent.
func (b *bucket) advance(now time.Duration, rate float64, burst int) {
	if len(b.accounts) > 0 && now >= b.nextExpiry {
		b.refill(b.lastExpired(now), rate, burst)
		b.expire(now)
	}
	b.refill(now, rate, burst)
}

// lastExpired is the latest expiry that has passed.
func (b *bucket) lastExpired(now time.Duration) time.Duration {
	var last time.Duration
	for _, a := range b.accounts {
		if now >= a.expires {
			last = max(last, a.expires)
		}
	}
	return last
}

// expire removes the accounts that have expired and finds the next expiry.
func (b *bucket) expire(now time.Duration) {
	first := true
	b.accounts = slices.DeleteFunc(b.accounts, func(a account) bool {
		if now >= a.expires {
			b.outstanding -= a.outstanding
			return true
		}
		if first || a.expires < b.nextExpiry {
			b.nextExpiry = a.expires
			first = false
		}
		return false
	})
}
