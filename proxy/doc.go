// Package proxy serves callers: entry, gate and announcements of backend servers.
package proxy
