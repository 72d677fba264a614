package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// bookTimeout is the timeoutMs of the route, and bookWork the time that a booking takes at its target.
	bookTimeout = 8 * time.Second
	bookWork    = time.Second
	// graceTime is the bound graceS of the deployment. What a target still does in its last sixth doesn't count.
	graceTime = 6 * time.Second
	// turn is the time between the SIGTERM of one machine and that of the next: two steps of roll_term in the site file.
	turn = 2600 * time.Millisecond
	// waiting is the number of bookings that wait for the target when its machine is stopped, and bookRate how many come a
	// second, a fifth more than the target can run.
	waiting  = 26
	bookRate = 6
)

// stopQueue stops two machines in turn, first the one with the target of a service, then one that took bookings for it, which
// wait at the gate of the first.
func stopQueue(r *run) error {
	f, err := newFleet(r, "planning", "rondes", "rondes")
	if err != nil {
		return err
	}
	t, err := startTarget(r, f.sidecars[0], "i-7f3a91c0", 5, bookWork)
	if err != nil {
		return err
	}
	for i, m := range f.sidecars[1:] {
		if _, err := startTarget(r, m, fmt.Sprintf("i-7f3a91c%d", i+1), 5, bookWork); err != nil {
			return err
		}
	}
	document := configuration(1, 0, []string{"planning", "rondes"}, 3, 17,
		route{Name: "book-clean", PathPrefix: "/book/", Kind: "unsafe", TimeoutMs: int(bookTimeout.Milliseconds()), AimMs: 6000, Priority: 1, Service: "planning", MaxAttempts: 2})
	if err := f.configure(document); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	var clients sync.WaitGroup
	var mu sync.Mutex
	byMachine := map[*machine][]result{}
	sent := 0
	begin := func() {
		m, id := f.sidecars[1+sent%2], fmt.Sprintf("9c41d07b%06x", sent)
		sent++
		clients.Add(1)
		go func() {
			defer clients.Done()
			res := send(m, http.MethodPost, "/book/1", id, 10*time.Second, "booking "+id)
			r.log("client on %s, sent at %.3f: %v", m.name, res.sent.Sub(r.began).Seconds(), res)
			mu.Lock()
			defer mu.Unlock()
			byMachine[m] = append(byMachine[m], res)
		}()
	}
	load := func(d time.Duration) {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Second / bookRate) {
			begin()
		}
	}
	// The target learns nothing of the stops: it goes on while the process beside it is stopped.
	load(4 * time.Second)
	for range waiting {
		begin()
	}
	stop := func(m *machine) time.Time {
		if r.trouble {
			m.signal(syscall.SIGTERM)
		}
		return time.Now()
	}
	load(300 * time.Millisecond)
	first := stop(f.sidecars[0])
	load(turn)
	second := stop(f.sidecars[1])
	clients.Wait()
	time.Sleep(500 * time.Millisecond) // the target notices closed connections

	t.mu.Lock()
	defer t.mu.Unlock()
	cut := map[string]time.Time{}
	for _, a := range t.arrivals {
		if !a.cut.IsZero() {
			cut[a.id] = a.cut
		}
	}
	lost, others := 0, 0
	for m, list := range byMachine {
		for _, res := range list {
			at, broken := cut[res.id]
			switch {
			case !broken || res.signature != "" || res.ended.Sub(res.sent) >= bookTimeout:
			case m != f.sidecars[1]:
				others++
			case res.ended.After(second) && at.Before(second.Add(graceTime*5/6)):
				lost++
				r.say("%s: sent %.2f s before the SIGTERM of the machine that took it; its run was broken off %.2f s after that, %.2f s after the SIGTERM of the other; the client got %d (%v)",
					res.id, second.Sub(res.sent).Seconds(), at.Sub(second).Seconds(), at.Sub(first).Seconds(), res.status, res.err)
			}
		}
	}
	r.say("%d bookings, %d runs broken off; %d of them were taken by a machine that was not stopped", sent, len(cut), others)
	r.say("LOST: %d bookings, taken by a machine that was stopped, were broken off at their target and given another answer", lost)
	if lost > 0 {
		return errBroken
	}
	return nil
}
