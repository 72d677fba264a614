package raft

import (
	"maps"
	"slices"
)

// becomeLeader starts the leader's term by appending an empty entry. Entries of earlier terms are committed with it.
func (n *Node) becomeLeader() {
	n.role, n.leader, n.votes = Leader, n.cfg.ID, nil
	n.electedTick, n.heartbeatElapsed = n.ticks, 0
	n.heartbeatRounds = heartbeatRounds{due: true}
	n.leaseRevoked, n.transferee = false, 0
	n.peers = map[ID]*progress{}
	n.uncommittedBytes = n.log.dataBytes(n.log.commit+1, n.log.lastIndex())
	n.termStartIndex = n.appendEntry(EntryCommand, nil)
	n.addPeers()
}

func (n *Node) stopLeading() {
	n.failedReads = append(n.failedReads, n.reads.drop()...)
	n.peers, n.transferee = nil, 0
}

// addPeers starts to track the members that the leader does not track yet. It must be called after an entry was
// appended, because replication to a new member starts with the last entry.
func (n *Node) addPeers() {
	for _, id := range n.membership().Members() {
		if id != n.cfg.ID && n.peers[id] == nil {
			n.peers[id] = newProgress(n.log.lastIndex(), n.ticks)
		}
	}
}

// peerIDs returns the tracked members in ascending order, so that a run with the same random seed is reproducible.
func (n *Node) peerIDs() []ID { return slices.Sorted(maps.Keys(n.peers)) }

// appendEntry appends an entry with the leader's term and returns its index. The next Ready sends and syncs it.
func (n *Node) appendEntry(kind EntryKind, data []byte) uint64 {
	e := Entry{Term: n.term, Index: n.log.lastIndex() + 1, Kind: kind, Data: data}
	n.log.entries = append(n.log.entries, e)
	n.uncommittedBytes += len(data)
	return e.Index
}

// Propose appends a command to the log. It is committed once Ready.Committed contains an entry with the returned index
// and term. If the entry at that index has another term, the proposal was discarded. Errors: *NotLeaderError,
// ErrTransferring, ErrEmptyProposal, ErrBusy.
func (n *Node) Propose(data []byte) (index, term uint64, err error) {
	if err := n.mayPropose(); err != nil {
		return 0, 0, err
	}
	if len(data) == 0 {
		return 0, 0, ErrEmptyProposal
	}
	if n.uncommittedBytes > 0 && n.uncommittedBytes+len(data) > n.cfg.MaxUncommittedBytes {
		return 0, 0, ErrBusy
	}
	return n.appendEntry(EntryCommand, data), n.term, nil
}

func (n *Node) mayPropose() error {
	switch {
	case n.role != Leader:
		return &NotLeaderError{Leader: n.leader}
	case n.transferee != 0:
		return ErrTransferring
	}
	return nil
}

// committedInTerm reports whether an entry of the leader's own term is committed. Only then does the commit index cover
// all entries that earlier leaders acknowledged.
func (n *Node) committedInTerm() bool { return n.log.commit >= n.termStartIndex }

// tickLeader steps down if no quorum has confirmed the leader within ElectionTicks. Otherwise it schedules heartbeats
// and retries stalled replication.
func (n *Node) tickLeader() {
	if n.ticks-max(n.quorumContactTick(), n.electedTick) >= n.cfg.ElectionTicks {
		n.becomeFollower(n.term, 0)
		return
	}
	n.tickTransfer()
	n.heartbeatElapsed++
	if n.heartbeatElapsed >= n.cfg.HeartbeatTicks {
		n.heartbeatRounds.due = true
	}
	for _, p := range n.peers {
		n.retryIfStalled(p)
	}
}

// quorumValue returns the highest value that a quorum of voters has reached. The leader's value is ownValue, that of
// another voter valueOf its progress, and 0 if the leader does not track it.
func (n *Node) quorumValue(ownValue uint64, valueOf func(*progress) uint64) uint64 {
	var values []uint64
	for _, id := range n.membership().Voters {
		switch p := n.peers[id]; {
		case id == n.cfg.ID:
			values = append(values, ownValue)
		case p != nil:
			values = append(values, valueOf(p))
		default:
			values = append(values, 0)
		}
	}
	slices.Sort(values)
	return values[len(values)-n.membership().Quorum()]
}

// advanceCommit commits the entries that a quorum has synced. It commits entries of earlier terms only together with a
// later entry of the leader's own term, because otherwise a later leader could still overwrite them.
func (n *Node) advanceCommit() {
	index := n.quorumValue(n.log.stable, func(p *progress) uint64 { return p.match })
	if index <= n.log.commit || !n.log.matches(index, n.term) {
		return
	}
	n.uncommittedBytes -= n.log.dataBytes(n.log.commit+1, index)
	n.log.commit = index
	if n.log.latestMembership().index <= index {
		n.completeMembershipChange()
	}
}
