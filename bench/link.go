package main

import (
	"context"
	"io"
	"net"
	"sync"
	"time"
)

const (
	// linkQueue bounds the chunks under way in one direction of a connection.
	linkQueue = 256
	// chunkBytes is the size of the reads of a delayed connection.
	chunkBytes = 16 << 10
)

// dialer opens connections with a one-way delay that depends on the destination.
type dialer struct {
	delay func(address string) time.Duration
}

// DialContext opens a connection. Opening it takes a round trip.
func (d dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	delay := d.delay(address)
	if delay == 0 {
		return conn, nil
	}
	select {
	case <-time.After(2 * delay):
	case <-ctx.Done():
		conn.Close()
		return nil, ctx.Err()
	}
	return newDelayedConn(conn, delay), nil
}

// chunk is data that arrives at a moment.
type chunk struct {
	data []byte
	due  time.Time
	err  error
}

// delayedConn delays the data of both directions and keeps its order. It has no read deadlines.
type delayedConn struct {
	net.Conn
	delay  time.Duration
	out    chan chunk
	in     *io.PipeReader
	closed chan struct{}
	once   sync.Once
}

func newDelayedConn(conn net.Conn, delay time.Duration) *delayedConn {
	reader, writer := io.Pipe()
	c := &delayedConn{
		Conn: conn, delay: delay, out: make(chan chunk, linkQueue), in: reader, closed: make(chan struct{}),
	}
	arriving := make(chan chunk, linkQueue)
	go c.receive(arriving)
	go c.deliver(arriving, writer)
	go c.send()
	return c
}

// Read returns data whose delay is over.
func (c *delayedConn) Read(p []byte) (int, error) { return c.in.Read(p) }

// Write accepts data that reaches the other side after the delay.
func (c *delayedConn) Write(p []byte) (int, error) {
	sent := chunk{data: append([]byte(nil), p...), due: time.Now().Add(c.delay)}
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	case c.out <- sent:
		return len(p), nil
	}
}

// Close ends both directions; data under way is lost, as after a reset.
func (c *delayedConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	c.in.CloseWithError(net.ErrClosed)
	return c.Conn.Close()
}

// SetDeadline bounds writing only. No process of a scenario accepts a connection without answering, so the handshake of
// rpc.Client needs no read deadline; the other clients bound their waits by contexts.
func (c *delayedConn) SetDeadline(t time.Time) error { return c.Conn.SetWriteDeadline(t) }

// SetReadDeadline does nothing.
func (c *delayedConn) SetReadDeadline(time.Time) error { return nil }

func (c *delayedConn) send() {
	for {
		select {
		case sent := <-c.out:
			time.Sleep(time.Until(sent.due))
			if _, err := c.Conn.Write(sent.data); err != nil {
				c.Close()
				return
			}
		case <-c.closed:
			return
		}
	}
}

// receive reads from the network and notes when the data arrives.
func (c *delayedConn) receive(arriving chan<- chunk) {
	defer close(arriving)
	for {
		buffer := make([]byte, chunkBytes)
		n, err := c.Conn.Read(buffer)
		select {
		case arriving <- chunk{data: buffer[:n], due: time.Now().Add(c.delay), err: err}:
		case <-c.closed:
			return
		}
		if err != nil {
			return
		}
	}
}

// deliver hands data to Read at its time.
func (c *delayedConn) deliver(arriving <-chan chunk, to *io.PipeWriter) {
	for got := range arriving {
		time.Sleep(time.Until(got.due))
		if len(got.data) > 0 {
			if _, err := to.Write(got.data); err != nil {
				return
			}
		}
		if got.err != nil {
			to.CloseWithError(got.err)
			return
		}
	}
}
