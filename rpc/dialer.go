package rpc

import (
	"cmp"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// keepAliveIdle, keepAliveInterval and keepAliveProbes find a dead path on a connection that waits, within 5 s. The
	// times are above a few retransmissions, so that lost packets alone do not end a connection.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 3
	// userTimeout bounds the time for which sent bytes stay unacknowledged.
	userTimeout = 2500 * time.Millisecond
	// connectTimeout bounds opening a connection. It covers several round trips between regions; where the first packet is
	// lost, a new attempt comes sooner than TCP's second one after a second.
	connectTimeout = 400 * time.Millisecond
)

// NewDialer returns a dialer whose connections do not stay silent for long: a path that was cut shows neither a reset nor
// an end.
func NewDialer() *net.Dialer {
	return &net.Dialer{
		Timeout: connectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveProbes,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failed error
			err := raw.Control(func(fd uintptr) {
				failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
			})
			return cmp.Or(err, failed)
		},
	}
}
