// Package admission implements admission control for one backend server: it decides which requests get one of the
// server's slots, which wait in a queue and which are refused.
//
// A Gate does no I/O, starts no goroutines and reads no clock. The caller passes the current time to each method and
// carries out the decisions that the method returns. All points in time are a time.Duration on a monotonic clock,
// measured from the start of the process. A Gate is not safe for concurrent use; the caller must hold a lock.
//
// Invariants: no request starts while Config.Slots or more are in flight; no queued request starts after its deadline;
// a refused request never started, so the caller may report that it did not run.
package admission
