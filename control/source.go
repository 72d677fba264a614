package control

import (
	"context"
	"sync"
	"time"

	"rosemaryline.dev/fleet/state"
	"rosemaryline.dev/rpc"
)

// Viewer gives read access to a copy of the fleet state. f must not keep the State nor anything that it shares.
type Viewer interface {
	View(f func(s *state.State))
}

// Confirmer learns which version a process runs.
type Confirmer interface {
	Confirm(c ProcessConfirmation)
}

// Source answers fetches from a copy of the fleet state: on control VMs from the replicated one, and on every process
// from its own copy, so that peers get state where control cannot reach them.
type Source struct {
	viewer    Viewer
	confirmer Confirmer // nil away from control
	snapshots snapshotCache

	mu      sync.Mutex // guards the fields below; taken after no other lock
	beat    Beat
	issued  time.Time     // not after the issue of beat
	changed chan struct{} // closed and replaced by each change
}

// NewSource returns a Source. confirmer is nil on processes without the control role.
func NewSource(viewer Viewer, confirmer Confirmer) *Source {
	return &Source{viewer: viewer, confirmer: confirmer, changed: make(chan struct{})}
}

// Register offers the methods to peers.
func (s *Source) Register(server *rpc.Server) {
	rpc.Register(server, MethodFetch, func(ctx context.Context, _ string, r FetchRequest) (FetchReply, error) {
		return s.Fetch(ctx, r)
	})
	rpc.Register(server, MethodSnapshot, func(_ context.Context, _ string, r SnapshotRequest) (SnapshotReply, error) {
		return s.Snapshot(r)
	})
}

// Changed ends the waits of fetches. It must be called after each change of the copy.
func (s *Source) Changed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wake()
}

// SetBeat notes a beat that was issued no earlier than issued, and ends the waits of fetches where it is newer.
func (s *Source) SetBeat(b Beat, issued time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b.Number > s.beat.Number {
		s.beat = b
		s.issued = issued
		s.wake()
	}
}

func (s *Source) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// watch returns the newest beat, with its age at the arrival of the question, and a channel that is closed by news.
func (s *Source) watch(arrived time.Time) (Beat, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	beat := s.beat
	beat.Age = max(arrived.Sub(s.issued), 0)
	return beat, s.changed
}

// Fetch answers at once where there is news for the process, and waits for news otherwise. When the wait ends it
// answers without deltas.
func (s *Source) Fetch(ctx context.Context, r FetchRequest) (FetchReply, error) {
	arrived := time.Now()
	if s.confirmer != nil && r.Process != "" && s.sharesHistory(r) {
		s.confirmer.Confirm(ProcessConfirmation{
			Process: r.Process, Incarnation: r.Incarnation, Version: r.Version, Beat: r.BeatNumber,
		})
	}
	wait := min(time.Duration(r.WaitMillis)*time.Millisecond, MaxFetchWait)
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		beat, changed := s.watch(arrived)
		reply := s.answer(r, beat)
		if reply.hasNews(r) {
			return reply, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return reply, nil
		}
	}
}

// sharesHistory reports whether the process runs a version of this fleet. A version that this copy has not reached or
// has compacted away is not confirmed; the process confirms again with its next fetch.
func (s *Source) sharesHistory(r FetchRequest) bool {
	shares := false
	s.viewer.View(func(st *state.State) {
		chain, ok := st.ChainAt(r.Version)
		shares = ok && chain == r.Chain
	})
	return shares
}

func (s *Source) answer(r FetchRequest, beat Beat) FetchReply {
	reply := FetchReply{Beat: beat}
	s.viewer.View(func(st *state.State) {
		reply.Version = st.Version()
		if beat.Version > reply.Version {
			// A beat from a copy that is behind would keep the follower from looking for a better one.
			reply.Beat = Beat{}
		}
		deltas, ok := st.Since(r.Version)
		if chain, known := st.ChainAt(r.Version); known && chain != r.Chain {
			ok, deltas = false, nil
		}
		reply.NeedSnapshot = !ok
		reply.Deltas = firstDeltas(deltas)
	})
	return reply
}

func (reply *FetchReply) hasNews(r FetchRequest) bool {
	return reply.NeedSnapshot || len(reply.Deltas) > 0 || reply.Beat.Number > r.BeatNumber
}

// firstDeltas returns at least one delta and no more than maxReplyBytes otherwise.
func firstDeltas(deltas []state.Delta) []state.Delta {
	size := 0
	for i, d := range deltas {
		size += len(d.Command)
		if i > 0 && size > maxReplyBytes {
			return deltas[:i]
		}
	}
	return deltas
}

// Snapshot answers with one part of a snapshot. A snapshot that is no longer kept is an error of type *rpc.RemoteError
// with rpc.CodeUnavailable; the follower starts again.
func (s *Source) Snapshot(r SnapshotRequest) (SnapshotReply, error) {
	id, data, err := s.snapshots.get(r.ID, s.viewer)
	if err != nil {
		return SnapshotReply{}, err
	}
	if r.Offset < 0 || r.Offset > len(data) {
		return SnapshotReply{}, &rpc.RemoteError{Code: rpc.CodeInvalid, Message: "offset is outside the snapshot"}
	}
	end := min(r.Offset+snapshotPartBytes, len(data))
	return SnapshotReply{ID: id, Total: len(data), Offset: r.Offset, Data: data[r.Offset:end]}, nil
}
