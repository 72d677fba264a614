package proxy

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"rosemaryline.dev/rpc/httpresponse"
)

const (
	// defaultConnectTimeout limits the time to open a connection to a backend server or peer.
	defaultConnectTimeout = 250 * time.Millisecond
	// tlsHandshakeTimeout limits the TLS handshake on a connection to a peer.
	tlsHandshakeTimeout = 2 * time.Second
	// idleConnTimeout is shorter than common idle timeouts of servers. This avoids sending a request on a connection
	// that the server is closing.
	idleConnTimeout = 20 * time.Second
	// idleCheckDelay is the time after which an idle connection is checked once for bytes that no request asked for. A
	// server that keeps sending would otherwise fill the buffers of the connection until idleConnTimeout.
	idleCheckDelay = time.Second
	// maxResponseHeaderBytes limits the size of the headers of a response.
	maxResponseHeaderBytes = 64 << 10
	// bodyIdleTimeout limits the wait for the next byte of a response body.
	bodyIdleTimeout = 30 * time.Second
)

// sendError is the error of a failed request. It records whether the request may have reached the server.
type sendError struct {
	// sent is false if the server cannot have received a complete request.
	sent bool
	// local is true if the request itself caused the error, so that the server is not to blame.
	local bool
	err   error
}

func (e *sendError) Error() string { return e.err.Error() }

func (e *sendError) Unwrap() error { return e.err }

// errWrongResponse reports a response with the ID of another request.
var errWrongResponse = errors.New("response belongs to another request")

// checkFraming rejects responses whose end is not marked by a length or by chunked encoding. With allowCloseDelimited,
// the end of the connection may mark the end as well; exchange.checkClose then tells it from a failure of the connection.
func checkFraming(resp *http.Response, allowCloseDelimited bool) error {
	switch {
	case resp.StatusCode < http.StatusOK:
		return errors.Errorf("status %d is not a final response", resp.StatusCode)
	case resp.ContentLength >= 0, resp.Request.Method == http.MethodHead:
		return nil
	case len(resp.TransferEncoding) > 0 && resp.TransferEncoding[0] == "chunked":
		return nil
	case allowCloseDelimited && httpresponse.IsCloseDelimited(resp):
		return nil
	default:
		return errors.New("response has no length, so a truncated body could not be detected")
	}
}

// attachBody sets the body of an outgoing request. cancel is called if the sender of the body stalls.
func attachBody(ctx context.Context, cancel func(), out *http.Request, req *Request) error {
	if req.Body.Length() == 0 {
		return nil
	}
	reader, err := req.Body.Open(ctx, cancel)
	if err != nil {
		return err
	}
	out.Body = reader
	out.ContentLength = req.Body.Length()
	if out.ContentLength < 0 {
		// Without this, net/http waits for the first byte of some methods' bodies before it sends the headers.
		out.TransferEncoding = []string{"chunked"}
	}
	return nil
}

// responseBody is a streamed response body. Closing it cancels the request and calls release once.
type responseBody struct {
	inner   io.ReadCloser
	idle    *time.Timer
	end     *time.Timer // nil without a deadline
	cancel  context.CancelFunc
	once    sync.Once
	release func(whole bool)

	mu             sync.Mutex // guards the fields below
	failed, closed bool
}

// newResponseBody returns a body that breaks off when the next byte does not arrive within bodyIdleTimeout, or at the
// deadline unless that is zero.
func newResponseBody(inner io.ReadCloser, deadline time.Time, cancel context.CancelFunc, release func(whole bool)) *responseBody {
	b := &responseBody{
		inner:   inner,
		idle:    time.AfterFunc(bodyIdleTimeout, cancel),
		cancel:  cancel,
		release: release,
	}
	if !deadline.IsZero() {
		b.end = time.AfterFunc(time.Until(deadline), cancel)
	}
	return b
}

func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.inner.Read(p)
	if err == nil {
		b.idle.Reset(bodyIdleTimeout)
		return n, nil
	}
	b.mu.Lock()
	// A read that Close interrupts says nothing about the server.
	b.failed = err != io.EOF && !b.closed
	b.mu.Unlock()
	if err == io.EOF {
		// The server has finished the request, however slowly its last bytes reach the caller.
		b.finish()
	}
	return n, err
}

// Close frees the slot. A response that was not read to its end counts as complete unless a read failed: the reader may
// know from the length that nothing follows, or the caller may have left. Close may be called during a read.
func (b *responseBody) Close() error {
	b.mu.Lock()
	b.closed = true
	b.mu.Unlock()
	err := b.inner.Close()
	b.finish()
	return err
}

// finish stops the timers and calls release.
func (b *responseBody) finish() {
	b.once.Do(func() {
		b.idle.Stop()
		if b.end != nil {
			b.end.Stop()
		}
		b.cancel()
		b.mu.Lock()
		whole := !b.failed
		b.mu.Unlock()
		b.release(whole)
	})
}
