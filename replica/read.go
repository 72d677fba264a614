package replica

import (
	"context"

	"rosemaryline.dev/raft"
)

// read is one call of Barrier. done is buffered for one.
type read struct{ done chan error }

// Barrier returns once the state machine holds every command that was acknowledged before the call, so that a read of
// it is linearizable. Errors: *raft.NotLeaderError, ErrStopped and errors of ctx.
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

// ask starts one confirmation round for all reads of this turn.
func (l *loop) ask() {
	if len(l.asking) == 0 {
		return
	}
	reads := l.asking
	l.asking = nil
	l.context++
	if err := l.node.Read(l.context); err != nil {
		finishReads(reads, err)
		return
	}
	l.confirming[l.context] = reads
}

// confirmed takes the reads of answered rounds. Their indexes are committed, so the applier reaches them first.
func (l *loop) confirmed(states []raft.ReadState) []*read {
	var reads []*read
	for _, state := range states {
		reads = append(reads, l.confirming[state.Context]...)
		delete(l.confirming, state.Context)
	}
	return reads
}

func (l *loop) failReads(contexts []uint64) {
	for _, context := range contexts {
		finishReads(l.confirming[context], &raft.NotLeaderError{Leader: l.node.Status().Leader})
		delete(l.confirming, context)
	}
}

func finishReads(reads []*read, err error) {
	for _, r := range reads {
		r.done <- err
	}
}
