package node

import (
	"context"
	"sync"
	"time"

	"gopkg.in/tomb.v2"

	"rosemaryline.dev/fleet/state"
	"rosemaryline.dev/proxy"
	"rosemaryline.dev/quota"
	"rosemaryline.dev/rpc"
)

const (
	methodGrant = "quota.requests"
	// quotaTick is the time between two calls of quota.Holder.Poll.
	quotaPollInterval = 25 * time.Millisecond
	// grantTimeout bounds one request to an owner. The holder sends it again earlier.
	grantTimeout = time.Second
	// maxTokenWait bounds the time for which a request waits for a token that may be on its way: some round trips between
	// failure domains, and no more than an eighth of the shortest usual objective.
	maxTokenWait = 100 * time.Millisecond
	// partPatience is the time after which the next part of a rate is asked while the owner of one does not answer: some
	// round trips between failure domains, and a third of maxTokenWait, so that three parts are asked in time.
	nextPartDelay = maxTokenWait / 3
)

// owners tells which process owns a shard and whether this process may act as the owner.
type shardOwnership interface {
	// ownerOf returns the peer address of the owner of a team's or service's shard.
	ownerAddress(name string) (address string, ok bool)
	// owns tells whether this process owns the shard and holds the right to act. since is the time from which no other
	// process acts for the shard.
	owns(shard int) (since time.Duration, ok bool)
	// ownsProvisionally tells whether this process is named as the owner of the shard and holds the right to act or has just
	// started, while a former owner may still be acting. since is when it was first seen as the owner.
	ownsProvisionally(shard int) (since time.Duration, ok bool)
}

// limiter drives a quota.Holder, and a quota.Owner for the shards that this process owns.
type limiter struct {
	clock     proxy.Clock
	fleet     *proxy.Fleet
	client    *rpc.Client
	ownership shardOwnership
	tomb      *tomb.Tomb
	deps      *dependencies
	vm        string
	parts     rateParts
	cfg       quota.Config
	// rateExcess and burstExcess are those of Options.
	rateExcess  float64
	burstExcess int
	// provisional is Options.ProvisionalRate.
	provisionalShare float64

	mu           sync.Mutex // guards the fields below
	holder       *quota.Holder
	rateOwners   map[int]*quota.Owner // by shard
	grantSignals map[string]chan struct{}
}

func newLimiter(cfg quota.Config, clock proxy.Clock, fleet *proxy.Fleet, client *rpc.Client, o shardOwnership, t *tomb.Tomb) *limiter {
	return &limiter{
		clock:        clock,
		fleet:        fleet,
		client:       client,
		ownership:    o,
		tomb:         t,
		vm:           cfg.Process,
		parts:        newRateParts(defaultRateParts, cfg.Process),
		cfg:          cfg,
		holder:       quota.NewHolder(cfg),
		rateOwners:   map[int]*quota.Owner{},
		grantSignals: map[string]chan struct{}{},
	}
}

func (l *limiter) start() {
	l.tomb.Go(func() error { return every(l.tomb, quotaPollInterval, l.poll) })
	l.tomb.Go(func() error { return every(l.tomb, time.Second, l.sweep) })
}

// Take takes one request from the team's rate. It waits a short time for a token that an owner may grant. The parts are asked
// one after the other: each grant costs a message, and tokens of a second part would be returned unused.
func (l *limiter) Take(ctx context.Context, team string) (ok bool, retryAfter time.Duration) {
	whole, known := l.teamLimit(team)
	if !known {
		return false, maxTokenWait
	}
	parts := l.parts.partNames(team, whole.Burst)
	began := l.clock()
	progress := partProgress{began: began, delay: nextPartDelay}
	ok, retryAfter, granted := l.spend(parts, &progress)
	for !ok {
		l.poll()
		wait := min(max(retryAfter, time.Millisecond), began+maxTokenWait-l.clock())
		if wait <= 0 || !waitForTokens(ctx, granted, wait) {
			return false, retryAfter
		}
		ok, retryAfter, granted = l.spend(parts, &progress)
	}
	return true, 0
}

// partAsking tells which parts of a team were asked for one request.
type partProgress struct {
	// asked counts the parts that were asked.
	asked int
	began time.Duration
	delay time.Duration
}

// next tells whether another part should be asked: the last one has no tokens or its owner takes long to answer.
func (a *partProgress) shouldAskNext(now time.Duration, blocked bool) bool {
	return a.asked == 0 || blocked || now-a.began >= time.Duration(a.asked)*a.delay
}

// spend spends a token of the first part that has one, else it asks for one. It returns the least time until a retry is
// worthwhile and a channel that is closed at the team's next grant.
func (l *limiter) spend(parts []string, progress *partProgress) (bool, time.Duration, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	for _, part := range parts {
		if l.holder.Spend(now, part) {
			return true, 0, nil
		}
	}
	minRetryAfter := time.Duration(0)
	for i, part := range parts {
		tryTake := l.holder.Retry
		if i == progress.asked {
			if i > 0 && !progress.shouldAskNext(now, l.holder.Blocked(now, parts[i-1])) {
				minRetryAfter = min(minRetryAfter, progress.delay)
				break
			}
			tryTake = l.holder.Take
			progress.asked++
		}
		ok, retryAfter := tryTake(now, part)
		if ok {
			return true, 0, nil
		}
		if i == 0 || retryAfter < minRetryAfter {
			minRetryAfter = retryAfter
		}
	}
	return false, minRetryAfter, l.grantSignal(l.parts.teamOf(parts[0]))
}

// waitFor waits for tokens to arrive or for the time; it returns false when the caller left.
func waitForTokens(ctx context.Context, granted <-chan struct{}, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-granted:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// waiter returns the channel that is closed at the team's next grant. The caller holds mu.
func (l *limiter) grantSignal(team string) <-chan struct{} {
	c, ok := l.grantSignals[team]
	if !ok {
		c = make(chan struct{})
		l.grantSignals[team] = c
	}
	return c
}

// poll sends the requests that are due, in one call for each owner.
func (l *limiter) poll() {
	l.mu.Lock()
	requests := l.holder.Poll(l.clock())
	l.mu.Unlock()
	byOwner := map[string][]quota.GrantRequest{}
	for _, r := range requests {
		if reply, ok := l.decideGrant(r); ok {
			l.receiveGrant(reply)
			continue
		}
		if address, ok := l.ownership.ownerAddress(r.Team); ok {
			byOwner[address] = append(byOwner[address], r)
		}
	}
	for address, batch := range byOwner {
		spawn(l.tomb, func() { l.requestGrants(address, batch) })
	}
}

// grantBatch carries requests to one owner; grantReplies its answers. A request for a team that the process does not own
// gets no answer.
type grantBatch struct {
	Requests []quota.GrantRequest `json:"requests"`
}

type grantReplies struct {
	Replies []quota.GrantReply `json:"replies"`
}

// ask sends requests to the owner of their teams. The holder repeats what is lost.
func (l *limiter) requestGrants(address string, batch []quota.GrantRequest) {
	ctx, cancel := context.WithTimeout(l.tomb.Context(context.Background()), grantTimeout)
	defer cancel()
	var replies grantReplies
	err := l.client.Call(ctx, address, methodGrant, grantBatch{Requests: batch}, &replies)
	l.deps.recordResult(roleRateOwner, address, err)
	if err != nil {
		return
	}
	for _, reply := range replies.Replies {
		l.receiveGrant(reply)
	}
	l.poll()
}

func (l *limiter) receiveGrant(reply quota.GrantReply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holder.Receive(l.clock(), reply)
	team := l.parts.teamOf(reply.Team)
	if c, ok := l.grantSignals[team]; ok {
		close(c)
		delete(l.grantSignals, team)
	}
}

// serveGrant answers a peer's requests for teams whose shards this process owns.
func (l *limiter) serveGrant(_ context.Context, _ string, batch grantBatch) (grantReplies, error) {
	var replies grantReplies
	for _, r := range batch.Requests {
		if reply, ok := l.decideGrant(r); ok {
			replies.Replies = append(replies.Replies, reply)
		}
	}
	return replies, nil
}

// decide answers a request where this process may act for the shard of its team. While a former owner may still be acting,
// only a share of the rate is granted, so that both together stay near it.
func (l *limiter) decideGrant(r quota.GrantRequest) (quota.GrantReply, bool) {
	shard := state.ShardOf(r.Team)
	if since, ok := l.ownership.owns(shard); ok {
		return l.grant(r, since, 1), true
	}
	since, ok := l.ownership.ownsProvisionally(shard)
	if !ok || l.provisionalShare <= 0 {
		return quota.GrantReply{}, false
	}
	// The wait for tokens of a former owner is left out: they are part of what that owner's burst allowed, and the new bucket
	// starts empty.
	return l.grant(r, since-l.cfg.LongestLifetime(), l.provisionalShare), true
}

func (l *limiter) grant(r quota.GrantRequest, since time.Duration, share float64) quota.GrantReply {
	limit, known := l.limit(r.Team)
	if share < 1 {
		limit = quota.Limit{Rate: limit.Rate * share, Burst: max(int(float64(limit.Burst)*share), 1)}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	owner := l.rateOwner(state.ShardOf(r.Team), since)
	if known {
		owner.SetTeam(r.Team, limit)
	} else {
		owner.RemoveTeam(r.Team)
	}
	return owner.Request(l.clock(), r)
}

// limit returns the limit of a part of a team.
func (l *limiter) limit(part string) (limit quota.Limit, ok bool) {
	whole, ok := l.teamLimit(l.parts.teamOf(part))
	limit = l.parts.limit(part, whole)
	return limit, ok && limit.Burst > 0
}

func (l *limiter) teamLimit(team string) (limit quota.Limit, ok bool) {
	l.fleet.Read(func(s *state.State) {
		t, found := s.Config().Teams[team]
		limit = quota.Limit{Rate: t.Rate * (1 + l.rateExcess), Burst: t.Burst + l.burstExcess}
		ok = found
	})
	return limit, ok
}

// ownerFor returns the owner of a shard. The caller holds mu.
func (l *limiter) rateOwner(shard int, since time.Duration) *quota.Owner {
	owner, ok := l.rateOwners[shard]
	if !ok {
		cfg := l.cfg
		cfg.Start = since
		owner = quota.NewOwner(cfg)
		l.rateOwners[shard] = owner
	}
	return owner
}

// sweep drops idle teams, and shards that this process lost: when one comes back, its owner starts empty.
func (l *limiter) sweep() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for shard, owner := range l.rateOwners {
		if l.ownsShard(shard) {
			owner.Sweep(l.clock())
			continue
		}
		delete(l.rateOwners, shard)
	}
}

func (l *limiter) ownsShard(shard int) (owns bool) {
	l.fleet.Read(func(s *state.State) { owns = s.ShardOwner(shard) == l.vm })
	return owns
}
