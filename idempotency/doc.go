// Package idempotency keeps at-most-once records for requests with an idempotency key.
//
// Store is the state machine of the record group's replicated log. Attempt is the gate's logic for one submission: it
// claims the key, runs the request at most once and records how it ended. Expirer proposes the expiry of old records.
// All are pure and not safe for concurrent use; the caller locks.
//
// Invariants: at most one claim of a key is ever granted while its record is kept, unless the former one was released
// as not run; a released claim is never granted; a completed record never changes.
package idempotency
