// Package routing matches requests to routes and chooses the VM and backend server that run them.
//
// The package is pure: time, randomness and load reports are arguments, and there are no clocks, sockets or
// goroutines. A Table is immutable and may be shared; all other types are not safe for concurrent use.
package routing
