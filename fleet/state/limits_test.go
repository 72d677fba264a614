package state

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"rosemaryline.dev/fleet/config"
)

func TestRefusals(t *testing.T) {
	listed := config.HashKey("listed")
	withKeys := func(name string, hashes ...string) *ApplyChange {
		team := config.Team{Rate: 1, Burst: 1, KeyHashes: hashes}
		return applyCommand(config.Change{Teams: config.Entries[config.Team]{Set: map[string]config.Team{name: team}}})
	}
	tests := []struct {
		desc    string
		command Command
		want    Code
	}{
		{"two things at once", Command{Leave: &Leave{Name: "x"}, Join: &Process{Name: "x"}}, CodeInvalid},
		{"content hash of another change", Command{Apply: &ApplyChange{Change: setTeam("blue", 9).Change, ContentHash: setTeam("blue", 8).ContentHash}}, CodeInvalid},
		{"dangling reference", Command{Apply: applyCommand(config.Change{Services: config.Entries[config.Service]{Remove: []string{"web"}}})}, CodeInvalid},
		{"listed key of another team", Command{Apply: withKeys("blue", listed)}, CodeInvalid},
		{"issued key in a file", Command{Apply: withKeys("blue", config.HashKey("issued"))}, CodeInvalid},
		{"withdrawn key in a file", Command{Apply: withKeys("blue", config.HashKey("withdrawn"))}, CodeInvalid},
		{"withdrawn key issued again", Command{IssueKey: &IssueKey{Team: "blue", KeyHash: config.HashKey("withdrawn")}}, CodeInvalid},
		{"key hash that is no hash", Command{IssueKey: &IssueKey{Team: "blue", KeyHash: "secret"}}, CodeInvalid},
		{"key for an unknown team", Command{IssueKey: &IssueKey{Team: "pink", KeyHash: config.HashKey("n")}}, CodeNotFound},
		{"unknown failure domain", Command{SetDomain: &SetDomain{Domain: "d9", Out: true}}, CodeNotFound},
		{"second failure domain out", Command{SetDomain: &SetDomain{Domain: "d3", Out: true}}, CodeNeedsForce},
		{"failure domain in already", Command{SetDomain: &SetDomain{Domain: "d3"}}, CodeUnchanged},
		{"failure domain with processes removed", Command{Apply: applyCommand(config.Change{Domains: config.Entries[config.Domain]{Remove: []string{"d1"}}})}, CodeInvalid},
		{"process in an unknown failure domain", Command{Join: &Process{Name: "vm2", Address: "h:1", Domain: "d9"}}, CodeNotFound},
		{"same process again", Command{Join: &Process{Name: "vm1", Address: "h:1", Domain: "d1"}}, CodeUnchanged},
		{"shard out of range", Command{AssignShards: &AssignShards{Owners: map[int]string{Shards: "vm1"}}}, CodeInvalid},
		{"shard of an unknown process", Command{AssignShards: &AssignShards{Owners: map[int]string{0: "vm9"}}}, CodeNotFound},
	}
	s := newTestState(t)
	prepare := []Command{
		{IssueKey: &IssueKey{Team: "red", KeyHash: config.HashKey("issued")}},
		{Apply: withKeys("red", listed, config.HashKey("withdrawn"))},
		{WithdrawKey: &WithdrawKey{KeyHash: config.HashKey("withdrawn")}},
		{SetDomain: &SetDomain{Domain: "d2", Out: true}},
		{Join: &Process{Name: "vm1", Address: "h:1", Domain: "d1"}},
		{AssignShards: &AssignShards{Owners: map[int]string{7: "vm1"}}},
	}
	for i, c := range prepare {
		c.ChangeID, c.BaseVersion = fmt.Sprint("prepare-", i), s.Version()
		assert.Assert(t, propose(t, s, c).Err == nil)
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			before, version := s.Config().Hash(), s.Version()
			test.command.ChangeID, test.command.BaseVersion = test.desc, version
			result := propose(t, s, test.command)
			assert.Assert(t, result.Err != nil)
			assert.Equal(t, result.Err.Code, test.want, result.Err.Message)
			assert.Equal(t, s.Config().Hash(), before)
			assert.Equal(t, s.Version(), version)
		})
	}
	// The rosters that a partitioned process may still use are kept until the version that replaced them is in force.
	base, changes := s.RosterChain()
	assert.DeepEqual(t, base, []string{})
	assert.DeepEqual(t, changes, []RosterChange{{Version: 6, Name: "vm1", Joined: true}})
	assert.Assert(t, propose(t, s, Command{ChangeID: "trim", RosterInForce: &RosterInForce{Version: 7}}).Err == nil)
	base, changes = s.RosterChain()
	assert.DeepEqual(t, base, []string{"vm1"})
	assert.Equal(t, len(changes), 0)
	// Removing a team removes its issued keys, and a process that leaves the roster leaves its shards without an owner.
	remove := applyCommand(config.Change{Teams: config.Entries[config.Team]{Remove: []string{"red"}}})
	assert.Assert(t, propose(t, s, Command{ChangeID: "remove", BaseVersion: s.Version(), Apply: remove}).Err == nil)
	_, ok := s.TeamByKey(sha256.Sum256([]byte("issued")))
	assert.Assert(t, !ok)
	assert.Equal(t, s.ShardOwner(7), "vm1")
	assert.Assert(t, propose(t, s, Command{ChangeID: "leave", Leave: &Leave{Name: "vm1"}}).Err == nil)
	assert.Equal(t, s.ShardOwner(7), "")
}

// Guards against unbounded memory, and against results for resends that are dropped before the documented 10,000
// records are reached.
func TestWindowsAreBounded(t *testing.T) {
	s := newTestState(t)
	joins := func(from, to int) {
		for i := from; i < to; i++ {
			p := &Process{Name: fmt.Sprint("vm", i), Address: "h:1", Domain: "d1"}
			c := Command{ChangeID: fmt.Sprint("join", i), Operator: "x", Join: p}
			data, err := c.Encode()
			assert.NilError(t, err)
			s.Apply(data)
		}
	}
	joins(0, maxAcceptedRecords-1)
	assert.Equal(t, len(s.accepted.records), 10_000)
	again := propose(t, s, Command{ChangeID: "join0", Operator: "x", Join: &Process{Name: "vm0", Address: "h:1", Domain: "d1"}})
	assert.Equal(t, again, Result{Version: 2})
	joins(maxAcceptedRecords-1, maxAcceptedRecords+50)
	assert.Equal(t, len(s.accepted.records), 10_000)
	assert.Equal(t, len(s.accepted.byID), 10_000)

	_, ok := s.Since(s.Version() - maxDeltas - 1)
	assert.Assert(t, !ok)
	deltas, ok := s.Since(s.Version() - maxDeltas)
	assert.Assert(t, ok)
	assert.Equal(t, len(deltas), maxDeltas)
	assert.Equal(t, deltas[0].From, s.Version()-maxDeltas)
	ahead, ok := s.Since(s.Version() + 1)
	assert.Assert(t, ok && len(ahead) == 0)
}

// Guards against a key that is not found because another key is in the same bucket.
func TestKeyIndexBucketCollision(t *testing.T) {
	x := newKeyIndex()
	sums := make([][32]byte, 3)
	for i := range sums {
		sums[i][31] = byte(i + 1)
		x.add(hex.EncodeToString(sums[i][:]), fmt.Sprint("team", i), false)
	}
	for _, i := range []int{1, 0, 2} {
		x.remove(hex.EncodeToString(sums[i][:]))
		_, ok := x.lookup(sums[i])
		assert.Assert(t, !ok)
	}
	assert.Equal(t, len(x.entries)+len(x.collisions), 0)
}

func designSizeState(b *testing.B) *State {
	s := New()
	doc := testDocument()
	for i := range 550_000 {
		name := fmt.Sprint("team-", i)
		doc.Teams[name] = config.Team{Rate: 10, Burst: 20, KeyHashes: []string{config.HashKey(name)}}
	}
	for i := range 56_000 {
		name := fmt.Sprint("route-", i)
		doc.Routes[name] = config.Route{Path: "/" + name, Service: "web", Access: config.AccessOpen}
	}
	doc.SetDefaults()
	propose(b, s, Command{ChangeID: "first", Apply: applyCommand(config.Diff(s.Config(), doc))})
	return s
}

func BenchmarkTeamByKeyDesignSize(b *testing.B) {
	s := designSizeState(b)
	sum := sha256.Sum256([]byte("team-1234"))
	for b.Loop() {
		if _, ok := s.TeamByKey(sum); !ok {
			b.Fatal("key not found")
		}
	}
}

func BenchmarkApplyDesignSize(b *testing.B) {
	s := designSizeState(b)
	i := 0
	for b.Loop() {
		i++
		c := Command{ChangeID: fmt.Sprint(i), BaseVersion: s.Version(), Apply: setTeam("blue", float64(i))}
		if r := propose(b, s, c); r.Err != nil {
			b.Fatal(r.Err)
		}
	}
}

func BenchmarkSnapshotDesignSize(b *testing.B) {
	s := designSizeState(b)
	for b.Loop() {
		data, err := s.Snapshot()
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(data))/1e6, "MB")
	}
}
