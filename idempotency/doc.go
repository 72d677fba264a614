// Package idempotency ensures that a request with an idempotency key runs at most once.
//
// Store is the state machine of the record group's replicated log and keeps one record for each key. Attempt is the
// gate's logic for one submission of a request: it claims the key, runs the request at most once and records the
// outcome. Expirer proposes the expiry of old records. All are pure and not safe for concurrent use; the caller locks.
//
// Invariants: while the record of a key is kept, at most one claim of the key is granted, unless the earlier claim was
// released because its request did not run. A released claim is never granted. A completed record never changes.
package idempotency
