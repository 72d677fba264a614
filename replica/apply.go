package replica

import (
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"rosemaryline.dev/raft"
)

// maxApplyBacklog is the number of committed entries that may wait for the state machine. While more are waiting, the
// loop accepts no proposals.
const maxApplyBacklog = 10_000

// task is work for the applier. The fields are processed in their order.
type task struct {
	snapshot    *raft.Snapshot
	committed   []raft.Entry
	reads       []*read
	exportState func(index uint64, data []byte, err error)
}

// applier is the goroutine that owns the state machine.
type applier struct {
	*Group
	machine StateMachine
	applied atomic.Uint64
	// snapshotIndex is the index of the latest snapshot that was taken or restored.
	snapshotIndex uint64
	saving        atomic.Bool

	wake    chan struct{}
	mu      sync.Mutex // guards the fields below
	queue   []task
	backlog int
}

func newApplier(g *Group) *applier {
	return &applier{Group: g, machine: g.opts.StateMachine, wake: make(chan struct{}, 1)}
}

// enqueue adds a task to the queue. It never blocks, and the queue has no limit: the log keeps the entries in memory
// anyway.
func (a *applier) enqueue(t task) {
	if t.snapshot == nil && len(t.committed) == 0 && len(t.reads) == 0 && t.exportState == nil {
		return
	}
	a.mu.Lock()
	a.queue = append(a.queue, t)
	a.backlog += len(t.committed)
	a.mu.Unlock()
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

func (a *applier) isBacklogged() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.backlog > maxApplyBacklog
}

func (a *applier) takeAll() []task {
	a.mu.Lock()
	defer a.mu.Unlock()
	tasks := a.queue
	a.queue = nil
	return tasks
}

func (a *applier) run() error {
	for {
		select {
		case <-a.tomb.Dying():
			return nil
		case <-a.wake:
		}
		for _, t := range a.takeAll() {
			if !a.tomb.Alive() {
				return nil
			}
			if err := a.execute(t); err != nil {
				a.logger.Error().Err(err).Msg("replica: stopped because the state machine failed.")
				return err
			}
		}
	}
}

func (a *applier) execute(t task) error {
	if t.snapshot != nil {
		if err := a.restore(*t.snapshot); err != nil {
			return err
		}
		a.logger.Info().Uint64("index", t.snapshot.Index).Msg("replica: restored a snapshot from the leader.")
	}
	for _, entry := range t.committed {
		a.apply(entry)
	}
	a.mu.Lock()
	a.backlog -= len(t.committed)
	a.mu.Unlock()
	finishReads(t.reads, nil)
	if t.exportState != nil {
		data, err := a.machine.Snapshot()
		t.exportState(a.applied.Load(), data, err)
	}
	return a.snapshotIfDue()
}

// apply applies an entry. Membership entries and the empty entry of a new leader are not passed to the state machine.
func (a *applier) apply(entry raft.Entry) {
	var result []byte
	if entry.Kind == raft.EntryCommand && len(entry.Data) > 0 {
		result = a.machine.Apply(entry.Index, entry.Data)
	}
	a.applied.Store(entry.Index)
	a.waiters.resolve(entry.Index, entry.Term, result)
}

// restore replaces the state with that of a snapshot. The first snapshot of a new group has no data if the state is the
// initial one, which the state machine already has.
func (a *applier) restore(snap raft.Snapshot) error {
	if snap.Index == 0 {
		return nil
	}
	if snap.Index > bootstrapIndex || len(snap.Data) > 0 {
		if err := a.machine.Restore(snap.Data); err != nil {
			return errors.WithMessagef(err, "restore snapshot %d", snap.Index)
		}
	}
	a.applied.Store(snap.Index)
	a.snapshotIndex = snap.Index
	a.waiters.failUpTo(snap.Index, snap.Term)
	return nil
}

func formatID(id raft.ID) string { return fmt.Sprintf("%016x", uint64(id)) }
