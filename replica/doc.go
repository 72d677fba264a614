// Package replica runs one member of a replicated log: ticks, storage, transport and state machine.
//
// One goroutine owns the raft.Node and the store. It takes everything that has arrived, syncs it at once, and sends.
// A second goroutine applies committed entries, so that a slow state machine does not delay heartbeats.
package replica
