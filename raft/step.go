package raft

import "github.com/pkg/errors"

// Step takes a message from another member. Errors: ErrWrongMember, ErrLostState, ErrMalformed; the message then had
// no effect.
func (n *Node) Step(m Message) error {
	if m.To != n.cfg.ID {
		return errors.Wrapf(ErrWrongMember, "message from %v to %v", m.From, m.To)
	}
	if n.isEmpty() && isVoteRequest(m.Kind) {
		return nil
	}
	if isVoteRequest(m.Kind) && !m.Transfer && n.hasLeader() && m.Term >= n.term {
		return nil
	}
	if m.Term < n.term {
		n.answerOldTerm(m)
		return nil
	}
	if m.Term > n.term && !keepsTerm(m) {
		n.becomeFollower(m.Term, 0)
	}
	return n.stepCurrentTerm(m)
}

func isVoteRequest(kind MessageKind) bool { return kind == MessagePreVote || kind == MessageVote }

// keepsTerm holds for messages whose term nobody has entered yet.
func keepsTerm(m Message) bool {
	return m.Kind == MessagePreVote || m.Kind == MessagePreVoteReply && !m.Reject
}

// answerOldTerm tells a deposed leader or an outdated candidate the current term. Without it, a member that reached a
// higher term alone would never accept the leader again, nor would the leader learn why.
func (n *Node) answerOldTerm(m Message) {
	switch m.Kind {
	case MessageAppend, MessageHeartbeat, MessageSnapshot:
		n.send(Message{Kind: MessageAppendReply, To: m.From, Index: m.Index, Reject: true, RejectHint: n.log.last() + 1})
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
