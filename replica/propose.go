package replica

import (
	"context"
	"sync/atomic"

	"github.com/pkg/errors"

	"rosemaryline.dev/raft"
)

// proposal is a request to append an entry to the log.
type proposal struct {
	bytes int
	// appendTo appends the entry to the leader's log.
	appendTo func(*raft.Node) (index, term uint64, err error)
	// claimed is set by the loop before it calls appendTo, or by a caller who abandons the proposal before that.
	claimed atomic.Bool
	// done receives the outcome. It has a buffer for one.
	done chan outcome
}

type outcome struct {
	result []byte
	err    error
}

// Propose appends a command to the replicated log. Once this member has applied the command, it returns the result of
// the state machine. The caller must not modify data afterwards. An *UnknownError means that the outcome is not known.
// Any other error, such as *raft.NotLeaderError, raft.ErrTransferring, ErrTooLarge, ErrStopped or an error of ctx,
// means that the command has not been and will not be applied.
func (g *Group) Propose(ctx context.Context, data []byte) ([]byte, error) {
	if len(data) > g.opts.MaxProposalBytes {
		return nil, errors.Wrapf(ErrTooLarge, "%d bytes", len(data))
	}
	p := newProposal(len(data), func(n *raft.Node) (uint64, uint64, error) { return n.Propose(data) })
	return g.propose(ctx, p)
}

// ProposeChecked is Propose with a check that runs just before the command is appended, so that nothing is appended between
// the two. check gets the term in which this member leads. If it returns an error, the command is not appended, and
// ProposeChecked returns that error. check must not block.
func (g *Group) ProposeChecked(ctx context.Context, data []byte, check func(term uint64) error) ([]byte, error) {
	if len(data) > g.opts.MaxProposalBytes {
		return nil, errors.Wrapf(ErrTooLarge, "%d bytes", len(data))
	}
	p := newProposal(len(data), func(n *raft.Node) (uint64, uint64, error) {
		status := n.Status()
		if status.Role != raft.Leader {
			return 0, 0, &raft.NotLeaderError{Leader: status.Leader}
		}
		if err := check(status.Term); err != nil {
			return 0, 0, err
		}
		return n.Propose(data)
	})
	return g.propose(ctx, p)
}

// ChangeMembership adds, promotes or removes a member and returns once the change is committed. It returns the errors of
// Propose, and raft.ErrChangePending, raft.ErrBadChange or raft.ErrNotCaughtUp if the change had no effect.
func (g *Group) ChangeMembership(ctx context.Context, change raft.MemberChange) error {
	p := newProposal(0, func(n *raft.Node) (uint64, uint64, error) {
		index, err := n.ChangeMembership(change)
		return index, n.Status().Term, err
	})
	_, err := g.propose(ctx, p)
	return errors.WithMessagef(err, "change member %s", formatID(change.ID))
}

// TransferLeadership starts a transfer of the leadership to a voter and does not wait for its end. Errors:
// *raft.NotLeaderError, raft.ErrNotVoter, raft.ErrTransferring, ErrStopped and errors of ctx.
func (g *Group) TransferLeadership(ctx context.Context, to raft.ID) error {
	var err error
	if callErr := g.runInLoop(ctx, func() { err = g.loop.node.TransferLeadership(to) }); callErr != nil {
		return callErr
	}
	return err
}

func newProposal(bytes int, appendTo func(*raft.Node) (uint64, uint64, error)) *proposal {
	return &proposal{bytes: bytes, appendTo: appendTo, done: make(chan outcome, 1)}
}

func (g *Group) propose(ctx context.Context, p *proposal) ([]byte, error) {
	select {
	case g.proposals <- p:
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-g.tomb.Dying():
		return nil, ErrStopped
	}
	select {
	case o := <-p.done:
		return o.result, o.err
	case <-ctx.Done():
		return p.abandon(ctx.Err())
	case <-g.tomb.Dead():
		return p.abandon(ErrStopped)
	}
}

// abandon ends the wait for the outcome. The outcome is still known if it has just arrived, or if the loop has not
// claimed the proposal, which then has no effect. Otherwise abandon returns an *UnknownError.
func (p *proposal) abandon(cause error) ([]byte, error) {
	select {
	case o := <-p.done:
		return o.result, o.err
	default:
	}
	if p.claimed.CompareAndSwap(false, true) {
		return nil, cause
	}
	return nil, &UnknownError{Err: cause}
}

func (l *loop) propose(p *proposal) {
	if !p.claimed.CompareAndSwap(false, true) {
		return
	}
	l.batchBytes += p.bytes
	index, term, err := p.appendTo(l.node)
	if err != nil {
		p.done <- outcome{err: err}
		return
	}
	l.waiters.add(index, term, p.done)
}
