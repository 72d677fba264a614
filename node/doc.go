// Package node assembles one process of the fleet. Its drivers supply the pure decision packages (membership, quota,
// outlier, idempotency, raft) with time, network and goroutines, and connect them with the entry, the gate and the
// control role.
//
// Lock order: gossip, then ejections, then limiter. A driver that holds its lock calls another driver only in this
// order, and no lock is held across I/O.
package node
