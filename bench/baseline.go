package main

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// baseline is a plain proxy beside each backend server: each entry chooses a backend server of the service at random,
// ejects by itself after a fixed number of errors in a row, and has a fixed equal part of each team's rate.
type baseline struct {
	user     *user
	entries  []*entry
	backends *servers
	// slots bounds the requests that a backend server works on at once; the others wait in its queue.
	slots []chan struct{}

	mu      sync.Mutex // guards the fields below
	out     []bool     // by failure domain
	ejected []ejection
}

func startBaseline(u *user, seed uint64) (*baseline, error) {
	b := &baseline{user: u, out: make([]bool, len(u.domains))}
	vms := u.vms()
	var announce []string
	for i, v := range vms {
		e, err := startEntry(b, i, v, seed)
		if err != nil {
			b.stop()
			return nil, errors.Wrap(err, "start baseline")
		}
		b.entries = append(b.entries, e)
		b.slots = append(b.slots, make(chan struct{}, u.slots))
		announce = append(announce, "http://"+e.local.address())
	}
	var err error
	if b.backends, err = startServers(u, announce, seed); err != nil {
		b.stop()
		return nil, errors.Wrap(err, "start baseline")
	}
	return b, nil
}

func (b *baseline) name() string { return "baseline" }

func (b *baseline) caller(vm int) string { return b.entries[vm].open.address() }

func (b *baseline) keyOf(team string) string { return team }

func (b *baseline) servers() *servers { return b.backends }

// setDomain is in force at every entry at once, as after a deployment of new configuration.
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

// stopControl does nothing: the baseline has no control.
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

// responseTimeout returns how long an entry waits for a service's answer.
func (b *baseline) responseTimeout(service string) time.Duration {
	return b.user.doc.Services[service].ResponseTimeout.Std()
}

// routeOf returns the service and the deadline of a path.
func (b *baseline) routeOf(r *http.Request) (service string, deadline time.Duration, ok bool) {
	for _, rule := range b.user.doc.Routes {
		if len(r.URL.Path) >= len(rule.Path) && r.URL.Path[:len(rule.Path)] == rule.Path {
			return rule.Service, rule.Deadline.Std(), true
		}
	}
	return "", 0, false
}
