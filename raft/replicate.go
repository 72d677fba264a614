package raft

// queueLeaderMessages queues the heartbeats, entries and snapshots that a leader has to send. It runs once for each
// Ready, so that several proposals and reads share one message.
func (n *Node) queueLeaderMessages() {
	if n.role != Leader {
		return
	}
	n.assignReads()
	if n.heartbeatRounds.due {
		n.startHeartbeatRound()
		n.confirmReads()
	}
	for _, id := range n.peerIDs() {
		n.replicate(id, n.peers[id])
	}
}

// replicate sends entries, a snapshot or a new commit index to a member that lacks them. It stops when the member's
// window of unacknowledged messages is full.
func (n *Node) replicate(id ID, p *progress) {
	if p.state == progressProbe {
		// Otherwise a member that was added by the last entry would receive nothing until the next proposal.
		p.next = min(p.next, n.log.lastIndex())
	}
	for p.match < n.log.lastIndex() && p.next <= n.log.lastIndex() && !p.lostState && !p.isWindowFull(n.cfg.MaxInflight) {
		if p.next <= n.log.baseIndex {
			n.sendSnapshot(id, p)
			return
		}
		n.sendAppend(id, p)
	}
	if p.state == progressReplicate && p.sentCommit < min(n.log.commit, p.match) {
		n.sendCommit(id, p)
	}
}

func (n *Node) sendAppend(id ID, p *progress) {
	entries := n.log.sliceUpToBytes(p.next, n.cfg.MaxAppendBytes)
	prev := p.next - 1
	prevTerm, _ := n.log.term(prev)
	n.send(Message{
		Kind: MessageAppend, To: id, Index: prev, LogTerm: prevTerm, Entries: entries,
		Commit: n.log.commit, Context: n.heartbeatRounds.number,
	})
	p.sentCommit = n.log.commit
	if p.state == progressProbe {
		p.probeInFlight, p.lastProgressTick = true, n.ticks
		return
	}
	if len(p.inflight) == 0 {
		p.lastProgressTick = n.ticks
	}
	p.next = prev + uint64(len(entries)) + 1
	p.inflight = append(p.inflight, p.next-1)
}

// sendCommit sends a new commit index to a member when there are no entries to send with it. The index is limited to the
// member's match index, because a heartbeat does not check that the logs match.
func (n *Node) sendCommit(id ID, p *progress) {
	p.sentCommit = min(n.log.commit, p.match)
	n.send(Message{Kind: MessageHeartbeat, To: id, Commit: p.sentCommit, Context: n.heartbeatRounds.number})
}

func (n *Node) sendSnapshot(id ID, p *progress) {
	s := n.log.snapshot
	n.send(Message{Kind: MessageSnapshot, To: id, Snapshot: &s, Index: s.Index, Context: n.heartbeatRounds.number})
	p.state, p.next, p.inflight, p.lastProgressTick = progressSnapshot, s.Index+1, nil, n.ticks
}

// retryIfStalled returns to probing if messages to a member seem to be lost. It sends only heartbeats to a member that
// does not reply, so that entries and snapshots are not sent to it repeatedly.
func (n *Node) retryIfStalled(p *progress) {
	limit := n.cfg.ElectionTicks / 2
	if p.state == progressSnapshot {
		limit = 2 * n.cfg.ElectionTicks
	}
	waiting := p.state == progressSnapshot || p.probeInFlight || len(p.inflight) > 0
	if !waiting || n.ticks-p.lastProgressTick < limit || !n.isActive(p) {
		return
	}
	if p.state == progressProbe {
		// match is not known yet. Restarting from it would cause an unnecessary snapshot.
		p.probeInFlight = false
		return
	}
	p.becomeProbe(p.match + 1)
}

// stepReply processes a member's reply to an append, snapshot or heartbeat message.
func (n *Node) stepReply(m Message, p *progress) {
	if m.RejectHint == emptyLogHint && n.membership().IsVoter(m.From) {
		// A voter with an empty log has lost its disk, including its term and its votes. It must not confirm a leader
		// under this ID, because it may have followed a newer one. The comparison excludes delayed replies that the
		// member sent as a learner, before it was promoted.
		p.lostState = p.lostState || m.Context > p.ackedRound
		return
	}
	n.recordRoundReply(m, p)
	if m.Kind == MessageAppendReply {
		if m.Reject {
			n.stepRejected(m, p)
		} else {
			n.stepAccepted(m, p)
		}
	}
	if n.role == Leader {
		n.confirmReads()
	}
}

func (n *Node) stepAccepted(m Message, p *progress) {
	if m.Index > n.log.lastIndex() {
		return
	}
	isNew := p.acknowledge(m.Index)
	if isNew {
		p.lastProgressTick = n.ticks
	}
	if p.state == progressProbe || p.state == progressSnapshot && m.Index+1 >= p.next {
		p.state, p.probeInFlight, p.next = progressReplicate, false, p.match+1
	}
	if isNew {
		n.advanceCommit()
		n.completeTransferIfCaughtUp()
	}
}

// stepRejected moves a member's next index back after it rejected an append message. Replies to outdated messages have
// no effect.
func (n *Node) stepRejected(m Message, p *progress) {
	switch {
	case m.Index <= p.match || p.state == progressSnapshot:
		return
	case p.state == progressProbe && m.Index+1 != p.next:
		return
	}
	p.becomeProbe(max(p.match+1, min(m.RejectHint, m.Index)))
}
