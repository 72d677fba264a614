package raft

import (
	"maps"
	"slices"
)

// becomeLeader starts a leader's term with an empty entry; entries of former terms commit together with it.
func (n *Node) becomeLeader() {
	n.role, n.leader, n.votes = Leader, n.cfg.ID, nil
	n.electedTick, n.heartbeatDue = n.ticks, 0
	n.rounds = rounds{due: true}
	n.leaseGivenUp, n.transferee = false, 0
	n.peers = map[ID]*progress{}
	n.uncommitted = n.log.dataBytes(n.log.commit+1, n.log.last())
	n.termStart = n.appendOwn(EntryCommand, nil)
	n.addPeers()
}

func (n *Node) stopLeading() {
	n.failedReads = append(n.failedReads, n.reads.drop()...)
	n.peers, n.transferee = nil, 0
}

// addPeers adds the members that the leader does not track yet. It runs after an entry was appended, which is the first
// one that they are offered.
func (n *Node) addPeers() {
	for _, id := range n.membership().Members() {
		if id != n.cfg.ID && n.peers[id] == nil {
			n.peers[id] = newProgress(n.log.last(), n.ticks)
		}
	}
}

// peerIDs lists the tracked members in a fixed order, so that the same seed gives the same run.
func (n *Node) peerIDs() []ID { return slices.Sorted(maps.Keys(n.peers)) }

// appendOwn adds an entry of the own term and returns its index. Ready sends and syncs it.
func (n *Node) appendOwn(kind EntryKind, data []byte) uint64 {
	e := Entry{Term: n.term, Index: n.log.last() + 1, Kind: kind, Data: data}
	n.log.entries = append(n.log.entries, e)
	n.uncommitted += len(data)
	return e.Index
}

// Propose appends data to the log. The proposal succeeded when Ready.Committed holds an entry with the returned index
// and term; an entry of another term at that index means that it was lost. Errors: *NotLeaderError, ErrTransferring,
// ErrEmptyProposal, ErrBusy.
func (n *Node) Propose(data []byte) (index, term uint64, err error) {
	if err := n.mayPropose(); err != nil {
		return 0, 0, err
	}
	if len(data) == 0 {
		return 0, 0, ErrEmptyProposal
	}
	if n.uncommitted > 0 && n.uncommitted+len(data) > n.cfg.MaxUncommittedBytes {
		return 0, 0, ErrBusy
	}
	return n.appendOwn(EntryCommand, data), n.term, nil
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

// committedInTerm reports whether an entry of the leader's own term is committed. Only then is commit known to cover
// everything that was acknowledged before.
func (n *Node) committedInTerm() bool { return n.log.commit >= n.termStart }

// tickLeader steps down without a quorum, and otherwise starts rounds and retries.
func (n *Node) tickLeader() {
	if n.ticks-max(n.contactTick(), n.electedTick) >= n.cfg.ElectionTicks {
		n.becomeFollower(n.term, 0)
		return
	}
	n.tickTransfer()
	n.heartbeatDue++
	if n.heartbeatDue >= n.cfg.HeartbeatTicks {
		n.rounds.due = true
	}
	for _, p := range n.peers {
		n.retry(p)
	}
}

// quorumValue returns the highest value that a quorum of voters has reached.
func (n *Node) quorumValue(own uint64, of func(*progress) uint64) uint64 {
	var values []uint64
	for _, id := range n.membership().Voters {
		switch p := n.peers[id]; {
		case id == n.cfg.ID:
			values = append(values, own)
		case p != nil:
			values = append(values, of(p))
		default:
			values = append(values, 0)
		}
	}
	slices.Sort(values)
	return values[len(values)-n.membership().Quorum()]
}

// advanceCommit commits what a quorum has synced. An entry of a former term counts only with one of the own term after
// it, since a later leader could still overwrite it otherwise.
func (n *Node) advanceCommit() {
	index := n.quorumValue(n.log.stable, func(p *progress) uint64 { return p.match })
	if index <= n.log.commit || !n.log.matches(index, n.term) {
		return
	}
	n.uncommitted -= n.log.dataBytes(n.log.commit+1, index)
	n.log.commit = index
	if n.log.config().index <= index {
		n.finishChange()
	}
}
