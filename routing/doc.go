// Package routing matches requests to routes, chooses the VM and the backend server for each attempt, and decides on
// retries.
//
// The entry is the process that receives a request from the caller; the gate is the process on the VM of a backend
// server that admits the request and sends it to the server. The entry chooses a VM, the gate a backend server on its
// VM.
//
// The package does no I/O, starts no goroutines and reads no clock: time, random numbers and load reports are
// arguments. Points in time are a time.Duration on a monotonic clock, measured from the start of the process. A Table
// is immutable and safe for concurrent use; no other type is.
package routing
