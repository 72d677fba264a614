// Package replica runs one member of a Raft group. It drives a raft.Node with ticks, storage, transport and a state
// machine.
//
// One goroutine owns the raft.Node and the store. It processes queued messages, proposals and reads in batches, makes each
// batch durable with one sync and then sends the resulting messages. A second goroutine applies committed entries, so that
// a slow state machine does not delay heartbeats.
package replica
