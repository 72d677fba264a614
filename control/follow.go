package control

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// peekTimeout limits the question for the version of another process. With the wait of a long poll it must stay well
	// below the 2 s within which a process must get a new version.
	peekTimeout = 250 * time.Millisecond
	// pollWaitAfterPeek is the wait of a poll to a process that said that it has a newer version.
	pollWaitAfterPeek = time.Millisecond
	// searchInterval is the time between two searches while no control VM responds, and emptySearchInterval that of a
	// process without state, which cannot serve.
	searchInterval      = 250 * time.Millisecond
	emptySearchInterval = 100 * time.Millisecond
	// confirmationWait is how long a question to a control VM whose state is not confirmed yet waits for the confirmation.
	confirmationWait = time.Second
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
	SwitchNoNews SwitchCause = "no-news" // the control VM returned no newer version or heartbeat
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

// Run keeps the copy up to date until ctx ends. It polls one control VM for as long as that returns newer versions or
// heartbeats, and otherwise searches for a process that has them. It reports to the observer.
//
// Invariant: a process that can reach a control VM with a newer version runs that version at most one long poll and one
// search after it was accepted, however many of the other control VMs are silent or cut off from the leader.
func (f *Follower) Run(ctx context.Context, targets Targets, observer Observer) {
	run := followRun{Follower: f, observer: observer, newsAt: time.Now()}
	for ctx.Err() == nil {
		run.step(ctx, targets)
	}
}

// followRun is the state of one Run.
type followRun struct {
	*Follower
	observer Observer
	// controlVM is the address of the control VM to poll. If it is not one of the targets, pollControl chooses another
	// one.
	controlVM      string
	knownHeartbeat uint64 // number of the newest heartbeat
	newsAt         time.Time
	// failed is the address of the control VM whose last poll failed, or empty.
	failed string
	// lost is set while no control VM responds: a long poll to one of them would only wait for its timeout.
	lost bool
	// searched is set after the first search. A process without state starts with a search, because a single control VM may be
	// cut off and offer a version from before a key was withdrawn or a VM left.
	searched bool
	// unconfirmed is the newest version that the last search of a process without state found, if that was not confirmed.
	unconfirmed uint64
}

// step polls the selected control VM, and searches for a newer version if that returned none.
func (r *followRun) step(ctx context.Context, targets Targets) {
	controlVMs, peers := targets()
	search := r.lost || r.hasNoState() && (!r.searched || r.unconfirmed > 0)
	if !search && r.pollControl(ctx, controlVMs) || ctx.Err() != nil {
		return
	}
	r.search(ctx, controlVMs, peers)
	r.searched = true
	if r.lost || r.hasNoState() {
		sleep(ctx, r.searchInterval())
	}
}

func (r *followRun) hasNoState() bool { return r.Copy.Version() == 0 }

func (r *followRun) searchInterval() time.Duration {
	if r.hasNoState() {
		return emptySearchInterval
	}
	return searchInterval
}

// selectVM selects the control VM to poll next.
func (r *followRun) selectVM(address string, cause SwitchCause) {
	if address != r.controlVM {
		r.observer.Switched(Switch{From: r.controlVM, To: address, Cause: cause, NewsAge: time.Since(r.newsAt)})
	}
	r.controlVM = address
}

// pollControl polls the selected control VM and reports whether it returned a newer version or heartbeat. A control VM
// that is cut off from the leader responds without either. Heartbeats count as news because the permission to admit
// requests depends on a recent one.
func (r *followRun) pollControl(ctx context.Context, controlVMs []string) (news bool) {
	if !slices.Contains(controlVMs, r.controlVM) {
		r.selectVM(pickRandom(controlVMs), SwitchStart)
	}
	r.failed = ""
	// One control VM alone gives the first state only if it is in contact with the leader now.
	accept := func(reply *FetchReply) bool {
		return !r.hasNoState() || reply.confirmed() && reply.Heartbeat.Age <= r.wait()
	}
	news, err := r.pollOne(ctx, r.controlVM, r.wait(), accept)
	if err != nil {
		r.failed = r.controlVM
	}
	return news
}

// pollOne polls one process, reports to the observer, and reports whether the process returned a newer version or
// heartbeat. It ignores a reply that accept rejects.
func (r *followRun) pollOne(ctx context.Context, address string, wait time.Duration, accept func(*FetchReply) bool) (news bool, err error) {
	result, err := PollResult{}, errors.New("fetch fleet state: no address is known")
	if address != "" {
		result, err = r.poll(ctx, address, r.knownHeartbeat, wait, accept)
	}
	if errors.Is(err, errRejected) {
		return false, nil
	}
	if err != nil {
		r.reportFailure(ctx, address, err)
		return false, err
	}
	news = result.Advanced || result.Heartbeat.Number > r.knownHeartbeat
	r.knownHeartbeat = max(r.knownHeartbeat, result.Heartbeat.Number)
	if news {
		r.newsAt = time.Now()
	}
	r.observer.PollSucceeded(result)
	return news, nil
}

// reportFailure reports a failed poll to the observer, unless the follower is stopping.
func (r *followRun) reportFailure(ctx context.Context, address string, err error) {
	if ctx.Err() == nil {
		r.observer.PollFailed(address, err)
	}
}

// peek is the reply of a process to the question for its version.
type peek struct {
	address string
	reply   FetchReply
	err     error
}

// newerThan reports whether p has a newer version than q, or the same version and a newer heartbeat.
func (p *peek) newerThan(q *peek) bool {
	if p.reply.Version != q.reply.Version {
		return p.reply.Version > q.reply.Version
	}
	return p.reply.Heartbeat.Number > q.reply.Heartbeat.Number
}

// search asks all control VMs and one other process for their versions at the same time, fetches each newer version as
// soon as a process reports it, and selects the control VM with the newest one. It waits for all replies before it
// selects: the first one may come from a control VM that is cut off as well.
func (r *followRun) search(ctx context.Context, controlVMs, peers []string) {
	cause := SwitchNoNews
	if r.failed != "" {
		cause = SwitchFailed
	}
	addresses := slices.DeleteFunc(slices.Clone(controlVMs), func(a string) bool { return a == r.failed })
	r.failed = ""
	if peer := pickRandom(peers); peer != "" {
		addresses = append(addresses, peer)
	}
	if r.hasNoState() {
		r.searchFirst(ctx, addresses, controlVMs, cause)
		return
	}
	var newest *peek
	for p := range r.peekAll(ctx, addresses, 0) {
		if p.err != nil {
			r.reportFailure(ctx, p.address, p.err)
			continue
		}
		if p.reply.Version > r.Copy.Version() || p.reply.Heartbeat.Number > r.knownHeartbeat {
			_, _ = r.pollOne(ctx, p.address, pollWaitAfterPeek, acceptAny) // the observer has the error
		}
		if slices.Contains(controlVMs, p.address) && (newest == nil || p.newerThan(newest)) {
			newest = &p
		}
	}
	r.selectNewest(newest, cause)
}

// selectNewest selects the control VM of a reply; nil if there was none.
func (r *followRun) selectNewest(newest *peek, cause SwitchCause) {
	r.lost = newest == nil
	if newest != nil {
		r.selectVM(newest.address, cause)
	}
}

// searchFirst is search for a process without state. It fetches the newest version once all processes have replied. If that
// version is not confirmed, the next search waits for the confirmation, which the new leader has first.
func (r *followRun) searchFirst(ctx context.Context, addresses, controlVMs []string, cause SwitchCause) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	wait := time.Duration(0)
	if r.unconfirmed > 0 {
		wait = confirmationWait
	}
	var newest *peek
	var offers []peek
	for p := range r.peekAll(ctx, addresses, wait) {
		if p.err != nil {
			r.reportFailure(ctx, p.address, p.err)
			continue
		}
		offers = append(offers, p)
		if slices.Contains(controlVMs, p.address) && (newest == nil || p.newerThan(newest)) {
			newest = &p
		}
		if r.unconfirmed > 0 && p.reply.Version >= r.unconfirmed && p.reply.confirmed() {
			break
		}
	}
	r.takeNewest(ctx, offers)
	r.unconfirmed = 0
	if r.hasNoState() && len(offers) > 0 && !offers[0].reply.confirmed() {
		r.unconfirmed = offers[0].reply.Version
	}
	r.selectNewest(newest, cause)
}

// takeNewest fetches the newest of the versions that processes offer, and an older one only if the newer ones cannot be had.
// It fetches none while the newest is not confirmed: control VMs that were all restarted do not know yet which of the last
// changes in their logs were accepted.
func (r *followRun) takeNewest(ctx context.Context, offers []peek) {
	slices.SortFunc(offers, func(p, q peek) int {
		switch {
		case p.newerThan(&q):
			return -1
		case q.newerThan(&p):
			return 1
		default:
			return 0
		}
	})
	for _, p := range offers {
		if !r.hasNoState() || !p.reply.confirmed() || p.reply.Version < r.unconfirmed || p.reply.Version == 0 && p.reply.Heartbeat.Number <= r.knownHeartbeat {
			return
		}
		_, _ = r.pollOne(ctx, p.address, pollWaitAfterPeek, (*FetchReply).confirmed) // the observer has the error
	}
}

// peekAll asks the processes for their versions at the same time. Those whose state is not confirmed wait for that. The
// channel is closed after the last reply.
func (r *followRun) peekAll(ctx context.Context, addresses []string, wait time.Duration) <-chan peek {
	replies := make(chan peek, len(addresses))
	knownHeartbeat := r.knownHeartbeat // pollOne may change the field meanwhile
	var pending sync.WaitGroup
	for _, address := range addresses {
		pending.Go(func() {
			reply, err := r.peek(ctx, address, knownHeartbeat, wait)
			replies <- peek{address, reply, err}
		})
	}
	go func() {
		pending.Wait()
		close(replies)
	}()
	return replies
}

// pickRandom returns one of the addresses, or "" if there is none.
func pickRandom(addresses []string) string {
	if len(addresses) == 0 {
		return ""
	}
	return addresses[rand.IntN(len(addresses))]
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
