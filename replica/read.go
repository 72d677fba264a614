package replica

import (
	"context"

	"rosemaryline.dev/raft"
)

// read is one call of Barrier. done receives the result and has a buffer for one.
type read struct{ done chan error }

// Barrier returns once this member's state machine has applied every command that was acknowledged before the call. A
// subsequent read of the state machine is linearizable. Errors: *raft.NotLeaderError, ErrStopped and errors of ctx.
func (g *Group) Barrier(ctx context.Context) error {
	r := &read{done: make(chan error, 1)}
	select {
	case g.reads <- r:
	case <-ctx.Done():
		return ctx.Err()
	case <-g.tomb.Dying():
		return ErrStopped
	}
	select {
	case err := <-r.done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	case <-g.tomb.Dying():
		return ErrStopped
	}
}

// startReadRound requests one leadership confirmation for all reads of the current batch.
func (l *loop) startReadRound() {
	if len(l.newReads) == 0 {
		return
	}
	reads := l.newReads
	l.newReads = nil
	l.lastReadContext++
	if err := l.node.Read(l.lastReadContext); err != nil {
		finishReads(reads, err)
		return
	}
	l.readsByContext[l.lastReadContext] = reads
}

// takeConfirmed removes and returns the reads that states confirm. The entries up to their indexes are committed, so
// they are queued for the applier before the reads are.
func (l *loop) takeConfirmed(states []raft.ReadState) []*read {
	var reads []*read
	for _, state := range states {
		reads = append(reads, l.readsByContext[state.Context]...)
		delete(l.readsByContext, state.Context)
	}
	return reads
}

func (l *loop) failReads(contexts []uint64) {
	for _, context := range contexts {
		finishReads(l.readsByContext[context], &raft.NotLeaderError{Leader: l.node.Status().Leader})
		delete(l.readsByContext, context)
	}
}

func finishReads(reads []*read, err error) {
	for _, r := range reads {
		r.done <- err
	}
}
