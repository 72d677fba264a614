package proxy

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// defaultConnectTimeout bounds opening a connection to a backend server or peer.
	defaultConnectTimeout = 250 * time.Millisecond
	// idleConnTimeout closes a connection before usual server-side idle limits do, which avoids sending a request on a
	// connection that the other side is closing.
	idleConnTimeout = 20 * time.Second
	// maxAnswerHeaderBytes bounds the headers of an answer.
	maxAnswerHeaderBytes = 64 << 10
	// bodyIdleTimeout bounds the wait for the next byte of an answer's body.
	bodyIdleTimeout = 30 * time.Second
)

// newTransport returns a transport that neither follows environment proxies nor changes bodies.
func newTransport(maxConns, maxIdle int, connectTimeout time.Duration, tlsConfig *tls.Config) *http.Transport {
	if connectTimeout <= 0 {
		connectTimeout = defaultConnectTimeout
	}
	dialer := &net.Dialer{Timeout: connectTimeout}
	return &http.Transport{
		DialContext:            dialer.DialContext,
		TLSClientConfig:        tlsConfig,
		TLSHandshakeTimeout:    2 * time.Second,
		MaxConnsPerHost:        maxConns,
		MaxIdleConnsPerHost:    maxIdle,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxAnswerHeaderBytes,
		DisableCompression:     true,
		ExpectContinueTimeout:  time.Second,
		Protocols:              http1Only(),
	}
}

func http1Only() *http.Protocols {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	return protocols
}

// sendError tells whether a failed request may have reached the other side.
type sendError struct {
	// sent is false where no connection was obtained, so nothing can have been sent.
	sent bool
	err  error
}

func (e *sendError) Error() string { return e.err.Error() }

func (e *sendError) Unwrap() error { return e.err }

// roundTrip sends req once. Errors are of type *sendError. After an answer the caller closes the response's body.
func roundTrip(transport http.RoundTripper, req *http.Request) (*http.Response, error) {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	}
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return nil, &sendError{sent: sent.Load(), err: err}
	}
	if !framed(resp) {
		resp.Body.Close()
		return nil, &sendError{sent: true, err: errors.New("answer has no length, so a cut body could not be noticed")}
	}
	return resp, nil
}

// framed tells whether the end of the answer's body is marked by a length or by chunked encoding.
func framed(resp *http.Response) bool {
	if resp.ContentLength >= 0 {
		return true
	}
	return len(resp.TransferEncoding) > 0 && resp.TransferEncoding[0] == "chunked"
}

// attachBody sets the body of an outgoing request so that net/http cannot repeat the request by itself.
func attachBody(ctx context.Context, out *http.Request, req *Request) error {
	if req.Body.Length() == 0 && req.Repeatable {
		return nil
	}
	reader, err := req.Body.Open(ctx)
	if err != nil {
		return err
	}
	out.Body = opaqueReader{reader}
	out.ContentLength = req.Body.Length()
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
