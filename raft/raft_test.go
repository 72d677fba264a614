package raft

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

func (c *cluster) mustChange(m *member, kind ChangeKind, id ID) {
	c.t.Helper()
	if _, err := m.node.ChangeMembership(MemberChange{Kind: kind, ID: id}); err != nil {
		c.t.Fatalf("change %d of %d: %v", kind, id, err)
	}
}

// isolate blocks all links of a member in both directions.
func (c *cluster) isolate(id ID) {
	for other := range c.members {
		c.blocked[link{id, other}], c.blocked[link{other, id}] = true, true
	}
}

// TestSecondLossRightAfterRepair guards against the loss of acknowledged entries when a second VM is lost just after
// the first was replaced. A member that lost its disk must not vote, neither under its old ID nor as a learner that has
// not caught up.
func TestSecondLossRightAfterRepair(t *testing.T) {
	for _, sameID := range []bool{true, false} {
		c := newCluster(t, 1, 1, 2, 3)
		leader := c.elect()
		broken, behind := leader.id%3+1, (leader.id+1)%3+1
		c.isolate(behind)
		c.propose(leader, "acknowledged")
		c.run(1)
		clear(c.blocked)
		c.isolate(behind)
		assert.Equal(t, leader.state.value, "acknowledged")

		// Only the leader has the entry now. The leader crashes as well, before the replacement has caught up.
		c.crash(broken)
		replacement := broken
		if !sameID {
			delete(c.members, broken)
			replacement = 4
		}
		c.add(replacement)
		if !sameID {
			c.isolate(replacement)
			c.mustChange(leader, AddLearner, replacement)
			_, err := leader.node.ChangeMembership(MemberChange{Kind: PromoteLearner, ID: replacement})
			assert.Assert(t, errors.Is(err, ErrChangePending) || errors.Is(err, ErrNotCaughtUp), "%v", err)
		}
		c.crash(leader.id)
		clear(c.blocked)
		c.run(200)
		assert.Assert(t, c.leader() == nil, "elected without the acknowledged entry")

		c.restart(leader.id)
		c.run(60)
		assert.Equal(t, c.elect().id, leader.id)
		assert.Equal(t, c.members[behind].state.value, "acknowledged")
		lost := c.members[leader.id].node.Status().LostState
		assert.Equal(t, len(lost) == 1 && lost[0] == broken, sameID, "lost state: %v", lost)
	}
}

// TestLostDiskConfirmsNoRead guards against a stale read: a voter that lost its disk no longer knows that it followed a
// newer leader, and must not confirm a read of the previous leader. Found by TestFuzzGroup with -rapid.seed=237117
// -rapid.steps=250.
func TestLostDiskConfirmsNoRead(t *testing.T) {
	c := newCluster(t, 1, 1, 2, 3)
	old := c.elect()
	c.run(2)
	c.paused[old.id] = true
	c.run(30)
	c.propose(c.elect(), "newer")
	c.run(1)
	c.add(old.id%3 + 1)
	clear(c.paused)
	c.crash((old.id+1)%3 + 1)
	c.oracle.readStarted(1)
	assert.NilError(t, old.node.Read(1))
	c.run(30)
	assert.Equal(t, len(c.oracle.openReads), 0)
	assert.Assert(t, old.node.role != Leader)
}

// TestReplaceThenLoseSecond guards against a replacement of a lost member after which the group does not survive the
// loss of another VM.
func TestReplaceThenLoseSecond(t *testing.T) {
	c := newCluster(t, 1, 1, 2, 3)
	leader := c.elect()
	broken, other := leader.id%3+1, (leader.id+1)%3+1
	c.propose(leader, "before")
	c.run(1)
	c.crash(broken)
	delete(c.members, broken)
	c.add(4)
	c.isolate(4)
	c.mustChange(leader, AddLearner, 4)
	c.run(5)
	_, err := leader.node.ChangeMembership(MemberChange{Kind: PromoteLearner, ID: 4})
	assert.ErrorIs(t, err, ErrNotCaughtUp, "it does not reply")
	clear(c.blocked)
	c.run(1)
	_, err = leader.node.ChangeMembership(MemberChange{Kind: PromoteLearner, ID: 4})
	assert.ErrorIs(t, err, ErrNotCaughtUp, "it replies without the log")
	c.run(5)
	c.mustChange(leader, PromoteLearner, 4)
	c.run(5)
	c.mustChange(leader, RemoveMember, broken)
	c.run(5)
	c.crash(leader.id)
	next := c.elect()
	assert.Assert(t, next.id == 4 || next.id == other)
	assert.Equal(t, next.state.value, "before")
}

// TestFirstCommitOfTerm guards against committing an entry of an earlier term by counting its replicas, because a later
// leader could overwrite it. It also guards against a membership change before the leader's first commit, which could
// result in two disjoint majorities, and against unlimited uncommitted data.
func TestFirstCommitOfTerm(t *testing.T) {
	boot := Bootstrap([]ID{1, 2, 3})
	boot.HardState.Term = 2
	boot.Entries = []Entry{{Term: 2, Index: 2, Data: []byte("old")}}
	n, err := New(Config{ID: 1, MaxUncommittedBytes: 8, Rand: rand.New(rand.NewPCG(1, 1))}, boot)
	assert.NilError(t, err)
	for n.role != PreCandidate {
		n.Tick()
	}
	assert.NilError(t, n.Step(Message{Kind: MessagePreVoteReply, From: 2, To: 1, Term: 3}))
	assert.NilError(t, n.Step(Message{Kind: MessageVoteReply, From: 2, To: 1, Term: 3}))
	assert.Equal(t, n.role, Leader)
	n.Ready()
	n.Advance()
	assert.NilError(t, n.Step(Message{Kind: MessageAppendReply, From: 2, To: 1, Term: 3, Index: 2}))
	assert.Equal(t, n.log.commit, uint64(1))
	_, err = n.ChangeMembership(MemberChange{Kind: RemoveMember, ID: 3})
	assert.ErrorIs(t, err, ErrChangePending)
	_, _, err = n.Propose([]byte("123456"))
	assert.ErrorIs(t, err, ErrBusy)
	assert.NilError(t, n.Step(Message{Kind: MessageAppendReply, From: 2, To: 1, Term: 3, Index: 3}))
	assert.Equal(t, n.log.commit, uint64(3))
	_, _, err = n.Propose([]byte("123456"))
	assert.NilError(t, err)
}

// TestQuorumCheckAndReturn guards against a leader that does not step down without a quorum, and against a reconnected
// member that deposes the current leader.
func TestQuorumCheckAndReturn(t *testing.T) {
	c := newCluster(t, 1, 1, 2, 3)
	old := c.elect()
	c.run(3)
	assert.Assert(t, old.node.Status().LeaseValid)
	c.isolate(old.id)
	c.oracle.readStarted(1)
	assert.NilError(t, old.node.Read(1))
	c.run(40)
	assert.Assert(t, old.node.role != Leader)
	assert.Equal(t, len(c.oracle.openReads), 0, "the read was not reported as failed")
	leader := c.leader()
	assert.Assert(t, leader != nil && leader.id != old.id)
	term := leader.node.term
	clear(c.blocked)
	c.run(40)
	assert.Equal(t, c.leader(), leader)
	assert.Equal(t, leader.node.term, term)
}

// TestCatchUp guards against slow catch-up: one round trip for each entry, or a snapshot although the log still has the
// entries. It also guards against repeatedly sending entries to a member that does not reply.
func TestCatchUp(t *testing.T) {
	for _, tt := range []struct {
		desc      string
		entries   int
		compact   bool
		snapshots int
	}{
		{"entries are pipelined", 300, false, 0},
		{"a snapshot replaces compacted entries", 300, true, 1},
		{"retained entries need no snapshot", 2, true, 0},
	} {
		t.Run(tt.desc, func(t *testing.T) {
			c := newCluster(t, 1, 1, 2, 3)
			leader := c.elect()
			behind := c.members[leader.id%3+1]
			c.isolate(behind.id)
			for i := range tt.entries {
				c.propose(leader, fmt.Sprint("v", i))
			}
			c.run(60)
			// A full window of 3 messages, then a retry every half election timeout while the member counts as active.
			assert.Assert(t, c.droppedAppends <= 3+2, "%d appends to a member that does not reply", c.droppedAppends)
			if tt.compact {
				c.compact(leader)
			}
			clear(c.blocked)
			c.run(2*6 + 1)
			assert.Equal(t, behind.state, leader.state)
			assert.Equal(t, c.oracle.snapshots, tt.snapshots)
		})
	}
}

// TestTransfer guards against a transfer or removal after which no other member takes over from the leader, and against
// a lease that is still valid after the leader asked another member to campaign.
func TestTransfer(t *testing.T) {
	c := newCluster(t, 1, 1, 2, 3)
	leader := c.elect()
	c.run(3)
	to := leader.id%3 + 1
	c.propose(leader, "v")
	assert.NilError(t, leader.node.TransferLeadership(to))
	_, _, err := leader.node.Propose([]byte("refused"))
	assert.ErrorIs(t, err, ErrTransferring)
	c.runUntilIdle()
	assert.Equal(t, c.leader().id, to)
	assert.Assert(t, !leader.node.Status().LeaseValid)

	c.mustChange(c.leader(), RemoveMember, to)
	c.runUntilIdle()
	assert.Assert(t, c.leader() != nil && c.leader().id != to, "no other member took over from the removed leader")
}

// TestConflictingTail guards against a search for the last matching entry that takes one round trip for each entry or
// ends in a snapshot, and against a membership that is still used after its entry was truncated.
func TestConflictingTail(t *testing.T) {
	c := newCluster(t, 1, 1, 2, 3)
	old := c.elect()
	c.isolate(old.id)
	c.mustChange(old, AddLearner, 4)
	for i := range 100 {
		c.propose(old, fmt.Sprint("lost", i))
	}
	c.run(40)
	leader := c.elect()
	for i := range 100 {
		c.propose(leader, fmt.Sprint("kept", i))
	}
	c.run(2)
	// A new leader starts the search at the end of its log.
	assert.NilError(t, leader.node.TransferLeadership(6-old.id-leader.id))
	c.run(2)
	clear(c.blocked)
	c.run(10)
	assert.Equal(t, old.state.value, "kept99")
	assert.Assert(t, c.rejectedAppends > 0 && c.rejectedAppends <= 3, "%d rejected appends", c.rejectedAppends)
	assert.Equal(t, c.oracle.snapshots, 0)
	assert.Assert(t, old.node.membership().Equal(c.leader().node.membership()))
}

// TestRestartKeepsLease guards against a follower that votes just after a restart, while a leader still has a lease
// that this follower confirmed.
func TestRestartKeepsLease(t *testing.T) {
	for seed := range uint64(20) {
		c := newCluster(t, seed, 1, 2, 3)
		c.lockstep = true
		leader := c.elect()
		c.run(2)
		c.blocked[link{leader.id, leader.id%3 + 1}] = true
		c.run(6)
		c.isolate(leader.id)
		c.restart((leader.id+1)%3 + 1)
		c.run(30)
		assert.Assert(t, c.leader() != nil && c.leader() != leader)
	}
}

// TestRestartedGroupWithoutLeaseElectsSoon guards against a group that has no leader for an election timeout and more after all
// of its members were restarted, and against a restarted member that deposes a leader.
func TestRestartedGroupWithoutLeaseElectsSoon(t *testing.T) {
	for seed := range uint64(50) {
		c := newClusterWith(t, seed, true, 1, 2, 3, 4, 5)
		leader := c.elect()
		c.propose(leader, "kept")
		c.run(3)
		c.restart(leader.id%5 + 1)
		c.run(20)
		assert.Equal(t, c.leader(), leader, "a restarted member deposed the leader")
		assert.Assert(t, !leader.node.Status().LeaseValid)
		for _, id := range c.ids() {
			c.restart(id)
		}
		c.run(6)
		assert.Assert(t, c.leader() != nil, "no leader within the minimum election timeout, seed %d", seed)
		c.run(3)
		assert.Equal(t, c.leader().state.value, "kept")
	}
}

// TestCampaignAfterRestart guards against an election after a restart that deposes a leader, that a member with a lease or
// without a log starts, or that does not find a leader without waiting for ticks.
func TestCampaignAfterRestart(t *testing.T) {
	for _, noLease := range []bool{true, false} {
		c := newClusterWith(t, 1, noLease, 1, 2, 3)
		leader := c.elect()
		c.run(3)
		other := leader.id%3 + 1
		c.restart(other)
		c.members[other].node.CampaignAfterRestart()
		c.add(4)
		c.members[4].node.CampaignAfterRestart()
		c.run(3)
		assert.Equal(t, c.leader(), leader)
		for _, id := range []ID{1, 2, 3} {
			c.restart(id)
		}
		c.members[other].node.CampaignAfterRestart()
		c.run(1)
		assert.Equal(t, c.leader() != nil, noLease)
	}
}

// TestFirstSnapshot guards against a member with an empty log that accepts a snapshot in which it is a voter, and
// against acknowledging entries before the snapshot that they follow is synced.
func TestFirstSnapshot(t *testing.T) {
	for _, self := range []ID{2, 4} {
		n, err := New(Config{ID: self, Rand: rand.New(rand.NewPCG(1, 1))}, PersistentState{})
		assert.NilError(t, err)
		s := &Snapshot{Index: 9, Term: 1, Membership: Membership{Voters: []ID{1, 2, 3}}}
		err = n.Step(Message{Kind: MessageSnapshot, From: 1, To: self, Term: 2, Snapshot: s})
		if self == 2 {
			assert.ErrorIs(t, err, ErrLostState)
			continue
		}
		assert.NilError(t, err)
		next := []Entry{{Term: 2, Index: 10}}
		m := Message{Kind: MessageAppend, From: 1, To: self, Term: 2, Index: 9, LogTerm: 1, Entries: next}
		assert.NilError(t, n.Step(m))
		r, _ := n.Ready()
		assert.Equal(t, r.Snapshot, s)
		assert.Equal(t, len(r.Messages), 1)
		assert.Equal(t, r.Messages[0].Index, uint64(9))
		n.Advance()
		assert.NilError(t, n.Step(m))
		r, _ = n.Ready()
		assert.Equal(t, r.Messages[0].Index, uint64(10))

		s = &Snapshot{Index: 10, Term: 2, Membership: s.Membership}
		m.Index, m.LogTerm, m.Entries = 10, 2, []Entry{{Term: 2, Index: 11}}
		assert.NilError(t, n.Step(m))
		assert.NilError(t, n.Step(Message{Kind: MessageSnapshot, From: 1, To: self, Term: 2, Snapshot: s}))
		assert.Equal(t, n.log.lastIndex(), uint64(11), "a snapshot of a matching log drops nothing")
		assert.Equal(t, n.messages[len(n.messages)-1].Index, uint64(10), "entry 11 is not part of the snapshot")
	}
}
