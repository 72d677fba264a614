package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// drainBound and contactBound are the bounds drainMs and contactMs of the deployment.
	drainBound   = 2 * time.Second
	contactBound = 3 * time.Second
	// heartbeatDelay is how long the last heartbeat of the leaving target is under way: "A heartbeat may arrive seconds late".
	heartbeatDelay = 3 * time.Second
	// servesOn is how long the leaving target continues to serve after the acknowledgement of its departure: drainMs "and a
	// little longer (at times many seconds)".
	servesOn = 9 * time.Second
)

// lateHeartbeat kills the process beside a target. The target leaves by POST /v1/Instances.Deregister right after the process
// is back, and the departure is acknowledged. A heartbeat that the target sent before arrives late.
func lateHeartbeat(r *run) error {
	f, err := newFleet(r, "planning", "planning", "planning")
	if err != nil {
		return err
	}
	var targets []*target
	for i, m := range f.sidecars {
		t, err := startTarget(r, m, fmt.Sprintf("i-7f3a91c%d", i), 5, 300*time.Millisecond)
		if err != nil {
			return err
		}
		targets = append(targets, t)
	}
	document := configuration(1, 0, []string{"planning"}, 0, 0,
		route{Name: "book-clean", PathPrefix: "/book/", Kind: "unsafe", TimeoutMs: 6000, AimMs: 1500, Service: "planning", MaxAttempts: 2})
	if err := f.configure(document); err != nil {
		return err
	}
	time.Sleep(4 * time.Second) // all machines are in touch
	var clients sync.WaitGroup
	var mu sync.Mutex
	var results []result
	begin := func(m *machine, id string) {
		clients.Add(1)
		go func() {
			defer clients.Done()
			res := send(m, http.MethodPost, "/book/1", id, 10*time.Second, "booking "+id)
			r.log("client: %v", res)
			mu.Lock()
			defer mu.Unlock()
			results = append(results, res)
		}()
	}
	// Clients on each machine send bookings all the time, about 20 a second in all.
	stop := make(chan struct{})
	clients.Add(1)
	go func() {
		defer clients.Done()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
				begin(f.sidecars[n%3], fmt.Sprintf("9c41d07be2%06x", n))
			}
		}
	}()
	time.Sleep(3 * time.Second)

	leaving, home := targets[0], f.sidecars[0]
	close(leaving.stopBeat)
	if r.trouble {
		home.kill()
	}
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(5 * time.Second); !home.ready(client); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("%s did not come back", home.name)
		}
	}
	back := time.Now()
	r.log("platform: the process on %s answers", home.name)
	late := leaving.heartbeat("ready")
	r.log("target %s: sends heartbeat %s, which is delayed", leaving.id, late)
	arrives := time.After(heartbeatDelay)
	left := time.Time{}
	for end := time.Now().Add(4 * time.Second); left.IsZero(); {
		status, err := post(client, home.address(portControl), "/v1/Instances.Deregister/"+leaving.id, nil)
		r.log("target %s: deregistration: status %d, %v", leaving.id, status, err)
		switch {
		case err == nil && status/100 == 2:
			left = time.Now()
		case time.Now().After(end):
			return fmt.Errorf("the departure was not acknowledged")
		default:
			time.Sleep(100 * time.Millisecond)
		}
	}
	<-arrives
	r.log("the delayed heartbeat arrives")
	leaving.sendBeat(client, late)
	time.Sleep(time.Until(left.Add(servesOn)))
	leaving.exit()
	time.Sleep(time.Second)
	close(stop)
	clients.Wait()

	from := left.Add(drainBound)
	if r.trouble {
		if inTouch := home.lastStart().Add(contactBound); inTouch.After(from) {
			from = inTouch
		}
	}
	byID := map[string]result{}
	for _, res := range results {
		byID[res.id] = res
	}
	reached, lost := 0, 0
	for _, a := range leaving.arrivals {
		if a.at.After(from) {
			reached++
			if byID[a.id].status != http.StatusOK {
				lost++
			}
		}
	}
	r.say("%d requests; the process was back %.1f s before the acknowledgement", len(results), left.Sub(back).Seconds())
	r.say("DRAIN: %d requests reached %s later than drainMs after its departure was acknowledged, while all machines were in touch; %d of them have no answer of a target", reached, leaving.id, lost)
	if reached > 0 {
		return errBroken
	}
	return nil
}
