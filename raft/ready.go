package raft

// Ready returns the outstanding work. ok is false if there is none, or if Advance was not yet called for the previous
// Ready.
func (n *Node) Ready() (r Ready, ok bool) {
	if n.outstandingReady != nil {
		return Ready{}, false
	}
	n.queueLeaderMessages()
	r = Ready{
		Snapshot:    n.pendingSnapshot,
		Messages:    n.messages,
		Committed:   n.log.slice(n.log.applied+1, n.log.commit),
		Reads:       n.readStates,
		FailedReads: n.failedReads,
	}
	if r.Snapshot == nil {
		r.Entries = n.log.slice(n.log.stable+1, n.log.lastIndex())
	}
	r.HardState = n.changedHardState(r)
	if r.isEmpty() {
		return Ready{}, false
	}
	n.messages, n.readStates, n.failedReads = nil, nil, nil
	n.outstandingReady = &r
	return r, true
}

func (r Ready) isEmpty() bool {
	return r.HardState == nil && r.Snapshot == nil && len(r.Entries) == 0 && len(r.Messages) == 0 &&
		len(r.Committed) == 0 && len(r.Reads) == 0 && len(r.FailedReads) == 0
}

// changedHardState returns the hard state if it must be saved, and nil otherwise. A new commit index alone does not
// justify a sync, because a restarted member learns it again from the leader. The saved commit index covers only
// entries of earlier Ready values, so that a crash between two writes never leaves it beyond the end of the saved log.
func (n *Node) changedHardState(r Ready) *HardState {
	hs := HardState{Term: n.term, Vote: n.vote, Commit: n.savedHardState.Commit}
	if r.Snapshot == nil {
		hs.Commit = min(n.log.commit, n.log.stable)
	}
	if hs.Term == n.savedHardState.Term && hs.Vote == n.savedHardState.Vote && (hs.Commit == n.savedHardState.Commit || len(r.Entries) == 0) {
		return nil
	}
	return &hs
}

// Advance reports to the node that the work of the last Ready is done: synced, sent and applied. It has no effect if no
// Ready is outstanding.
func (n *Node) Advance() {
	r := n.outstandingReady
	if r == nil {
		return
	}
	n.outstandingReady = nil
	if r.HardState != nil {
		n.savedHardState = *r.HardState
	}
	if r.Snapshot != nil {
		n.pendingSnapshot = nil
	}
	if len(r.Entries) > 0 {
		// The log may have been truncated in the meantime; entries that were removed do not count as stable.
		last := r.Entries[len(r.Entries)-1]
		if n.log.matches(last.Index, last.Term) {
			n.log.stable = max(n.log.stable, last.Index)
		}
	}
	if len(r.Committed) > 0 {
		n.log.applied = max(n.log.applied, r.Committed[len(r.Committed)-1].Index)
	}
	if n.role == Leader {
		n.advanceCommit()
	}
}
