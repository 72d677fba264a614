package proxy

import (
	"context"
	"net"
	"net/http"

	"rosemaryline.dev/proxy/bytebudget"
)

const (
	// connBufferBytes is what net/http holds for each connection that it serves: a reader and a writer of 4 KiB.
	connBufferBytes = 8 << 10
	// http2WindowBytes is the receive window of an HTTP/2 connection, for its streams together: the bytes of bodies that its caller may
	// send before the handlers read them. 256 KiB in a round trip of 50 ms are 5 MB/s, and net/http allows 1 MiB by default.
	http2WindowBytes = 256 << 10
	// http2FrameBytes is the largest frame of a caller, and so the size of the buffer into which net/http reads frames. It is the default
	// of the protocol and its lowest limit.
	http2FrameBytes = 16 << 10
	// http2BodyBytes is what an HTTP/2 connection may hold beside its buffers while its caller sends bodies.
	http2BodyBytes = http2WindowBytes + http2FrameBytes
)

// HTTP2Config returns the settings of HTTP/2 servers that bound what the account counts for a connection.
func HTTP2Config() *http.HTTP2Config {
	return &http.HTTP2Config{
		MaxReceiveBufferPerConnection: http2WindowBytes,
		MaxReceiveBufferPerStream:     http2WindowBytes,
		MaxReadFrameSize:              http2FrameBytes,
	}
}

// ConnState is the ConnState of an http.Server whose connections count.
func (b *ByteBudget) ConnState(_ net.Conn, s http.ConnState) {
	switch s {
	case http.StateNew:
		b.addConn(connBufferBytes)
	case http.StateClosed, http.StateHijacked:
		b.addConn(-connBufferBytes)
	}
}

// addConn adds n bytes, which may be negative, to those of connections.
func (b *ByteBudget) addConn(n int64) {
	b.change(func(account *bytebudget.Budget) bool {
		account.TakeConn(n)
		account.ReleaseConn(-n)
		return true
	})
}

// CountConn returns a context for a connection whose requests are counted together. The limit of one connection applies to requests
// with contexts derived from it.
func (b *ByteBudget) CountConn(ctx context.Context) context.Context {
	return context.WithValue(ctx, connBytesKey{}, &connBytes{budget: b})
}

// connOf returns the connection of a request, or nil where it is not counted.
func connOf(ctx context.Context) *connBytes {
	conn, _ := ctx.Value(connBytesKey{}).(*connBytes)
	return conn
}

// beginBody counts the receive window of an HTTP/2 connection while a request with a body is served on it: net/http takes in what its
// caller sends, whether or not the process has room for it. The result ends the count.
func (c *connBytes) beginBody(r *http.Request) (end func()) {
	if c == nil || r.ProtoMajor != 2 {
		return func() {}
	}
	c.changeBodies(1)
	return func() { c.changeBodies(-1) }
}

func (c *connBytes) changeBodies(n int) {
	c.budget.change(func(account *bytebudget.Budget) bool {
		before := c.bodies
		c.bodies += n
		switch {
		case before == 0:
			account.TakeConn(http2BodyBytes)
		case c.bodies == 0:
			account.ReleaseConn(http2BodyBytes)
		}
		return true
	})
}

// ReserveEarly takes n bytes for work that can also be done later, as for reading ahead: it leaves room for new requests.
func (b *ByteBudget) ReserveEarly(n int64) bool {
	return b.change(func(account *bytebudget.Budget) bool { return account.ReserveReadAhead(n) })
}

// Take takes n bytes also where there is no room.
func (b *ByteBudget) Take(n int64) {
	b.change(func(account *bytebudget.Budget) bool { account.Take(n); return true })
}

// Release returns n bytes of ReserveEarly or Take.
func (b *ByteBudget) Release(n int64) {
	b.change(func(account *bytebudget.Budget) bool { account.Release(n); return true })
}

func (b *ByteBudget) change(f func(*bytebudget.Budget) bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	ok := f(b.account)
	heldBytesGauge.Set(float64(b.account.Held()))
	return ok
}
