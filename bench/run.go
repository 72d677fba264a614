package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/pkg/errors"
)

const (
	// readyTimeout bounds the start of both systems.
	readyTimeout = 60 * time.Second
	// leavingDomain is the failure domain that leaves.
	leavingDomain = 1
)

// runScenario runs the fleet and the baseline side by side with the same traffic and faults.
func runScenario(ctx context.Context, s *settings, u *user, sc scenario) ([]*Result, error) {
	lines, err := openLog(s.logFile, u.name, sc.name)
	if err != nil {
		return nil, err
	}
	if lines != nil {
		defer lines.Close()
	}
	ready, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	f, err := startFleet(ready, u, s.seed, lines)
	if err != nil {
		return nil, err
	}
	defer f.stop()
	b, err := startBaseline(u, s.seed)
	if err != nil {
		return nil, err
	}
	defer b.stop()
	return runSystems(ctx, ready, s, u, sc, []system{f, b}, lines)
}

func openLog(prefix, user, scenario string) (*os.File, error) {
	if prefix == "" {
		return nil, nil
	}
	return os.Create(fmt.Sprintf("%s-%s-%s.log", prefix, user, scenario))
}

func runSystems(ctx, ready context.Context, s *settings, u *user, sc scenario, list []system, lines *os.File) ([]*Result, error) {
	runs := make([]*run, len(list))
	for i, sys := range list {
		runs[i] = newRun(s, u, sc, sys, lines)
		if err := runs[i].caller.waitReady(ready, u); err != nil {
			return nil, err
		}
	}
	rate := s.rate
	if rate == 0 {
		rate = min(maxRate, defaultLoad*u.totalTeamRate)
	}
	t := newTimes(s.duration)
	p := plan{user: u, rate: rate, length: t.end, flood: sc.flood, floodFrom: t.faultFrom, floodTo: t.faultTo, seed: s.seed}
	schedule := p.schedule()
	errs := make(chan error, len(runs))
	start := time.Now()
	for _, r := range runs {
		go func() { errs <- r.play(ctx, schedule, start) }()
	}
	var results []*Result
	for range runs {
		if err := <-errs; err != nil {
			return nil, err
		}
	}
	for _, r := range runs {
		results = append(results, r.result())
	}
	return results, nil
}

// run is one system in one scenario.
type run struct {
	user     *user
	scenario scenario
	times    times
	stage    *stage
	caller   *caller
	recorder *recorder
}

func newRun(s *settings, u *user, sc scenario, sys system, lines *os.File) *run {
	t := newTimes(s.duration)
	except := ""
	if sc.flood {
		except = u.floodTeam
	}
	var notes io.Writer
	if lines != nil {
		notes = lines
	}
	victim := 0
	for i, v := range u.vms() {
		if v.service == u.grayService {
			victim = i
			break
		}
	}
	return &run{
		user: u, scenario: sc, times: t,
		stage:    &stage{user: u, system: sys, victim: victim, domain: leavingDomain},
		caller:   newCaller(u, sys, fmt.Sprintf("%s-%s-%d", sys.name(), sc.name, s.seed), notes),
		recorder: newRecorder(u, t, s.inTime, except),
	}
}

// play sends the traffic and sets and lifts the fault.
func (r *run) play(ctx context.Context, schedule []arrival, start time.Time) error {
	faults := make(chan error, 1)
	go func() { faults <- r.fault(ctx, start) }()
	r.caller.send(schedule, start, r.recorder)
	return errors.Wrap(<-faults, r.stage.system.name())
}

func (r *run) fault(ctx context.Context, start time.Time) error {
	time.Sleep(time.Until(start.Add(r.times.faultFrom)))
	r.stage.began = time.Now()
	if r.scenario.begin != nil {
		if err := r.scenario.begin(ctx, r.stage); err != nil {
			return err
		}
	}
	time.Sleep(time.Until(start.Add(r.times.faultTo)))
	r.stage.ended = time.Now()
	if r.scenario.end != nil {
		return r.scenario.end(ctx, r.stage)
	}
	return nil
}
