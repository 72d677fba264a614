package main

import (
	"fmt"
	"sync"

	"rosemaryline.dev/standin"
)

// servers are the stand-in backend servers of one system, one per VM.
type servers struct {
	user         *user
	vms          []vm
	announceURLs []string
	seed         uint64

	mu       sync.Mutex // guards the fields below
	standins []*standin.Server
	// earlierRuns is the number of requests that earlier, crashed instances started, by VM.
	earlierRuns []int
}

func vmName(service string, i int) string { return fmt.Sprintf("%s-%02d", service, i+1) }

// startServers starts the stand-ins. announceURLs has the URL of the local listener of each VM, to which the stand-ins
// announce themselves.
func startServers(u *user, announceURLs []string, seed uint64) (*servers, error) {
	vms := u.vms()
	s := &servers{
		user: u, vms: vms, announceURLs: announceURLs, seed: seed,
		standins: make([]*standin.Server, len(vms)), earlierRuns: make([]int, len(vms)),
	}
	for i := range vms {
		if err := s.start(i); err != nil {
			s.stop()
			return nil, err
		}
	}
	return s, nil
}

func (s *servers) start(i int) error {
	started, err := standin.Start(standin.Options{
		Name:        s.vms[i].name,
		Service:     s.vms[i].service,
		Listen:      listenAddress(s.vms[i].domain, i),
		Slots:       s.user.slots,
		ServiceTime: serviceTime,
		Announce:    s.announceURLs[i],
		Seed:        s.seed + uint64(i),
	})
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.standins[i] = started
	return nil
}

// address returns the current address of a backend server.
func (s *servers) address(i int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.standins[i].Address()
}

// setFaults sets the faults of one backend server.
func (s *servers) setFaults(i int, f standin.Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.standins[i].SetFaults(f)
}

// crash stops a backend server without a graceful shutdown.
func (s *servers) crash(i int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.earlierRuns[i] += len(s.standins[i].Runs())
	s.standins[i].Crash()
}

// startCold starts a new instance of a crashed backend server, in a cold state.
func (s *servers) startCold(i int) error {
	if err := s.start(i); err != nil {
		return err
	}
	s.setFaults(i, standin.Faults{Cold: true})
	return nil
}

// runs returns the number of requests that a backend server has started so far, with those of its earlier instances.
func (s *servers) runs(i int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.earlierRuns[i] + len(s.standins[i].Runs())
}

func (s *servers) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.standins {
		if b != nil {
			// The scenario has ended, so a stand-in that fails to stop does not affect the result.
			_ = b.Stop()
		}
	}
}

// matching returns the indexes of the VMs for which holds returns true.
func (s *servers) matching(holds func(vm) bool) []int {
	var list []int
	for i, v := range s.vms {
		if holds(v) {
			list = append(list, i)
		}
	}
	return list
}
