// Package replica runs one member of a replicated log: ticks, storage, transport and state machine.
package replica
