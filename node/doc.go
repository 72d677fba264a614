// Package node assembles one process of the fleet: it drives the pure decision modules with clocks, sockets and
// goroutines, and connects them with the entry, the gate and the control role.
//
// Lock order: gossip, then ejections, then limiter; none of them is held while another driver is called unless in this
// order, and none is held across I/O.
package node
