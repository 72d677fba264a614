package quota

import (
	"cmp"
	"slices"
	"time"
)

// holderKey identifies one incarnation of a holder.
type holderKey struct {
	process     string
	incarnation uint64
}

func (k holderKey) compare(other holderKey) int {
	return cmp.Or(cmp.Compare(k.incarnation, other.incarnation), cmp.Compare(k.process, other.process))
}

// account is what an owner knows about one holder of a team's tokens.
type account struct {
	holder holderKey
	// outstanding is at least the number of tokens that the holder can still spend.
	outstanding int
	// expires is the time at which these tokens expire, on the owner's clock. From then on the holder cannot spend them.
	expires time.Duration
	// lastID is the ID of the newest request, and lastReply the reply to it, which is sent again when the request is
	// repeated.
	lastID    uint64
	lastReply accountReply
}

// accountReply is the part of a GrantReply that an account keeps. It is small, because there is one for every holder
// of every active team.
type accountReply struct {
	granted, confirmed int32
	tight              bool
	retryAfter         time.Duration
}

func newAccountReply(r GrantReply) accountReply {
	return accountReply{
		granted:    int32(r.Granted),
		confirmed:  int32(r.Confirmed),
		tight:      r.Tight,
		retryAfter: r.RetryAfter,
	}
}

// restore sets the stored fields in the reply to a repeated request.
func (a accountReply) restore(r GrantReply) GrantReply {
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
	// outstanding is the sum of the accounts' outstanding tokens.
	outstanding int
	// refilled is the time up to which the level was refilled.
	refilled time.Duration
	// nextExpiry is no later than the earliest expiry of an account.
	nextExpiry time.Duration
	// accounts are sorted by holder. Most teams have few, for which a map would take several times the memory.
	accounts []account
}

// find returns the index of a holder's account, or the index at which to insert it and false.
func (b *bucket) find(key holderKey) (int, bool) {
	return slices.BinarySearchFunc(b.accounts, key, func(a account, key holderKey) int { return a.holder.compare(key) })
}

// refill adds the tokens for the time since the last call, up to a level of burst - outstanding.
func (b *bucket) refill(now time.Duration, rate float64, burst int) {
	if now > b.refilled {
		b.level += rate * (now - b.refilled).Seconds()
		b.refilled = now
	}
	b.level = max(min(b.level, float64(burst-b.outstanding)), 0)
}

// advance updates the bucket to the time now: it refills it and removes the accounts of holders whose tokens can no
// longer be spent. These tokens are lost. They are replaced by the refill only from the latest of their expiries on,
// because until then they could have been spent.
func (b *bucket) advance(now time.Duration, rate float64, burst int) {
	if len(b.accounts) > 0 && now >= b.nextExpiry {
		b.refill(b.lastPassedExpiry(now), rate, burst)
		b.expire(now)
	}
	b.refill(now, rate, burst)
}

// lastPassedExpiry returns the latest expiry that has passed, or 0 if none has.
func (b *bucket) lastPassedExpiry(now time.Duration) time.Duration {
	var last time.Duration
	for _, a := range b.accounts {
		if now >= a.expires {
			last = max(last, a.expires)
		}
	}
	return last
}

// expire removes the accounts that have expired and updates nextExpiry.
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
