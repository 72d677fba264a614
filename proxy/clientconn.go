package proxy

import (
	"bufio"
	"io"
	"math"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// clientConn is a connection of a client. Only one exchange uses it at a time.
type clientConn struct {
	net.Conn
	socket  net.Conn // the connection below TLS
	host    *hostPool
	limited *io.LimitedReader
	reader  *bufio.Reader
	writer  *bufio.Writer
	expiry  *time.Timer // checks the idle connection and closes it after idleConnTimeout; nil before its first use
	checked bool        // the idle connection was checked after idleCheckDelay
}

func newClientConn(conn, socket net.Conn, host *hostPool) *clientConn {
	limited := &io.LimitedReader{R: conn, N: math.MaxInt64}
	return &clientConn{
		Conn:    conn,
		socket:  socket,
		host:    host,
		limited: limited,
		reader:  bufio.NewReader(limited),
		writer:  bufio.NewWriter(conn),
	}
}

// abort closes the connection at once, without a TLS alert, which could block.
func (c *clientConn) abort() { c.socket.Close() }

// usable reports whether an idle connection is open and has received nothing. Bytes that arrive while no request is
// running do not belong to any request of this process.
func (c *clientConn) usable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	socket, ok := c.socket.(syscall.Conn)
	if !ok {
		return true // cannot be inspected: a connection from a custom dial function
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	var peekErr error
	err = raw.Read(func(fd uintptr) bool {
		var next [1]byte
		_, _, peekErr = syscall.Recvfrom(int(fd), next[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	return err == nil && peekErr == syscall.EAGAIN
}

// hungUp reports whether the connection is closed in both directions, as after a reset. After the regular end of the server's side alone
// it is not. It returns false for a connection that cannot be inspected.
func (c *clientConn) hungUp() bool {
	socket, ok := c.socket.(syscall.Conn)
	if !ok {
		return false // a connection from a custom dial function
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return true
	}
	state := []unix.PollFd{{}}
	pollErr := error(unix.EINTR) // a signal interrupts the call although it does not wait
	err = raw.Control(func(fd uintptr) {
		state[0].Fd = int32(fd)
		for pollErr == unix.EINTR {
			_, pollErr = unix.Poll(state, 0)
		}
	})
	return err != nil || pollErr != nil || state[0].Revents&unix.POLLHUP != 0
}
