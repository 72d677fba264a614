package node

import (
	"context"
	"net"
	"syscall"

	"github.com/pkg/errors"

	"rosemaryline.dev/rpc"
)

// Methods under which rpc.Traffic counts the bytes of forwarded requests and, at the receiver, of their responses. Unlike those
// of calls, they count no messages.
const (
	trafficForward  = "forward"
	trafficResponse = "forward.response"
)

// countForwarded returns a dial function whose connections count their bytes as forwarded requests and responses.
func countForwarded(traffic *rpc.Traffic, dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn, traffic: traffic, peer: address}, nil
	}
}

type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// countedConn counts the bytes of a connection to the gate of a peer.
type countedConn struct {
	net.Conn
	traffic *rpc.Traffic
	peer    string
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.AddBytes(trafficResponse, c.peer, n)
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.AddBytes(trafficForward, c.peer, n)
	return n, err
}

// SyscallConn implements syscall.Conn, with which a client checks an idle connection.
func (c *countedConn) SyscallConn() (syscall.RawConn, error) {
	if conn, ok := c.Conn.(syscall.Conn); ok {
		return conn.SyscallConn()
	}
	return nil, errors.New("the connection has no socket")
}
