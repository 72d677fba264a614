package raft

import "github.com/pkg/errors"

// TransferLeadership asks a voter to campaign immediately once it has caught up. While the transfer is in progress, for
// at most ElectionTicks, proposals fail with ErrTransferring. Errors: *NotLeaderError, ErrNotVoter, ErrTransferring.
func (n *Node) TransferLeadership(to ID) error {
	if err := n.mayPropose(); err != nil {
		return err
	}
	if to == n.cfg.ID {
		return nil
	}
	if !n.membership().IsVoter(to) {
		return errors.Wrapf(ErrNotVoter, "transfer to %v", to)
	}
	n.transferee, n.transferTick = to, n.ticks
	n.completeTransferIfCaughtUp()
	return nil
}

// completeTransferIfCaughtUp asks the transferee to campaign once it holds the whole log. The message may arrive late,
// so the leader revokes its lease for the rest of the term.
func (n *Node) completeTransferIfCaughtUp() {
	if n.role != Leader || n.transferee == 0 {
		return
	}
	if n.peers[n.transferee].match < n.log.lastIndex() {
		return
	}
	n.leaseRevoked = true
	n.send(Message{Kind: MessageTimeoutNow, To: n.transferee})
}

// tickTransfer cancels a transfer that has not completed within ElectionTicks.
func (n *Node) tickTransfer() {
	if n.transferee != 0 && n.ticks-n.transferTick >= n.cfg.ElectionTicks {
		n.transferee = 0
	}
}
