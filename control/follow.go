package control

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"
)

const (
	// peerWait is the long poll with a peer while control cannot be reached. It is short, so that another control VM is tried
	// soon: after a silent cut a process must have a new version within 2 s, and noticing the cut takes most of them.
	peerWait = 250 * time.Millisecond
	// probeWait is the long poll with a control VM that is tried after another one failed: it answers at once where it lives.
	// Where two of five are lost, waiting for each in turn takes longer than a new version may.
	probeWait = time.Millisecond
	// emptyPeerWait is the same for a process without any state: the peer may have none either.
	emptyPeerWait = 100 * time.Millisecond
	// followPause is the time before the next attempt after nobody answered.
	followPause = 100 * time.Millisecond
)

// Targets returns the peer listeners of control VMs and of other processes at this moment.
type Targets func() (control, peers []string)

// Run polls control until ctx ends, and a peer wherever control does not answer. news is called after each answer, and
// failed with each error.
func (f *Follower) Run(ctx context.Context, targets Targets, news func(News), failed func(peer string, err error)) {
	run := followRun{Follower: f, targets: targets, failed: failed}
	for ctx.Err() == nil {
		n, err := run.poll(ctx)
		if err != nil {
			sleep(ctx, followPause)
			continue
		}
		news(n)
	}
}

// followRun is the state of one Run.
type followRun struct {
	*Follower
	targets Targets
	failed  func(peer string, err error)
	// source is the control VM that answers now; empty means that another one is to be found.
	source string
	known  uint64 // number of the newest beat
}

// poll asks control, and a random peer where control does not answer.
func (r *followRun) poll(ctx context.Context) (News, error) {
	controlVMs, peers := r.targets()
	n, err := r.pollControl(ctx, controlVMs)
	if err == nil || ctx.Err() != nil {
		return n, err
	}
	r.failed(n.Peer, err)
	viaPeer := *r.Follower
	viaPeer.Wait = peerWait
	if f := r.Follower; f.Copy.Version() == 0 {
		viaPeer.Wait = emptyPeerWait
	}
	n, err = viaPeer.pollOne(ctx, pick(peers, ""), r.known)
	if err != nil && ctx.Err() == nil {
		r.failed(n.Peer, err)
	}
	return n, err
}

// pollControl stays with one control VM while it brings new beats. One that is isolated or frozen does not, and must
// not be asked again at once: the right to admit depends on a recent beat.
func (r *followRun) pollControl(ctx context.Context, controlVMs []string) (News, error) {
	if !slices.Contains(controlVMs, r.source) {
		r.source = pick(controlVMs, "")
	}
	address := r.source
	n, err := r.pollOne(ctx, address, r.known)
	switch {
	case err != nil && ctx.Err() == nil:
		n, err = r.probeOthers(ctx, controlVMs, n.Peer, err)
	case n.Beat.Number <= r.known && !n.Grew:
		r.source = pick(controlVMs, address)
	}
	r.known = max(r.known, n.Beat.Number)
	return n, err
}

// probeOthers stays with the first of the other control VMs that answers. cause is the failure of the last one.
func (r *followRun) probeOthers(ctx context.Context, controlVMs []string, silent string, cause error) (News, error) {
	others := slices.DeleteFunc(slices.Clone(controlVMs), func(a string) bool { return a == silent })
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	probe := *r.Follower
	probe.Wait = probeWait
	failed, err := News{Peer: silent}, cause
	for _, address := range others {
		r.failed(failed.Peer, err)
		var n News
		if n, err = probe.pollOne(ctx, address, r.known); err == nil {
			r.source = address
			return n, nil
		}
		failed = n
	}
	r.source = pick(controlVMs, silent)
	return failed, err
}

// pick returns a random address other than the one to avoid, where there is another.
func pick(addresses []string, avoid string) string {
	others := slices.DeleteFunc(slices.Clone(addresses), func(a string) bool { return a == avoid })
	if len(others) == 0 {
		return avoid
	}
	return others[rand.IntN(len(others))]
}

func (f *Follower) pollOne(ctx context.Context, address string, knownBeat uint64) (News, error) {
	if address == "" {
		return News{}, errors.New("fetch fleet state: no address is known")
	}
	return f.Poll(ctx, address, knownBeat)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
