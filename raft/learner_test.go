package raft

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// TestIdleLeaderContactsNewLearner guards against a leader of an idle group that sends nothing to a new learner until
// the next proposal. The learner would never catch up and could not be promoted.
func TestIdleLeaderContactsNewLearner(t *testing.T) {
	const leader, learner = ID(1), ID(2)
	cfg := Config{ID: leader, ElectionTicks: 10, HeartbeatTicks: 1, MaxAppendBytes: 1 << 20, Rand: rand.New(rand.NewPCG(1, 1))}
	n, err := New(cfg, Bootstrap([]ID{leader}))
	assert.NilError(t, err)
	for n.Status().Role != Leader {
		n.Tick()
		drainReady(n)
	}
	drainReady(n)
	_, err = n.ChangeMembership(MemberChange{Kind: AddLearner, ID: learner})
	assert.NilError(t, err)
	for _, m := range drainReady(n) {
		if m.To == learner && (m.Kind == MessageAppend || m.Kind == MessageSnapshot) {
			return
		}
	}
	t.Fatal("no append or snapshot was sent to the learner")
}

func drainReady(n *Node) []Message {
	var sent []Message
	for {
		ready, ok := n.Ready()
		if !ok {
			return sent
		}
		sent = append(sent, ready.Messages...)
		n.Advance()
	}
}
