package proxy

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"rosemaryline.dev/rpc"
)

// client sends requests over HTTP/1.1 with keep-alive. Unlike http.Transport, it never repeats a request by itself. It
// reuses a connection only after the previous response was accepted and read to its end, with no bytes left over.
type client struct {
	tls    *tls.Config // nil for plain connections
	dialer dialFunc
	// allowCloseDelimited accepts responses whose end is marked by the end of the connection.
	allowCloseDelimited bool
	connectTimeout      time.Duration
	// maxConns limits the connections in use to one address, maxIdle the idle ones.
	maxConns, maxIdle int

	mu    sync.Mutex // guards hosts and their idle connections
	hosts map[string]*hostPool
}

// dialFunc opens a connection.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// hostPool holds the connections to one address.
type hostPool struct {
	active chan struct{} // semaphore: one element for each connection in use
	idle   []*clientConn // in order of last use, the most recent one last
}

func newClient(maxConns, maxIdle int, connectTimeout time.Duration, tlsConfig *tls.Config) *client {
	if connectTimeout <= 0 {
		connectTimeout = defaultConnectTimeout
	}
	return &client{
		tls:            tlsConfig,
		dialer:         rpc.NewDialer().DialContext,
		connectTimeout: connectTimeout,
		maxConns:       max(maxConns, 1),
		maxIdle:        maxIdle,
		hosts:          map[string]*hostPool{},
	}
}

// do sends the request once. Errors are of type *sendError. check may reject the response, whose connection is then
// closed.
func (c *client) do(out *http.Request, check func(*http.Response) error) (*http.Response, error) {
	return c.exchange(out, exchangeOptions{check: check})
}

// exchange is like do, with options.
func (c *client) exchange(out *http.Request, opts exchangeOptions) (*http.Response, error) {
	ctx := out.Context()
	conn, err := c.acquire(ctx, out.URL.Host)
	if err != nil {
		closeUpload(out)
		return nil, &sendError{err: err}
	}
	x := &exchange{client: c, conn: conn, out: out, opts: opts}
	x.stopContextWatch = context.AfterFunc(ctx, conn.abort)
	resp, err := x.run()
	if err == nil {
		return resp, nil
	}
	x.end(false)
	if ctx.Err() != nil {
		err = ctx.Err()
	}
	if x.firstResponseTimedOut.Load() {
		err = errors.Wrap(errNoFirstResponse, err.Error())
	}
	return nil, &sendError{sent: !opts.requireContinue || x.continued || x.responded, err: err}
}

// acquire returns an idle connection that can be reused, or a new one.
func (c *client) acquire(ctx context.Context, address string) (*clientConn, error) {
	host := c.host(address)
	select {
	case host.active <- struct{}{}:
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "wait for a connection")
	}
	for conn := c.popIdle(host); conn != nil; conn = c.popIdle(host) {
		if conn.usable() {
			return conn, nil
		}
		conn.abort()
	}
	conn, err := c.dial(ctx, address, host)
	if err != nil {
		<-host.active
	}
	return conn, err
}

func (c *client) host(address string) *hostPool {
	c.mu.Lock()
	defer c.mu.Unlock()
	h, ok := c.hosts[address]
	if !ok {
		h = &hostPool{active: make(chan struct{}, c.maxConns)}
		c.hosts[address] = h
	}
	return h
}

func (c *client) popIdle(h *hostPool) *clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(h.idle) == 0 {
		return nil
	}
	conn := h.idle[len(h.idle)-1]
	h.idle = h.idle[:len(h.idle)-1]
	conn.expiry.Stop()
	return conn
}

// release ends the use of a connection. A reusable one becomes idle, unless there are maxIdle idle ones already.
func (c *client) release(conn *clientConn, reusable bool) {
	if !reusable || !c.putIdle(conn) {
		conn.abort()
	}
	<-conn.host.active
}

func (c *client) putIdle(conn *clientConn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(conn.host.idle) >= c.maxIdle {
		return false
	}
	conn.host.idle = append(conn.host.idle, conn)
	conn.checked = false
	if conn.expiry == nil {
		conn.expiry = time.AfterFunc(idleCheckDelay, func() { c.expire(conn) })
	} else {
		conn.expiry.Reset(idleCheckDelay)
	}
	return true
}

// expire closes an idle connection if bytes have arrived on it since its last response, or after idleConnTimeout.
func (c *client) expire(conn *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := slices.Index(conn.host.idle, conn)
	switch {
	case i < 0: // in use again
	case !conn.checked && conn.usable():
		conn.checked = true
		conn.expiry.Reset(idleConnTimeout - idleCheckDelay)
	default:
		conn.host.idle = slices.Delete(conn.host.idle, i, i+1)
		conn.abort()
	}
}

// closeIdle closes the idle connections.
func (c *client) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range c.hosts {
		for _, conn := range h.idle {
			conn.expiry.Stop()
			conn.abort()
		}
		h.idle = nil
	}
}

func (c *client) dial(ctx context.Context, address string, host *hostPool) (*clientConn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.connectTimeout)
	defer cancel()
	conn, err := c.dialer(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if c.tls == nil {
		return newClientConn(conn, conn, host), nil
	}
	secured, err := c.handshake(conn, address)
	if err != nil {
		conn.Close()
		return nil, err
	}
	return newClientConn(secured, conn, host), nil
}

func (c *client) handshake(conn net.Conn, address string) (*tls.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), tlsHandshakeTimeout)
	defer cancel()
	cfg := c.tls.Clone()
	if cfg.ServerName == "" {
		cfg.ServerName = hostOnly(address)
	}
	secured := tls.Client(conn, cfg)
	return secured, errors.Wrap(secured.HandshakeContext(ctx), "TLS handshake")
}
