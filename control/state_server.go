package control

import (
	"context"
	"sync"
	"time"

	"rosemaryline.dev/fleet/state"
	"rosemaryline.dev/rpc"
)

// Viewer gives read access to a copy of the fleet state. f must not keep a reference to the State or to data that
// belongs to it.
type Viewer interface {
	View(f func(s *state.State))
}

// Confirmer receives the confirmations by which processes state the version that they run.
type Confirmer interface {
	Confirm(c ProcessConfirmation)
}

// StateServer serves the fleet state to other processes. A control VM serves the replicated state; any other process
// serves its own copy, so that peers that control cannot reach still get the state.
type StateServer struct {
	// Clock returns the time on a clock that does not stop while the VM is suspended: a heartbeat that was received before
	// would otherwise be passed on as a new one. Set it before the first use. Default: a monotonic clock.
	Clock func() time.Duration
	// ConfirmFirst withholds the state from processes without state until a heartbeat of a leader has confirmed it. Control
	// VMs need it: after a restart, the replicated state lacks the last accepted changes until there is a leader. Set it
	// before the first use.
	ConfirmFirst bool

	viewer    Viewer
	confirmer Confirmer // nil without the control role
	snapshots snapshotCache
	packed    packedReplies

	mu              sync.Mutex // guards the fields below; must not be locked while another lock is held
	heartbeat       LeaderHeartbeat
	heartbeatIssued time.Duration // time on clock at which heartbeat was issued, or earlier
	changed         chan struct{} // closed and replaced at each publication
	// published is what waiting followers were last woken for, and publishedAt when that was.
	published   publication
	publishedAt time.Time
	// publishing is set while a publication is scheduled.
	publishing bool
}

// publication is the newest version and heartbeat at the time at which the waiting followers were woken.
type publication struct{ version, heartbeat uint64 }

// publishInterval is the minimum time between two publications. While hundreds of processes join, versions follow each
// other in milliseconds; without it each of them would cost each follower a poll of its own.
const publishInterval = 100 * time.Millisecond

// NewStateServer returns a StateServer for viewer's state. confirmer is nil in processes without the control role.
func NewStateServer(viewer Viewer, confirmer Confirmer) *StateServer {
	return &StateServer{Clock: monotonicClock(), viewer: viewer, confirmer: confirmer, changed: make(chan struct{})}
}

// Register registers MethodFetch and MethodSnapshot on the server.
func (s *StateServer) Register(server *rpc.Server) {
	rpc.Register(server, MethodFetch, func(ctx context.Context, _ string, r FetchRequest) (FetchReply, error) {
		return s.Fetch(ctx, r)
	})
	rpc.Register(server, MethodSnapshot, func(_ context.Context, _ string, r SnapshotRequest) (SnapshotReply, error) {
		return s.Snapshot(r)
	})
}

// NotifyChange wakes up waiting fetches, so that they return newer versions. It must be called after each change of the
// copy.
func (s *StateServer) NotifyChange() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.schedulePublication()
}

// SetHeartbeat stores a heartbeat that was issued at most age ago, and wakes up waiting fetches. A heartbeat that is not newer
// than the stored one is ignored.
func (s *StateServer) SetHeartbeat(h LeaderHeartbeat, age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h.Number > s.heartbeat.Number {
		s.heartbeat = h
		s.heartbeatIssued = s.Clock() - age
		s.schedulePublication()
	}
}

// HasHeartbeat reports whether a heartbeat of a leader was received since the start.
func (s *StateServer) HasHeartbeat() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.heartbeat.Number > 0
}

// schedulePublication wakes the waiting followers at once, or publishInterval after the last publication. The caller
// holds mu.
func (s *StateServer) schedulePublication() {
	if s.publishing {
		return
	}
	s.publishing = true
	wait := max(publishInterval-time.Since(s.publishedAt), 0)
	if wait > 0 {
		time.AfterFunc(wait, s.publish)
		return
	}
	go s.publish()
}

// publish wakes the waiting followers.
func (s *StateServer) publish() {
	now := publication{}
	s.viewer.View(func(st *state.State) { now.version = st.Version() })
	s.mu.Lock()
	defer s.mu.Unlock()
	now.heartbeat = s.heartbeat.Number
	s.published, s.publishedAt, s.publishing = now, time.Now(), false
	close(s.changed)
	s.changed = make(chan struct{})
}

// waitsForPublication reports whether a follower that has all that was published should wait for the publication that
// is scheduled, instead of getting a part of it now. The caller holds mu.
func (s *StateServer) waitsForPublication(r FetchRequest) bool {
	return s.publishing && !r.Peek && r.Version > 0 && r.Version >= s.published.version && r.HeartbeatNumber >= s.published.heartbeat
}

// watch returns the newest heartbeat, with its age at the time arrived, a channel that is closed at the next publication,
// and whether the request should wait for that.
func (s *StateServer) watch(arrived time.Duration, r FetchRequest) (h LeaderHeartbeat, changed <-chan struct{}, wait bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h = s.heartbeat
	h.Age = max(arrived-s.heartbeatIssued, 0)
	return h, s.changed, s.waitsForPublication(r)
}

// Fetch returns deltas, a newer heartbeat or the need for a snapshot at once if it has any for the process, and waits
// for them otherwise. A follower that has all that was published waits up to publishInterval, so that versions that
// follow each other quickly reach it together. When the wait of the request ends, it returns a reply without deltas. A peek is
// answered at once, or with a wait as soon as the version is confirmed.
func (s *StateServer) Fetch(ctx context.Context, r FetchRequest) (FetchReply, error) {
	arrived := s.Clock()
	if s.confirmer != nil && r.Process != "" && s.hasSameHistory(r) {
		s.confirmer.Confirm(ProcessConfirmation{
			Process: r.Process, Incarnation: r.Incarnation, Version: r.Version, Heartbeat: r.HeartbeatNumber,
		})
	}
	wait := min(time.Duration(r.WaitMillis)*time.Millisecond, MaxFetchWait)
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		heartbeat, changed, wait := s.watch(arrived, r)
		reply := s.buildReply(r, heartbeat)
		if r.Peek && !s.withholds(r, &reply) || !r.Peek && reply.hasUpdate(r) && !wait {
			return s.packReply(r, reply)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return s.packReply(r, reply)
		}
	}
}

// hasSameHistory reports whether the process's version has the same history here. It returns false for a version that
// this copy has not reached or has compacted away; such a version is not confirmed, and the process confirms again with
// its next fetch.
func (s *StateServer) hasSameHistory(r FetchRequest) bool {
	same := false
	s.viewer.View(func(st *state.State) {
		chain, ok := st.ChainAt(r.Version)
		same = ok && chain == r.Chain
	})
	return same
}

func (s *StateServer) buildReply(r FetchRequest, heartbeat LeaderHeartbeat) FetchReply {
	reply := FetchReply{Heartbeat: heartbeat}
	s.viewer.View(func(st *state.State) {
		reply.Version = st.Version()
		if heartbeat.Version > reply.Version {
			// This copy is behind the heartbeat. If it sent the heartbeat, the follower would keep polling it instead of trying
			// another control VM.
			reply.Heartbeat = LeaderHeartbeat{}
		}
		if s.withholds(r, &reply) {
			if !r.ChecksConfirmation {
				reply.Version = 0
			}
			return
		}
		if r.Peek {
			return
		}
		deltas, ok := st.Since(r.Version)
		if chain, known := st.ChainAt(r.Version); known && chain != r.Chain {
			ok, deltas = false, nil
		}
		if r.Version == 0 && deltaBytes(deltas) > maxFirstBytes {
			ok, deltas = false, nil
		}
		reply.NeedSnapshot = !ok
		reply.Deltas = limitDeltas(deltas)
	})
	return reply
}

// withholds reports whether a process without state gets no state yet, because it is not confirmed.
func (s *StateServer) withholds(r FetchRequest, reply *FetchReply) bool {
	return s.ConfirmFirst && r.Version == 0 && !reply.confirmed()
}

// packReply packs the deltas of a reply if that is worth it.
func (s *StateServer) packReply(r FetchRequest, reply FetchReply) (FetchReply, error) {
	if !r.AcceptPacked || deltaBytes(reply.Deltas) < minPackBytes {
		return reply, nil
	}
	packed, err := s.packed.get(reply.Deltas)
	if err != nil {
		return FetchReply{}, err
	}
	reply.Deltas, reply.Packed = nil, packed
	return reply, nil
}

// deltaBytes returns the size of the commands in deltas.
func deltaBytes(deltas []state.Delta) int {
	size := 0
	for i := range deltas {
		size += len(deltas[i].Command)
	}
	return size
}

func (reply *FetchReply) hasUpdate(r FetchRequest) bool {
	return reply.NeedSnapshot || len(reply.Deltas) > 0 || reply.Heartbeat.Number > r.HeartbeatNumber
}

// limitDeltas returns the first deltas with a total size of at most maxReplyBytes, but at least one.
func limitDeltas(deltas []state.Delta) []state.Delta {
	size := 0
	for i, d := range deltas {
		size += len(d.Command)
		if i > 0 && size > maxReplyBytes {
			return deltas[:i]
		}
	}
	return deltas
}

// Snapshot returns one part of a snapshot. It fails with an *rpc.RemoteError with rpc.CodeUnavailable if the snapshot
// is no longer kept and the follower must start again, with rpc.CodeInvalid if the offset is outside the snapshot, and
// with another error if the snapshot cannot be encoded.
func (s *StateServer) Snapshot(r SnapshotRequest) (SnapshotReply, error) {
	id, data, err := s.snapshots.get(r, s.viewer)
	if err != nil {
		return SnapshotReply{}, err
	}
	part := snapshotPartBytes
	if r.AcceptPacked {
		part = packedPartBytes
	}
	if r.Offset < 0 || r.Offset > len(data) {
		return SnapshotReply{}, &rpc.RemoteError{Code: rpc.CodeInvalid, Message: "offset is outside the snapshot"}
	}
	end := min(r.Offset+part, len(data))
	return SnapshotReply{ID: id, Total: len(data), Offset: r.Offset, Data: data[r.Offset:end], Packed: r.AcceptPacked}, nil
}
