package replica

import (
	"context"

	"github.com/pkg/errors"

	"rosemaryline.dev/raft"
)

// Snapshot returns the state that this member has applied, for example for storage.WriteSnapshot. On a member that is
// not the leader the state may lack acknowledged commands. Errors: ErrStopped, errors of ctx and of the state machine.
func (g *Group) Snapshot(ctx context.Context) (raft.Snapshot, error) {
	type export struct {
		index uint64
		data  []byte
		err   error
	}
	done := make(chan export, 1)
	g.applier.enqueue(task{exportState: func(index uint64, data []byte, err error) { done <- export{index, data, err} }})
	select {
	case e := <-done:
		if e.err != nil {
			return raft.Snapshot{}, errors.WithMessagef(e.err, "take snapshot %d", e.index)
		}
		return g.snapshotAt(ctx, e.index, e.data)
	case <-ctx.Done():
		return raft.Snapshot{}, ctx.Err()
	case <-g.tomb.Dying():
		return raft.Snapshot{}, ErrStopped
	}
}

// snapshotAt returns a snapshot that combines the term and membership at index with the state machine's data.
func (g *Group) snapshotAt(ctx context.Context, index uint64, data []byte) (raft.Snapshot, error) {
	var snap raft.Snapshot
	var err error
	callErr := g.runInLoop(ctx, func() { snap, err = g.loop.node.SnapshotAt(index, data) })
	if callErr != nil {
		return snap, callErr
	}
	return snap, err
}

// snapshotIfDue takes a snapshot if Options.SnapshotEntries entries have been applied since the last one. A separate
// goroutine writes it, because writing a large snapshot takes long.
func (a *applier) snapshotIfDue() error {
	index := a.applied.Load()
	if index < a.snapshotIndex+a.opts.SnapshotEntries || !a.saving.CompareAndSwap(false, true) {
		return nil
	}
	data, err := a.machine.Snapshot()
	if err != nil {
		return errors.WithMessagef(err, "take snapshot %d", index)
	}
	a.snapshotIndex = index
	a.tomb.Go(func() error {
		defer a.saving.Store(false)
		return a.saveSnapshot(index, data)
	})
	return nil
}

// saveSnapshot makes a snapshot durable and compacts the log. It does nothing if the member is stopped or has received a
// newer snapshot from the leader.
func (g *Group) saveSnapshot(index uint64, data []byte) error {
	ctx := context.Background()
	snap, err := g.snapshotAt(ctx, index, data)
	if errors.Is(err, ErrStopped) || errors.Is(err, raft.ErrCompacted) {
		return nil
	}
	if err != nil {
		return err
	}
	staged, err := g.opts.Store.StageSnapshot(snap)
	if err != nil {
		return errors.WithMessagef(err, "save snapshot %d", index)
	}
	callErr := g.runInLoop(ctx, func() {
		if err = g.opts.Store.CommitSnapshot(staged); err == nil {
			err = g.loop.node.Compact(snap)
		}
	})
	if errors.Is(callErr, ErrStopped) {
		return nil
	}
	if err == nil {
		g.logger.Info().Uint64("index", index).Int("bytes", len(data)).Msg("replica: saved a snapshot.")
	}
	return errors.WithMessagef(err, "save snapshot %d", index)
}
