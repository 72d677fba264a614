// Package proxy serves callers. Its entry accepts a request and chooses a VM; its gate is the only way to the backend
// servers on a VM. It also accepts the announcements of backend servers.
//
// Lock order: registry, then one backend server, then the quota holder. No lock is held across I/O.
package proxy
