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

// restartedOwner owns all shards provisionally since a time.
type restartedOwner struct{ since time.Duration }

func (o restartedOwner) ownerOf(string) (string, bool) { return "", false }

func (o restartedOwner) owns(int) (time.Duration, bool) { return 0, false }

func (o restartedOwner) ownsProvisionally(int) (time.Duration, bool) { return o.since, true }

// Replays the load after a loss of all processes: a team goes on at four fifths of its rate while no owner of its rate is
// confirmed. Guards against an owner that grants nothing until tokens of its former run have expired, and against one that
// grants more than its provisional share.
func TestProvisionalOwnerGrantsAtOnce(t *testing.T) {
	const (
		rate     = 30
		restart  = 10 * time.Second
		interval = time.Second * 10 / (rate * 8)
	)
	f := newFleetFixture(t, "vm-a")
	change := config.Change{}
	change.Teams.Set = map[string]config.Team{"team": {Rate: rate, Burst: rate}}
	f.propose(state.Command{BaseVersion: f.other.Version(), Apply: &state.ApplyChange{Change: change, ContentHash: change.Hash()}})
	now := restart
	clock := proxy.Clock(func() time.Duration { return now })
	cfg := quota.Config{Process: "vm-a", Incarnation: 2, Lifetime: time.Second}
	client := rpc.NewClient(nil)
	t.Cleanup(client.Close)
	l := newLimiter(cfg, clock, f.fleet, client, restartedOwner{since: restart}, &tomb.Tomb{})
	l.provisional = 0.7
	granted := 0
	for ; now < restart+time.Second; now += interval {
		reply, ok := l.decide(quota.GrantRequest{Process: "vm-a", Incarnation: 2, Team: "team", ID: uint64(now), Need: 1, Brief: true})
		assert.Assert(t, ok)
		granted += reply.Granted
	}
	assert.Assert(t, granted > rate/2, "%d granted in the first second", granted)
	assert.Assert(t, float64(granted) <= l.provisional*rate+1, "%d granted in the first second", granted)
}
