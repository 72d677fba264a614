package main

import (
	"context"
	"io"
	"net"
	"sync"
	"time"
)

const (
	// maxQueuedChunks bounds the chunks in flight in one direction of a connection.
	maxQueuedChunks = 256
	// chunkBytes is the buffer size for one read from the network.
	chunkBytes = 16 << 10
)

// dialer opens connections with a simulated network delay. delay returns the one-way delay to an address.
type dialer struct {
	delay func(address string) time.Duration
}

// DialContext opens a connection after one simulated round trip.
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

// chunk is data, or a read error, that arrives at the time due.
type chunk struct {
	data []byte
	due  time.Time
	err  error
}

// delayedConn delays the data in both directions and keeps its order. It does not support read deadlines.
type delayedConn struct {
	net.Conn
	delay     time.Duration
	out       chan chunk
	in        *io.PipeReader
	closed    chan struct{}
	closeOnce sync.Once
}

func newDelayedConn(conn net.Conn, delay time.Duration) *delayedConn {
	reader, writer := io.Pipe()
	c := &delayedConn{
		Conn: conn, delay: delay, out: make(chan chunk, maxQueuedChunks), in: reader, closed: make(chan struct{}),
	}
	arriving := make(chan chunk, maxQueuedChunks)
	go c.receive(arriving)
	go c.deliver(arriving, writer)
	go c.send()
	return c
}

// Read returns data after its delay.
func (c *delayedConn) Read(p []byte) (int, error) { return c.in.Read(p) }

// Write queues data, which is sent after the delay.
func (c *delayedConn) Write(p []byte) (int, error) {
	sent := chunk{data: append([]byte(nil), p...), due: time.Now().Add(c.delay)}
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	case c.out <- sent:
		return len(p), nil
	}
}

// Close closes both directions. Data in flight is lost, as after a connection reset.
func (c *delayedConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	c.in.CloseWithError(net.ErrClosed)
	return c.Conn.Close()
}

// SetDeadline sets only the write deadline. rpc.Client sets a deadline for its handshake, but needs no read deadline here,
// because every process of a scenario that accepts a connection also responds. All other clients use contexts.
func (c *delayedConn) SetDeadline(t time.Time) error { return c.Conn.SetWriteDeadline(t) }

// SetReadDeadline does nothing, for the reason given at SetDeadline.
func (c *delayedConn) SetReadDeadline(time.Time) error { return nil }

// send writes queued data to the network when it is due.
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

// receive reads from the network and sets the time at which Read may return the data.
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

// deliver passes received data to Read when it is due.
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
