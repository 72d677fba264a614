// Package idempotency keeps at-most-once records for requests with an idempotency key.
package idempotency
