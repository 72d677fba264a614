// Package shares divides the capacity of a service that is short of it. A Decider collects the reports of the processes of
// the fleet and decides which share of the new requests of each team and priority the entries admit. An Admitter applies
// the decisions at one entry. All of it is pure code: the caller passes the time and holds the lock. Results are the same for
// the same inputs in the same order.
package shares
