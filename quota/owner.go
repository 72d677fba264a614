package quota

import (
	"math"
	"slices"
	"time"
)

// maxTurnWait limits the wait for the other holders that compete for an empty bucket. With longer waits, requests
// within the rate would be refused.
const maxTurnWait = 20 * time.Millisecond

// tightBurstDivisor sets the share of the burst, 1/8, above which GrantReply.Tight is set, because so many outstanding
// tokens hold back the refill.
const tightBurstDivisor = 8

// Owner grants the tokens of a shard's teams. Only teams with recent requests have a bucket; Sweep removes the others.
type Owner struct {
	cfg Config
	// opensAt is the time at which the Owner begins to refill its buckets, which start empty.
	opensAt   time.Duration
	limits    map[string]Limit
	buckets   map[string]*bucket
	lastSweep time.Duration
}

// NewOwner returns an Owner without teams. A process that becomes the owner of a shard again needs a new Owner with a
// new Config.Start.
func NewOwner(cfg Config) *Owner {
	cfg = cfg.withDefaults()
	return &Owner{
		cfg:     cfg,
		opensAt: cfg.Start + cfg.LongestLifetime(),
		limits:  make(map[string]Limit),
		buckets: make(map[string]*bucket),
	}
}

// SetTeam sets a team's limit.
func (o *Owner) SetTeam(team string, l Limit) {
	o.limits[team] = l
}

// RemoveTeam removes a team's limit. Its holders are granted nothing more; their tokens stay counted until they expire.
func (o *Owner) RemoveTeam(team string) {
	delete(o.limits, team)
}

// Request decides the request of a holder and returns the reply. A request with a repeated ID gets the first reply
// again.
func (o *Owner) Request(now time.Duration, r GrantRequest) GrantReply {
	reply := GrantReply{Process: r.Process, Incarnation: r.Incarnation, Team: r.Team, ID: r.ID}
	limit, ok := o.limits[r.Team]
	if !ok {
		reply.Unknown = true
		reply.RetryAfter = o.cfg.Lifetime
		return reply
	}
	b := o.bucketFor(r.Team)
	b.advance(now, o.rate(limit), limit.Burst)
	key := holderKey{r.Process, r.Incarnation}
	i, known := b.find(key)
	if !known {
		b.accounts = slices.Insert(b.accounts, i, account{holder: key})
	}
	a := &b.accounts[i]
	switch {
	case !known:
	case r.ID == a.lastID:
		return a.lastReply.restore(reply)
	case r.ID < a.lastID:
		reply.Stale = true
		return reply
	}
	o.reconcile(b, a, r, &reply)
	o.grant(now, b, a, r, limit, &reply)
	a.lastID = r.ID
	a.lastReply = newAccountReply(reply)
	a.expires = now + o.cfg.ownerLifetime(o.cfg.lifetime(r.Brief))
	if len(b.accounts) == 1 || a.expires < b.nextExpiry {
		b.nextExpiry = a.expires
	}
	return reply
}

// reconcile sets the outstanding tokens of a holder to those that it still has, and takes back the returned ones.
func (o *Owner) reconcile(b *bucket, a *account, r GrantRequest, reply *GrantReply) {
	reply.Confirmed = min(max(r.Held, 0), a.outstanding)
	returned := min(max(r.Returned, 0), a.outstanding-reply.Confirmed)
	b.outstanding -= a.outstanding - reply.Confirmed
	b.level += float64(returned)
	a.outstanding = reply.Confirmed
}

// grant moves tokens from the level to the holder. Spare tokens are granted only as far as half of the burst remains
// for other holders.
func (o *Owner) grant(now time.Duration, b *bucket, a *account, r GrantRequest, limit Limit, reply *GrantReply) {
	available := int(b.level)
	// The upper limit keeps the sums below from overflowing.
	need, wantedSpare := min(max(r.Need, 0), math.MaxInt32), min(max(r.Spare, 0), math.MaxInt32)
	spare := min(wantedSpare, max(available-need-(limit.Burst+1)/2, 0))
	reply.Granted = min(need+spare, available)
	b.level -= float64(reply.Granted)
	b.outstanding += reply.Granted
	a.outstanding += reply.Granted
	reply.Tight = tightBurstDivisor*b.outstanding > limit.Burst
	if wanted := need + wantedSpare; wanted > 0 && reply.Granted < max(need, 1) {
		reply.RetryAfter = o.retryAfter(now, b, limit)
	}
}

// retryAfter returns the time until the level reaches one token, or until each competing holder has had a turn,
// whichever is longer. The time until the Owner opens is added.
func (o *Owner) retryAfter(now time.Duration, b *bucket, limit Limit) time.Duration {
	if limit.Burst < 1 || limit.Rate <= 0 {
		return maxOwnerRetryAfter
	}
	missing := 1 - b.level
	if missing <= 0 {
		return 0
	}
	tokenInterval := float64(time.Second) / o.rate(limit)
	turnWait := min(time.Duration(float64(len(b.accounts))*tokenInterval), maxTurnWait)
	untilOpen := max(o.opensAt-now, 0)
	return untilOpen + max(time.Duration(missing*tokenInterval), turnWait, minRetryAfter)
}

// rate returns the refill rate on the owner's clock, in tokens per second. It is reduced by Config.Drift, because the
// clock may be fast.
func (o *Owner) rate(limit Limit) float64 {
	return limit.Rate / (1 + o.cfg.Drift)
}

// bucketFor returns a team's bucket. A team without one has had no outstanding tokens since its bucket was last full,
// or since the Owner opened, so that a new bucket is refilled from the opening on.
func (o *Owner) bucketFor(team string) *bucket {
	b := o.buckets[team]
	if b != nil {
		return b
	}
	b = &bucket{refilled: o.opensAt}
	o.buckets[team] = b
	return b
}

// Sweep removes the buckets of teams that are idle and full, at most once per lifetime. Call it regularly.
func (o *Owner) Sweep(now time.Duration) {
	if now < o.lastSweep+o.cfg.Lifetime {
		return
	}
	o.lastSweep = now
	for team, b := range o.buckets {
		limit := o.limits[team]
		b.advance(now, o.rate(limit), limit.Burst)
		if len(b.accounts) == 0 && b.level >= float64(limit.Burst) {
			delete(o.buckets, team)
		}
	}
}

// Active returns the number of teams whose buckets take memory.
func (o *Owner) Active() int {
	return len(o.buckets)
}
