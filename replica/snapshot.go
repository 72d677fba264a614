package replica

import (
	"context"

	"github.com/pkg/errors"

	"rosemaryline.dev/raft"
)

// Snapshot returns the member's applied state, for storage.WriteSnapshot. On a member that is not the leader it may be
// older than the latest acknowledged command. Errors: ErrStopped, errors of ctx and of the state machine.
func (g *Group) Snapshot(ctx context.Context) (raft.Snapshot, error) {
	type export struct {
		index uint64
		data  []byte
		err   error
	}
	done := make(chan export, 1)
	g.applier.add(task{export: func(index uint64, data []byte, err error) { done <- export{index, data, err} }})
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

// snapshotAt adds term and membership to the state machine's data.
func (g *Group) snapshotAt(ctx context.Context, index uint64, data []byte) (raft.Snapshot, error) {
	var snap raft.Snapshot
	var err error
	callErr := g.call(ctx, func() { snap, err = g.loop.node.SnapshotAt(index, data) })
	if callErr != nil {
		return snap, callErr
	}
	return snap, err
}

// snapshotIfDue takes a snapshot every Options.SnapshotEntries entries. It is written by a goroutine of its own, since
// a large one takes long.
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
		return a.save(index, data)
	})
	return nil
}

// save makes a snapshot durable and compacts the log. A newer snapshot from the leader makes it obsolete.
func (g *Group) save(index uint64, data []byte) error {
	ctx := context.Background()
	snap, err := g.snapshotAt(ctx, index, data)
	if errors.Is(err, ErrStopped) || errors.Is(err, raft.ErrCompacted) {
		return nil
	}
	if err != nil {
		return err
	}
	staged, err := g.opts.Store.Stage(snap)
	if err != nil {
		return errors.WithMessagef(err, "save snapshot %d", index)
	}
	callErr := g.call(ctx, func() {
		if err = g.opts.Store.Commit(staged); err == nil {
			err = g.loop.node.Compact(snap)
		}
	})
	if errors.Is(callErr, ErrStopped) {
		return nil
	}
	if err == nil {
		g.logger.Info().Uint64("index", index).Int("bytes", len(data)).Msg("replica: saved a snapshot")
	}
	return errors.WithMessagef(err, "save snapshot %d", index)
}
