package raft

import "github.com/pkg/errors"

// ChangeMembership appends a change of one member and returns its index. The change is in force at once on the leader
// and done when the entry is committed. Errors: *NotLeaderError, ErrTransferring, ErrChangePending, ErrBadChange,
// ErrNotCaughtUp.
func (n *Node) ChangeMembership(c MemberChange) (index uint64, err error) {
	if err := n.mayPropose(); err != nil {
		return 0, err
	}
	// Two uncommitted changes, also of two leaders, could leave two disjoint majorities.
	if !n.committedInTerm() || n.log.config().index > n.log.commit {
		return 0, ErrChangePending
	}
	next, err := n.membership().apply(c)
	if err != nil {
		return 0, err
	}
	if c.Kind == PromoteLearner && !n.caughtUp(c.ID) {
		return 0, errors.Wrapf(ErrNotCaughtUp, "learner %v", c.ID)
	}
	data, err := encodeMembership(next)
	if err != nil {
		return 0, err
	}
	index = n.appendOwn(EntryMembership, data)
	n.log.configs = append(n.log.configs, configRecord{index, next})
	n.addPeers()
	return index, nil
}

// caughtUp reports whether a learner answers and has synced all committed entries.
func (n *Node) caughtUp(id ID) bool {
	p := n.peers[id]
	return p != nil && p.match >= n.log.commit && n.isActive(p)
}

// finishChange acts on a committed membership: it tells removed members, and a removed leader hands over.
func (n *Node) finishChange() {
	m := n.membership()
	for _, id := range n.peerIDs() {
		if !m.Contains(id) {
			n.replicate(id, n.peers[id])
			delete(n.peers, id)
		}
	}
	if !m.IsVoter(n.cfg.ID) {
		n.handOver()
	}
}

// handOver ends the term of a removed leader. The most advanced voter campaigns at once.
func (n *Node) handOver() {
	var to ID
	for _, id := range n.membership().Voters {
		if p := n.peers[id]; p != nil && (to == 0 || p.match > n.peers[to].match) {
			to = id
		}
	}
	n.flush()
	if to != 0 {
		n.send(Message{Kind: MessageTimeoutNow, To: to})
	}
	n.becomeFollower(n.term, 0)
}
