package rpc

import (
	"bufio"
	"context"
	"crypto/tls"
	"io"
	"math"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// Client keeps one connection a peer and opens it when it is needed.
type Client struct {
	tls *tls.Config
	// Dial opens plain connections. It is set before the first call. Default: a net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	mu    sync.Mutex // guards the fields below and all peers; never held while connecting
	peers map[string]*peer
	tick  uint64
	// closed is true after Close; no connection is opened then.
	closed bool
}

// ErrClientClosed reports a call after Close.
var ErrClientClosed = errors.New("client is closed")

// peer is the connection to one address, or the attempt to open it that concurrent calls share.
type peer struct {
	conn    *jsonrpc2.Conn
	attempt *attempt
	used    uint64
	// late counts the calls in a row that timed out on conn.
	late int
}

type attempt struct {
	done chan struct{} // closed when conn or err is set
	conn *jsonrpc2.Conn
	err  error
}

// NewClient returns a Client. tlsConfig is nil for plain connections.
func NewClient(tlsConfig *tls.Config) *Client {
	return &Client{tls: tlsConfig, Dial: NewDialer().DialContext, peers: map[string]*peer{}}
}

// Call sends a request to the peer at address and waits for its result. Errors are of type *PeerError; the cause is a
// *RemoteError where the peer answered with an error.
func (c *Client) Call(ctx context.Context, address, method string, params, result any) error {
	conn, err := c.connect(ctx, address)
	if err != nil {
		return &PeerError{Step: "connect", Peer: address, Err: err}
	}
	if err := conn.Call(ctx, method, params, result); err != nil {
		c.dropClosed(address, conn)
		if errors.Is(err, context.DeadlineExceeded) {
			c.suspect(address, conn)
		}
		return &PeerError{Step: method, Peer: address, Err: fromWire(err)}
	}
	c.answered(address, conn)
	return nil
}

// Notify sends a message without an answer.
func (c *Client) Notify(ctx context.Context, address, method string, params any) error {
	conn, err := c.connect(ctx, address)
	if err != nil {
		return &PeerError{Step: "connect", Peer: address, Err: err}
	}
	if err := conn.Notify(ctx, method, params); err != nil {
		c.dropClosed(address, conn)
		return &PeerError{Step: method, Peer: address, Err: err}
	}
	return nil
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for address, p := range c.peers {
		if p.conn != nil {
			p.conn.Close()
		}
		delete(c.peers, address)
	}
}

func (c *Client) connect(ctx context.Context, address string) (*jsonrpc2.Conn, error) {
	conn, pending, err := c.lookup(address)
	if conn != nil || err != nil {
		return conn, err
	}
	select {
	case <-pending.done:
		return pending.conn, pending.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// lookup returns the open connection, or the attempt to open one, which it starts where none runs.
func (c *Client) lookup(address string) (*jsonrpc2.Conn, *attempt, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, nil, ErrClientClosed
	}
	p, ok := c.peers[address]
	if !ok {
		p = &peer{}
		c.peers[address] = p
		c.evict(address)
	}
	c.tick++
	p.used = c.tick
	if p.conn != nil && connected(p.conn) {
		return p.conn, nil, nil
	}
	p.conn = nil
	if p.attempt == nil {
		p.attempt = &attempt{done: make(chan struct{})}
		go c.open(address, p, p.attempt)
	}
	return nil, p.attempt, nil
}

// open runs one attempt to connect.
func (c *Client) open(address string, p *peer, a *attempt) {
	a.conn, a.err = c.dial(address)
	c.mu.Lock()
	defer c.mu.Unlock()
	p.attempt = nil
	switch {
	case a.err != nil:
	case c.peers[address] == p:
		p.conn, p.late = a.conn, 0
	default:
		// The peer was evicted or the client closed meanwhile, so nothing would close the connection later.
		a.conn.Close()
		a.conn, a.err = nil, errors.New("connection was given up while it was opened")
	}
	close(a.done)
}

func connected(conn *jsonrpc2.Conn) bool {
	select {
	case <-conn.DisconnectNotify():
		return false
	default:
		return true
	}
}

// evict closes the least recently used connections above maxIdlePeers, except the one to keep.
func (c *Client) evict(keep string) {
	for len(c.peers) > maxIdlePeers {
		oldest := ""
		for address, p := range c.peers {
			if address != keep && (oldest == "" || p.used < c.peers[oldest].used) {
				oldest = address
			}
		}
		if conn := c.peers[oldest].conn; conn != nil {
			conn.Close()
		}
		delete(c.peers, oldest)
	}
}

func (c *Client) dropClosed(address string, conn *jsonrpc2.Conn) {
	if !connected(conn) {
		c.drop(address, conn)
	}
}

// maxLateCalls is the number of calls in a row that may time out on a connection before it is opened anew. A connection can
// go silent for good while new ones work.
const maxLateCalls = 2

// suspect counts a call that timed out, and closes a connection on which several did in a row.
func (c *Client) suspect(address string, conn *jsonrpc2.Conn) {
	c.mu.Lock()
	p, ok := c.peers[address]
	late := ok && p.conn == conn
	if late {
		p.late++
		late = p.late >= maxLateCalls
	}
	c.mu.Unlock()
	if late {
		c.drop(address, conn)
	}
}

// answered notes that a connection works.
func (c *Client) answered(address string, conn *jsonrpc2.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p, ok := c.peers[address]; ok && p.conn == conn {
		p.late = 0
	}
}

func (c *Client) drop(address string, conn *jsonrpc2.Conn) {
	conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	if p, ok := c.peers[address]; ok && p.conn == conn {
		p.conn = nil
	}
}

func (c *Client) dial(address string) (*jsonrpc2.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	conn, err := c.dialConn(ctx, address)
	if err != nil {
		return nil, err
	}
	reader, err := upgrade(conn, address)
	if err != nil {
		conn.Close()
		return nil, err
	}
	stream := newStream(conn, reader)
	return jsonrpc2.NewConn(context.Background(), stream, refuseCalls{}, jsonrpc2.SetLogger(discardLogger{})), nil
}

func (c *Client) dialConn(ctx context.Context, address string) (net.Conn, error) {
	if c.tls == nil {
		return c.Dial(ctx, "tcp", address)
	}
	dialer := &tls.Dialer{Config: c.tls}
	return dialer.DialContext(ctx, "tcp", address)
}

func upgrade(conn net.Conn, address string) (*bufio.Reader, error) {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return nil, err
	}
	req, err := http.NewRequest(http.MethodGet, "http://"+address+Path, nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Connection", "Upgrade")
	req.Header.Set("Upgrade", Protocol)
	if err := req.Write(conn); err != nil {
		return nil, err
	}
	limited := &io.LimitedReader{R: conn, N: maxHandshakeBytes}
	reader := bufio.NewReader(limited)
	resp, err := http.ReadResponse(reader, req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusSwitchingProtocols {
		resp.Body.Close()
		return nil, errors.Errorf("upgrade to %s refused: %s, peer offers %q", Protocol, resp.Status, resp.Header.Get("Upgrade"))
	}
	limited.N = math.MaxInt64
	return reader, conn.SetDeadline(time.Time{})
}

// refuseCalls answers calls on a connection that this process opened: peers call back on their own connection.
type refuseCalls struct{}

func (refuseCalls) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if !req.Notif {
		_ = conn.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "no methods on this side"})
	}
}
