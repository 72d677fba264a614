package replica

import (
	"context"
	"sync/atomic"

	"github.com/pkg/errors"

	"rosemaryline.dev/raft"
)

// proposal is a request for a new entry.
type proposal struct {
	bytes int
	// start appends the entry to the leader's log.
	start func(*raft.Node) (index, term uint64, err error)
	// taken is set by the loop before it calls start, or by a caller who gives up before that.
	taken atomic.Bool
	// done takes the outcome; it is buffered for one.
	done chan outcome
}

type outcome struct {
	result []byte
	err    error
}

// Propose appends a command to the replicated log and returns the state machine's result once it has applied it here.
// data must not change afterwards.
// Errors: *raft.NotLeaderError, raft.ErrTransferring, ErrTooLarge, ErrStopped and errors of ctx mean that the command
// is not and will not be applied; *UnknownError means that the outcome is not known.
func (g *Group) Propose(ctx context.Context, data []byte) ([]byte, error) {
	if len(data) > g.opts.MaxProposalBytes {
		return nil, errors.Wrapf(ErrTooLarge, "%d bytes", len(data))
	}
	p := newProposal(len(data), func(n *raft.Node) (uint64, uint64, error) { return n.Propose(data) })
	return g.propose(ctx, p)
}

// ChangeMembership adds, promotes or removes a member and returns once the change is committed. Errors are those of
// Propose, and raft.ErrChangePending, raft.ErrBadChange and raft.ErrNotCaughtUp without effect.
func (g *Group) ChangeMembership(ctx context.Context, change raft.MemberChange) error {
	p := newProposal(0, func(n *raft.Node) (uint64, uint64, error) {
		index, err := n.ChangeMembership(change)
		return index, n.Status().Term, err
	})
	_, err := g.propose(ctx, p)
	return errors.WithMessagef(err, "change member %s", formatID(change.ID))
}

// TransferLeadership asks a voter to take over. Errors: *raft.NotLeaderError, raft.ErrNotVoter, raft.ErrTransferring,
// ErrStopped and errors of ctx.
func (g *Group) TransferLeadership(ctx context.Context, to raft.ID) error {
	var err error
	if callErr := g.call(ctx, func() { err = g.loop.node.TransferLeadership(to) }); callErr != nil {
		return callErr
	}
	return err
}

func newProposal(bytes int, start func(*raft.Node) (uint64, uint64, error)) *proposal {
	return &proposal{bytes: bytes, start: start, done: make(chan outcome, 1)}
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
		return p.giveUp(ctx.Err())
	case <-g.tomb.Dead():
		return p.giveUp(ErrStopped)
	}
}

// giveUp ends the wait. The outcome is known if it has arrived meanwhile or if the loop has not taken the proposal.
func (p *proposal) giveUp(cause error) ([]byte, error) {
	select {
	case o := <-p.done:
		return o.result, o.err
	default:
	}
	if p.taken.CompareAndSwap(false, true) {
		return nil, cause
	}
	return nil, &UnknownError{Err: cause}
}

func (l *loop) propose(p *proposal) {
	if !p.taken.CompareAndSwap(false, true) {
		return
	}
	l.turnBytes += p.bytes
	index, term, err := p.start(l.node)
	if err != nil {
		p.done <- outcome{err: err}
		return
	}
	l.waiters.add(index, term, p.done)
}
