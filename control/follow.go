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

// Observer receives the events of a Follower. Its methods are called by one goroutine.
type Observer interface {
	// PollSucceeded is called after each successful poll.
	PollSucceeded(result PollResult)
	// PollFailed is called after each failed poll with the address of the polled process.
	PollFailed(peer string, err error)
	// Switched is called when the follower selects another control VM to poll.
	Switched(s Switch)
}

// SwitchCause is the reason for which a follower polls another control VM.
type SwitchCause string

// Causes of a Switch.
const (
	SwitchStart  SwitchCause = "start"   // no control VM was polled before, or it is no longer one
	SwitchNoNews SwitchCause = "no-news" // the control VM responded without a newer version or heartbeat
	SwitchFailed SwitchCause = "failed"  // the poll failed
)

// Switch is the change from one control VM to another.
type Switch struct {
	// From and To are the addresses of the control VMs; empty if there is none.
	From, To string
	Cause    SwitchCause
	// NewsAge is the time since the last poll that returned a newer version or heartbeat, or since the start.
	NewsAge time.Duration
}

// Run polls a control VM, or a peer if no control VM responds, until ctx ends. It reports to the observer.
func (f *Follower) Run(ctx context.Context, targets Targets, observer Observer) {
	run := followRun{Follower: f, targets: targets, observer: observer, newsAt: time.Now()}
	for ctx.Err() == nil {
		result, err := run.poll(ctx)
		if err != nil {
			sleep(ctx, retryDelay)
			continue
		}
		observer.PollSucceeded(result)
	}
}

// followRun is the state of one Run.
type followRun struct {
	*Follower
	targets  Targets
	observer Observer
	// controlVM is the address of the control VM to poll. If it is not one of the targets, poll chooses another one.
	controlVM      string
	knownHeartbeat uint64 // number of the newest heartbeat
	newsAt         time.Time
}

// selectVM selects the control VM to poll next.
func (r *followRun) selectVM(address string, cause SwitchCause) {
	if address != r.controlVM {
		r.observer.Switched(Switch{From: r.controlVM, To: address, Cause: cause, NewsAge: time.Since(r.newsAt)})
	}
	r.controlVM = address
}

// hasNews reports whether a poll returned a newer version or heartbeat.
func (r *followRun) hasNews(result PollResult) bool {
	return result.Advanced || result.Heartbeat.Number > r.knownHeartbeat
}

// poll polls a control VM, or a random peer if no control VM responds.
func (r *followRun) poll(ctx context.Context) (PollResult, error) {
	controlVMs, peers := r.targets()
	result, err := r.pollControl(ctx, controlVMs)
	if err == nil || ctx.Err() != nil {
		return result, err
	}
	r.observer.PollFailed(result.Peer, err)
	viaPeer := *r.Follower
	viaPeer.Wait = peerPollWait
	if f := r.Follower; f.Copy.Version() == 0 {
		viaPeer.Wait = emptyPeerPollWait
	}
	result, err = viaPeer.pollOne(ctx, pickOther(peers, ""), r.knownHeartbeat)
	if err != nil && ctx.Err() == nil {
		r.observer.PollFailed(result.Peer, err)
	}
	return result, err
}

// pollControl keeps polling the same control VM while it returns new heartbeats or versions. An isolated or frozen
// control VM returns none, and the next poll must go to another one: the permission to admit requests depends on a
// recent heartbeat.
func (r *followRun) pollControl(ctx context.Context, controlVMs []string) (PollResult, error) {
	if !slices.Contains(controlVMs, r.controlVM) {
		r.selectVM(pickOther(controlVMs, ""), SwitchStart)
	}
	address := r.controlVM
	result, err := r.pollOne(ctx, address, r.knownHeartbeat)
	switch {
	case err != nil && ctx.Err() == nil:
		result, err = r.probeOthers(ctx, controlVMs, result.Peer, err)
	case r.hasNews(result):
		r.newsAt = time.Now()
	default:
		r.selectVM(pickOther(controlVMs, address), SwitchNoNews)
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
		r.observer.PollFailed(failed.Peer, err)
		var result PollResult
		if result, err = probe.pollOne(ctx, address, r.knownHeartbeat); err == nil {
			r.selectVM(address, SwitchFailed)
			return result, nil
		}
		failed = result
	}
	r.selectVM(pickOther(controlVMs, unresponsive), SwitchFailed)
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
