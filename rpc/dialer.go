package rpc

import (
	"cmp"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// keepAliveIdle, keepAliveInterval and keepAliveProbes detect a broken network path on an idle connection within 5 s.
	// The times cover several retransmissions, so that a few lost packets do not close a connection.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 3
	// userTimeout is the longest time for which sent data may stay unacknowledged (TCP_USER_TIMEOUT).
	userTimeout = 2500 * time.Millisecond
	// connectTimeout bounds the TCP handshake. It covers several round trips between regions. If the first packet is lost, a
	// new attempt of the caller comes sooner than TCP's own retransmission after 1 s.
	connectTimeout = 400 * time.Millisecond
)

// NewDialer returns a dialer whose connections fail within 5 s when the network path breaks. Without keep-alive and the
// user timeout such a connection would stay open, because neither a reset nor a close arrives.
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
			var sockoptErr error
			err := raw.Control(func(fd uintptr) {
				sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
			})
			return cmp.Or(err, sockoptErr)
		},
	}
}
