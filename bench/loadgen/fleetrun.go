package loadgen

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"rosemaryline.dev/bench/processfleet"
	"rosemaryline.dev/standin"
)

const (
	// memoryCheckInterval is the time between two checks of the memory of all processes.
	memoryCheckInterval = 500 * time.Millisecond
	// rolloutGrace is the time after the load in which a rollout may end.
	rolloutGrace = 5 * time.Second
	// readyNumber replaces {n} in the paths of requests that check whether a fleet is ready.
	readyNumber = "ready"
	// readyRequestTimeout limits each of these requests.
	readyRequestTimeout = 2 * time.Second
)

// RolloutResult is how a rollout ended.
type RolloutResult struct {
	Service string `json:"service"`
	Version string `json:"version"`
	Phase   string `json:"phase"`
	Reason  string `json:"reason"`
	// Requests is the number of requests that servers with the new version began.
	Requests int `json:"requests"`
}

// runningFleet is the fleet of one measurement.
type runningFleet struct {
	spec  *Spec
	fleet *processfleet.Fleet
	// placed has an entry for each backend server, with the one VM that it is on.
	placed []Servers

	mu      sync.Mutex        // guards the fields below
	servers []*standin.Server // by the index in placed; nil until started
	active  []map[int]bool    // by the index in placed: the active faults
}

// measureFleet starts the fleet of a target, runs the load, the faults and the rollouts, and stops the fleet.
func (s *Spec) measureFleet(ctx context.Context, target int, progress func(at time.Duration, sent, ended int)) (*Result, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	f := &runningFleet{spec: s}
	defer f.stop()
	if err := f.start(ctx, target, cancel); err != nil {
		return nil, causeOr(ctx, err)
	}
	var background sync.WaitGroup
	loadCtx, end := context.WithCancel(ctx)
	defer background.Wait()
	defer end()
	background.Go(func() { f.watchMemory(loadCtx, cancel) })
	began := time.Now()
	background.Go(func() { f.applyFaults(loadCtx, began) })
	background.Go(func() {
		if err := f.beginRollouts(loadCtx, began); err != nil && loadCtx.Err() == nil {
			cancel(err)
		}
	})
	result, err := s.Run(ctx, f.urls(), f.keys(), progress)
	if err != nil {
		return nil, err
	}
	result.Rollouts, err = f.rollouts(ctx)
	return result, causeOr(ctx, err)
}

// start starts the processes and the backend servers, and waits until each process serves each kind of request.
func (f *runningFleet) start(ctx context.Context, target int, cancel context.CancelCauseFunc) error {
	t := &f.spec.Targets[target]
	doc, field, err := f.spec.document(target)
	if err != nil {
		return errors.Wrap(err, field)
	}
	ctx, stop := context.WithTimeout(ctx, t.ReadyTimeout)
	defer stop()
	f.fleet, err = processfleet.Start(ctx, processfleet.Options{
		Daemon: t.Daemon, Count: f.spec.Fleet.VMs, Document: doc, OnExit: func(err error) { cancel(err) },
		Env: []string{fmt.Sprintf("GOMEMLIMIT=%dMiB", f.spec.Fleet.MemoryMB)},
	})
	if err != nil {
		return errors.Wrap(err, "start fleet")
	}
	for _, s := range f.spec.Fleet.Servers {
		for _, vm := range s.VMs {
			s.VMs = []int{vm}
			f.placed = append(f.placed, s)
			f.active = append(f.active, map[int]bool{})
		}
	}
	f.servers = make([]*standin.Server, len(f.placed))
	for i := range f.placed {
		if f.awaitsRollout(&f.placed[i]) {
			continue
		}
		if err := f.startServer(i); err != nil {
			return err
		}
	}
	return f.waitReady(ctx)
}

// awaitsRollout reports whether servers are started when a rollout to their version begins. Before it, all versions would get
// requests.
func (f *runningFleet) awaitsRollout(s *Servers) bool {
	return slices.ContainsFunc(f.spec.Fleet.Rollouts, func(r Rollout) bool { return r.Service == s.Service && r.Version == s.Version })
}

func (f *runningFleet) startServer(i int) error {
	s := &f.placed[i]
	process := f.fleet.Processes[s.VMs[0]]
	started, err := standin.Start(standin.Options{
		Name: fmt.Sprintf("%s-%s-%d", process.Name, s.Service, i), Service: s.Service, Listen: "127.0.0.1:0", Slots: s.Slots,
		ServiceTime: s.ServiceTime, Work: s.work(), Version: s.Version, Announce: "http://" + process.Local,
		Seed: f.spec.Seed ^ uint64(i+1)<<32,
	})
	if err != nil {
		return errors.Wrapf(err, "start a backend server of %s", s.Service)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.servers[i] = started
	started.SetFaults(f.spec.Fleet.mergeFaults(f.active[i]))
	return nil
}

// stop stops the processes and then the backend servers, which are needed until the last request has its response.
func (f *runningFleet) stop() {
	if f.fleet != nil {
		f.fleet.Stop()
	}
	for _, s := range f.servers {
		if s != nil {
			// The error is that of the withdrawal of the announcement, whose process is gone.
			_ = s.Stop()
		}
	}
}

func (f *runningFleet) urls() []string {
	var urls []string
	for _, p := range f.fleet.Processes {
		urls = append(urls, "http://"+p.Caller)
	}
	return urls
}

func (f *runningFleet) keys() map[string]string {
	keys := map[string]string{}
	for _, team := range f.spec.teamNames() {
		keys[team] = teamKey(team)
	}
	return keys
}

// waitReady waits until a request of each kind through each process gets status 200.
func (f *runningFleet) waitReady(ctx context.Context) error {
	c := newCaller(f.spec, f.urls(), f.keys())
	defer c.close()
	failures := make([]error, len(c.urls))
	var processes sync.WaitGroup
	for i, url := range c.urls {
		processes.Go(func() {
			for kind := range f.spec.Kinds {
				err := f.fleet.Retry(ctx, func() error { return c.checkReady(ctx, arrival{kind: int32(kind)}, url) })
				if err != nil {
					failures[i] = errors.Wrapf(err, "%s does not serve %q", f.fleet.Processes[i].Name, f.spec.Kinds[kind].Name)
					return
				}
			}
		})
	}
	processes.Wait()
	for _, err := range failures {
		if err != nil {
			return err
		}
	}
	return nil
}

// checkReady sends a request to the process at url. A status other than 200 is an error.
func (c *caller) checkReady(ctx context.Context, a arrival, url string) error {
	ctx, cancel := context.WithTimeout(ctx, readyRequestTimeout)
	defer cancel()
	req, err := c.request(ctx, a, url, readyNumber, int64(c.spec.Kinds[a.kind].Body))
	if err != nil {
		return err
	}
	resp, err := c.fast.Do(req)
	if err != nil {
		return err
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("status %s", resp.Status)
	}
	return nil
}

// watchMemory ends the measurement when the resident memory of the experiment and its processes exceeds maxMemory.
func (f *runningFleet) watchMemory(ctx context.Context, cancel context.CancelCauseFunc) {
	for sleepUntil(ctx, time.Now().Add(memoryCheckInterval)) {
		var sum uint64
		if own, err := processfleet.UsageOf(os.Getpid()); err == nil {
			sum += own.RSS
		}
		for _, p := range f.fleet.Processes {
			// An error means that the process has ended, which ends the measurement by itself.
			if usage, err := p.Usage(); err == nil {
				sum += usage.RSS
			}
		}
		if sum > maxMemory {
			cancel(errors.Errorf("the processes use %d MB of memory together, more than %d MB", sum>>20, maxMemory>>20))
			return
		}
	}
}

// applyFaults sets the faults of the backend servers as their times come.
func (f *runningFleet) applyFaults(ctx context.Context, began time.Time) {
	for _, change := range f.spec.Fleet.faultChanges(f.spec.Seed, f.placed) {
		if !sleepUntil(ctx, began.Add(change.at)) {
			return
		}
		f.mu.Lock()
		if change.on {
			f.active[change.server][change.fault] = true
		} else {
			delete(f.active[change.server], change.fault)
		}
		if server := f.servers[change.server]; server != nil {
			server.SetFaults(f.spec.Fleet.mergeFaults(f.active[change.server]))
		}
		f.mu.Unlock()
	}
}

// beginRollouts orders the rollouts as their times come, and starts the servers of the new versions.
func (f *runningFleet) beginRollouts(ctx context.Context, began time.Time) error {
	list := slices.SortedFunc(slices.Values(f.spec.Fleet.Rollouts), func(a, b Rollout) int { return int(a.At - b.At) })
	for _, r := range list {
		if !sleepUntil(ctx, began.Add(r.At)) {
			return nil
		}
		if err := f.fleet.BeginRollout(ctx, r.Service, r.Version, r.Duration); err != nil {
			return errors.Wrapf(err, "begin the rollout of %s to %s", r.Service, r.Version)
		}
		for i := range f.placed {
			if f.placed[i].Service != r.Service || f.placed[i].Version != r.Version {
				continue
			}
			if err := f.startServer(i); err != nil {
				return err
			}
		}
	}
	return nil
}

// rollouts waits until the rollouts have ended, or rolloutGrace is over, and returns how they ended.
func (f *runningFleet) rollouts(ctx context.Context) ([]RolloutResult, error) {
	ctx, cancel := context.WithTimeout(ctx, rolloutGrace)
	defer cancel()
	var results []RolloutResult
	for _, r := range f.spec.Fleet.Rollouts {
		result := RolloutResult{Service: r.Service, Version: r.Version}
		// A rollout that still runs at the end is reported with its phase.
		err := f.fleet.Retry(ctx, func() error {
			rollout, err := f.fleet.Rollout(ctx, r.Service)
			if err != nil {
				return err
			}
			result.Phase, result.Reason = string(rollout.Phase), rollout.Reason
			if rollout.Running() {
				return errors.New("the rollout still runs")
			}
			return nil
		})
		if err != nil && result.Phase == "" {
			return nil, errors.Wrapf(err, "read the rollout of %s", r.Service)
		}
		result.Requests = f.started(r.Service, r.Version)
		results = append(results, result)
	}
	return results, nil
}

// started returns the number of requests that the servers with a version of a service began.
func (f *runningFleet) started(service, version string) (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, server := range f.servers {
		if f.placed[i].Service == service && f.placed[i].Version == version && server != nil {
			n += server.Started()
		}
	}
	return n
}
