package control

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
)

const (
	// peerWait is the long poll with a peer while control cannot be reached; it is short, so that control is tried again.
	peerWait = time.Second
	// followPause is the time before the next attempt after nobody answered.
	followPause = 500 * time.Millisecond
)

// Targets returns the peer listeners of control VMs and of other processes at this moment.
type Targets func() (control, peers []string)

// Run polls control until ctx ends, and a peer wherever control does not answer. news is called after each answer,
// with whether the copy's version grew, and with the newest beat of the answering process. failed is called with each
// error.
func (f *Follower) Run(ctx context.Context, targets Targets, news func(grew bool, beat Beat), failed func(error)) {
	var known Beat
	for ctx.Err() == nil {
		grew, beat, err := f.pollAny(ctx, targets, known.Number, failed)
		if err != nil {
			sleep(ctx, followPause)
			continue
		}
		if beat.Number > known.Number {
			known = beat
		}
		news(grew, beat)
	}
}

// pollAny asks a random control VM, and a random peer where that fails.
func (f *Follower) pollAny(ctx context.Context, targets Targets, knownBeat uint64, failed func(error)) (bool, Beat, error) {
	controlVMs, peers := targets()
	grew, beat, err := f.pollOne(ctx, controlVMs, knownBeat)
	if err == nil || ctx.Err() != nil {
		return grew, beat, err
	}
	failed(err)
	viaPeer := *f
	viaPeer.Wait = peerWait
	grew, beat, err = viaPeer.pollOne(ctx, peers, knownBeat)
	if err != nil && ctx.Err() == nil {
		failed(err)
	}
	return grew, beat, err
}

func (f *Follower) pollOne(ctx context.Context, addresses []string, knownBeat uint64) (bool, Beat, error) {
	if len(addresses) == 0 {
		return false, Beat{}, errors.New("fetch fleet state: no address is known")
	}
	return f.Poll(ctx, addresses[rand.IntN(len(addresses))], knownBeat)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
