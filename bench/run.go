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
	// readyTimeout bounds the start of both systems until they answer requests.
	readyTimeout = 60 * time.Second
	// domainToTakeOut is the index of the failure domain that the scenario "domain" takes out.
	domainToTakeOut = 1
)

// runScenario runs the fleet and the baseline side by side with the same traffic and faults.
func runScenario(ctx context.Context, s *settings, u *user, sc scenario) ([]*Result, error) {
	logOutput, err := openLog(s.logFile, u.name, sc.name)
	if err != nil {
		return nil, err
	}
	if logOutput != nil {
		defer logOutput.Close()
	}
	ready, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	f, err := startFleet(ready, u, s.seed, logOutput)
	if err != nil {
		return nil, err
	}
	defer f.stop()
	b, err := startBaseline(u, s.seed)
	if err != nil {
		return nil, err
	}
	defer b.stop()
	return runSystems(ctx, ready, s, u, sc, []system{f, b}, logOutput)
}

// openLog creates the log file of a scenario. It returns nil if prefix is "".
func openLog(prefix, user, scenario string) (*os.File, error) {
	if prefix == "" {
		return nil, nil
	}
	return os.Create(fmt.Sprintf("%s-%s-%s.log", prefix, user, scenario))
}

// runSystems waits until the systems are ready and runs them with the same schedule. ready bounds the wait.
func runSystems(ctx, ready context.Context, s *settings, u *user, sc scenario, list []system, logOutput *os.File) ([]*Result, error) {
	runs := make([]*run, len(list))
	for i, sys := range list {
		runs[i] = newRun(s, u, sc, sys, logOutput)
		if err := runs[i].caller.waitReady(ready, u); err != nil {
			return nil, err
		}
	}
	rate := s.rate
	if rate == 0 {
		rate = min(maxRate, defaultLoad*u.totalTeamRate)
	}
	t := newTimeline(s.duration)
	p := plan{user: u, rate: rate, totalTime: t.end, flood: sc.flood, floodStart: t.faultStart, floodEnd: t.faultEnd, seed: s.seed}
	schedule := p.schedule()
	errs := make(chan error, len(runs))
	start := time.Now()
	for _, r := range runs {
		go func() { errs <- r.execute(ctx, schedule, start) }()
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

// run is the measurement of one system in one scenario.
type run struct {
	user     *user
	scenario scenario
	timeline timeline
	sut      *systemUnderTest
	caller   *caller
	recorder *recorder
}

func newRun(s *settings, u *user, sc scenario, sys system, logOutput *os.File) *run {
	t := newTimeline(s.duration)
	excludedTeam := ""
	if sc.flood {
		excludedTeam = u.floodTeam
	}
	var callerLog io.Writer
	if logOutput != nil {
		callerLog = logOutput
	}
	faultyServer := 0
	for i, v := range u.vms() {
		if v.service == u.grayService {
			faultyServer = i
			break
		}
	}
	return &run{
		user: u, scenario: sc, timeline: t,
		sut:      &systemUnderTest{user: u, system: sys, faultyServer: faultyServer, domain: domainToTakeOut},
		caller:   newCaller(u, sys, fmt.Sprintf("%s-%s-%d", sys.name(), sc.name, s.seed), callerLog),
		recorder: newRecorder(u, t, s.inTime, excludedTeam),
	}
}

// execute sends the traffic while injectFault runs, and returns an error of injectFault.
func (r *run) execute(ctx context.Context, schedule []arrival, start time.Time) error {
	faults := make(chan error, 1)
	go func() { faults <- r.injectFault(ctx, start) }()
	r.caller.send(schedule, start, r.recorder)
	return errors.Wrap(<-faults, r.sut.system.name())
}

// injectFault begins and ends the scenario's fault at its times after start.
func (r *run) injectFault(ctx context.Context, start time.Time) error {
	time.Sleep(time.Until(start.Add(r.timeline.faultStart)))
	r.sut.faultStarted = time.Now()
	if r.scenario.begin != nil {
		if err := r.scenario.begin(ctx, r.sut); err != nil {
			return err
		}
	}
	time.Sleep(time.Until(start.Add(r.timeline.faultEnd)))
	r.sut.faultEnded = time.Now()
	if r.scenario.end != nil {
		return r.scenario.end(ctx, r.sut)
	}
	return nil
}
