package pipeline

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	// maxUnreadBytes is the part of what a client sends that is read ahead of net/http.
	maxUnreadBytes = 64 << 10
	// maxSeenAhead is the number of requests from which nothing more is read until net/http has served some.
	maxSeenAhead = 4 * maxEarly
	// readBytes is the size of one read.
	readBytes = 4 << 10
)

// conn is a client's connection. It is read by net/http directly, without a buffer and a goroutine of its own, until the client
// sends something behind a request that has not ended, or a request has a body. It is then read ahead until it is idle.
type conn struct {
	net.Conn
	pipeline *Pipeline
	// gone ends when the client has closed the connection or it was closed here.
	gone context.Context
	end  context.CancelFunc

	mu       sync.Mutex // guards the fields below
	changed  *sync.Cond // unread, readErr, deadline or closed has changed
	unread   []byte     // received bytes that net/http has not read
	readErr  error      // after unread
	deadline time.Time  // for Read
	expiry   *time.Timer
	closed   bool
	ahead    bool // the connection is read ahead
	serving  bool // net/http serves a request
	splitter splitter
	held     account // for what was read ahead
	// requests are those that net/http has not finished, the oldest first.
	requests []*request
}

// request is one request on the connection. early is nil unless it was started early.
type request struct {
	*http.Request
	early *recorder
	// ambiguous is true for a request with two ways to tell the length of its body.
	ambiguous bool
}

func newConn(inner net.Conn, p *Pipeline) *conn {
	c := &conn{Conn: inner, pipeline: p, held: account{budget: p.budget}}
	c.gone, c.end = context.WithCancel(context.Background())
	c.changed = sync.NewCond(&c.mu)
	return c
}

// startAhead begins to read ahead. The caller holds mu, and no other Read of the client's connection is running.
func (c *conn) startAhead() {
	c.ahead = true
	c.count()
	// readAhead must not end at the deadline, which readReceived observes from now on.
	_ = c.Conn.SetReadDeadline(time.Time{})
	c.setExpiry()
	go c.readAhead()
}

// idle reports whether nothing is known of a further request. The caller holds mu.
func (c *conn) idle() bool {
	return !c.serving && len(c.requests) == 0 && len(c.unread) == 0 && len(c.splitter.head) == 0
}

// stopAhead asks readAhead to end if the connection is idle. The caller holds mu.
func (c *conn) stopAhead() {
	if c.ahead && !c.closed && c.readErr == nil && c.idle() {
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // wakes readAhead
	}
}

// stopped reports whether readAhead, whose read was ended by stopAhead, must end. It need not if a request has arrived since.
func (c *conn) stopped() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idle() {
		_ = c.Conn.SetReadDeadline(time.Time{})
		return false
	}
	c.ahead = false
	c.count()
	if c.expiry != nil {
		c.expiry.Stop()
	}
	_ = c.Conn.SetReadDeadline(c.deadline)
	c.changed.Broadcast()
	return true
}

// readAhead reads from the client until the connection ends or is idle.
func (c *conn) readAhead() {
	buffer := make([]byte, readBytes)
	for c.waitForRoom() {
		n, err := c.Conn.Read(buffer)
		if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
			if c.stopped() {
				return
			}
			continue
		}
		c.received(buffer[:n], err)
		if err != nil {
			c.end()
			return
		}
	}
}

// count accounts for the buffer of readAhead and what it has read. The caller holds mu.
func (c *conn) count() {
	n := len(c.unread) + len(c.splitter.head)
	if c.ahead {
		n += readBytes
	}
	if c.closed {
		n = 0
	}
	c.held.set(int64(n))
}

// waitForRoom waits until net/http has read enough. It returns false when the connection was closed.
func (c *conn) waitForRoom() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for (len(c.unread) >= maxUnreadBytes || len(c.requests) >= maxSeenAhead) && !c.closed {
		c.changed.Wait()
	}
	return !c.closed
}

func (c *conn) received(data []byte, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unread = append(c.unread, data...)
	c.readErr = err
	c.find(data)
	c.count()
	c.changed.Broadcast()
}

// find looks for requests in received bytes and starts those that may start. The caller holds mu.
func (c *conn) find(data []byte) {
	for _, r := range c.splitter.feed(data) {
		c.requests = append(c.requests, &request{Request: r.Request, ambiguous: r.ambiguous})
	}
	c.startEarly()
}

// startEarly starts the requests that may run beside the oldest one. The caller holds mu.
func (c *conn) startEarly() {
	for i, r := range c.requests {
		switch {
		case c.closed || i > maxEarly || r.ambiguous || !startable(r.Request) || !c.pipeline.mayStart(r.Request):
			return
		case i == 0 || r.early != nil:
			continue
		}
		held := account{budget: c.pipeline.budget}
		if !held.reserve(earlyBytes) {
			return // a later call starts it, or it is served when it is its turn
		}
		ctx, cancel := context.WithCancel(c.gone)
		r.early = newRecorder(cancel)
		r.early.held = held
		context.AfterFunc(ctx, r.early.abandon)
		earlyRequests.Inc()
		early := r.Request.WithContext(ctx)
		early.RemoteAddr = c.RemoteAddr().String()
		go c.pipeline.runEarly(early, r.early)
	}
}

// begin returns the request that net/http begins to serve; nil if it was not seen ahead.
func (c *conn) begin(r *http.Request) *request {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving = true
	if r.Body != http.NoBody && !c.ahead && !c.closed {
		// net/http does not notice that the client has left before the body was read.
		c.startAhead()
	}
	if len(c.requests) == 0 {
		return nil
	}
	oldest := c.requests[0]
	if oldest.Method != r.Method || oldest.RequestURI != r.RequestURI || oldest.Host != r.Host {
		// net/http has read the bytes differently. Nothing that was started early can be trusted to belong here.
		c.splitter.opaque = true
		c.abandonAll()
		return nil
	}
	return oldest
}

// finish ends the request that begin returned, which may be nil. The caller holds no lock.
func (c *conn) finish(r *request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving = false
	defer c.stopAhead()
	if r == nil {
		return
	}
	if r.early != nil {
		r.early.cancel()
	}
	if len(c.requests) > 0 && c.requests[0] == r {
		c.requests = c.requests[1:]
	}
	c.startEarly()
	c.changed.Broadcast()
}

// abandonAll drops all requests that were seen ahead. The caller holds mu.
func (c *conn) abandonAll() {
	for _, r := range c.requests {
		if r.early != nil {
			go r.early.abandon()
		}
	}
	c.requests = nil
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if n, ok, err := c.readReceived(p); ok {
		return n, err
	}
	return c.readDirectly(p)
}

// readDirectly reads from the client. net/http does so also while it serves a request, to notice that the client has left.
func (c *conn) readDirectly(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.find(p[:n])
	c.count()
	switch {
	case err != nil && !errors.Is(err, os.ErrDeadlineExceeded):
		c.end()
	case err == nil && !c.closed && c.pipelines():
		c.startAhead()
	}
	return n, err
}

// pipelines reports whether the client has sent something behind a request that has not ended. Where requests are no longer
// found, it counts what the client sends while one is served. The caller holds mu.
func (c *conn) pipelines() bool {
	if c.splitter.opaque {
		return c.serving
	}
	return len(c.requests) > 1 || len(c.requests) == 1 && len(c.splitter.head) > 0
}

// readReceived returns bytes that were read ahead. ok is false if the connection is not read ahead, or no longer.
func (c *conn) readReceived(p []byte) (n int, ok bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.ahead && len(c.unread) == 0 && c.readErr == nil && !c.closed && !c.expired() {
		c.changed.Wait()
	}
	switch {
	case !c.ahead:
		return 0, false, nil
	case c.closed:
		return 0, true, net.ErrClosed
	case c.expired():
		return 0, true, os.ErrDeadlineExceeded
	case len(c.unread) == 0:
		return 0, true, c.readErr
	}
	n = copy(p, c.unread)
	c.unread = c.unread[n:]
	if len(c.unread) == 0 {
		c.unread = nil
	}
	c.count()
	c.changed.Broadcast()
	return n, true, nil
}

// expired reports whether the deadline for Read has passed. The caller holds mu.
func (c *conn) expired() bool { return !c.deadline.IsZero() && !time.Now().Before(c.deadline) }

// SetReadDeadline implements net.Conn. Where the connection is read ahead it is kept here, because readAhead must not end at
// it.
func (c *conn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = deadline
	if !c.ahead {
		return c.Conn.SetReadDeadline(deadline)
	}
	c.setExpiry()
	c.changed.Broadcast()
	return nil
}

// setExpiry makes readReceived check the deadline when it has passed. The caller holds mu.
func (c *conn) setExpiry() {
	if c.expiry != nil {
		c.expiry.Stop()
	}
	if wait := time.Until(c.deadline); !c.deadline.IsZero() && wait > 0 {
		c.expiry = time.AfterFunc(wait, c.wake)
	}
}

func (c *conn) wake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.changed.Broadcast()
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(deadline time.Time) error {
	_ = c.SetReadDeadline(deadline)
	return c.SetWriteDeadline(deadline)
}

// CloseWrite lets net/http end the response before it closes a connection on which bytes are unread.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// NetConn returns the connection below, as the method of tls.Conn does.
func (c *conn) NetConn() net.Conn { return c.Conn }

// Close implements net.Conn. It cancels the requests that were started early.
func (c *conn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.requests, c.unread = nil, nil
	c.count()
	if c.expiry != nil {
		c.expiry.Stop()
	}
	c.changed.Broadcast()
	c.mu.Unlock()
	c.end()
	return c.Conn.Close()
}
