package main

import (
	"context"
	"time"
)

// system is a system that gets the traffic: the fleet or the baseline.
type system interface {
	// name returns "fleet" or "baseline".
	name() string
	// callerAddress returns the host and port of the caller listener of the VM with this index.
	callerAddress(vm int) string
	// keyOf returns the key with which a team authenticates.
	keyOf(team string) string
	// servers returns the backend servers.
	servers() *servers
	// setDomain takes a failure domain out, or back into service.
	setDomain(ctx context.Context, domain string, out bool) error
	// stopControl kills the central control, if the system has one.
	stopControl()
	// ejections returns the ejections so far.
	ejections() []ejection
	// stop stops the system and its backend servers.
	stop()
}

// ejection is the ejection of a backend server, for all entries or by one of them.
type ejection struct {
	server string
	at     time.Time
	// entry is the index of the entry that ejected the backend server, or -1 if the ejection is in force at all entries.
	entry int
}
