package main

import (
	"fmt"
	"sync"

	"rosemaryline.dev/standin"
)

// servers are the stand-ins of one system, one a VM.
type servers struct {
	user     *user
	vms      []vm
	announce []string
	seed     uint64

	mu       sync.Mutex // guards the fields below
	standins []*standin.Server
	// earlier counts the runs of instances that were replaced.
	earlier []int
}

func vmName(service string, i int) string { return fmt.Sprintf("%s-%02d", service, i+1) }

// startServers starts the stand-ins. announce has the URL of the local listener of each VM.
func startServers(u *user, announce []string, seed uint64) (*servers, error) {
	vms := u.vms()
	s := &servers{
		user: u, vms: vms, announce: announce, seed: seed,
		standins: make([]*standin.Server, len(vms)), earlier: make([]int, len(vms)),
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
		Announce:    s.announce[i],
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

// address returns where a backend server listens now.
func (s *servers) address(i int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.standins[i].Address()
}

// setFaults sets the switches of one backend server.
func (s *servers) setFaults(i int, f standin.Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.standins[i].SetFaults(f)
}

// crash stops a backend server without notice.
func (s *servers) crash(i int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.earlier[i] += len(s.standins[i].Runs())
	s.standins[i].Crash()
}

// startCold starts a crashed backend server as a new instance in a cold state.
func (s *servers) startCold(i int) error {
	if err := s.start(i); err != nil {
		return err
	}
	s.setFaults(i, standin.Faults{Cold: true})
	return nil
}

// runs returns how many requests a backend server began so far.
func (s *servers) runs(i int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.earlier[i] + len(s.standins[i].Runs())
}

func (s *servers) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.standins {
		if b != nil {
			// The scenario is over; a stand-in that fails to stop changes nothing.
			_ = b.Stop()
		}
	}
}

// of returns the VMs that a predicate holds for.
func (s *servers) of(holds func(vm) bool) []int {
	var list []int
	for i, v := range s.vms {
		if holds(v) {
			list = append(list, i)
		}
	}
	return list
}
