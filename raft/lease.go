package raft

// rounds numbers the leader's confirmation rounds. An answer to a round proves that the member followed this leader
// after the round began.
type rounds struct {
	number uint64
	due    bool
	begun  []roundTick
}

type roundTick struct {
	number uint64
	tick   int
}

// begin starts a new round and forgets rounds that are older than keep ticks.
func (r *rounds) begin(tick, keep int) {
	r.number++
	r.due = false
	for len(r.begun) > 0 && r.begun[0].tick < tick-keep {
		r.begun = r.begun[1:]
	}
	r.begun = append(r.begun, roundTick{r.number, tick})
}

// tickOf returns the tick at which a round began, or never for one that is forgotten.
func (r *rounds) tickOf(number uint64) int {
	if len(r.begun) == 0 || number < r.begun[0].number || number > r.number {
		return never
	}
	return r.begun[number-r.begun[0].number].tick
}

// beginRound sends heartbeats with a new round number.
func (n *Node) beginRound() {
	n.rounds.begin(n.ticks, n.cfg.ElectionTicks)
	n.heartbeatDue = 0
	for _, id := range n.peerIDs() {
		n.send(Message{
			Kind: MessageHeartbeat, To: id, Commit: min(n.log.commit, n.peers[id].match), Context: n.rounds.number,
		})
	}
}

// observeRound records that a member answered a round.
func (n *Node) observeRound(m Message, p *progress) {
	if m.Context > n.rounds.number {
		return
	}
	p.ackRound = max(p.ackRound, m.Context)
	p.ackTick = max(p.ackTick, n.rounds.tickOf(m.Context))
}

// confirmedRound is the latest round that a quorum has answered.
func (n *Node) confirmedRound() uint64 {
	return n.quorumValue(n.rounds.number, func(p *progress) uint64 { return p.ackRound })
}

// contactTick is the latest tick after which a quorum certainly followed this leader. It counts from the start of the
// round, not from its answers: an answer may have been under way for long.
func (n *Node) contactTick() int {
	if n.membership().Quorum() == 1 && n.membership().IsVoter(n.cfg.ID) {
		return n.ticks
	}
	return n.rounds.tickOf(n.confirmedRound())
}

// leaseValid is one tick stricter than the voters' refusal in hasLeader, since their ticks fall at other moments.
func (n *Node) leaseValid() bool {
	return n.role == Leader && !n.leaseGivenUp && n.ticks-n.contactTick() < n.cfg.ElectionTicks-1
}

// isActive reports whether a member answered within an election timeout.
func (n *Node) isActive(p *progress) bool { return n.ticks-p.ackTick < n.cfg.ElectionTicks }
