package quota

import (
	"slices"
	"time"
)

// maxTurn bounds the wait for the other holders of an empty bucket. Longer waits would refuse requests inside the rate.
const maxTurn = 20 * time.Millisecond

// tightShare is the inverse of the part of a burst above which outstanding tokens hold back the refill.
const tightShare = 8

// Owner grants the tokens of a shard's teams. Only teams with requests within the last lifetimes cost memory.
type Owner struct {
	cfg Config
	// opens is when the Owner starts to refill from level 0.
	opens   time.Duration
	limits  map[string]Limit
	buckets map[string]*bucket
	swept   time.Duration
}

// NewOwner returns an Owner without teams. A process that gets a shard again needs a new Owner with a new Config.Start.
func NewOwner(cfg Config) *Owner {
	cfg = cfg.withDefaults()
	return &Owner{
		cfg:     cfg,
		opens:   cfg.Start + cfg.LongestLifetime(),
		limits:  make(map[string]Limit),
		buckets: make(map[string]*bucket),
	}
}

// SetTeam sets a team's limit.
func (o *Owner) SetTeam(team string, l Limit) {
	o.limits[team] = l
}

// RemoveTeam forgets a team. Its holders get nothing more; what they hold stays counted until it expires.
func (o *Owner) RemoveTeam(team string) {
	delete(o.limits, team)
}

// Request answers a holder. A repeated ID gets the first answer again.
func (o *Owner) Request(now time.Duration, r GrantRequest) GrantReply {
	reply := GrantReply{Process: r.Process, Incarnation: r.Incarnation, Team: r.Team, ID: r.ID}
	limit, ok := o.limits[r.Team]
	if !ok {
		reply.Unknown = true
		reply.RetryAfter = o.cfg.Lifetime
		return reply
	}
	b := o.bucket(r.Team)
	b.advance(now, o.rate(limit), limit.Burst)
	key := holderKey{r.Process, r.Incarnation}
	i, known := b.find(key)
	if !known {
		b.accounts = slices.Insert(b.accounts, i, account{holder: key})
	}
	a := &b.accounts[i]
	switch {
	case !known:
	case r.ID == a.id:
		return a.answer.restore(reply)
	case r.ID < a.id:
		reply.Stale = true
		return reply
	}
	o.settle(b, a, r, &reply)
	o.grant(now, b, a, r, limit, &reply)
	a.id = r.ID
	a.answer = keepAnswer(reply)
	a.expires = now + o.cfg.ownerLifetime(o.cfg.lifetime(r.Brief))
	if len(b.accounts) == 1 || a.expires < b.nextExpiry {
		b.nextExpiry = a.expires
	}
	return reply
}

// settle replaces the holder's outstanding tokens with those that it still holds and takes back returned ones.
func (o *Owner) settle(b *bucket, a *account, r GrantRequest, reply *GrantReply) {
	reply.Confirmed = min(max(r.Held, 0), a.outstanding)
	returned := min(max(r.Returned, 0), a.outstanding-reply.Confirmed)
	b.outstanding -= a.outstanding - reply.Confirmed
	b.level += float64(returned)
	a.outstanding = reply.Confirmed
}

// grant moves tokens from the level to the holder. Spare tokens leave half of the burst for other holders.
func (o *Owner) grant(now time.Duration, b *bucket, a *account, r GrantRequest, limit Limit, reply *GrantReply) {
	available := int(b.level)
	need := max(r.Need, 0)
	spare := min(max(r.Spare, 0), max(available-need-(limit.Burst+1)/2, 0))
	reply.Granted = min(need+spare, available)
	b.level -= float64(reply.Granted)
	b.outstanding += reply.Granted
	a.outstanding += reply.Granted
	reply.Tight = tightShare*b.outstanding > limit.Burst
	if wanted := need + max(r.Spare, 0); wanted > 0 && reply.Granted < max(need, 1) {
		reply.RetryAfter = o.retryAfter(now, b, limit)
	}
}

// retryAfter is the time until the level reaches one token, or until each competing holder had a turn.
func (o *Owner) retryAfter(now time.Duration, b *bucket, limit Limit) time.Duration {
	if limit.Burst < 1 || limit.Rate <= 0 {
		return time.Hour
	}
	missing := 1 - b.level
	if missing <= 0 {
		return 0
	}
	token := float64(time.Second) / o.rate(limit)
	turn := min(time.Duration(float64(len(b.accounts))*token), maxTurn)
	closed := max(o.opens-now, 0)
	return closed + max(time.Duration(missing*token), turn, minRetry)
}

// rate is the refill rate on the owner's clock, which may be fast.
func (o *Owner) rate(limit Limit) float64 {
	return limit.Rate / (1 + o.cfg.Drift)
}

// bucket returns a team's bucket. A team without one has had no grants outstanding since it was last full, or since
// the Owner opened, so its level follows from the time since then.
func (o *Owner) bucket(team string) *bucket {
	b := o.buckets[team]
	if b != nil {
		return b
	}
	b = &bucket{refilled: o.opens}
	o.buckets[team] = b
	return b
}

// Sweep drops the state of teams that are idle and full, at most once in a lifetime. Call it from time to time.
func (o *Owner) Sweep(now time.Duration) {
	if now < o.swept+o.cfg.Lifetime {
		return
	}
	o.swept = now
	for team, b := range o.buckets {
		limit := o.limits[team]
		b.advance(now, o.rate(limit), limit.Burst)
		if len(b.accounts) == 0 && b.level >= float64(limit.Burst) {
			delete(o.buckets, team)
		}
	}
}

// Active is the number of teams that cost memory.
func (o *Owner) Active() int {
	return len(o.buckets)
}
