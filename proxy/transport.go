package proxy

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// defaultConnectTimeout bounds opening a connection to a backend server or peer.
	defaultConnectTimeout = 250 * time.Millisecond
	// tlsHandshakeTimeout bounds the TLS handshake on a connection to a peer.
	tlsHandshakeTimeout = 2 * time.Second
	// idleConnTimeout closes a connection before usual server-side idle limits do, which avoids sending a request on a
	// connection that the other side is closing.
	idleConnTimeout = 20 * time.Second
	// maxAnswerHeaderBytes bounds the headers of an answer.
	maxAnswerHeaderBytes = 64 << 10
	// bodyIdleTimeout bounds the wait for the next byte of an answer's body.
	bodyIdleTimeout = 30 * time.Second
)

// sendError tells whether a failed request may have reached the other side.
type sendError struct {
	// sent is false where no connection was obtained, so nothing can have been sent.
	sent bool
	// local is true where the fault lies in the request, so that the other side is not to blame.
	local bool
	err   error
}

func (e *sendError) Error() string { return e.err.Error() }

func (e *sendError) Unwrap() error { return e.err }

// errWrongAnswer reports an answer that carries another request's id.
var errWrongAnswer = errors.New("answer belongs to another request")

// checkFraming refuses answers whose end is not marked by a length or by chunked encoding. With untilClose the end of the
// connection marks the end of an answer too; one that is reset is still noticed.
func checkFraming(resp *http.Response, untilClose bool) error {
	switch {
	case resp.StatusCode < http.StatusOK:
		return errors.Errorf("status %d is not a final answer", resp.StatusCode)
	case resp.ContentLength >= 0, resp.Request.Method == http.MethodHead:
		return nil
	case len(resp.TransferEncoding) > 0 && resp.TransferEncoding[0] == "chunked":
		return nil
	case untilClose && len(resp.TransferEncoding) == 0:
		return nil
	default:
		return errors.New("answer has no length, so a cut body could not be noticed")
	}
}

// attachBody sets the body of an outgoing request. cancel ends an attempt whose sender stalls.
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

// answerBody is a streamed answer body. Closing it cancels the request and runs release once.
type answerBody struct {
	inner   io.ReadCloser
	idle    *time.Timer
	cancel  context.CancelFunc
	once    sync.Once
	release func(whole bool)
	ended   bool
	failed  bool
}

func newAnswerBody(inner io.ReadCloser, cancel context.CancelFunc, release func(whole bool)) *answerBody {
	return &answerBody{
		inner:   inner,
		idle:    time.AfterFunc(bodyIdleTimeout, cancel),
		cancel:  cancel,
		release: release,
	}
}

func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.inner.Read(p)
	b.idle.Reset(bodyIdleTimeout)
	switch {
	case err == io.EOF:
		b.ended = true
	case err != nil:
		b.failed = true
	}
	return n, err
}

// Close frees the slot. An answer that was not read to its end counts as whole unless a read failed: the reader may
// know from the length that nothing follows, or the caller may have gone.
func (b *answerBody) Close() error {
	err := b.inner.Close()
	b.once.Do(func() {
		b.idle.Stop()
		b.cancel()
		b.release(!b.failed)
	})
	return err
}
