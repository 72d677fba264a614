package raft

import "github.com/pkg/errors"

// ChangeMembership appends an entry that changes one member, and returns its index. The leader uses the new membership
// immediately; the change is complete once the entry is committed. Errors: *NotLeaderError, ErrTransferring,
// ErrChangePending, ErrBadChange, ErrNotCaughtUp.
func (n *Node) ChangeMembership(c MemberChange) (index uint64, err error) {
	if err := n.mayPropose(); err != nil {
		return 0, err
	}
	// Two uncommitted changes, even by different leaders, could result in two disjoint majorities.
	if !n.committedInTerm() || n.log.latestMembership().index > n.log.commit {
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
	index = n.appendEntry(EntryMembership, data)
	n.log.memberships = append(n.log.memberships, membershipRecord{index, next})
	n.addPeers()
	return index, nil
}

// caughtUp reports whether a member replies to the leader and has synced all committed entries.
func (n *Node) caughtUp(id ID) bool {
	p := n.peers[id]
	return p != nil && p.match >= n.log.commit && n.isActive(p)
}

// completeMembershipChange completes a membership change. It sends the last entries to removed members and stops
// tracking them, and steps down if the leader itself was removed.
func (n *Node) completeMembershipChange() {
	m := n.membership()
	for _, id := range n.peerIDs() {
		if !m.Contains(id) {
			n.replicate(id, n.peers[id])
			delete(n.peers, id)
		}
	}
	if !m.IsVoter(n.cfg.ID) {
		n.stepDownAfterRemoval()
	}
}

// stepDownAfterRemoval makes a removed leader a follower. It first asks the voter with the highest match index to
// campaign immediately.
func (n *Node) stepDownAfterRemoval() {
	var to ID
	for _, id := range n.membership().Voters {
		if p := n.peers[id]; p != nil && (to == 0 || p.match > n.peers[to].match) {
			to = id
		}
	}
	n.queueLeaderMessages()
	if to != 0 {
		n.send(Message{Kind: MessageTimeoutNow, To: to})
	}
	n.becomeFollower(n.term, 0)
}
