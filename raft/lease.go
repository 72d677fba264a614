package raft

// heartbeatRounds numbers a leader's heartbeat rounds. A reply to a round proves that the member followed this leader
// after the round started.
type heartbeatRounds struct {
	number uint64
	// due is set when the next Ready has to start a round.
	due bool
	// starts holds the start of each recent round, in order of the numbers.
	starts []roundStart
}

type roundStart struct {
	number uint64
	tick   int
}

// start starts a new round and discards rounds that are older than maxAge ticks.
func (r *heartbeatRounds) start(tick, maxAge int) {
	r.number++
	r.due = false
	for len(r.starts) > 0 && r.starts[0].tick < tick-maxAge {
		r.starts = r.starts[1:]
	}
	r.starts = append(r.starts, roundStart{r.number, tick})
}

// startTick returns the tick at which a round started, or neverTick if the round was discarded or has not started.
func (r *heartbeatRounds) startTick(number uint64) int {
	if len(r.starts) == 0 || number < r.starts[0].number || number > r.number {
		return neverTick
	}
	return r.starts[number-r.starts[0].number].tick
}

// startHeartbeatRound sends heartbeats with a new round number to all other members.
func (n *Node) startHeartbeatRound() {
	n.heartbeatRounds.start(n.ticks, n.cfg.ElectionTicks)
	n.heartbeatElapsed = 0
	for _, id := range n.peerIDs() {
		n.send(Message{
			Kind: MessageHeartbeat, To: id, Commit: min(n.log.commit, n.peers[id].match), Context: n.heartbeatRounds.number,
		})
	}
}

// recordRoundReply records that a member replied to a round.
func (n *Node) recordRoundReply(m Message, p *progress) {
	if m.Context > n.heartbeatRounds.number {
		return
	}
	p.ackedRound = max(p.ackedRound, m.Context)
	p.ackedRoundTick = max(p.ackedRoundTick, n.heartbeatRounds.startTick(m.Context))
}

// confirmedRound returns the number of the latest round that a quorum has replied to.
func (n *Node) confirmedRound() uint64 {
	return n.quorumValue(n.heartbeatRounds.number, func(p *progress) uint64 { return p.ackedRound })
}

// quorumContactTick returns the latest tick at or after which a quorum is known to have followed this leader. This is
// the start of the confirmed round and not the arrival of its replies, which may have been in transit for a long time.
func (n *Node) quorumContactTick() int {
	if n.membership().Quorum() == 1 && n.membership().IsVoter(n.cfg.ID) {
		return n.ticks
	}
	return n.heartbeatRounds.startTick(n.confirmedRound())
}

// leaseValid reports whether the leader's lease is valid. The lease ends one tick before the voters stop ignoring vote
// requests (hasRecentLeaderContact), because the members' ticks are not synchronised.
func (n *Node) leaseValid() bool {
	return n.role == Leader && !n.cfg.NoLease && !n.leaseRevoked && n.ticks-n.quorumContactTick() < n.cfg.ElectionTicks-1
}

// isActive reports whether a member replied to a heartbeat round that started within the last ElectionTicks.
func (n *Node) isActive(p *progress) bool { return n.ticks-p.ackedRoundTick < n.cfg.ElectionTicks }
