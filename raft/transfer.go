package raft

import "github.com/pkg/errors"

// TransferLeadership makes a voter campaign at once when it has caught up. Proposals are refused meanwhile, for at most
// ElectionTicks. Errors: *NotLeaderError, ErrNotVoter, ErrTransferring.
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
	n.continueTransfer()
	return nil
}

// continueTransfer orders the campaign once the transferee holds the whole log. The order may arrive late, so the
// lease is given up for the rest of the term.
func (n *Node) continueTransfer() {
	if n.role != Leader || n.transferee == 0 {
		return
	}
	if n.peers[n.transferee].match < n.log.last() {
		return
	}
	n.leaseGivenUp = true
	n.send(Message{Kind: MessageTimeoutNow, To: n.transferee})
}

// tickTransfer ends a transfer that takes longer than an election timeout.
func (n *Node) tickTransfer() {
	if n.transferee != 0 && n.ticks-n.transferTick >= n.cfg.ElectionTicks {
		n.transferee = 0
	}
}
