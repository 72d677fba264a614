// Package proxy accepts requests and runs them on backend servers. The Entry of a process accepts a request from a
// caller and chooses the VM that runs it. The Gate of a VM is the only way to the backend servers on that VM. The
// package also accepts the announcements by which backend servers register.
//
// Lock order: Gate, then server, then router. No lock is held across I/O.
package proxy
