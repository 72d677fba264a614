package proxy

import (
	"io"
	"math"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"rosemaryline.dev/rpc/httpresponse"
)

const (
	// syncUploadBytes is the size up to which a body is sent completely before the response is read. It fits into
	// socket buffers, so a server that responds without reading the body cannot block the exchange.
	syncUploadBytes = 16 << 10
	// continueTimeout is how long a body waits for 100 Continue before it is sent anyway. A request with
	// exchangeOptions.requireContinue waits without this limit.
	continueTimeout = time.Second
	// uploadEndTimeout limits the wait for an upload to end after its response is complete, or after the server has ended its side
	// of the connection. The connection is closed afterwards.
	uploadEndTimeout = 50 * time.Millisecond
	// maxInformationalResponses limits the 1xx responses before the final one.
	maxInformationalResponses = 5
)

// exchange is one request and its response on a connection.
type exchange struct {
	client           *client
	conn             *clientConn
	out              *http.Request
	opts             exchangeOptions
	stopContextWatch func() bool // unregisters the close of the connection at the end of the request's context

	// continued is true after the server sent 100 Continue.
	continued bool
	// responded is true after the final response arrived.
	responded bool
	// firstResponseTimedOut is true after no response arrived within firstResponseTimeout.
	firstResponseTimedOut atomic.Bool

	stopFirstTimer func() bool   // stops the timer for the first response; nil if there is none
	uploadDone     chan error    // receives the result of a concurrent upload; nil if there is none
	bodyAllowed    chan struct{} // closed when the body may be sent; nil if it need not wait
	allowOnce      sync.Once
	ended          chan struct{} // closed when the exchange ends; nil if bodyAllowed is nil
	endOnce        sync.Once
}

// exchangeOptions are the options of one exchange.
type exchangeOptions struct {
	// check may reject the response.
	check func(*http.Response) error
	// requireContinue sends no part of the body before the server sends 100 Continue. Until then the request cannot
	// have run, because a body of unknown length is incomplete without its end.
	requireContinue bool
	// firstResponseTimeout limits the wait for the first response, which may be informational; 0 is no limit.
	firstResponseTimeout time.Duration
}

// errNoFirstResponse reports a connection on which not even an informational response arrived in time.
var errNoFirstResponse = errors.New("no response from the server in time")

// run sends the request and returns the accepted response. Reading its body to the end, or closing it, ends the
// exchange.
func (x *exchange) run() (*http.Response, error) {
	if err := x.send(); err != nil {
		return nil, err
	}
	resp, err := x.receive()
	if err != nil {
		return nil, err
	}
	x.responded = true
	if err := checkFraming(resp, x.client.allowCloseDelimited); err != nil {
		return nil, err
	}
	if err := x.opts.check(resp); err != nil {
		return nil, err
	}
	if resp.Body == http.NoBody {
		x.end(!resp.Close)
		return resp, nil
	}
	resp.Body = &exchangeBody{inner: resp.Body, exchange: x, resp: resp}
	return resp, nil
}

// send writes the request. A long or streamed body is written while the response is read.
func (x *exchange) send() error {
	_, streamed := x.out.Body.(*attemptReader)
	if !streamed && x.out.ContentLength <= syncUploadBytes && !x.opts.requireContinue {
		return x.write()
	}
	if x.out.Header.Get("Expect") != "" {
		x.bodyAllowed = make(chan struct{})
		x.ended = make(chan struct{})
		x.out.Body = &continueReader{ReadCloser: x.out.Body, exchange: x}
	}
	x.uploadDone = make(chan error, 1)
	go func() { x.uploadDone <- x.write() }()
	return nil
}

func (x *exchange) write() error {
	if err := x.out.Write(x.conn.writer); err != nil {
		return err
	}
	return x.conn.writer.Flush()
}

// receive reads responses until the final one.
func (x *exchange) receive() (*http.Response, error) {
	if x.opts.firstResponseTimeout > 0 {
		timer := time.AfterFunc(x.opts.firstResponseTimeout, func() {
			x.firstResponseTimedOut.Store(true)
			x.conn.abort()
		})
		defer timer.Stop()
		x.stopFirstTimer = timer.Stop
	}
	for range maxInformationalResponses {
		x.conn.limited.N = maxResponseHeaderBytes
		resp, err := http.ReadResponse(x.conn.reader, x.out)
		if err != nil {
			return nil, errors.Wrap(err, "read response")
		}
		if err := httpresponse.CheckHead(resp); err != nil {
			return nil, err
		}
		x.conn.limited.N = math.MaxInt64
		if x.stopFirstTimer != nil {
			x.stopFirstTimer()
		}
		if resp.StatusCode == http.StatusContinue && x.bodyAllowed != nil {
			x.continued = true
			x.allowOnce.Do(func() { close(x.bodyAllowed) })
		}
		if resp.StatusCode >= http.StatusOK || resp.StatusCode == http.StatusSwitchingProtocols {
			return resp, nil
		}
	}
	return nil, errors.New("too many informational responses")
}

// end releases the connection. It is reused only if both the request and the response are complete.
func (x *exchange) end(complete bool) {
	x.endOnce.Do(func() {
		reusable := complete && x.uploadComplete() && x.conn.reader.Buffered() == 0
		reusable = x.stopContextWatch() && reusable
		if x.ended != nil {
			close(x.ended)
		}
		x.client.release(x.conn, reusable)
		if x.uploadDone != nil {
			closeUpload(x.out)
		}
	})
}

// uploadComplete reports whether the request was written to its end.
func (x *exchange) uploadComplete() bool {
	ended, err := x.awaitUpload()
	return ended && err == nil
}

// awaitUpload waits up to uploadEndTimeout for the end of the upload, and returns its error.
func (x *exchange) awaitUpload() (ended bool, err error) {
	if x.uploadDone == nil {
		return true, nil
	}
	timer := time.NewTimer(uploadEndTimeout)
	defer timer.Stop()
	select {
	case err = <-x.uploadDone:
		x.uploadDone <- err // for the next call
		return true, err
	case <-timer.C:
		return false, nil
	}
}

// checkClose returns an error if the end of the connection may not be taken for the end of the response, although the read saw no error:
// the kernel reports a reset to one system call only, which may have been a write of the upload, and a reset may follow a regular end
// because the server has not read the upload. A server that has ended its side regularly and still accepts the upload has sent the whole
// response.
func (x *exchange) checkClose() error {
	if x.out.ContentLength == 0 {
		return nil // there was no body to write
	}
	if _, err := x.awaitUpload(); err != nil {
		return errors.Wrap(err, "connection ended during the upload")
	}
	if x.conn.hungUp() {
		return errors.New("connection was reset during the upload")
	}
	return nil
}

func closeUpload(out *http.Request) {
	if out.Body != nil {
		out.Body.Close()
	}
}

// exchangeBody ends the exchange when the response was read to its end or is closed.
type exchangeBody struct {
	inner    io.Reader
	exchange *exchange
	resp     *http.Response
}

func (b *exchangeBody) Read(p []byte) (int, error) {
	n, err := b.inner.Read(p)
	if err == io.EOF {
		if endErr := b.checkEnd(); endErr != nil {
			err = endErr
		}
	}
	if err != nil {
		b.exchange.end(err == io.EOF && !b.resp.Close)
	}
	return n, err
}

// checkEnd returns an error if the response is broken although its body was read to the end.
func (b *exchangeBody) checkEnd() error {
	if httpresponse.IsCloseDelimited(b.resp) {
		return b.exchange.checkClose()
	}
	return httpresponse.CheckTrailer(b.resp)
}

// Close ends the exchange. If the response was not read to its end, the connection is closed.
func (b *exchangeBody) Close() error {
	b.exchange.end(false)
	return nil
}

var errBodyNotRequested = errors.New("server did not request the body")

// continueReader delays the body until the server sends 100 Continue.
type continueReader struct {
	io.ReadCloser
	exchange  *exchange
	requested bool
}

func (r *continueReader) Read(p []byte) (int, error) {
	if !r.requested {
		var timeout <-chan time.Time
		if !r.exchange.opts.requireContinue {
			timer := time.NewTimer(continueTimeout)
			defer timer.Stop()
			timeout = timer.C
		}
		select {
		case <-r.exchange.bodyAllowed:
		case <-timeout:
		case <-r.exchange.ended:
			return 0, errBodyNotRequested
		}
		r.requested = true
	}
	return r.ReadCloser.Read(p)
}
