package main

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"rosemaryline.dev/standin"
)

// scenario is a course of faults.
type scenario struct {
	name string
	// flood lets one team send several times its rate during the fault.
	flood bool
	// gray is true where one backend server is faulty.
	gray bool
	// begin and end set and lift the fault; nil means nothing.
	begin, end func(ctx context.Context, st *stage) error
}

// stage is a system in a scenario.
type stage struct {
	user   *user
	system system
	// victim is the backend server of gray failures.
	victim int
	// domain is the failure domain that leaves.
	domain   int
	lateRuns int
	grayRuns int
	began    time.Time // of the fault
	ended    time.Time // of the fault
}

const (
	slowFactor = 10
	hangShare  = 0.2
	// leaveTime is the time after which a failure domain that was taken out must get no new work. It is switched off
	// after twice this time.
	leaveTime = 2 * time.Second
)

var scenarios = []scenario{
	{name: "calm"},
	{name: "gray-slow", gray: true, begin: setGray(standin.Faults{SlowFactor: slowFactor}), end: setGray(standin.Faults{})},
	{name: "gray-hang", gray: true, begin: setGray(standin.Faults{HangShare: hangShare}), end: setGray(standin.Faults{})},
	{name: "gray-flood", gray: true, flood: true, begin: setGray(standin.Faults{SlowFactor: slowFactor}), end: setGray(standin.Faults{})},
	{name: "domain", begin: takeOut, end: bringBack},
	{name: "cold", begin: restartCold},
	{name: "control-away", begin: stopControl},
	{name: "control-away-gray", gray: true, begin: stopControlAndSlow, end: setGray(standin.Faults{})},
}

func scenarioNames() []string {
	var names []string
	for _, sc := range scenarios {
		names = append(names, sc.name)
	}
	return names
}

func setGray(f standin.Faults) func(context.Context, *stage) error {
	return func(_ context.Context, st *stage) error {
		servers := st.system.servers()
		servers.setFaults(st.victim, f)
		if st.grayRuns == 0 {
			st.grayRuns = -servers.runs(st.victim)
		} else {
			st.grayRuns += servers.runs(st.victim)
		}
		return nil
	}
}

func (st *stage) domainServers() []int {
	return st.system.servers().of(func(v vm) bool { return v.domain == st.domain })
}

// takeOut takes a failure domain out, as operators do, and then switches its backend servers off.
func takeOut(ctx context.Context, st *stage) error {
	if err := st.system.setDomain(ctx, st.user.domains[st.domain], true); err != nil {
		return errors.Wrap(err, "take failure domain out")
	}
	time.Sleep(leaveTime)
	servers := st.system.servers()
	for _, i := range st.domainServers() {
		st.lateRuns -= servers.runs(i)
	}
	time.Sleep(leaveTime)
	for _, i := range st.domainServers() {
		st.lateRuns += servers.runs(i)
		servers.crash(i)
	}
	return nil
}

// bringBack starts the backend servers of the failure domain, which are cold, and brings it back.
func bringBack(ctx context.Context, st *stage) error {
	for _, i := range st.domainServers() {
		if err := st.system.servers().startCold(i); err != nil {
			return err
		}
	}
	return errors.Wrap(st.system.setDomain(ctx, st.user.domains[st.domain], false), "bring failure domain back")
}

// restartCold restarts all backend servers of a service at once.
func restartCold(_ context.Context, st *stage) error {
	servers := st.system.servers()
	list := servers.of(func(v vm) bool { return v.service == st.user.coldService })
	for _, i := range list {
		servers.crash(i)
	}
	for _, i := range list {
		if err := servers.startCold(i); err != nil {
			return err
		}
	}
	return nil
}

func stopControl(_ context.Context, st *stage) error {
	st.system.stopControl()
	return nil
}

// stopControlAndSlow needs an ejection that control cannot help with.
func stopControlAndSlow(ctx context.Context, st *stage) error {
	st.system.stopControl()
	return setGray(standin.Faults{SlowFactor: slowFactor})(ctx, st)
}
