package node

import (
	"testing"
	"time"

	"gopkg.in/tomb.v2"
	"gotest.tools/v3/assert"

	"rosemaryline.dev/fleet/config"
	"rosemaryline.dev/fleet/state"
	"rosemaryline.dev/proxy"
	"rosemaryline.dev/quota"
	"rosemaryline.dev/rpc"
)

// testPartDelay is the time after which the next part of a rate is asked.
const testPartDelay = 33 * time.Millisecond

// restartedOwner is a shardOwnership that owns all shards provisionally since a given time.
type restartedOwner struct{ since time.Duration }

func (o restartedOwner) ownerAddress(string) (string, bool) { return "", false }

func (o restartedOwner) owns(int) (time.Duration, bool) { return 0, false }

func (o restartedOwner) ownsProvisionally(int) (time.Duration, bool) { return o.since, true }

// Guards against an owner that grants nothing after a loss of all processes until the tokens of its former run have
// expired, and against one that grants more than its provisional share. A team sends 80% of its rate while no owner of
// the rate is confirmed.
func TestProvisionalOwnerGrantsAtOnce(t *testing.T) {
	const (
		rate     = 30
		restart  = 10 * time.Second
		interval = time.Second * 10 / (rate * 8)
	)
	f := newFleetFixture(t, "vm-a")
	change := config.Change{}
	change.Teams.Set = map[string]config.Team{"team": {Rate: rate, Burst: rate}}
	f.propose(state.Command{BaseVersion: f.controlState.Version(), Apply: &state.ApplyChange{Change: change, ContentHash: change.Hash()}})
	now := restart
	clock := proxy.Clock(func() time.Duration { return now })
	cfg := quota.Config{Process: "vm-a", Incarnation: 2, Lifetime: time.Second}
	client := rpc.NewClient(nil)
	t.Cleanup(client.Close)
	l := newLimiter(cfg, clock, f.fleet, client, restartedOwner{since: restart}, &tomb.Tomb{})
	l.provisionalShare = 0.7
	granted := 0
	for ; now < restart+time.Second; now += interval {
		reply, ok := l.decideGrant(quota.GrantRequest{Process: "vm-a", Incarnation: 2, Team: "team", ID: uint64(now), Need: 1, Brief: true})
		assert.Assert(t, ok)
		granted += reply.Granted
	}
	assert.Assert(t, granted > rate/2, "%d granted in the first second", granted)
	assert.Assert(t, float64(granted) <= l.provisionalShare*rate+1, "%d granted in the first second", granted)
}

// Guards against a request that asks all owners of a team's rate at once: of three grants, two would be returned
// unused, and each costs a message. The next owner is asked when one has no tokens or does not reply.
func TestPartsOfARateAreAskedInTurn(t *testing.T) {
	now := time.Duration(0)
	clock := proxy.Clock(func() time.Duration { return now })
	newPart := func() (*limiter, []string, *partProgress) {
		l := newLimiter(quota.Config{Process: "vm-a", Incarnation: 1}, clock, nil, nil, nil, nil)
		l.parts = newRateParts(3, "vm-a")
		return l, l.parts.partNames("team", 30), &partProgress{began: now, delay: testPartDelay}
	}
	asked := func(l *limiter, parts []string, progress *partProgress) (teams []string) {
		ok, _, _ := l.spend(parts, progress)
		assert.Assert(t, !ok)
		for _, r := range l.holder.Poll(now) {
			teams = append(teams, r.Team)
		}
		return teams
	}
	l, parts, progress := newPart()
	assert.DeepEqual(t, asked(l, parts, progress), parts[:1])
	assert.Equal(t, len(asked(l, parts, progress)), 0)
	now += testPartDelay
	assert.DeepEqual(t, asked(l, parts, progress)[:1], parts[1:2]) // the first owner has not replied

	l, parts, progress = newPart()
	l.spend(parts, progress)
	r := l.holder.Poll(now)[0]
	l.receiveGrant(quota.GrantReply{Process: r.Process, Incarnation: r.Incarnation, Team: r.Team, ID: r.ID, RetryAfter: time.Second})
	assert.DeepEqual(t, asked(l, parts, progress), parts[1:2]) // the first owner has no tokens
}

// Guards against a request that waits although the owners of all parts of its team's rate have said that they have no
// token: it cannot get one in time and is refused at once. One owner without a reply is reason enough to wait.
func TestRequestOfAnExhaustedTeamDoesNotWait(t *testing.T) {
	now := time.Duration(0)
	clock := proxy.Clock(func() time.Duration { return now })
	l := newLimiter(quota.Config{Process: "vm-a", Incarnation: 1}, clock, nil, nil, nil, nil)
	l.parts = newRateParts(3, "vm-a")
	parts := l.parts.partNames("team", 30)
	progress := &partProgress{began: now, delay: testPartDelay}
	for range parts {
		l.spend(parts, progress)
		assert.Assert(t, !progress.exhausted)
		for _, r := range l.holder.Poll(now) {
			l.receiveGrant(quota.GrantReply{Process: r.Process, Incarnation: r.Incarnation, Team: r.Team, ID: r.ID, RetryAfter: time.Second})
		}
	}
	ok, retryAfter, _ := l.spend(parts, progress)
	assert.Assert(t, !ok && progress.exhausted)
	assert.Equal(t, retryAfter, time.Second)
}

// Guards against a request that finds no token although its team stays below its rate: later requests took the tokens of each
// grant before it woke up, and the grant requests asked for one token only, however many requests waited.
func TestTokensGoToWaitingRequestsInTheirOrder(t *testing.T) {
	now := time.Duration(0)
	l := newLimiter(quota.Config{Process: "vm-a", Incarnation: 1}, func() time.Duration { return now }, nil, nil, nil, nil)
	parts := l.parts.partNames("team", 30)
	request := func() *partProgress { return &partProgress{began: now, delay: testPartDelay} }
	has := func(p *partProgress) bool {
		ok, _, _ := l.spend(parts, p)
		return ok
	}
	first, second, third, late := request(), request(), request(), request()
	assert.Assert(t, !has(first))
	r := l.holder.Poll(now)[0]
	assert.Assert(t, !has(second) && !has(third))
	l.receiveGrant(quota.GrantReply{Process: r.Process, Incarnation: r.Incarnation, Team: r.Team, ID: r.ID, Granted: 1})
	requests := l.holder.Poll(now)
	assert.Equal(t, len(requests), 1)
	assert.Equal(t, requests[0].Need, 2)
	assert.Assert(t, !has(late), "a request that arrived after the grant got its token")
	assert.Assert(t, has(first))
	assert.Assert(t, !has(second) && !has(third))
	r = requests[0]
	l.receiveGrant(quota.GrantReply{Process: r.Process, Incarnation: r.Incarnation, Team: r.Team, ID: r.ID, Granted: 2})
	assert.Assert(t, !has(late) && has(second) && has(third))
}

// Guards against a token that is lost, or given twice, when its request stops to wait.
func TestRequestThatStopsToWait(t *testing.T) {
	now := time.Duration(0)
	l := newLimiter(quota.Config{Process: "vm-a", Incarnation: 1}, func() time.Duration { return now }, nil, nil, nil, nil)
	parts := l.parts.partNames("team", 30)
	gone, next := &partProgress{delay: testPartDelay}, &partProgress{delay: testPartDelay}
	l.spend(parts, gone)
	l.spend(parts, next)
	r := l.holder.Poll(now)[0]
	assert.Assert(t, !l.stopWaiting(gone))
	l.receiveGrant(quota.GrantReply{Process: r.Process, Incarnation: r.Incarnation, Team: r.Team, ID: r.ID, Granted: 1})
	assert.Assert(t, l.stopWaiting(next), "the token went to a request that no longer waits")
	assert.Equal(t, len(l.waiters), 0)
}
