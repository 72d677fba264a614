package raft

// readQueue holds a leader's unanswered reads.
type readQueue struct {
	// waiting reads have no index yet.
	waiting []uint64
	// pending reads wait for their round.
	pending []pendingRead
}

type pendingRead struct {
	state ReadState
	round uint64
}

// drop empties the queue and returns the contexts of the reads.
func (q *readQueue) drop() []uint64 {
	contexts := make([]uint64, 0, len(q.pending)+len(q.waiting))
	for _, r := range q.pending {
		contexts = append(contexts, r.state.Context)
	}
	contexts = append(contexts, q.waiting...)
	*q = readQueue{}
	return contexts
}

// Read asks for an index at which a read is linearizable. Ready.Reads answers once a quorum confirmed this leader, and
// Ready.FailedReads when the leadership ended before. context is the caller's. Errors: *NotLeaderError.
func (n *Node) Read(context uint64) error {
	if n.role != Leader {
		return &NotLeaderError{Leader: n.leader}
	}
	n.reads.waiting = append(n.reads.waiting, context)
	return nil
}

// assignReads gives waiting reads the commit index and a new round. It waits for the first commit of the own term,
// because before that the commit index may lag behind what a former leader acknowledged.
func (n *Node) assignReads() {
	if len(n.reads.waiting) == 0 || !n.committedInTerm() {
		return
	}
	for _, context := range n.reads.waiting {
		state := ReadState{Context: context, Index: n.log.commit}
		n.reads.pending = append(n.reads.pending, pendingRead{state, n.rounds.number + 1})
	}
	n.reads.waiting = nil
	n.rounds.due = true
}

// confirmReads answers the reads whose round a quorum has answered.
func (n *Node) confirmReads() {
	confirmed := n.confirmedRound()
	for len(n.reads.pending) > 0 && n.reads.pending[0].round <= confirmed {
		n.readStates = append(n.readStates, n.reads.pending[0].state)
		n.reads.pending = n.reads.pending[1:]
	}
}
