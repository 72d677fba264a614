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
	quotaTick = 25 * time.Millisecond
	// grantTimeout bounds one request to an owner. The holder sends it again earlier.
	grantTimeout = time.Second
	// maxTokenWait bounds the time for which a request waits for a token that may be on its way.
	maxTokenWait = 250 * time.Millisecond
)

// owners tells which process owns a shard and whether this process may act as the owner.
type owners interface {
	// ownerOf returns the peer address of the owner of a team's or service's shard.
	ownerOf(name string) (address string, ok bool)
	// owns tells whether this process owns the shard and holds the right to act. since is the time from which no other
	// process acts for the shard.
	owns(shard int) (since time.Duration, ok bool)
}

// limiter drives a quota.Holder, and a quota.Owner for the shards that this process owns.
type limiter struct {
	clock  proxy.Clock
	fleet  *proxy.Fleet
	client *rpc.Client
	owners owners
	tomb   *tomb.Tomb
	vm     string
	// rateExcess and burstExcess are those of Options.
	rateExcess  float64
	burstExcess int

	mu      sync.Mutex // guards the fields below
	holder  *quota.Holder
	granter map[int]*quota.Owner // by shard
	waiters map[string]chan struct{}
}

func newLimiter(cfg quota.Config, clock proxy.Clock, fleet *proxy.Fleet, client *rpc.Client, o owners, t *tomb.Tomb) *limiter {
	return &limiter{
		clock:   clock,
		fleet:   fleet,
		client:  client,
		owners:  o,
		tomb:    t,
		vm:      cfg.Process,
		holder:  quota.NewHolder(cfg),
		granter: map[int]*quota.Owner{},
		waiters: map[string]chan struct{}{},
	}
}

func (l *limiter) start() {
	l.tomb.Go(func() error { return every(l.tomb, quotaTick, l.poll) })
	l.tomb.Go(func() error { return every(l.tomb, time.Second, l.sweep) })
}

// Take takes one request from the team's rate. It waits a short time for a token that the owner may grant.
func (l *limiter) Take(ctx context.Context, team string) (ok bool, retryAfter time.Duration) {
	l.mu.Lock()
	ok, retryAfter = l.holder.Take(l.clock(), team)
	if ok {
		l.mu.Unlock()
		return true, 0
	}
	arrived := l.waiter(team)
	l.mu.Unlock()
	giveUp := l.clock() + maxTokenWait
	for {
		l.poll()
		wait := min(max(retryAfter, time.Millisecond), giveUp-l.clock())
		if wait <= 0 || !waitFor(ctx, arrived, wait) {
			return false, retryAfter
		}
		l.mu.Lock()
		ok, retryAfter = l.holder.Retry(l.clock(), team)
		arrived = l.waiter(team)
		l.mu.Unlock()
		if ok {
			return true, 0
		}
	}
}

// waitFor waits for tokens to arrive or for the time; it returns false when the caller left.
func waitFor(ctx context.Context, arrived <-chan struct{}, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-arrived:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// waiter returns the channel that is closed at the team's next grant. The caller holds mu.
func (l *limiter) waiter(team string) <-chan struct{} {
	c, ok := l.waiters[team]
	if !ok {
		c = make(chan struct{})
		l.waiters[team] = c
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
		if since, ok := l.owners.owns(state.ShardOf(r.Team)); ok {
			l.receive(l.grant(r, since))
			continue
		}
		if address, ok := l.owners.ownerOf(r.Team); ok {
			byOwner[address] = append(byOwner[address], r)
		}
	}
	for address, batch := range byOwner {
		spawn(l.tomb, func() { l.ask(address, batch) })
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
func (l *limiter) ask(address string, batch []quota.GrantRequest) {
	ctx, cancel := context.WithTimeout(l.tomb.Context(context.Background()), grantTimeout)
	defer cancel()
	var answer grantReplies
	if err := l.client.Call(ctx, address, methodGrant, grantBatch{Requests: batch}, &answer); err != nil {
		return
	}
	for _, reply := range answer.Replies {
		l.receive(reply)
	}
	l.poll()
}

func (l *limiter) receive(reply quota.GrantReply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holder.Receive(l.clock(), reply)
	if c, ok := l.waiters[reply.Team]; ok {
		close(c)
		delete(l.waiters, reply.Team)
	}
}

// serveGrant answers a peer's requests for teams whose shards this process owns.
func (l *limiter) serveGrant(_ context.Context, _ string, batch grantBatch) (grantReplies, error) {
	var answer grantReplies
	for _, r := range batch.Requests {
		if since, ok := l.owners.owns(state.ShardOf(r.Team)); ok {
			answer.Replies = append(answer.Replies, l.grant(r, since))
		}
	}
	return answer, nil
}

func (l *limiter) grant(r quota.GrantRequest, since time.Duration) quota.GrantReply {
	limit, known := l.limit(r.Team)
	l.mu.Lock()
	defer l.mu.Unlock()
	owner := l.ownerFor(state.ShardOf(r.Team), since)
	if known {
		owner.SetTeam(r.Team, limit)
	} else {
		owner.RemoveTeam(r.Team)
	}
	return owner.Request(l.clock(), r)
}

func (l *limiter) limit(team string) (limit quota.Limit, ok bool) {
	l.fleet.Read(func(s *state.State) {
		t, found := s.Config().Teams[team]
		limit = quota.Limit{Rate: t.Rate * (1 + l.rateExcess), Burst: t.Burst + l.burstExcess}
		ok = found
	})
	return limit, ok
}

// ownerFor returns the owner of a shard. The caller holds mu.
func (l *limiter) ownerFor(shard int, since time.Duration) *quota.Owner {
	owner, ok := l.granter[shard]
	if !ok {
		owner = quota.NewOwner(quota.Config{Start: since})
		l.granter[shard] = owner
	}
	return owner
}

// sweep drops idle teams, and shards that this process lost: when one comes back, its owner starts empty.
func (l *limiter) sweep() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for shard, owner := range l.granter {
		if l.ownsShard(shard) {
			owner.Sweep(l.clock())
			continue
		}
		delete(l.granter, shard)
	}
}

func (l *limiter) ownsShard(shard int) (owns bool) {
	l.fleet.Read(func(s *state.State) { owns = s.ShardOwner(shard) == l.vm })
	return owns
}
