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

	"rosemaryline.dev/rpc/httpresponse"
)

// Client calls methods of peers. It keeps one connection per peer address and opens it at the first call.
type Client struct {
	tls *tls.Config
	// Dial opens TCP connections where TLS is not used. Set it before the first call. Default: NewDialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Traffic counts the messages sent. Set it before the first call. Default: not counted.
	Traffic *Traffic

	mu    sync.Mutex // guards the fields below and the peers in the map; not held while connecting
	peers map[string]*peer
	// useCount counts the calls of lookup; it orders the peers by their last use.
	useCount uint64
	// closed is true after Close. No connection is opened after that.
	closed bool
}

// ErrClientClosed is the cause of the error of a call after Close.
var ErrClientClosed = errors.New("client is closed")

// peer is the connection to one address, or the attempt to open it. Concurrent calls share both.
type peer struct {
	conn     *jsonrpc2.Conn
	attempt  *dialAttempt
	lastUsed uint64 // value of Client.useCount at the last use
	// consecutiveTimeouts is the number of consecutive calls on conn that timed out.
	consecutiveTimeouts int
}

// dialAttempt is one attempt to open a connection. conn or err is its result.
type dialAttempt struct {
	done chan struct{} // closed when conn or err is set
	conn *jsonrpc2.Conn
	err  error
}

// NewClient returns a Client without connections. A nil tlsConfig means connections without TLS.
func NewClient(tlsConfig *tls.Config) *Client {
	return &Client{tls: tlsConfig, Dial: NewDialer().DialContext, peers: map[string]*peer{}}
}

// Call sends a request to the peer at address and waits for its response. Errors are of type *PeerError; the cause is a
// *RemoteError if the peer responded with an error.
func (c *Client) Call(ctx context.Context, address, method string, params, result any) error {
	conn, err := c.connect(ctx, address)
	if err != nil {
		return &PeerError{Step: "connect", Peer: address, Err: err}
	}
	if err := conn.Call(ctx, method, params, result); err != nil {
		c.dropIfClosed(address, conn)
		if errors.Is(err, context.DeadlineExceeded) {
			c.recordTimeout(address, conn)
		}
		return &PeerError{Step: method, Peer: address, Err: fromWire(err)}
	}
	c.recordSuccess(address, conn)
	return nil
}

// Notify sends a message without waiting for a response. Errors are of type *PeerError.
func (c *Client) Notify(ctx context.Context, address, method string, params any) error {
	conn, err := c.connect(ctx, address)
	if err != nil {
		return &PeerError{Step: "connect", Peer: address, Err: err}
	}
	if err := conn.Notify(ctx, method, params); err != nil {
		c.dropIfClosed(address, conn)
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

// lookup returns the open connection to address. Without one it returns the attempt to open it, and starts that attempt if
// none is running.
func (c *Client) lookup(address string) (*jsonrpc2.Conn, *dialAttempt, error) {
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
	c.useCount++
	p.lastUsed = c.useCount
	if p.conn != nil && connected(p.conn) {
		return p.conn, nil, nil
	}
	p.conn = nil
	if p.attempt == nil {
		p.attempt = &dialAttempt{done: make(chan struct{})}
		go c.open(address, p, p.attempt)
	}
	return nil, p.attempt, nil
}

// open connects to address and publishes the result of the attempt.
func (c *Client) open(address string, p *peer, a *dialAttempt) {
	a.conn, a.err = c.dial(address)
	c.mu.Lock()
	defer c.mu.Unlock()
	p.attempt = nil
	switch {
	case a.err != nil:
	case c.peers[address] == p:
		p.conn, p.consecutiveTimeouts = a.conn, 0
	default:
		// The peer was evicted or the client was closed in the meantime, so nothing else would close the connection.
		a.conn.Close()
		a.conn, a.err = nil, errors.New("peer was evicted or client was closed while connecting")
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

// evict removes the least recently used peers above maxClientPeers and closes their connections. It never removes the
// peer at the address keep. The caller holds mu.
func (c *Client) evict(keep string) {
	for len(c.peers) > maxClientPeers {
		oldest := ""
		for address, p := range c.peers {
			if address != keep && (oldest == "" || p.lastUsed < c.peers[oldest].lastUsed) {
				oldest = address
			}
		}
		if conn := c.peers[oldest].conn; conn != nil {
			conn.Close()
		}
		delete(c.peers, oldest)
	}
}

func (c *Client) dropIfClosed(address string, conn *jsonrpc2.Conn) {
	if !connected(conn) {
		c.drop(address, conn)
	}
}

// maxConsecutiveTimeouts is the number of consecutive timed-out calls after which a connection is closed, so that the next
// call opens a new one. A connection can stop delivering data for good while new connections work.
const maxConsecutiveTimeouts = 2

// recordTimeout counts a call that timed out and closes the connection after maxConsecutiveTimeouts of them.
func (c *Client) recordTimeout(address string, conn *jsonrpc2.Conn) {
	c.mu.Lock()
	p, ok := c.peers[address]
	unresponsive := ok && p.conn == conn
	if unresponsive {
		p.consecutiveTimeouts++
		unresponsive = p.consecutiveTimeouts >= maxConsecutiveTimeouts
	}
	c.mu.Unlock()
	if unresponsive {
		c.drop(address, conn)
	}
}

// recordSuccess resets the count of consecutive timeouts of a connection.
func (c *Client) recordSuccess(address string, conn *jsonrpc2.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p, ok := c.peers[address]; ok && p.conn == conn {
		p.consecutiveTimeouts = 0
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
	stream := newStream(conn, reader, c.Traffic)
	return jsonrpc2.NewConn(context.Background(), stream, rejectCalls{}, jsonrpc2.SetLogger(discardLogger{})), nil
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
	if err := httpresponse.CheckHead(resp); err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusSwitchingProtocols {
		resp.Body.Close()
		return nil, errors.Errorf("upgrade to %s refused: %s, peer offers %q", Protocol, resp.Status, resp.Header.Get("Upgrade"))
	}
	limited.N = math.MaxInt64
	return reader, conn.SetDeadline(time.Time{})
}

// rejectCalls rejects calls that arrive on a connection that this process opened: a peer sends its calls over a connection
// that it opens itself.
type rejectCalls struct{}

func (rejectCalls) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if !req.Notif {
		_ = conn.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "no methods on this side"})
	}
}
