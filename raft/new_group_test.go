package raft

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// TestOnlyNewGroupOfOneCampaignsImmediately guards against a new group of one that waits for an election timeout
// although no other leader can exist. It also guards against a member that became the only voter later and campaigns
// immediately, while a previous leader may still have a valid lease.
func TestOnlyNewGroupOfOneCampaignsImmediately(t *testing.T) {
	start := func(r PersistentState) *Node {
		n, err := New(Config{ID: 1, Rand: rand.New(rand.NewPCG(1, 0))}, r)
		assert.NilError(t, err)
		return n
	}
	newGroup := start(Bootstrap([]ID{1}))
	newGroup.Tick()
	assert.Equal(t, newGroup.Status().Role, Leader)
	later := start(PersistentState{
		HardState: HardState{Term: 13, Commit: 20},
		Snapshot:  Snapshot{Index: 20, Term: 13, Membership: Membership{Voters: []ID{1}}},
	})
	later.Tick()
	assert.Equal(t, later.Status().Role, Follower)
}
