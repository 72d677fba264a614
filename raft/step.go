package raft

import "github.com/pkg/errors"

// Step processes a message from another member. It returns ErrWrongMember, ErrLostState or ErrMalformed if it rejects
// the message. A message that is rejected with ErrLostState or ErrMalformed may still have had effects, such as a new
// term.
func (n *Node) Step(m Message) error {
	if m.To != n.cfg.ID {
		return errors.Wrapf(ErrWrongMember, "message from %v to %v", m.From, m.To)
	}
	if n.hasEmptyLog() && isVoteRequest(m.Kind) {
		return nil
	}
	if isVoteRequest(m.Kind) && !m.Transfer && n.hasRecentLeaderContact() && m.Term >= n.term {
		return nil
	}
	if m.Term < n.term {
		n.replyToStaleTerm(m)
		return nil
	}
	if m.Term > n.term && !hasProspectiveTerm(m) {
		n.becomeFollower(m.Term, 0)
	}
	return n.stepCurrentTerm(m)
}

func isVoteRequest(kind MessageKind) bool { return kind == MessagePreVote || kind == MessageVote }

// hasProspectiveTerm reports whether the message's term is one that its candidate has not entered yet: a pre-vote
// request or a granted pre-vote. The receiver must not adopt such a term.
func hasProspectiveTerm(m Message) bool {
	return m.Kind == MessagePreVote || m.Kind == MessagePreVoteReply && !m.Reject
}

// replyToStaleTerm replies with the current term to a leader or candidate of an older term. Without the reply, a member
// that reached a higher term on its own would never follow the leader again, and the leader would not learn of that
// term.
func (n *Node) replyToStaleTerm(m Message) {
	switch m.Kind {
	case MessageAppend, MessageHeartbeat, MessageSnapshot:
		n.send(Message{Kind: MessageAppendReply, To: m.From, Index: m.Index, Reject: true, RejectHint: n.log.lastIndex() + 1})
	case MessagePreVote:
		n.send(Message{Kind: MessagePreVoteReply, To: m.From, Reject: true})
	case MessageVote:
		n.send(Message{Kind: MessageVoteReply, To: m.From, Reject: true})
	}
}

func (n *Node) stepCurrentTerm(m Message) error {
	switch m.Kind {
	case MessagePreVote, MessageVote:
		n.stepVote(m)
	case MessagePreVoteReply, MessageVoteReply:
		n.stepVoteReply(m)
	case MessageAppend, MessageHeartbeat, MessageSnapshot:
		return n.stepFromLeader(m)
	case MessageAppendReply, MessageHeartbeatReply:
		if p := n.peers[m.From]; n.role == Leader && p != nil {
			n.stepReply(m, p)
		}
	case MessageTimeoutNow:
		if m.From == n.leader && n.mayCampaign() {
			n.campaign(true)
		}
	default:
		return errors.Wrapf(ErrMalformed, "message kind %v", m.Kind)
	}
	return nil
}
