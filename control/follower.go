package control

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"rosemaryline.dev/fleet/state"
)

// Caller calls an RPC method of a peer. *rpc.Client implements it.
type Caller interface {
	Call(ctx context.Context, address, method string, params, result any) error
}

const (
	// DefaultFetchWait is the default wait of a Follower's long poll.
	DefaultFetchWait = 10 * time.Second
	// callTimeoutMargin is the time that a call may take in addition to the wait of its long poll.
	callTimeoutMargin = 250 * time.Millisecond
	// maxSnapshotBytes limits the snapshots that a follower accepts, so that a faulty peer cannot exhaust its memory.
	maxSnapshotBytes = 1 << 30
)

// Follower keeps a Copy up to date with the state of other processes.
type Follower struct {
	Copy   *Copy
	Caller Caller
	// Process and Incarnation identify this process when it confirms a version to control.
	Process     string
	Incarnation uint64
	// Wait is the wait of a long poll. Default: 10 s.
	Wait time.Duration
	// Clock returns the time on a clock that does not stop while the VM is suspended: a heartbeat in a reply that waited
	// meanwhile would otherwise count as new. Default: a monotonic clock.
	Clock func() time.Duration
}

// monotonicClock returns a clock that starts now.
func monotonicClock() func() time.Duration {
	start := time.Now()
	return func() time.Duration { return time.Since(start) }
}

func (f *Follower) wait() time.Duration {
	if f.Wait <= 0 {
		return DefaultFetchWait
	}
	return f.Wait
}

// PollResult is the outcome of one poll.
type PollResult struct {
	// Advanced reports whether the version of the copy increased.
	Advanced bool
	// Heartbeat is the newest heartbeat of the polled process.
	Heartbeat LeaderHeartbeat
	// Peer is the address of the polled process.
	Peer string
	// SentAt is the time on the follower's clock just before the request was sent.
	SentAt time.Duration
}

// Poll fetches newer commands and the newest heartbeat from one process and applies the commands to the copy. Errors
// name the step and the peer; the copy stays usable after an error.
func (f *Follower) Poll(ctx context.Context, address string, knownHeartbeat uint64) (PollResult, error) {
	return f.poll(ctx, address, knownHeartbeat, f.wait(), acceptAny)
}

// errRejected reports that a poll had no effect, because the caller rejected the reply.
var errRejected = errors.New("the reply was rejected")

// acceptAny accepts all replies.
func acceptAny(*FetchReply) bool { return true }

// poll is Poll with another wait. The wait does not limit the parts of a snapshot. It returns errRejected if accept rejects
// the reply.
func (f *Follower) poll(ctx context.Context, address string, knownHeartbeat uint64, wait time.Duration, accept func(*FetchReply) bool) (PollResult, error) {
	if f.Clock == nil {
		f.Clock = monotonicClock()
	}
	result := PollResult{SentAt: f.Clock(), Peer: address}
	reply, err := f.fetch(ctx, address, knownHeartbeat, wait)
	if err != nil {
		return result, err
	}
	if !accept(&reply) {
		return result, errRejected
	}
	result.Heartbeat = reply.Heartbeat
	result.Advanced, err = f.applyReply(ctx, address, &reply)
	return result, err
}

// applyReply applies the deltas of a reply to the copy, or replaces the copy if the reply asks for a snapshot.
func (f *Follower) applyReply(ctx context.Context, address string, reply *FetchReply) (advanced bool, err error) {
	if reply.NeedSnapshot {
		return f.replaceFromSnapshot(ctx, address)
	}
	deltas := reply.Deltas
	if len(reply.Packed) > 0 {
		if deltas, err = unpackDeltas(reply.Packed); err != nil {
			return false, errors.Wrapf(err, "fetch fleet state from peer %s", address)
		}
	}
	advanced, err = f.Copy.Apply(deltas)
	var diverged *state.DivergedError
	if errors.As(err, &diverged) {
		return f.replaceDiverged(ctx, address, err)
	}
	var gap *state.GapError
	if errors.As(err, &gap) {
		err = nil // the next poll starts from the current version
	}
	return advanced, err
}

func (f *Follower) fetch(ctx context.Context, address string, knownHeartbeat uint64, wait time.Duration) (FetchReply, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeoutMargin)
	defer cancel()
	request := f.newRequest(knownHeartbeat)
	request.WaitMillis = wait.Milliseconds()
	var reply FetchReply
	err := f.Caller.Call(ctx, address, MethodFetch, request, &reply)
	return reply, errors.Wrap(err, "fetch fleet state")
}

// peek asks a process for its version and heartbeat, without commands. A process without state may wait until its version is
// confirmed.
func (f *Follower) peek(ctx context.Context, address string, knownHeartbeat uint64, wait time.Duration) (FetchReply, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+peekTimeout)
	defer cancel()
	request := f.newRequest(knownHeartbeat)
	request.Peek, request.WaitMillis = true, wait.Milliseconds()
	var reply FetchReply
	err := f.Caller.Call(ctx, address, MethodFetch, request, &reply)
	return reply, errors.Wrap(err, "ask for the version of the fleet state")
}

func (f *Follower) newRequest(knownHeartbeat uint64) FetchRequest {
	request := FetchRequest{Process: f.Process, Incarnation: f.Incarnation, HeartbeatNumber: knownHeartbeat, AcceptPacked: true, ChecksConfirmation: true}
	f.Copy.View(func(s *state.State) { request.Version, request.Chain = s.Version(), s.Chain() })
	return request
}

// replaceDiverged replaces a copy whose history differs from the peer's or that refused an accepted command. If that
// fails too, the error includes cause.
func (f *Follower) replaceDiverged(ctx context.Context, address string, cause error) (advanced bool, err error) {
	advanced, err = f.replaceFromSnapshot(ctx, address)
	return advanced, errors.Wrap(err, cause.Error())
}

func (f *Follower) replaceFromSnapshot(ctx context.Context, address string) (advanced bool, err error) {
	s, err := f.fetchSnapshot(ctx, address)
	if err != nil {
		return false, err
	}
	before := f.Copy.Version()
	return f.Copy.Replace(s) && s.Version() > before, nil
}

// fetchSnapshot fetches a snapshot from a process in parts and returns its state.
func (f *Follower) fetchSnapshot(ctx context.Context, address string) (*state.State, error) {
	var data []byte
	packed := false
	request := SnapshotRequest{AcceptPacked: true}
	for {
		reply, err := f.fetchPart(ctx, address, request)
		if err != nil {
			return nil, err
		}
		data = append(data, reply.Data...)
		packed = reply.Packed
		if len(data) == reply.Total {
			break
		}
		request = SnapshotRequest{ID: reply.ID, Offset: len(data), AcceptPacked: packed}
	}
	if packed {
		var err error
		if data, err = unpack(data); err != nil {
			return nil, errors.Wrapf(err, "fetch snapshot from peer %s", address)
		}
	}
	s, err := state.Restore(data)
	return s, errors.Wrapf(err, "restore snapshot from peer %s", address)
}

func (f *Follower) fetchPart(ctx context.Context, address string, r SnapshotRequest) (SnapshotReply, error) {
	// A silent process costs the same time here as in a long poll.
	ctx, cancel := context.WithTimeout(ctx, f.wait()+callTimeoutMargin)
	defer cancel()
	var reply SnapshotReply
	if err := f.Caller.Call(ctx, address, MethodSnapshot, r, &reply); err != nil {
		return reply, errors.Wrap(err, "fetch snapshot")
	}
	end := reply.Offset + len(reply.Data)
	if reply.Offset != r.Offset || reply.Total > maxSnapshotBytes || end > reply.Total || len(reply.Data) == 0 {
		return reply, errors.Errorf("fetch snapshot: peer %s sent part %d to %d of %d bytes for offset %d",
			address, reply.Offset, end, reply.Total, r.Offset)
	}
	return reply, nil
}
