package replica

import (
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"rosemaryline.dev/raft"
)

// maxBehind is the number of committed entries that may wait for the state machine before proposals are held back.
const maxBehind = 10_000

// task is work for the applier, done in the order of the fields.
type task struct {
	snapshot  *raft.Snapshot
	committed []raft.Entry
	reads     []*read
	export    func(index uint64, data []byte, err error)
}

// applier owns the state machine.
type applier struct {
	*Group
	machine StateMachine
	applied atomic.Uint64
	// snapshotIndex is the index of the last snapshot that was taken or restored.
	snapshotIndex uint64
	saving        atomic.Bool

	wake   chan struct{}
	mu     sync.Mutex // guards the fields below
	queue  []task
	behind int
}

func newApplier(g *Group) *applier {
	return &applier{Group: g, machine: g.opts.StateMachine, wake: make(chan struct{}, 1)}
}

// add never blocks: the entries are held by the log in any case.
func (a *applier) add(t task) {
	if t.snapshot == nil && len(t.committed) == 0 && len(t.reads) == 0 && t.export == nil {
		return
	}
	a.mu.Lock()
	a.queue = append(a.queue, t)
	a.behind += len(t.committed)
	a.mu.Unlock()
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

func (a *applier) isBehind() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.behind > maxBehind
}

func (a *applier) take() []task {
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
		for _, t := range a.take() {
			if !a.tomb.Alive() {
				return nil
			}
			if err := a.do(t); err != nil {
				a.logger.Error().Err(err).Msg("replica: stopped by the state machine")
				return err
			}
		}
	}
}

func (a *applier) do(t task) error {
	if t.snapshot != nil {
		if err := a.restore(*t.snapshot); err != nil {
			return err
		}
		a.logger.Info().Uint64("index", t.snapshot.Index).Msg("replica: restored a snapshot from the leader")
	}
	for _, entry := range t.committed {
		a.apply(entry)
	}
	a.mu.Lock()
	a.behind -= len(t.committed)
	a.mu.Unlock()
	finishReads(t.reads, nil)
	if t.export != nil {
		data, err := a.machine.Snapshot()
		t.export(a.applied.Load(), data, err)
	}
	return a.snapshotIfDue()
}

// apply executes an entry. The state machine sees neither membership changes nor the empty entry of a new leader.
func (a *applier) apply(entry raft.Entry) {
	var result []byte
	if entry.Kind == raft.EntryCommand && len(entry.Data) > 0 {
		result = a.machine.Apply(entry.Index, entry.Data)
	}
	a.applied.Store(entry.Index)
	a.waiters.resolve(entry.Index, entry.Term, result)
}

// restore replaces the state. A founding snapshot without data stands for the initial state.
func (a *applier) restore(snap raft.Snapshot) error {
	if snap.Index == 0 {
		return nil
	}
	if snap.Index > foundingIndex || len(snap.Data) > 0 {
		if err := a.machine.Restore(snap.Data); err != nil {
			return errors.WithMessagef(err, "restore snapshot %d", snap.Index)
		}
	}
	a.applied.Store(snap.Index)
	a.snapshotIndex = snap.Index
	a.waiters.skip(snap.Index)
	return nil
}

func formatID(id raft.ID) string { return fmt.Sprintf("%016x", uint64(id)) }
