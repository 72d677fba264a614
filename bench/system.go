package main

import (
	"context"
	"time"
)

// system is what the traffic goes to: the fleet or the baseline.
type system interface {
	// name is "fleet" or "baseline".
	name() string
	// caller returns the host and port of the caller listener of the VM with this index.
	caller(vm int) string
	// keyOf returns the key of a team.
	keyOf(team string) string
	// servers returns the backend servers.
	servers() *servers
	// setDomain takes a failure domain out or brings it back.
	setDomain(ctx context.Context, domain string, out bool) error
	// stopControl stops what decides centrally, without notice.
	stopControl()
	// ejections returns what was ejected so far.
	ejections() []ejection
	// stop ends everything.
	stop()
}

// ejection says that a backend server was ejected, by all entries at once or by one of them.
type ejection struct {
	server string
	at     time.Time
	// entry is the index of the entry that ejected, or -1 where the ejection counts for all.
	entry int
}
