// Package membership keeps track of the fleet's processes by gossip and decides whether a process may admit requests.
//
// The package is pure: time, randomness and packets are arguments, and packets to send are results. It holds no
// clocks, sockets or goroutines. A Node is not safe for concurrent use.
//
// Failure detection is SWIM-style: each period a process pings one peer, asks others to ping it indirectly when no
// answer comes, and then suspects it. A suspicion becomes a death only after a timeout and after others confirmed it.
// An accused process refutes a suspicion with a higher incarnation. The number of packets per process does not depend
// on the size of the fleet.
//
// The right to admit (Node.MayAdmit) is decided from evidence with a known age; see evidence.go.
package membership
