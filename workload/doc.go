// Package workload estimates the work of requests: the time that requests of a route hold a slot (Costs), the speed of
// a backend server relative to that (Speed), and the work that is left at a gate (Backlog). All of it is pure code: the
// caller passes the time and holds the lock.
package workload
