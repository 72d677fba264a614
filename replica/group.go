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
	// messageQueueLength is the maximum number of received messages that wait for the loop. Further messages are dropped;
	// the senders retransmit them.
	messageQueueLength = 1024
	// callQueueLength is the maximum number of proposals, and also of reads, that wait for the loop. Further callers block
	// until there is room.
	callQueueLength = 1024
)

// Group is one running member of a Raft group. All methods are safe for concurrent use.
type Group struct {
	opts   Options
	logger *log.Logger
	tomb   tomb.Tomb
	close  sync.Once

	messages  chan raft.Message
	proposals chan *proposal
	reads     chan *read
	loopCalls chan func()

	loop    *loop
	applier *applier
	waiters *waiters
	status  atomic.Pointer[raft.Status]
}

// Start runs a member whose data folder holds the state of a group. It returns ErrEmpty if the folder holds none, so
// that the loss of a VM's disk does not go unnoticed.
func Start(opts Options) (*Group, error) {
	if opts.Recovered.Snapshot.Index == 0 {
		return nil, ErrEmpty
	}
	return start(opts)
}

// Join runs a member that joins an existing group. The member waits until the group's leader adds its ID as a learner
// and sends it a snapshot. Join also restarts a member that joined earlier.
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
		messages:  make(chan raft.Message, messageQueueLength),
		proposals: make(chan *proposal, callQueueLength),
		reads:     make(chan *read, callQueueLength),
		loopCalls: make(chan func()),
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

// Deliver queues a message from another member. It never blocks; it drops the message if the queue is full.
func (g *Group) Deliver(m raft.Message) {
	select {
	case g.messages <- m:
	default:
	}
}

// Status returns the member's state after the latest iteration of its loop. Applied is the index of the last entry that
// the state machine has applied.
func (g *Group) Status() raft.Status {
	status := *g.status.Load()
	status.Applied = g.applier.applied.Load()
	return status
}

// Done returns a channel that is closed when the member has stopped, either by Stop or because of an error of the
// storage or the state machine. After such an error the process must exit, because its last writes may not be durable.
func (g *Group) Done() <-chan struct{} { return g.tomb.Dead() }

// Stop stops the member and closes the store. It returns the error that had already stopped the member, if any.
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

// runInLoop runs f in the loop, which owns the node and the store, and waits for it. If f did not run, it returns
// ErrStopped or the error of ctx.
func (g *Group) runInLoop(ctx context.Context, f func()) error {
	done := make(chan struct{})
	run := func() {
		f()
		close(done)
	}
	select {
	case g.loopCalls <- run:
	case <-ctx.Done():
		return ctx.Err()
	case <-g.tomb.Dying():
		return ErrStopped
	}
	<-done
	return nil
}
