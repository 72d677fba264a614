package main

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// baseline is a simple proxy on the VM of each backend server, for comparison with the fleet. Each entry chooses a backend
// server of the service at random, ejects one after a fixed number of consecutive errors without telling the other entries,
// and enforces an equal, fixed part of each team's rate.
type baseline struct {
	user     *user
	entries  []*entry
	backends *servers
	// slots limits the requests that a backend server handles concurrently, by backend server. Further requests wait.
	slots []chan struct{}

	mu      sync.Mutex // guards the fields below
	out     []bool     // by failure domain
	ejected []ejection
}

func startBaseline(u *user, seed uint64) (*baseline, error) {
	b := &baseline{user: u, out: make([]bool, len(u.domains))}
	vms := u.vms()
	var announceURLs []string
	for i, v := range vms {
		e, err := startEntry(b, i, v, seed)
		if err != nil {
			b.stop()
			return nil, errors.Wrap(err, "start baseline")
		}
		b.entries = append(b.entries, e)
		b.slots = append(b.slots, make(chan struct{}, u.slots))
		announceURLs = append(announceURLs, "http://"+e.localListener.address())
	}
	var err error
	if b.backends, err = startServers(u, announceURLs, seed); err != nil {
		b.stop()
		return nil, errors.Wrap(err, "start baseline")
	}
	return b, nil
}

func (b *baseline) name() string { return "baseline" }

func (b *baseline) callerAddress(vm int) string { return b.entries[vm].callerListener.address() }

func (b *baseline) keyOf(team string) string { return team }

func (b *baseline) servers() *servers { return b.backends }

// setDomain takes effect at all entries immediately, like a configuration change that is deployed everywhere at once.
func (b *baseline) setDomain(_ context.Context, domain string, out bool) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.out[slices.Index(b.user.domains, domain)] = out
	return nil
}

func (b *baseline) domainOut(domain int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.out[domain]
}

// stopControl does nothing, because the baseline has no control.
func (b *baseline) stopControl() {}

func (b *baseline) noteEjection(server string, entry int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ejected = append(b.ejected, ejection{server: server, at: time.Now(), entry: entry})
}

func (b *baseline) ejections() []ejection {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.ejected)
}

func (b *baseline) stop() {
	if b.backends != nil {
		b.backends.stop()
	}
	for _, e := range b.entries {
		e.stop()
	}
}

// responseTimeout returns the configured time for which an entry waits for a response of the service, or 0 for no limit.
func (b *baseline) responseTimeout(service string) time.Duration {
	return b.user.doc.Services[service].ResponseTimeout.Std()
}

// routeOf returns the service and the deadline of a configured route whose path is a prefix of the request's path. ok is
// false if there is none.
func (b *baseline) routeOf(r *http.Request) (service string, deadline time.Duration, ok bool) {
	for _, rule := range b.user.doc.Routes {
		if len(r.URL.Path) >= len(rule.Path) && r.URL.Path[:len(rule.Path)] == rule.Path {
			return rule.Service, rule.Deadline.Std(), true
		}
	}
	return "", 0, false
}
