// Package membership tracks the processes of the fleet by gossip and decides whether a process may admit requests.
//
// The package is pure: it takes the time, randomness and received packets as arguments and returns the packets to send.
// It has no clocks, sockets or goroutines. A Node is not safe for concurrent use.
//
// Failure detection follows SWIM. In each period a process pings one peer, asks other processes to ping it indirectly
// when no reply arrives, and suspects it when those pings fail too. A suspect is declared dead only after a timeout
// and after other processes confirmed the suspicion. A suspected process refutes the suspicion with a higher
// incarnation. The number of packets per process does not depend on the size of the fleet.
//
// Node.MayAdmit reports whether the process has permission to admit requests. It relies only on evidence whose age has
// a known upper bound; see evidence.go.
package membership
