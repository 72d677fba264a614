package raft

// readQueue holds the reads that a leader has not completed yet.
type readQueue struct {
	// unassigned holds the contexts of reads that have no index yet.
	unassigned []uint64
	// unconfirmed holds reads with an index whose heartbeat round is not confirmed yet, in order of the rounds.
	unconfirmed []unconfirmedRead
}

type unconfirmedRead struct {
	state ReadState
	round uint64
}

// drop removes all reads and returns their contexts.
func (q *readQueue) drop() []uint64 {
	contexts := make([]uint64, 0, len(q.unconfirmed)+len(q.unassigned))
	for _, r := range q.unconfirmed {
		contexts = append(contexts, r.state.Context)
	}
	contexts = append(contexts, q.unassigned...)
	*q = readQueue{}
	return contexts
}

// Read requests the index at which a read is linearizable. Ready.Reads contains the result once a quorum has confirmed
// this leader. Ready.FailedReads contains context if the member stops being the leader before that. context is chosen by
// the caller to identify the read. Errors: *NotLeaderError.
func (n *Node) Read(context uint64) error {
	if n.role != Leader {
		return &NotLeaderError{Leader: n.leader}
	}
	n.reads.unassigned = append(n.reads.unassigned, context)
	return nil
}

// assignReads assigns the commit index and the next heartbeat round to reads that have none yet. It does so only once an
// entry of the leader's own term is committed: before that, entries that an earlier leader acknowledged may be above the
// commit index.
func (n *Node) assignReads() {
	if len(n.reads.unassigned) == 0 || !n.committedInTerm() {
		return
	}
	for _, context := range n.reads.unassigned {
		state := ReadState{Context: context, Index: n.log.commit}
		n.reads.unconfirmed = append(n.reads.unconfirmed, unconfirmedRead{state, n.heartbeatRounds.number + 1})
	}
	n.reads.unassigned = nil
	n.heartbeatRounds.due = true
}

// confirmReads completes the reads whose heartbeat round a quorum has replied to.
func (n *Node) confirmReads() {
	confirmed := n.confirmedRound()
	for len(n.reads.unconfirmed) > 0 && n.reads.unconfirmed[0].round <= confirmed {
		n.readStates = append(n.readStates, n.reads.unconfirmed[0].state)
		n.reads.unconfirmed = n.reads.unconfirmed[1:]
	}
}
