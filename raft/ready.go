package raft

// Ready returns the outstanding work; ok is false when there is none or when the former Ready waits for Advance.
func (n *Node) Ready() (r Ready, ok bool) {
	if n.outstanding != nil {
		return Ready{}, false
	}
	n.flush()
	r = Ready{
		Snapshot:    n.pendingSnapshot,
		Messages:    n.messages,
		Committed:   n.log.slice(n.log.applied+1, n.log.commit),
		Reads:       n.readStates,
		FailedReads: n.failedReads,
	}
	if r.Snapshot == nil {
		r.Entries = n.log.slice(n.log.stable+1, n.log.last())
	}
	r.HardState = n.changedHardState(r)
	if r.isEmpty() {
		return Ready{}, false
	}
	n.messages, n.readStates, n.failedReads = nil, nil, nil
	n.outstanding = &r
	return r, true
}

func (r Ready) isEmpty() bool {
	return r.HardState == nil && r.Snapshot == nil && len(r.Entries) == 0 && len(r.Messages) == 0 &&
		len(r.Committed) == 0 && len(r.Reads) == 0 && len(r.FailedReads) == 0
}

// changedHardState returns the hard state if it must be saved. A new commit index alone is not worth a sync, since a
// restarted member learns it again. The saved commit index covers only entries of former Readys, so that a crash
// between two writes never leaves it beyond the saved log.
func (n *Node) changedHardState(r Ready) *HardState {
	hs := HardState{Term: n.term, Vote: n.vote, Commit: n.saved.Commit}
	if r.Snapshot == nil {
		hs.Commit = min(n.log.commit, n.log.stable)
	}
	if hs.Term == n.saved.Term && hs.Vote == n.saved.Vote && (hs.Commit == n.saved.Commit || len(r.Entries) == 0) {
		return nil
	}
	return &hs
}

// Advance reports that the work of the last Ready is done: synced, sent, applied. It has no effect without one.
func (n *Node) Advance() {
	r := n.outstanding
	if r == nil {
		return
	}
	n.outstanding = nil
	if r.HardState != nil {
		n.saved = *r.HardState
	}
	if r.Snapshot != nil {
		n.pendingSnapshot = nil
	}
	if len(r.Entries) > 0 {
		// The log may have changed since; what was cut off is not stable.
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
