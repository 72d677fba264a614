package raft

func (n *Node) setTerm(term uint64) {
	if term != n.term {
		n.term, n.vote = term, 0
	}
}

func (n *Node) resetElectionTimer() {
	n.elapsed = 0
	n.electionTimeout = n.cfg.ElectionTicks + n.cfg.Rand.IntN(n.cfg.ElectionTicks)
}

func (n *Node) becomeFollower(term uint64, leader ID) {
	if n.role == Leader {
		n.stopLeading()
	}
	n.setTerm(term)
	n.role, n.leader, n.votes = Follower, leader, nil
	n.resetElectionTimer()
}

// mayCampaign holds for voters whose state is complete on disk. A voter whose removal is not committed still campaigns:
// it may hold the longest log, and without it the others could not win an election.
func (n *Node) mayCampaign() bool {
	committed := n.log.configAt(n.log.commit)
	return n.pendingSnapshot == nil && (n.membership().IsVoter(n.cfg.ID) || committed.IsVoter(n.cfg.ID))
}

// campaignPreVote asks the voters whether they would vote, without raising the term.
func (n *Node) campaignPreVote() {
	n.role, n.leader = PreCandidate, 0
	n.resetElectionTimer()
	n.askVotes(MessagePreVote, n.term+1, false)
}

// campaign raises the term and asks for votes. transfer is set when the leader ordered the campaign.
func (n *Node) campaign(transfer bool) {
	n.role, n.leader = Candidate, 0
	n.setTerm(n.term + 1)
	n.vote = n.cfg.ID
	n.resetElectionTimer()
	n.askVotes(MessageVote, n.term, transfer)
}

func (n *Node) askVotes(kind MessageKind, term uint64, transfer bool) {
	n.votes = map[ID]bool{}
	for _, id := range n.membership().Voters {
		if id == n.cfg.ID {
			continue
		}
		n.send(Message{
			Kind: kind, To: id, Term: term, Index: n.log.last(), LogTerm: n.log.lastTerm(), Transfer: transfer,
		})
	}
	n.countVote(n.cfg.ID, true)
}

// countVote records a vote and moves on when the outcome is known.
func (n *Node) countVote(from ID, granted bool) {
	n.votes[from] = granted
	yes, no := 0, 0
	for _, id := range n.membership().Voters {
		if vote, answered := n.votes[id]; answered && vote {
			yes++
		} else if answered {
			no++
		}
	}
	switch {
	case yes >= n.membership().Quorum() && n.role == PreCandidate:
		n.campaign(false)
	case yes >= n.membership().Quorum():
		n.becomeLeader()
	case no >= n.membership().Quorum():
		n.becomeFollower(n.term, 0)
	}
}

// hasLeader reports whether this member leads or answered a leader whose lease may still run, in whatever term. Vote
// requests are then ignored, so that a member that merely lost contact deposes nobody.
func (n *Node) hasLeader() bool {
	return n.role == Leader || n.ticks-n.lastContact < n.cfg.ElectionTicks
}

// stepVote answers a vote request; the message's term is not below the own term.
func (n *Node) stepVote(m Message) {
	free := n.vote == m.From || n.vote == 0 && n.leader == 0
	if m.Kind == MessagePreVote {
		free = m.Term > n.term || free
	}
	granted := free && n.log.upToDate(m.Index, m.LogTerm)
	reply := Message{Kind: MessageVoteReply, To: m.From, Term: m.Term, Reject: !granted}
	if m.Kind == MessagePreVote {
		reply.Kind = MessagePreVoteReply
		if !granted {
			reply.Term = n.term
		}
	} else if granted {
		n.vote = m.From
		n.elapsed = 0
	}
	n.send(reply)
}

func (n *Node) stepVoteReply(m Message) {
	switch {
	case m.Kind == MessagePreVoteReply && n.role == PreCandidate && (m.Reject || m.Term == n.term+1):
		n.countVote(m.From, !m.Reject)
	case m.Kind == MessageVoteReply && n.role == Candidate:
		n.countVote(m.From, !m.Reject)
	}
}
