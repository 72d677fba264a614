package control

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"rosemaryline.dev/fleet/state"
)

// Caller sends a request to a peer. *rpc.Client is one.
type Caller interface {
	Call(ctx context.Context, address, method string, params, result any) error
}

const (
	// DefaultFetchWait is the long poll of a Follower.
	DefaultFetchWait = 10 * time.Second
	// callMargin is the time that a call may take in addition to its wait.
	callMargin = 250 * time.Millisecond
	// maxSnapshotBytes bounds what a follower accepts, so that a faulty peer cannot exhaust its memory.
	maxSnapshotBytes = 1 << 30
)

// Follower keeps a Copy up to date from other processes.
type Follower struct {
	Copy   *Copy
	Caller Caller
	// Process and Incarnation confirm versions to control.
	Process     string
	Incarnation uint64
	// Wait is the long poll. Default 10 s.
	Wait time.Duration
}

// News is what one answer brought.
type News struct {
	// Grew tells whether the copy's version grew.
	Grew bool
	// Beat is the newest beat of the answering process.
	Beat Beat
	// Peer is the address of the process that answered.
	Peer string
	// Asked is when the question was sent.
	Asked time.Time
}

// Poll asks one process for news and applies them. Errors carry the step and the peer; the copy stays usable.
func (f *Follower) Poll(ctx context.Context, address string, knownBeat uint64) (News, error) {
	news := News{Asked: time.Now(), Peer: address}
	reply, err := f.fetch(ctx, address, knownBeat)
	if err != nil {
		return news, err
	}
	news.Beat = reply.Beat
	news.Grew, err = f.take(ctx, address, &reply)
	return news, err
}

// take applies an answer to the copy.
func (f *Follower) take(ctx context.Context, address string, reply *FetchReply) (grew bool, err error) {
	if reply.NeedSnapshot {
		return f.replace(ctx, address)
	}
	grew, err = f.Copy.Apply(reply.Deltas)
	var diverged *state.DivergedError
	if errors.As(err, &diverged) {
		return f.recover(ctx, address, err)
	}
	var gap *state.GapError
	if errors.As(err, &gap) {
		err = nil // the next poll starts from the current version
	}
	return grew, err
}

func (f *Follower) fetch(ctx context.Context, address string, knownBeat uint64) (FetchReply, error) {
	wait := f.Wait
	if wait <= 0 {
		wait = DefaultFetchWait
	}
	ctx, cancel := context.WithTimeout(ctx, wait+callMargin)
	defer cancel()
	request := FetchRequest{
		Process:     f.Process,
		Incarnation: f.Incarnation,
		BeatNumber:  knownBeat,
		WaitMillis:  wait.Milliseconds(),
	}
	f.Copy.View(func(s *state.State) { request.Version, request.Chain = s.Version(), s.Chain() })
	var reply FetchReply
	err := f.Caller.Call(ctx, address, MethodFetch, request, &reply)
	return reply, errors.Wrap(err, "fetch fleet state")
}

// recover replaces a copy that refuses an accepted command. cause is reported where that fails too.
func (f *Follower) recover(ctx context.Context, address string, cause error) (grew bool, err error) {
	grew, err = f.replace(ctx, address)
	return grew, errors.Wrap(err, cause.Error())
}

func (f *Follower) replace(ctx context.Context, address string) (grew bool, err error) {
	s, err := FetchSnapshot(ctx, f.Caller, address)
	if err != nil {
		return false, err
	}
	before := f.Copy.Version()
	return f.Copy.Replace(s) && s.Version() > before, nil
}

// FetchSnapshot gets a whole snapshot from a process in parts.
func FetchSnapshot(ctx context.Context, caller Caller, address string) (*state.State, error) {
	var data []byte
	request := SnapshotRequest{}
	for {
		reply, err := fetchPart(ctx, caller, address, request)
		if err != nil {
			return nil, err
		}
		data = append(data, reply.Data...)
		if len(data) == reply.Total {
			break
		}
		request = SnapshotRequest{ID: reply.ID, Offset: len(data)}
	}
	s, err := state.Restore(data)
	return s, errors.Wrapf(err, "snapshot of peer %s", address)
}

func fetchPart(ctx context.Context, caller Caller, address string, r SnapshotRequest) (SnapshotReply, error) {
	ctx, cancel := context.WithTimeout(ctx, DefaultFetchWait)
	defer cancel()
	var reply SnapshotReply
	if err := caller.Call(ctx, address, MethodSnapshot, r, &reply); err != nil {
		return reply, errors.Wrap(err, "fetch snapshot")
	}
	end := reply.Offset + len(reply.Data)
	if reply.Offset != r.Offset || reply.Total > maxSnapshotBytes || end > reply.Total || len(reply.Data) == 0 {
		return reply, errors.Errorf("fetch snapshot: peer %s sent part %d to %d of %d bytes for offset %d",
			address, reply.Offset, end, reply.Total, r.Offset)
	}
	return reply, nil
}
