package raft

// flush turns a leader's new state into messages. It runs once for each Ready, so that many proposals and reads share
// one message.
func (n *Node) flush() {
	if n.role != Leader {
		return
	}
	n.assignReads()
	if n.rounds.due {
		n.beginRound()
		n.confirmReads()
	}
	for _, id := range n.peerIDs() {
		n.replicate(id, n.peers[id])
	}
}

// replicate sends what a member lacks, as far as its window allows.
func (n *Node) replicate(id ID, p *progress) {
	for p.match < n.log.last() && p.next <= n.log.last() && !p.lostState && !p.full(n.cfg.MaxInflight) {
		if p.next <= n.log.base {
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
	entries := n.log.limited(p.next, n.cfg.MaxAppendBytes)
	prev := p.next - 1
	prevTerm, _ := n.log.term(prev)
	n.send(Message{
		Kind: MessageAppend, To: id, Index: prev, LogTerm: prevTerm, Entries: entries,
		Commit: n.log.commit, Context: n.rounds.number,
	})
	p.sentCommit = n.log.commit
	if p.state == progressProbe {
		p.paused, p.advanceTick = true, n.ticks
		return
	}
	if len(p.inflight) == 0 {
		p.advanceTick = n.ticks
	}
	p.next = prev + uint64(len(entries)) + 1
	p.inflight = append(p.inflight, p.next-1)
}

// sendCommit tells a member a new commit index when there are no entries to carry it. The index stays within what the
// member is known to hold, because a heartbeat does not check the log.
func (n *Node) sendCommit(id ID, p *progress) {
	p.sentCommit = min(n.log.commit, p.match)
	n.send(Message{Kind: MessageHeartbeat, To: id, Commit: p.sentCommit, Context: n.rounds.number})
}

func (n *Node) sendSnapshot(id ID, p *progress) {
	s := n.log.snapshot
	n.send(Message{Kind: MessageSnapshot, To: id, Snapshot: &s, Index: s.Index, Context: n.rounds.number})
	p.state, p.next, p.inflight, p.advanceTick = progressSnapshot, s.Index+1, nil, n.ticks
}

// retry goes back to probing when messages seem lost. A silent member gets heartbeats only, so that entries and
// snapshots are not sent to it again and again.
func (n *Node) retry(p *progress) {
	limit := n.cfg.ElectionTicks / 2
	if p.state == progressSnapshot {
		limit = 2 * n.cfg.ElectionTicks
	}
	waiting := p.state == progressSnapshot || p.paused || len(p.inflight) > 0
	if !waiting || n.ticks-p.advanceTick < limit || !n.isActive(p) {
		return
	}
	if p.state == progressProbe {
		// match is not known yet; a restart from it would end in a needless snapshot.
		p.paused = false
		return
	}
	p.probe(p.match + 1)
}

// stepReply takes a member's answer to an append, snapshot or heartbeat.
func (n *Node) stepReply(m Message, p *progress) {
	if m.RejectHint == emptyHint && n.membership().IsVoter(m.From) {
		// A voter without a log lost its disk and forgot its votes and its term. Under this ID it must not confirm a
		// leader either, since it may have followed a newer one. The comparison leaves out late replies of a learner
		// that has been promoted since.
		p.lostState = p.lostState || m.Context > p.ackRound
		return
	}
	n.observeRound(m, p)
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
	if m.Index > n.log.last() {
		return
	}
	isNew := p.acknowledge(m.Index)
	if isNew {
		p.advanceTick = n.ticks
	}
	if p.state == progressProbe || p.state == progressSnapshot && m.Index+1 >= p.next {
		p.state, p.paused, p.next = progressReplicate, false, p.match+1
	}
	if isNew {
		n.advanceCommit()
		n.continueTransfer()
	}
}

// stepRejected moves a member's next index back. Answers to outdated messages have no effect.
func (n *Node) stepRejected(m Message, p *progress) {
	switch {
	case m.Index <= p.match || p.state == progressSnapshot:
		return
	case p.state == progressProbe && m.Index+1 != p.next:
		return
	}
	p.probe(max(p.match+1, min(m.RejectHint, m.Index)))
}
