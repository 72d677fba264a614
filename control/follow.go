package control

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"
)

const (
	// peerPollWait is the wait of a long poll to a peer while no control VM responds. It is short so that the next
	// control VM is tried soon: when control VMs stop responding, a process must still get a new version within 2 s,
	// and most of that time passes until the process detects the failure.
	peerPollWait = 250 * time.Millisecond
	// probePollWait is the wait of a poll to a control VM that is tried after another one failed. It is short so that a
	// live control VM responds at once and a failed one is detected soon: with two of five control VMs lost, a long
	// poll to each in turn would exceed the 2 s within which a process must get a new version.
	probePollWait = time.Millisecond
	// emptyPeerPollWait replaces peerPollWait in a process that has no state yet. It is shorter because the peer may
	// have no state either.
	emptyPeerPollWait = 100 * time.Millisecond
	// retryDelay is the time until the next attempt after neither control nor a peer responded.
	retryDelay = 100 * time.Millisecond
)

// Targets returns the current addresses of the peer listeners of control VMs and of other processes.
type Targets func() (control, peers []string)

// Run polls a control VM, or a peer if no control VM responds, until ctx ends. It calls onResult after each successful
// poll, and onError for each failed one with the address of the polled process.
func (f *Follower) Run(ctx context.Context, targets Targets, onResult func(PollResult), onError func(peer string, err error)) {
	run := followRun{Follower: f, targets: targets, onError: onError}
	for ctx.Err() == nil {
		result, err := run.poll(ctx)
		if err != nil {
			sleep(ctx, retryDelay)
			continue
		}
		onResult(result)
	}
}

// followRun is the state of one Run.
type followRun struct {
	*Follower
	targets Targets
	onError func(peer string, err error)
	// controlVM is the address of the control VM to poll. If it is not one of the targets, poll chooses another one.
	controlVM      string
	knownHeartbeat uint64 // number of the newest heartbeat
}

// poll polls a control VM, or a random peer if no control VM responds.
func (r *followRun) poll(ctx context.Context) (PollResult, error) {
	controlVMs, peers := r.targets()
	result, err := r.pollControl(ctx, controlVMs)
	if err == nil || ctx.Err() != nil {
		return result, err
	}
	r.onError(result.Peer, err)
	viaPeer := *r.Follower
	viaPeer.Wait = peerPollWait
	if f := r.Follower; f.Copy.Version() == 0 {
		viaPeer.Wait = emptyPeerPollWait
	}
	result, err = viaPeer.pollOne(ctx, pickOther(peers, ""), r.knownHeartbeat)
	if err != nil && ctx.Err() == nil {
		r.onError(result.Peer, err)
	}
	return result, err
}

// pollControl keeps polling the same control VM while it returns new heartbeats or versions. An isolated or frozen
// control VM returns none, and the next poll must go to another one: the permission to admit requests depends on a
// recent heartbeat.
func (r *followRun) pollControl(ctx context.Context, controlVMs []string) (PollResult, error) {
	if !slices.Contains(controlVMs, r.controlVM) {
		r.controlVM = pickOther(controlVMs, "")
	}
	address := r.controlVM
	result, err := r.pollOne(ctx, address, r.knownHeartbeat)
	switch {
	case err != nil && ctx.Err() == nil:
		result, err = r.probeOthers(ctx, controlVMs, result.Peer, err)
	case result.Heartbeat.Number <= r.knownHeartbeat && !result.Advanced:
		r.controlVM = pickOther(controlVMs, address)
	}
	r.knownHeartbeat = max(r.knownHeartbeat, result.Heartbeat.Number)
	return result, err
}

// probeOthers polls the control VMs in random order, except the one with the address unresponsive, and selects the first
// that responds. cause is the error of the poll to unresponsive.
func (r *followRun) probeOthers(ctx context.Context, controlVMs []string, unresponsive string, cause error) (PollResult, error) {
	others := slices.DeleteFunc(slices.Clone(controlVMs), func(a string) bool { return a == unresponsive })
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	probe := *r.Follower
	probe.Wait = probePollWait
	failed, err := PollResult{Peer: unresponsive}, cause
	for _, address := range others {
		r.onError(failed.Peer, err)
		var result PollResult
		if result, err = probe.pollOne(ctx, address, r.knownHeartbeat); err == nil {
			r.controlVM = address
			return result, nil
		}
		failed = result
	}
	r.controlVM = pickOther(controlVMs, unresponsive)
	return failed, err
}

// pickOther returns a random address other than avoid, or avoid if there is no other.
func pickOther(addresses []string, avoid string) string {
	others := slices.DeleteFunc(slices.Clone(addresses), func(a string) bool { return a == avoid })
	if len(others) == 0 {
		return avoid
	}
	return others[rand.IntN(len(others))]
}

func (f *Follower) pollOne(ctx context.Context, address string, knownHeartbeat uint64) (PollResult, error) {
	if address == "" {
		return PollResult{}, errors.New("fetch fleet state: no address is known")
	}
	return f.Poll(ctx, address, knownHeartbeat)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
