package raft

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a founder that waits for a leader that cannot exist, and against a member that became the only voter
// later and campaigns at once: a former leader may still have a lease.
func TestOnlyFounderCampaignsAtOnce(t *testing.T) {
	start := func(r Restored) *Node {
		n, err := New(Config{ID: 1, Rand: rand.New(rand.NewPCG(1, 0))}, r)
		assert.NilError(t, err)
		return n
	}
	founder := start(Bootstrap([]ID{1}))
	founder.Tick()
	assert.Equal(t, founder.Status().Role, Leader)
	later := start(Restored{
		HardState: HardState{Term: 13, Commit: 20},
		Snapshot:  Snapshot{Index: 20, Term: 13, Membership: Membership{Voters: []ID{1}}},
	})
	later.Tick()
	assert.Equal(t, later.Status().Role, Follower)
}
