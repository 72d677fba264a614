package main

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"rosemaryline.dev/standin"
)

// scenario is a fault that is injected during the traffic.
type scenario struct {
	name string
	// flood makes one team send several times its rate during the fault.
	flood bool
	// gray is true if one backend server has a gray failure: it still responds, but slowly or not to all requests.
	gray bool
	// begin injects the fault and end removes it. nil means that there is nothing to do.
	begin, end func(ctx context.Context, sut *systemUnderTest) error
}

// systemUnderTest is a system in a scenario, with the state of the fault injection.
type systemUnderTest struct {
	user   *user
	system system
	// faultyServer is the index of the backend server that gets gray failures.
	faultyServer int
	// domain is the index of the failure domain that is taken out.
	domain int
	// runsAfterDomainOut is the number of requests that started at backend servers of domain after drainTime and before the
	// crash.
	runsAfterDomainOut int
	// faultyServerRuns is the number of requests that started at faultyServer during the fault.
	faultyServerRuns int
	faultStarted     time.Time
	faultEnded       time.Time
}

const (
	// slowFactor multiplies the service time of a slow backend server.
	slowFactor = 10
	// hangShare is the share of requests to which a hanging backend server does not respond.
	hangShare = 0.2
	// drainTime is the time after which a failure domain that was taken out must get no new requests. Its backend servers
	// crash after twice this time.
	drainTime = 2 * time.Second
)

var scenarios = []scenario{
	{name: "calm"},
	{name: "gray-slow", gray: true, begin: setGrayFaults(standin.Faults{SlowFactor: slowFactor}), end: setGrayFaults(standin.Faults{})},
	{name: "gray-hang", gray: true, begin: setGrayFaults(standin.Faults{HangShare: hangShare}), end: setGrayFaults(standin.Faults{})},
	{name: "gray-flood", gray: true, flood: true, begin: setGrayFaults(standin.Faults{SlowFactor: slowFactor}), end: setGrayFaults(standin.Faults{})},
	{name: "domain", begin: takeDomainOut, end: bringDomainBack},
	{name: "cold", begin: restartCold},
	{name: "control-away", begin: stopControl},
	{name: "control-away-gray", gray: true, begin: stopControlAndSlow, end: setGrayFaults(standin.Faults{})},
}

func scenarioNames() []string {
	var names []string
	for _, sc := range scenarios {
		names = append(names, sc.name)
	}
	return names
}

// setGrayFaults returns a function that sets the faults of the faulty backend server. Its first call counts as the start of
// the fault and the second as the end.
func setGrayFaults(f standin.Faults) func(context.Context, *systemUnderTest) error {
	return func(_ context.Context, sut *systemUnderTest) error {
		servers := sut.system.servers()
		servers.setFaults(sut.faultyServer, f)
		if sut.faultyServerRuns == 0 {
			sut.faultyServerRuns = -servers.runs(sut.faultyServer)
		} else {
			sut.faultyServerRuns += servers.runs(sut.faultyServer)
		}
		return nil
	}
}

// domainServers returns the indexes of the backend servers in the failure domain that is taken out.
func (sut *systemUnderTest) domainServers() []int {
	return sut.system.servers().matching(func(v vm) bool { return v.domain == sut.domain })
}

// takeDomainOut takes a failure domain out, as operators do, and then crashes its backend servers.
func takeDomainOut(ctx context.Context, sut *systemUnderTest) error {
	if err := sut.system.setDomain(ctx, sut.user.domains[sut.domain], true); err != nil {
		return errors.Wrap(err, "take failure domain out")
	}
	time.Sleep(drainTime)
	servers := sut.system.servers()
	for _, i := range sut.domainServers() {
		sut.runsAfterDomainOut -= servers.runs(i)
	}
	time.Sleep(drainTime)
	for _, i := range sut.domainServers() {
		sut.runsAfterDomainOut += servers.runs(i)
		servers.crash(i)
	}
	return nil
}

// bringDomainBack starts the backend servers of the failure domain in a cold state and takes the domain back into service.
func bringDomainBack(ctx context.Context, sut *systemUnderTest) error {
	for _, i := range sut.domainServers() {
		if err := sut.system.servers().startCold(i); err != nil {
			return err
		}
	}
	return errors.Wrap(sut.system.setDomain(ctx, sut.user.domains[sut.domain], false), "bring failure domain back")
}

// restartCold crashes all backend servers of a service and starts them in a cold state.
func restartCold(_ context.Context, sut *systemUnderTest) error {
	servers := sut.system.servers()
	list := servers.matching(func(v vm) bool { return v.service == sut.user.coldService })
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

func stopControl(_ context.Context, sut *systemUnderTest) error {
	sut.system.stopControl()
	return nil
}

// stopControlAndSlow stops control and slows a backend server down, so that the ejection has to work without control.
func stopControlAndSlow(ctx context.Context, sut *systemUnderTest) error {
	sut.system.stopControl()
	return setGrayFaults(standin.Faults{SlowFactor: slowFactor})(ctx, sut)
}
