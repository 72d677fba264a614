package replica

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"rosemaryline.dev/raft"
	"rosemaryline.dev/storage"
)

// Guards against a member that joined a group and is taken for an interrupted creation: it would create a second group. A member
// that joins gets its first term from a leader, and each leader of a group has a later term than the group began with.
func TestOnlyAnInterruptedCreationCountsAsOne(t *testing.T) {
	state := func(hs raft.HardState, snapshot uint64) storage.Recovered {
		return storage.Recovered{ID: 7, PersistentState: raft.PersistentState{HardState: hs, Snapshot: raft.Snapshot{Index: snapshot}}}
	}
	for _, test := range []struct {
		desc      string
		recovered storage.Recovered
		want      bool
	}{
		{"interrupted", state(raft.HardState{Term: 1}, 0), true},
		{"empty", state(raft.HardState{}, 0), false},
		{"joined, before its first snapshot", state(raft.HardState{Term: 2}, 0), false},
		{"voted", state(raft.HardState{Term: 1, Vote: 3}, 0), false},
		{"created", state(raft.HardState{Term: 1, Commit: 1}, 1), false},
	} {
		assert.Equal(t, CreationInterrupted(test.recovered), test.want, test.desc)
	}
	leader, err := raft.New(raft.Config{ID: 7, NoLease: true, Rand: rand.New(rand.NewPCG(1, 1))}, raft.Bootstrap([]raft.ID{7}))
	assert.NilError(t, err)
	for leader.Status().Role != raft.Leader {
		leader.Tick()
	}
	assert.Assert(t, leader.Status().Term > 1)
}
