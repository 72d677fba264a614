package raft

import "github.com/pkg/errors"

// emptyLogHint is the RejectHint of a member whose log is empty.
const emptyLogHint = 1

// stepFromLeader processes a message from the leader of the current term.
func (n *Node) stepFromLeader(m Message) error {
	if n.role == Leader {
		return errors.Wrapf(ErrMalformed, "second leader %v in term %d", m.From, m.Term)
	}
	n.role, n.leader, n.votes, n.lastContact, n.heardLeader = Follower, m.From, nil, n.ticks, true
	n.resetElectionTimer()
	if n.pendingSnapshot != nil {
		// Nothing may be acknowledged until the snapshot is synced.
		return nil
	}
	switch m.Kind {
	case MessageAppend:
		return n.stepAppend(m)
	case MessageSnapshot:
		return n.stepSnapshot(m)
	}
	n.commitTo(min(m.Commit, n.log.lastIndex()))
	reply := Message{Kind: MessageHeartbeatReply, To: m.From, Context: m.Context}
	if n.hasEmptyLog() {
		reply.RejectHint = emptyLogHint
	}
	n.send(reply)
	return nil
}

func (n *Node) stepAppend(m Message) error {
	if m.Index < n.log.commit && m.Index+uint64(len(m.Entries)) <= n.log.commit {
		n.acceptAppend(m, n.log.commit)
		return nil
	}
	if m.Index >= n.log.baseIndex && !n.log.matches(m.Index, m.LogTerm) {
		n.rejectAppend(m)
		return nil
	}
	if err := checkEntries(m); err != nil {
		return err
	}
	if err := n.log.mergeFromLeader(m.Entries); err != nil {
		return err
	}
	last := m.Index + uint64(len(m.Entries))
	n.commitTo(min(m.Commit, last))
	n.acceptAppend(m, last)
	return nil
}

func checkEntries(m Message) error {
	for i, e := range m.Entries {
		if e.Index != m.Index+uint64(i)+1 || e.Term > m.Term {
			return errors.Wrapf(ErrMalformed, "append after %d holds entry %d of term %d", m.Index, e.Index, e.Term)
		}
	}
	return nil
}

func (n *Node) acceptAppend(m Message, index uint64) {
	n.send(Message{Kind: MessageAppendReply, To: m.From, Index: index, Context: m.Context})
}

// rejectAppend replies with the index from which the leader should retry. It skips all uncommitted entries of the
// conflicting term, so that the leader needs one round trip for each term instead of one for each entry.
func (n *Node) rejectAppend(m Message) {
	hint := n.log.lastIndex() + 1
	if m.Index <= n.log.lastIndex() {
		hint = n.log.firstOfTerm(m.Index)
	}
	n.send(Message{
		Kind: MessageAppendReply, To: m.From, Index: m.Index, Reject: true, RejectHint: hint, Context: m.Context,
	})
}

func (n *Node) stepSnapshot(m Message) error {
	s := m.Snapshot
	if s == nil || s.Index == 0 || s.Term > m.Term || len(s.Membership.Voters) == 0 {
		return errors.Wrapf(ErrMalformed, "snapshot from %v", m.From)
	}
	if n.hasEmptyLog() && s.Membership.IsVoter(n.cfg.ID) {
		return errors.Wrapf(ErrLostState, "member %v", n.cfg.ID)
	}
	if s.Index > n.log.commit && !n.log.matches(s.Index, s.Term) {
		n.log.reset(*s)
		n.pendingSnapshot = s
	}
	n.commitTo(s.Index)
	n.acceptAppend(m, n.log.commit)
	return nil
}

func (n *Node) commitTo(index uint64) { n.log.commit = max(n.log.commit, index) }
