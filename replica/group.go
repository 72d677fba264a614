package replica

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"gopkg.in/tomb.v2"

	"rosemaryline.dev/raft"
)

const (
	// inboxMessages bounds the received messages that wait for the loop; more are dropped, and senders repeat them.
	inboxMessages = 1024
	// inboxCalls bounds the proposals and reads that wait for the loop; callers then wait in turn.
	inboxCalls = 1024
)

// Group is one running member of a group. All methods are safe for concurrent use.
type Group struct {
	opts   Options
	logger *log.Logger
	tomb   tomb.Tomb
	close  sync.Once

	messages  chan raft.Message
	proposals chan *proposal
	reads     chan *read
	calls     chan func()

	loop    *loop
	applier *applier
	waiters *waiters
	status  atomic.Pointer[raft.Status]
}

// Start runs a member whose data folder holds a group. It returns ErrEmpty where the folder holds none, so that a VM
// that lost its disk does not come back unnoticed.
func Start(opts Options) (*Group, error) {
	if opts.Recovered.Snapshot.Index == 0 {
		return nil, ErrEmpty
	}
	return start(opts)
}

// Join runs a member that enters an existing group: the group's leader adds its id as a learner and sends it a
// snapshot. It also continues a member that joined earlier.
func Join(opts Options) (*Group, error) { return start(opts) }

func start(opts Options) (*Group, error) {
	opts, err := opts.withDefaults()
	if err != nil {
		return nil, err
	}
	node, err := raft.New(opts.raftConfig(), opts.Recovered.PersistentState)
	if err != nil {
		return nil, errors.WithMessage(err, "start group")
	}
	g := &Group{
		opts: opts, logger: opts.Logger, waiters: newWaiters(),
		messages:  make(chan raft.Message, inboxMessages),
		proposals: make(chan *proposal, inboxCalls),
		reads:     make(chan *read, inboxCalls),
		calls:     make(chan func()),
	}
	g.applier = newApplier(g)
	if err := g.applier.restore(opts.Recovered.Snapshot); err != nil {
		return nil, err
	}
	g.loop = newLoop(g, node)
	g.tomb.Go(g.loop.run)
	g.tomb.Go(g.applier.run)
	return g, nil
}

// Deliver hands in a message from another member. It never blocks and drops the message when too many wait.
func (g *Group) Deliver(m raft.Message) {
	select {
	case g.messages <- m:
	default:
	}
}

// Status describes the member as of the last turn of its loop. Applied is the index that the state machine has reached.
func (g *Group) Status() raft.Status {
	status := *g.status.Load()
	status.Applied = g.applier.applied.Load()
	return status
}

// Done is closed when the group has stopped, also by itself after an error of the storage or the state machine. The
// process must then end: what it wrote last may not be durable.
func (g *Group) Done() <-chan struct{} { return g.tomb.Dead() }

// Stop ends the member and closes the store. It returns the error that stopped the group earlier, if any.
func (g *Group) Stop() error {
	g.tomb.Kill(nil)
	err := g.tomb.Wait()
	g.close.Do(func() {
		if closeErr := g.opts.Store.Close(); err == nil {
			err = closeErr
		}
	})
	return err
}

// call runs f in the loop, which owns the node and the store. It returns ErrStopped or the error of ctx when f did not
// run.
func (g *Group) call(ctx context.Context, f func()) error {
	done := make(chan struct{})
	run := func() {
		f()
		close(done)
	}
	select {
	case g.calls <- run:
	case <-ctx.Done():
		return ctx.Err()
	case <-g.tomb.Dying():
		return ErrStopped
	}
	<-done
	return nil
}
