// Package admission decides when a request may use a slot of one backend server.
//
// A Gate is a pure step machine: the caller passes the time on a monotonic clock and carries out the decisions that
// come back. Times are time.Duration since the process started. A Gate is not safe for concurrent use; the caller locks.
//
// Invariants: requests in flight never exceed Config.Slots; no queued request is granted after its deadline; a refused
// request was never granted, so its refusal may be reported as not run.
package admission
