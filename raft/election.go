package raft

func (n *Node) setTerm(term uint64) {
	if term != n.term {
		n.term, n.vote = term, 0
	}
}

func (n *Node) resetElectionTimer() {
	n.electionElapsed = 0
	n.electionTimeout = n.cfg.ElectionTicks + n.cfg.Rand.IntN(n.cfg.ElectionTicks)
	if n.cfg.NoLease && !n.heardLeader {
		// If there is a leader, the other members ignore the pre-vote.
		n.electionTimeout = 1 + n.cfg.Rand.IntN(n.cfg.ElectionTicks/2)
	}
}

func (n *Node) becomeFollower(term uint64, leader ID) {
	if n.role == Leader {
		n.stopLeading()
	}
	n.setTerm(term)
	n.role, n.leader, n.votes = Follower, leader, nil
	n.resetElectionTimer()
}

// mayCampaign reports whether this member is a voter and no snapshot waits to be synced. A voter may campaign until its
// removal is committed: it may hold the most up-to-date log, in which case no other voter could win an election.
func (n *Node) mayCampaign() bool {
	committed := n.log.membershipAt(n.log.commit)
	return n.pendingSnapshot == nil && (n.membership().IsVoter(n.cfg.ID) || committed.IsVoter(n.cfg.ID))
}

// CampaignAfterRestart starts an election at once if Config.NoLease is set, this member is a voter with a log, and it has heard
// of no leader since New. If there is a leader, the other members ignore it.
func (n *Node) CampaignAfterRestart() {
	if n.cfg.NoLease && !n.heardLeader && (n.role == Follower || n.role == PreCandidate) && n.mayCampaign() {
		n.startPreVote()
	}
}

// startPreVote asks the voters whether they would vote for this member. It does not increment the term.
func (n *Node) startPreVote() {
	n.role, n.leader = PreCandidate, 0
	n.resetElectionTimer()
	n.requestVotes(MessagePreVote, n.term+1, false)
}

// campaign increments the term and requests votes. transfer is true if the leader requested this as part of a
// leadership transfer.
func (n *Node) campaign(transfer bool) {
	n.role, n.leader = Candidate, 0
	n.setTerm(n.term + 1)
	n.vote = n.cfg.ID
	n.resetElectionTimer()
	n.requestVotes(MessageVote, n.term, transfer)
}

func (n *Node) requestVotes(kind MessageKind, term uint64, transfer bool) {
	n.votes = map[ID]bool{}
	for _, id := range n.membership().Voters {
		if id == n.cfg.ID {
			continue
		}
		n.send(Message{
			Kind: kind, To: id, Term: term, Index: n.log.lastIndex(), LogTerm: n.log.lastTerm(), Transfer: transfer,
		})
	}
	n.recordVote(n.cfg.ID, true)
}

// recordVote records a vote and changes the role once a quorum has granted or rejected it.
func (n *Node) recordVote(from ID, granted bool) {
	n.votes[from] = granted
	yes, no := 0, 0
	for _, id := range n.membership().Voters {
		if vote, replied := n.votes[id]; replied && vote {
			yes++
		} else if replied {
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

// hasRecentLeaderContact reports whether this member is the leader or received a leader's message within the minimum
// election timeout, in any term. Vote requests are then ignored: the leader may still rely on its lease, and a member
// that merely lost contact must not depose it.
func (n *Node) hasRecentLeaderContact() bool {
	return n.role == Leader || n.ticks-n.lastContact < n.cfg.ElectionTicks
}

// stepVote replies to a vote or pre-vote request whose term is not older than this member's term.
func (n *Node) stepVote(m Message) {
	canVote := n.vote == m.From || n.vote == 0 && n.leader == 0
	if m.Kind == MessagePreVote {
		canVote = m.Term > n.term || canVote
	}
	granted := canVote && n.log.upToDate(m.Index, m.LogTerm)
	reply := Message{Kind: MessageVoteReply, To: m.From, Term: m.Term, Reject: !granted}
	if m.Kind == MessagePreVote {
		reply.Kind = MessagePreVoteReply
		if !granted {
			reply.Term = n.term
		}
	} else if granted {
		n.vote = m.From
		n.electionElapsed = 0
	}
	n.send(reply)
}

func (n *Node) stepVoteReply(m Message) {
	switch {
	case m.Kind == MessagePreVoteReply && n.role == PreCandidate && (m.Reject || m.Term == n.term+1):
		n.recordVote(m.From, !m.Reject)
	case m.Kind == MessageVoteReply && n.role == Candidate:
		n.recordVote(m.From, !m.Reject)
	}
}
