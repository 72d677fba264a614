package main

import (
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	host          = "office.example"
	prefix        = "/proofs/"
	key           = "key-of-team-one"
	evacuationMs  = 5000 * time.Millisecond
	maxStretchMs  = 5000 * time.Millisecond
	drainMs       = 2000 * time.Millisecond
	contactMs     = 3000 * time.Millisecond
	configApplyMs = 2000 * time.Millisecond
	operatorLimit = 4 * time.Second // ackMs
	quotaWindow   = 5 * time.Second
	quotaOverage  = 0.1
	quotaSlack    = 20
	exitsAfter    = 8 * time.Second // how long a target serves after its deregistration
)

func unsafeRoute(service string, timeoutMs, aimMs int) []route {
	return []route{{name: "r-submit", host: host, prefix: prefix, kind: "unsafe", service: service, timeoutMs: timeoutMs, aimMs: aimMs}}
}

// lateRuns counts the requests that targets of the zone ran after the given time.
func lateRuns(rec *record, targets []*target, zone string, after time.Time) int {
	count := 0
	for _, t := range targets {
		if t.machine.zone != zone {
			continue
		}
		for _, r := range t.taken() {
			if r.at.After(after) {
				count++
				rec.add("target %s of evacuated %s ran %s %d ms past the bound", t.id, zone, r.id, r.at.Sub(after).Milliseconds())
			}
		}
	}
	return count
}

// staleOrder evacuates a zone, takes it back and evacuates it again. The core machine that the operator asks first to
// take it back stands still, so the operator's order is acknowledged by another one. Broken: targets of the zone get
// requests later than evacuationMs + maxStretchMs after the second evacuation was acknowledged.
func staleOrder(rec *record, f *fleet, trouble bool) (bool, error) {
	for _, zone := range zones {
		f.addSidecar(zone, "proof-room")
		f.addSidecar(zone, "proof-room")
	}
	targets, err := begin(rec, f, 5, 100*time.Millisecond, newConfiguration(2, 0, []string{"proof-room"}, unsafeRoute("proof-room", 6000, 2000), 0, 0))
	if err != nil {
		return false, err
	}
	if err := warmUp(rec, f, targets, "POST", host, prefix+"warm", key); err != nil {
		return false, err
	}
	time.Sleep(contactMs)
	leader := f.leader()
	if leader == nil {
		return false, fmt.Errorf("no leader")
	}
	// nodes begins with a core machine that does not lead.
	var nodes []*machine
	for _, m := range f.core {
		if m != leader {
			nodes = append(nodes, m)
		}
	}
	frozen := nodes[0]
	stopTraffic := steadyTraffic(rec, f, 100*time.Millisecond, 6*time.Second)
	defer stopTraffic()
	o := operator{rec}
	if _, err := o.order("/v1/Evacuations.Begin/"+zones[0], nil, nodes[1:], operatorLimit); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	if trouble {
		f.signal(frozen, syscall.SIGSTOP)
	}
	began := time.Now()
	if _, err := o.order("/v1/Evacuations.End/"+zones[0], nil, nodes, operatorLimit); err != nil {
		return false, err
	}
	acknowledged, err := o.order("/v1/Evacuations.Begin/"+zones[0], nil, nodes[1:], operatorLimit)
	if err != nil {
		return false, err
	}
	time.Sleep(time.Until(began.Add(3500 * time.Millisecond)))
	if trouble {
		f.signal(frozen, syscall.SIGCONT)
	}
	time.Sleep(time.Until(acknowledged.Add(evacuationMs + maxStretchMs + 8*time.Second)))
	return lateRuns(rec, targets, zones[0], acknowledged.Add(evacuationMs+maxStretchMs)) > 0, nil
}

// steadyTraffic sends a request on each sidecar machine once in the interval until the returned function is called.
func steadyTraffic(rec *record, f *fleet, interval, deadline time.Duration) (stop func()) {
	end := make(chan struct{})
	var done sync.WaitGroup
	done.Go(func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-end:
				return
			case <-ticker.C:
			}
			for _, m := range f.sidecars {
				done.Go(func() { send(rec, m, "POST", host, prefix+"submit", key, []byte("proof"), deadline) })
			}
		}
	})
	return func() {
		close(end)
		done.Wait()
	}
}

// lateHeartbeat lets a target deregister and kills the process beside it, which is restarted. Then a heartbeat arrives
// that the target sent before it deregistered. Broken: the target gets requests later than drainMs after the
// acknowledgement, while all machines are in touch.
func lateHeartbeat(rec *record, f *fleet, trouble bool) (bool, error) {
	var late uint64
	before := func(leaving *target) { late = leaving.nextSequence() } // sent now, arrives later
	after := func(leaving *target) (inTouch time.Time, err error) {
		time.Sleep(300 * time.Millisecond)
		if trouble {
			if err := f.killAndRestart(leaving.machine); err != nil {
				return inTouch, err
			}
			inTouch = time.Now().Add(contactMs)
		}
		time.Sleep(1500 * time.Millisecond)
		status := leaving.heartbeat("ready", late)
		rec.add("target %s: the late heartbeat (sequence %d) was answered %d", leaving.id, late, status)
		return inTouch, nil
	}
	return deregistration(rec, f, before, after)
}

// partialHeartbeat lets a target deregister. Then a heartbeat arrives that names it and lacks most fields. Broken: the
// target gets requests later than drainMs after the acknowledgement.
func partialHeartbeat(rec *record, f *fleet, trouble bool) (bool, error) {
	before := func(*target) {}
	after := func(leaving *target) (inTouch time.Time, err error) {
		time.Sleep(time.Second)
		if trouble {
			status := leaving.partialHeartbeat()
			rec.add("target %s: a heartbeat without zone, version, coldRemainingMs, sequence and born was answered %d", leaving.id, status)
		}
		return inTouch, nil
	}
	return deregistration(rec, f, before, after)
}

// deregistration plays a day on which a target leaves, and reports whether it gets requests too late. after returns the
// time from which all machines are in touch; zero if they were all the time.
func deregistration(rec *record, f *fleet, before func(*target), after func(*target) (time.Time, error)) (bool, error) {
	for _, zone := range zones {
		f.addSidecar(zone, "proof-room")
	}
	targets, err := begin(rec, f, 5, 320*time.Millisecond, newConfiguration(2, 0, []string{"proof-room"}, unsafeRoute("proof-room", 6000, 2000), 0, 0))
	if err != nil {
		return false, err
	}
	if err := warmUp(rec, f, targets, "POST", host, prefix+"warm", key); err != nil {
		return false, err
	}
	time.Sleep(contactMs)
	stopTraffic := steadyTraffic(rec, f, 150*time.Millisecond, 6*time.Second)
	defer stopTraffic()
	leaving := targets[0]
	before(leaving)
	time.Sleep(200 * time.Millisecond)
	if status := leaving.deregister(); status/100 != 2 {
		return false, fmt.Errorf("deregistration answered %d", status)
	}
	acknowledged := time.Now()
	bound, err := after(leaving)
	if err != nil {
		return false, err
	}
	if earliest := acknowledged.Add(drainMs); bound.Before(earliest) {
		bound = earliest
	}
	time.Sleep(time.Until(acknowledged.Add(exitsAfter)))
	rec.add("target %s exits", leaving.id)
	leaving.close()
	time.Sleep(2 * time.Second)
	count := 0
	for _, r := range leaving.taken() {
		if r.at.After(bound) {
			count++
			rec.add("target %s ran %s %d ms after its deregistration was acknowledged", leaving.id, r.id, r.at.Sub(acknowledged).Milliseconds())
		}
	}
	return count > 0, nil
}

// limitAfterKill lowers the limit of a tenant and later kills all processes at the same moment. Broken: in some
// quotaWindowS more of the tenant's requests are sent and run than the limit, which has long been in force, allows.
func limitAfterKill(rec *record, f *fleet, trouble bool) (bool, error) {
	for range 6 {
		for _, zone := range zones {
			f.addSidecar(zone, "proof-room")
		}
	}
	const ratePerS, burst = 10, 10
	routes := unsafeRoute("proof-room", 6000, 2000)
	targets, err := begin(rec, f, 5, 79*time.Millisecond, newConfiguration(2, 0, []string{"proof-room"}, routes, 0, 0))
	if err != nil {
		return false, err
	}
	if err := warmUp(rec, f, targets, "POST", host, prefix+"warm", key); err != nil {
		return false, err
	}
	time.Sleep(contactMs)
	o := operator{rec}
	acknowledged, err := o.order("/v1/Config.Replace", newConfiguration(5, 2, []string{"proof-room"}, routes, ratePerS, burst), f.core, operatorLimit)
	if err != nil {
		return false, err
	}
	// The limit binds one window after all machines have been in touch configApplyMs past its acknowledgement.
	binds := acknowledged.Add(configApplyMs + quotaWindow)
	stopTraffic := steadyTraffic(rec, f, 100*time.Millisecond, 6*time.Second)
	time.Sleep(time.Until(binds.Add(3 * time.Second)))
	if trouble {
		if err := f.killAll(restartDelay); err != nil {
			stopTraffic()
			return false, err
		}
	}
	time.Sleep(10 * time.Second)
	stopTraffic()
	var runs []run
	for _, t := range targets {
		runs = append(runs, t.taken()...)
	}
	slices.SortFunc(runs, func(a, b run) int { return a.at.Compare(b.at) })
	runs = slices.DeleteFunc(runs, func(r run) bool { return r.at.Before(binds) })
	most, first := 0, 0
	for i, r := range runs {
		for r.at.Sub(runs[first].at) >= quotaWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	allowed := int((ratePerS*quotaWindow.Seconds()+burst)*(1+quotaOverage)) + quotaSlack
	rec.add("most requests in a window: %d, allowed: %d", most, allowed)
	return most > allowed, nil
}

const (
	warmupPerS  = 28
	coldOverage = 1.5
	coldSlack   = 5
	coldStart   = 3 * time.Second
	crashRate   = 70 // requests a second, two and a half times warmupPerS
)

// coldAfterEvacuation evacuates a zone and takes it back shortly after its targets became cold. Broken: a cold target gets
// more requests in some second, sent and arrived inside it, than warmupPerS x coldOverage + coldSlack.
func coldAfterEvacuation(rec *record, f *fleet, trouble bool) (bool, error) {
	for _, zone := range zones {
		f.addSidecar(zone, "proof-room")
	}
	targets, err := begin(rec, f, 5, 20*time.Millisecond, newConfiguration(2, 0, []string{"proof-room"}, unsafeRoute("proof-room", 6000, 2000), 0, 0))
	if err != nil {
		return false, err
	}
	if err := warmUp(rec, f, targets, "POST", host, prefix+"warm", key); err != nil {
		return false, err
	}
	stopTraffic := steadyTraffic(rec, f, 12500*time.Microsecond, 6*time.Second)
	time.Sleep(8 * time.Second)
	o := operator{rec}
	returning := targets[0]
	if trouble {
		if _, err := o.order("/v1/Evacuations.Begin/"+zones[0], nil, f.core, operatorLimit); err != nil {
			stopTraffic()
			return false, err
		}
		time.Sleep(8 * time.Second)
		returning.waitForBeat()
		time.Sleep(200 * time.Millisecond)
		returning.becomeCold()
		time.Sleep(100 * time.Millisecond)
		if _, err := o.order("/v1/Evacuations.End/"+zones[0], nil, f.core, operatorLimit); err != nil {
			stopTraffic()
			return false, err
		}
	}
	time.Sleep(6 * time.Second)
	stopTraffic()
	if !trouble {
		return false, nil
	}
	var cold []run
	for _, r := range returning.taken() {
		if r.at.After(returning.coldSince) && r.at.Before(returning.coldSince.Add(coldStart)) {
			cold = append(cold, r)
		}
	}
	most := 0
	for i, first := range cold {
		count := 0
		for _, r := range cold[i:] {
			if r.at.Sub(first.at) < time.Second && !sentAt(r.id).Before(first.at.Add(-20*time.Millisecond)) {
				count++
			}
		}
		most = max(most, count)
	}
	allowed := int(warmupPerS*coldOverage + coldSlack)
	rec.add("most requests of the cold target in a second: %d, allowed: %d", most, allowed)
	return most > allowed, nil
}
