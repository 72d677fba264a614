package replica

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"rosemaryline.dev/raft"
	"rosemaryline.dev/storage"
)

// TestKillsDuringProposals guards against lost, duplicated or diverging commands, and against errors that wrongly say
// that a command was not applied, while one or all members are killed during writes and restarted.
func TestKillsDuringProposals(t *testing.T) {
	const clients, kills = 4, 20
	c := newCluster(t, 3)
	var wg sync.WaitGroup
	var stop atomic.Bool
	var acknowledged atomic.Int64
	outcomes := make([]map[string]error, clients)
	for client := range clients {
		outcomes[client] = map[string]error{}
		wg.Go(func() {
			for i := 0; !stop.Load(); i++ {
				command := fmt.Sprintf("%d/%d", client, i)
				ctx, cancel := context.WithTimeout(t.Context(), 100*testTick)
				err := c.propose(ctx, command)
				cancel()
				outcomes[client][command] = err
				if err == nil {
					acknowledged.Add(1)
				}
			}
		})
	}
	rnd := rand.New(rand.NewPCG(1, 1))
	c.injectFaults(kills, rnd, func(m *member) {
		if rnd.IntN(2) == 0 {
			c.loseQuorum(rnd)
			return
		}
		m.kill()
		m.start()
	})
	for acknowledged.Load() < 300 {
		time.Sleep(testTick)
	}
	stop.Store(true)
	wg.Wait()

	list := c.waitUntilApplied(c.members...)
	count := map[string]int{}
	for _, command := range list {
		count[command]++
	}
	for _, byCommand := range outcomes {
		for command, err := range byCommand {
			var unknown *UnknownError
			switch {
			case err == nil:
				assert.Equal(t, count[command], 1, "acknowledged command %s", command)
			case errors.As(err, &unknown):
				assert.Assert(t, count[command] <= 1, "command %s with unknown outcome", command)
			default:
				assert.Equal(t, count[command], 0, "command %s, reported as not applied: %v", command, err)
			}
		}
	}
	t.Logf("%d commands acknowledged", acknowledged.Load())
}

// injectFaults calls f on random members, with pauses of random length that may be too short for the group to recover.
func (c *cluster) injectFaults(times int, rnd *rand.Rand, f func(*member)) {
	for range times {
		time.Sleep(time.Duration(5+rnd.IntN(30)) * testTick)
		f(c.members[rnd.IntN(len(c.members))])
	}
	time.Sleep(40 * testTick)
}

// TestProposalsShareOneSync guards against a separate sync for each proposal: proposals that arrive during a sync must
// share the next one.
func TestProposalsShareOneSync(t *testing.T) {
	const proposals = 200
	c := newClusterOf(t, 1, 10_000, testTick)
	m := c.members[0]
	c.mustPropose("first")
	var wg sync.WaitGroup
	m.fs.hold.Lock()
	before, writes := m.fs.syncs.Load(), m.fs.writes.Load()
	wg.Go(func() { c.mustPropose("held") })
	for m.fs.writes.Load() == writes {
		time.Sleep(testTick)
	}
	for i := range proposals {
		wg.Go(func() {
			_, err := m.group.Propose(t.Context(), fmt.Append(nil, i))
			assert.Check(t, err)
		})
	}
	for len(m.group.proposals) < proposals {
		time.Sleep(testTick)
	}
	m.fs.hold.Unlock()
	wg.Wait()
	assert.Assert(t, m.fs.syncs.Load()-before <= 2, "%d syncs", m.fs.syncs.Load()-before)
}

// TestFailingSyncStopsTheMember guards against acknowledging a proposal whose sync failed: its outcome must be unknown
// and the member must stop.
func TestFailingSyncStopsTheMember(t *testing.T) {
	c := newCluster(t, 1)
	m := c.members[0]
	c.mustPropose("first")
	m.fs.killed.Store(true)
	_, err := m.group.Propose(t.Context(), []byte("second"))
	var unknown *UnknownError
	assert.Assert(t, errors.As(err, &unknown), "%v", err)
	<-m.group.Done()
	_, err = m.group.Propose(t.Context(), []byte("third"))
	assert.ErrorIs(t, err, ErrStopped)
	assert.ErrorIs(t, m.group.Barrier(t.Context()), ErrStopped)
}

// TestReplaceMemberThatLostItsDisk guards against a member that restarts with an empty disk as if nothing had happened.
// It also guards against faults in its replacement: the new ID joins as a learner, receives a snapshot and is promoted,
// and the old ID is removed.
func TestReplaceMemberThatLostItsDisk(t *testing.T) {
	c := newCluster(t, 3)
	for i := range 50 {
		c.mustPropose(fmt.Sprint(i))
	}
	lost := c.members[0]
	lost.kill()
	fresh := c.addMember()
	opts := fresh.options()
	_, err := Start(opts)
	assert.ErrorIs(t, err, ErrEmpty)
	assert.NilError(t, opts.Store.Close())
	fresh.start()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	for _, change := range []raft.MemberChange{
		{Kind: raft.AddLearner, ID: fresh.id},
		{Kind: raft.PromoteLearner, ID: fresh.id},
		{Kind: raft.RemoveMember, ID: lost.id},
	} {
		assert.NilError(t, c.onLeader(ctx, func(g *Group) error { return g.ChangeMembership(ctx, change) }))
	}
	c.members[1].kill()
	list := c.waitUntilApplied(c.members[2], fresh)
	assert.NilError(t, c.onLeader(ctx, func(g *Group) error { return g.TransferLeadership(ctx, fresh.id) }))
	for fresh.group.Status().Role != raft.Leader {
		assert.NilError(t, ctx.Err())
		time.Sleep(testTick)
	}
	assert.Equal(t, len(list), 51)
	assert.Assert(t, !fresh.group.Status().Membership.Contains(lost.id))
}

// TestNewGroupFromSnapshot guards against a saved snapshot from which a new group cannot be created with the same
// state. Operators do this after the loss of a whole group.
func TestNewGroupFromSnapshot(t *testing.T) {
	c := newCluster(t, 1)
	c.mustPropose("a")
	c.mustPropose("b")
	snap, err := c.members[0].group.Snapshot(t.Context())
	assert.NilError(t, err)
	var file bytes.Buffer
	assert.NilError(t, storage.WriteSnapshot(&file, snap))

	saved, err := storage.ReadSnapshot(&file, "file")
	assert.NilError(t, err)
	m := c.addMember()
	s, r := m.open()
	_, err = Initialise(s, r, []raft.ID{m.id + 1}, saved)
	assert.ErrorIs(t, err, ErrBadVoters)
	// A crash between the two steps of Initialise leaves the hard state only.
	assert.NilError(t, s.Save(&raft.HardState{Term: saved.Term, Commit: saved.Index}, nil))
	assert.NilError(t, s.Close())
	s, r = m.open()
	_, err = Initialise(s, r, []raft.ID{m.id}, saved)
	assert.NilError(t, err)
	assert.NilError(t, s.Close())
	s, r = m.open()
	_, err = Initialise(s, r, []raft.ID{m.id}, saved)
	assert.ErrorIs(t, err, ErrNotEmpty)
	assert.NilError(t, s.Close())
	c.members[0].kill()
	m.start()
	c.mustPropose("c")
	assert.DeepEqual(t, m.machine.copy(), []string{"a", "b", "c"})
}

// TestDiscardedProposalsEnd guards against a caller who waits forever for an entry that was discarded: a leader without
// a quorum appends more entries than the next leader's log has, and nobody proposes anything after the change.
func TestDiscardedProposalsEnd(t *testing.T) {
	c := newCluster(t, 3)
	c.mustPropose("first")
	leaders := func() (found []*member) {
		for _, m := range c.members {
			if m.group.Status().Role == raft.Leader {
				found = append(found, m)
			}
		}
		return found
	}
	for len(leaders()) != 1 {
		time.Sleep(testTick)
	}
	old := leaders()[0]
	for _, other := range c.members {
		c.cutPath(old, other)
		c.cutPath(other, old)
	}
	const proposals = 3
	outcomes := make(chan error, proposals)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	for i := range proposals {
		go func() {
			_, err := old.group.Propose(ctx, fmt.Append(nil, "discarded", i))
			outcomes <- err
		}()
	}
	for len(leaders()) == 0 || leaders()[0] == old {
		assert.NilError(t, ctx.Err())
		time.Sleep(testTick)
	}
	c.heal()
	var notLeader *raft.NotLeaderError
	for range proposals {
		assert.Check(t, errors.As(<-outcomes, &notLeader))
	}
	assert.DeepEqual(t, c.waitUntilApplied(c.members...), []string{"first", settleCommand})
}

// TestWaitersDistinguishTerms guards against reporting another leader's entry as the caller's own: after a change of
// leader an index may be used again while a caller still waits for the first entry there.
func TestWaitersDistinguishTerms(t *testing.T) {
	w := newWaiters()
	lost, kept, skipped := make(chan outcome, 1), make(chan outcome, 1), make(chan outcome, 1)
	discarded, pending := make(chan outcome, 1), make(chan outcome, 1)
	w.add(5, 1, lost)
	w.add(7, 1, discarded)
	w.add(7, 3, pending)
	w.add(5, 3, kept)
	w.add(6, 3, skipped)
	w.resolve(5, 3, []byte("result"))
	w.failUpTo(6, 3)
	var notLeader *raft.NotLeaderError
	assert.Assert(t, errors.As((<-lost).err, &notLeader))
	assert.DeepEqual(t, (<-kept).result, []byte("result"))
	assert.Assert(t, errors.As((<-discarded).err, &notLeader))
	assert.Equal(t, len(pending), 0)
	var unknown *UnknownError
	assert.Assert(t, errors.As((<-skipped).err, &unknown))
}
