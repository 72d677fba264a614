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
	// minQuotaPoll is the minimum time between two calls of quota.Holder.Poll by the ticker, so that requests of several
	// teams to one owner share a message.
	minQuotaPoll = 5 * time.Millisecond
	// maxQuotaPoll is the time between two calls while no team is active.
	maxQuotaPoll = time.Hour
	// grantTimeout limits one grant request to an owner. The holder repeats the request before that.
	grantTimeout = time.Second
	// unknownTeamRetryAfter is the time until a retry of a request whose team is not in this process's configuration.
	unknownTeamRetryAfter = 100 * time.Millisecond
	// nextPartShare is the share of the wait for a token after which a request asks the owner of the next part of the
	// rate. It lets a request ask three parts within its wait.
	nextPartShare = 3
)

// shardOwnership reports which process owns a shard and whether this process may act as its owner. The fleet state
// names the owner. A new owner owns its shard provisionally until no former owner acts for it any more.
type shardOwnership interface {
	// ownerAddress returns the peer address of the owner of a team's or service's shard.
	ownerAddress(name string) (address string, ok bool)
	// owns reports whether this process is the only one that acts for the shard: the fleet state names it as the owner, no
	// former owner acts any more, and it has permission to admit requests. since is the time on the process's clock after
	// which no other process acts for the shard.
	owns(shard int) (since time.Duration, ok bool)
	// ownsProvisionally reports whether the fleet state names this process as the owner of the shard, while a former owner
	// may still be acting. The process must have permission to admit requests or have started less than 3 s ago
	// (restartGrace). since is when this process was first seen as the owner. Call owns first: it reports when provisional
	// ownership has become exclusive.
	ownsProvisionally(shard int) (since time.Duration, ok bool)
}

// limiter implements proxy.Limiter. It drives a quota.Holder, and a quota.Owner for each shard that this process owns.
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
	// rateExcess is the ratio by which a team's rate, and burstExcess the number of requests by which its burst, may be
	// exceeded.
	rateExcess  float64
	burstExcess int
	// provisionalShare is the share of a team's rate that this process grants while it owns the shard provisionally; 0
	// grants nothing in that time.
	provisionalShare float64

	mu         sync.Mutex // guards the fields below
	holder     *quota.Holder
	rateOwners map[int]*quota.Owner // by shard
	waiters    tokenWaiters
	// pollAt is the time for which the ticker is set.
	pollAt time.Duration
	// wakeTicker makes the ticker check when the next poll is due.
	wakeTicker chan struct{}
}

func newLimiter(cfg quota.Config, clock proxy.Clock, fleet *proxy.Fleet, client *rpc.Client, o shardOwnership, t *tomb.Tomb) *limiter {
	return &limiter{
		clock:      clock,
		fleet:      fleet,
		client:     client,
		ownership:  o,
		tomb:       t,
		vm:         cfg.Process,
		parts:      newRateParts(defaultRateParts, cfg.Process),
		cfg:        cfg,
		holder:     quota.NewHolder(cfg),
		rateOwners: map[int]*quota.Owner{},
		waiters:    tokenWaiters{},
		wakeTicker: make(chan struct{}, 1),
	}
}

func (l *limiter) start() {
	l.tomb.Go(l.pollWhenDue)
	l.tomb.Go(func() error { return every(l.tomb, time.Second, l.sweep) })
}

// pollWhenDue polls the holder whenever it has work to do, until the tomb dies. A process without active teams is not
// woken.
func (l *limiter) pollWhenDue() error {
	timer := time.NewTimer(maxQuotaPoll)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			l.poll()
		case <-l.wakeTicker:
		case <-l.tomb.Dying():
			return nil
		}
		timer.Reset(l.untilPoll())
	}
}

// untilPoll returns the time until the next poll and records when that is.
func (l *limiter) untilPoll() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	l.pollAt = min(max(l.holder.NextPoll(), now+minQuotaPoll), now+maxQuotaPoll)
	return l.pollAt - now
}

// reschedule wakes the ticker if the next poll has become due earlier. The caller holds mu.
func (l *limiter) reschedule() {
	if l.holder.NextPoll() >= l.pollAt {
		return
	}
	select {
	case l.wakeTicker <- struct{}{}:
	default:
	}
}

// Take takes one token of the team's rate. It waits up to maxWait for a grant that is on its way. The parts of the rate
// are asked one after the other, because each grant costs a message and tokens from a second part would be returned
// unused. It returns at once if the owners of all parts have said that they will have no token within maxWait.
func (l *limiter) Take(ctx context.Context, team string, maxWait time.Duration) (ok bool, retryAfter time.Duration) {
	whole, known := l.teamLimit(team)
	if !known {
		return false, unknownTeamRetryAfter
	}
	parts := l.parts.partNames(team, whole.Burst)
	began := l.clock()
	progress := partProgress{began: began, delay: maxWait / nextPartShare}
	ok, retryAfter, granted := l.spend(parts, &progress)
	for !ok {
		l.poll()
		remaining := began + maxWait - l.clock()
		wait := min(max(retryAfter, time.Millisecond), remaining)
		if wait <= 0 || progress.exhausted && retryAfter > remaining || !waitForTokens(ctx, granted, wait) {
			return l.stopWaiting(&progress), retryAfter
		}
		ok, retryAfter, granted = l.spend(parts, &progress)
	}
	return true, 0
}

// stopWaiting removes a request from the waiting ones. It returns true if the request got a token in the meantime.
func (l *limiter) stopWaiting(progress *partProgress) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if progress.waiter == nil {
		return false
	}
	l.waiters.remove(progress.waiter)
	return progress.waiter.served
}

// partProgress records how many parts of a team's rate were asked for tokens for one request.
type partProgress struct {
	// asked is the number of parts that were asked.
	asked int
	// exhausted is true if the owners of all parts have no tokens.
	exhausted bool
	began     time.Duration
	delay     time.Duration
	// waiter is the request among those that wait; nil before it found no token.
	waiter *tokenWaiter
}

// shouldAskNext reports whether the next part should be asked: none was asked yet, the last one has no tokens
// (blocked), or its owner has not replied in time.
func (p *partProgress) shouldAskNext(now time.Duration, blocked bool) bool {
	return p.asked == 0 || blocked || now-p.began >= time.Duration(p.asked)*p.delay
}

// spend takes a token from the first part that has one. If none has, it requests one from the next part when that is
// due. It then returns the minimum time until a retry is worthwhile and a channel that receives a value at the team's next
// grant, at which the request may get its token.
func (l *limiter) spend(parts []string, progress *partProgress) (bool, time.Duration, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	defer l.reschedule()
	now := l.clock()
	if progress.waiter != nil && progress.waiter.served {
		return true, 0, nil
	}
	for _, part := range parts {
		if l.holder.Spend(now, part) {
			l.served(progress)
			return true, 0, nil
		}
	}
	if progress.waiter == nil {
		progress.waiter = l.waiters.add(l.parts.teamOf(parts[0]))
	}
	counted := progress.waiter.counted
	progress.waiter.counted = false
	progress.exhausted = false
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
		ok, retryAfter := false, progress.waiter.retryAfter
		if !counted || i >= len(progress.waiter.parts) {
			ok, retryAfter = tryTake(now, part)
		}
		if ok {
			l.served(progress)
			return true, 0, nil
		}
		if i == 0 || retryAfter < minRetryAfter {
			minRetryAfter = retryAfter
		}
	}
	progress.exhausted = progress.asked == len(parts)
	for _, part := range parts {
		progress.exhausted = progress.exhausted && l.holder.Blocked(now, part)
	}
	progress.waiter.parts = parts[:progress.asked]
	return false, minRetryAfter, progress.waiter.wake
}

// served ends the wait of a request that has taken a token itself. The caller holds mu.
func (l *limiter) served(progress *partProgress) {
	if progress.waiter != nil {
		l.waiters.remove(progress.waiter)
		progress.waiter.served = true
	}
}

// waitForTokens waits until tokens are granted or d has passed. It returns false if ctx ended before.
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

// poll sends the grant requests that are due, with one call for each owner.
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

// grantBatch carries requests to one owner; grantReplies carries the replies. A request for a team that the receiver
// does not own gets no reply.
type grantBatch struct {
	Requests []quota.GrantRequest `json:"requests"`
}

type grantReplies struct {
	Replies []quota.GrantReply `json:"replies"`
}

// requestGrants sends grant requests to the owner of their teams. The holder repeats requests without a reply.
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
	now := l.clock()
	l.holder.Receive(now, reply)
	l.waiters.serve(now, l.holder, l.parts.teamOf(reply.Team), reply.Team)
	l.reschedule()
}

// serveGrant decides a peer's grant requests for teams whose shards this process owns.
func (l *limiter) serveGrant(_ context.Context, _ string, batch grantBatch) (grantReplies, error) {
	var replies grantReplies
	for _, r := range batch.Requests {
		if reply, ok := l.decideGrant(r); ok {
			replies.Replies = append(replies.Replies, reply)
		}
	}
	return replies, nil
}

// decideGrant decides a grant request if this process may act for the shard of its team. While a former owner may still
// be acting, it grants only a share of the rate, so that both together stay close to it.
func (l *limiter) decideGrant(r quota.GrantRequest) (quota.GrantReply, bool) {
	shard := state.ShardOf(r.Team)
	if since, ok := l.ownership.owns(shard); ok {
		return l.grant(r, since, 1), true
	}
	since, ok := l.ownership.ownsProvisionally(shard)
	if !ok || l.provisionalShare <= 0 {
		return quota.GrantReply{}, false
	}
	// The wait until a former owner's tokens have expired is skipped: the former owner's burst covered them, and the
	// new bucket starts empty.
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

// limit returns the limit of one part of a team's rate.
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

// rateOwner returns the quota.Owner of a shard and creates it if needed. The caller holds mu.
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

// sweep removes idle teams, and the owners of shards that this process no longer owns. If such a shard comes back, its
// owner starts with empty buckets.
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
