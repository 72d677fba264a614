package node

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"rosemaryline.dev/fleet/config"
	"rosemaryline.dev/fleet/state"
	"rosemaryline.dev/rpc"
)

// startRolloutFleet returns three control VMs with a service.
func startRolloutFleet(t *testing.T, options ...func(*Options)) *orderFleet {
	t.Helper()
	f := startOrderFleet(t, options...)
	change := config.Change{}
	change.Services.Set = map[string]config.Service{"svc": {Slots: 1, Connections: 1, FloorPercent: 50}}
	change.SetDefaults()
	f.propose(state.Command{Apply: &state.ApplyChange{Change: change, ContentHash: change.Hash()}})
	return f
}

// begin sends an order until it is acknowledged or refused, as an operator does.
func (f *orderFleet) begin(n *Node, operator string, order RolloutOrder) (refusal *state.Refusal) {
	f.t.Helper()
	eventually(f.t, "order", func() error {
		ctx, cancel := context.WithTimeout(f.t.Context(), time.Second)
		defer cancel()
		err := n.BeginRollout(ctx, operator, order)
		if refusal = nil; errors.As(err, &refusal) {
			return nil
		}
		return err
	})
	return refusal
}

// rollout reads the rollout of the service through a control VM.
func (f *orderFleet) rollout(n *Node) (r state.Rollout) {
	f.t.Helper()
	eventually(f.t, "read", func() error {
		ctx, cancel := context.WithTimeout(f.t.Context(), time.Second)
		defer cancel()
		found, ok, err := n.ReadRollout(ctx, "svc")
		if r = found; err == nil && !ok {
			return errors.New("no rollout")
		}
		return err
	})
	return r
}

// rollBack ends the rollout of the service, a time ago.
func (f *orderFleet) rollBack(ago time.Duration) {
	f.t.Helper()
	r := f.rollout(f.leader())
	eventually(f.t, "roll-back", func() error {
		result, err := f.leader().control.proposeRollout(f.t.Context(), state.Command{
			ChangeID: "end-" + r.ID, Time: time.Now().Add(-ago), AbortRollout: &state.AbortRollout{Service: "svc", ID: r.ID},
		})
		if err == nil && result.Err != nil {
			return result.Err
		}
		return err
	})
}

var testOrder = RolloutOrder{Service: "svc", NewVersion: "v2", Duration: 10 * time.Second}

// Guards against copies of an order that begin two rollouts or are refused, against two operators who both win, and against
// an order after a roll-back that is taken for a copy.
func TestRolloutOrders(t *testing.T) {
	f := startRolloutFleet(t)
	_, found, err := f.leader().ReadRollout(t.Context(), "svc")
	assert.NilError(t, err)
	assert.Assert(t, !found)
	var wait sync.WaitGroup
	refusals := make([]*state.Refusal, 9)
	for i := range refusals {
		order := testOrder
		if i%3 == 2 {
			order.NewVersion = "v3"
		}
		wait.Go(func() { refusals[i] = f.begin(f.nodes[i%2], "operator", order) })
	}
	wait.Wait()
	first := f.rollout(f.followers()[0])
	for i, refusal := range refusals {
		if (i%3 == 2) == (first.NewVersion == "v3") {
			assert.Assert(t, refusal == nil, "%v", refusal)
		} else {
			assert.Equal(t, refusal.Code, state.CodeConflict)
		}
	}
	order := testOrder
	order.NewVersion = first.NewVersion
	assert.Assert(t, f.begin(f.nodes[2], "another operator", order) == nil, "the same order while it runs")
	longer := order
	longer.Duration += time.Second
	assert.Equal(t, f.begin(f.nodes[2], "operator", longer).Code, state.CodeConflict)

	f.rollBack(0)
	assert.Assert(t, f.begin(f.nodes[0], "operator", order) == nil, "a copy after the end")
	assert.Equal(t, f.rollout(f.nodes[1]).ID, first.ID)
	assert.Assert(t, f.begin(f.nodes[0], "operator", longer) == nil, "another order after the end")
	second := f.rollout(f.nodes[1])
	assert.Assert(t, second.Running() && second.ID != first.ID)
	f.rollBack(rolloutResendWindow + time.Second)
	assert.Assert(t, f.begin(f.nodes[0], "operator", longer) == nil, "the same order after the resend window")
	third := f.rollout(f.nodes[1])
	assert.Assert(t, third.Running() && third.ID != second.ID)

	unknown := RolloutOrder{Service: "none", NewVersion: "v2", Duration: time.Second}
	assert.Equal(t, f.begin(f.nodes[0], "operator", unknown).Code, state.CodeNotFound)
	assert.Equal(t, f.begin(f.nodes[0], "operator", RolloutOrder{Service: "svc", NewVersion: "v4"}).Code, state.CodeInvalid)
}

// Guards against a completed rollout that the same order begins again.
func TestOrderOfACompletedRollout(t *testing.T) {
	f := startRolloutFleet(t)
	assert.Assert(t, f.begin(f.nodes[0], "operator", testOrder) == nil)
	first := f.rollout(f.nodes[0])
	result, err := f.leader().control.proposeRollout(t.Context(), state.Command{
		Time:          time.Now().Add(-time.Hour),
		DecideRollout: &state.DecideRollout{Service: "svc", ID: first.ID, Phase: state.RolloutCompleted, Percent: 100, Reason: "test"},
	})
	assert.NilError(t, err)
	assert.Assert(t, result.Err == nil)
	assert.Assert(t, f.begin(f.nodes[1], "operator", testOrder) == nil)
	assert.Equal(t, f.begin(f.nodes[1], "another operator", testOrder).Code, state.CodeUnchanged)
	assert.Equal(t, f.rollout(f.nodes[2]).ID, first.ID)
}

// Guards against a second rollout by a copy of an order that reached a control VM whose path to the leader was cut, and that
// the leader gets after the first rollout was rolled back.
func TestHeldUpOrderDoesNotBeginASecondRollout(t *testing.T) {
	for _, heldAfter := range []time.Duration{0, callerCheckWait / 2, callerCheckWait - time.Millisecond} {
		t.Run(fmt.Sprint("held up after ", heldAfter), func(t *testing.T) {
			f := startRolloutFleet(t)
			slow, other := f.followers()[0], f.followers()[1]
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			time.AfterFunc(heldAfter, func() { f.holder.hold(slow.opts.Name) })
			if heldAfter == 0 {
				f.holder.hold(slow.opts.Name)
			}
			ended := make(chan error, 1)
			go func() { ended <- slow.BeginRollout(ctx, "operator", testOrder) }()
			time.Sleep(2 * callerCheckWait)
			cancel() // the operator leaves
			assert.Assert(t, f.begin(other, "operator", testOrder) == nil)
			first := f.rollout(other)
			f.rollBack(rolloutResendWindow + time.Second)
			f.holder.release(slow.opts.Name)
			for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
				assert.Equal(t, f.rollout(other).ID, first.ID, "a late copy began a second rollout")
			}
			t.Log("the held up order ended with: ", <-ended)
		})
	}
}

// Guards against a replica that diverges because its build refuses a command that the others accept, and against a fleet
// that takes no order while a control VM is lost.
func TestRolloutNeedsAllMembers(t *testing.T) {
	f := startRolloutFleet(t)
	leader, old := f.leader(), f.followers()[0]
	eventually(t, "features in gossip", func() error {
		for _, n := range f.nodes {
			if err := n.control.checkRolloutsKnown(); err != nil {
				return err
			}
		}
		return nil
	})
	// change alters what the leader knows of the member by gossip.
	change := func(f func(members map[string]peerInfo)) {
		leader.gossip.mu.Lock()
		defer leader.gossip.mu.Unlock()
		f(leader.gossip.members)
	}
	var info peerInfo
	// checkRefused checks that the leader takes no command about rollouts.
	checkRefused := func() {
		t.Helper()
		assert.ErrorContains(t, leader.control.checkRolloutsKnown(), "does not announce")
		var refusal *state.Refusal
		err := leader.BeginRollout(shortContext(t), "operator", testOrder)
		assert.Assert(t, err != nil && !errors.As(err, &refusal), "%v", err)
		_, err = leader.Propose(shortContext(t), state.Command{
			ChangeID: "admit", Operator: "test", AdmitVersions: &state.AdmitVersions{Service: "svc", Versions: []string{"v1"}},
		})
		assert.Assert(t, err != nil && !errors.As(err, &refusal), "%v", err)
		leader.viewState(func(s *state.State) { assert.Assert(t, !s.KnowsRollouts()) })
	}
	change(func(members map[string]peerInfo) {
		info = members[old.opts.Name]
		earlier := info
		earlier.meta.Features = nil
		members[old.opts.Name] = earlier
	})
	checkRefused()
	change(func(members map[string]peerInfo) { delete(members, old.opts.Name) })
	checkRefused()
	change(func(members map[string]peerInfo) { members[old.opts.Name] = info })
	assert.Assert(t, f.begin(leader, "operator", testOrder) == nil)
	change(func(members map[string]peerInfo) { delete(members, old.opts.Name) })
	assert.NilError(t, leader.control.checkRolloutsKnown())

	_, err := f.followers()[0].control.proposeRollout(t.Context(), state.Command{AbortRollout: &state.AbortRollout{Service: "svc"}})
	assert.Assert(t, hasCode(err, rpc.CodeNotLeader), "%v", err)
	rpc.Register(leader.rpc, methodRollout, func(context.Context, string, proposal) (proposalResult, error) {
		return proposalResult{}, &rpc.RemoteError{Code: rpc.CodeNoMethod, Message: "no method"}
	})
	_, _, err = f.followers()[0].ReadRollout(shortContext(t), "svc")
	assert.Assert(t, err != nil, "a leader of an earlier build cannot confirm the read")
}

func shortContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	t.Cleanup(cancel)
	return ctx
}

// Guards against an order that is refused, or that begins a second rollout, because the reply to its first copy was lost.
func TestRolloutOrderWithLostReplies(t *testing.T) {
	f := startRolloutFleet(t)
	leader := f.leader()
	var lost atomic.Int32
	rpc.Register(leader.rpc, methodRollout, func(ctx context.Context, from string, p proposal) (proposalResult, error) {
		result, err := leader.control.servePropose(ctx, from, p)
		if p.Rollout.Begin != nil && lost.Add(1) <= 3 {
			return proposalResult{}, &rpc.RemoteError{Code: rpc.CodeOutcomeUnknown, Message: "lost"}
		}
		return result, err
	})
	assert.Assert(t, f.begin(f.followers()[0], "operator", testOrder) == nil)
	assert.Assert(t, lost.Load() > 3)
	accepted := 0
	leader.viewState(func(s *state.State) {
		for _, r := range s.History(100) {
			if r.Kind == state.KindBeginRollout {
				assert.Assert(t, r.Result.Err == nil, "%v", r.Result.Err)
				accepted++
			}
		}
	})
	assert.Equal(t, accepted, 1)
}
