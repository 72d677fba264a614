package proxy

import (
	"io"
	"math"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// syncUploadBytes is the largest body that is sent before the answer is read. It fits into socket buffers, so a
	// server that answers without reading it cannot block the exchange.
	syncUploadBytes = 16 << 10
	// continueTimeout is how long a body waits for 100 Continue before it is sent anyway.
	continueTimeout = time.Second
	// uploadEndWait bounds the wait for the end of an upload whose answer is complete, before its connection is closed.
	uploadEndWait = 50 * time.Millisecond
	// maxInformational bounds the 1xx answers before the final one.
	maxInformational = 5
)

// exchange is one request and its answer on a connection.
type exchange struct {
	client *client
	conn   *clientConn
	out    *http.Request
	opts   exchangeOptions
	stop   func() bool // ends the watch of the request's context

	// confirmed is true once the other side asked for the body.
	confirmed bool
	// answered is true once a final answer arrived.
	answered bool
	// silent is true once the other side sent nothing in time.
	silent atomic.Bool

	heard    func() bool   // ends the wait for the first answer; nil where there is none
	written  chan error    // gets the end of a concurrent upload; nil where there is none
	proceed  chan struct{} // closed when the body may be sent; nil where it need not wait
	proceeds sync.Once
	finished chan struct{} // closed when the exchange ended; nil where proceed is nil
	once     sync.Once
}

// exchangeOptions are the options of one exchange.
type exchangeOptions struct {
	// check may refuse an answer.
	check func(*http.Response) error
	// confirm holds the whole body back until the other side asks for it. Before that, the request certainly has not run:
	// a body of unknown length is not complete without its end.
	confirm bool
	// firstAnswer bounds the wait for any answer, also an informational one; 0 is no bound.
	firstAnswer time.Duration
}

// errSilent reports a connection on which no answer of any kind arrived in time.
var errSilent = errors.New("no sign of the other side")

// run sends the request and returns the accepted answer, whose body ends the exchange.
func (x *exchange) run() (*http.Response, error) {
	if err := x.send(); err != nil {
		return nil, err
	}
	resp, err := x.receive()
	if err != nil {
		return nil, err
	}
	x.answered = true
	if err := checkFraming(resp, x.client.untilClose); err != nil {
		return nil, err
	}
	if err := x.opts.check(resp); err != nil {
		return nil, err
	}
	if resp.Body == http.NoBody {
		x.end(!resp.Close)
		return resp, nil
	}
	resp.Body = &exchangeBody{inner: resp.Body, exchange: x, reusable: !resp.Close}
	return resp, nil
}

// send writes the request. A long or streamed body is written while the answer is read.
func (x *exchange) send() error {
	_, streamed := x.out.Body.(*attemptReader)
	if !streamed && x.out.ContentLength <= syncUploadBytes && !x.opts.confirm {
		return x.write()
	}
	if x.out.Header.Get("Expect") != "" {
		x.proceed = make(chan struct{})
		x.finished = make(chan struct{})
		x.out.Body = &continueReader{ReadCloser: x.out.Body, exchange: x}
	}
	x.written = make(chan error, 1)
	go func() { x.written <- x.write() }()
	return nil
}

func (x *exchange) write() error {
	if err := x.out.Write(x.conn.writer); err != nil {
		return err
	}
	return x.conn.writer.Flush()
}

// receive reads answers until the final one.
func (x *exchange) receive() (*http.Response, error) {
	if x.opts.firstAnswer > 0 {
		timer := time.AfterFunc(x.opts.firstAnswer, func() {
			x.silent.Store(true)
			x.conn.abort()
		})
		defer timer.Stop()
		x.heard = timer.Stop
	}
	for range maxInformational {
		x.conn.limited.N = maxAnswerHeaderBytes
		resp, err := http.ReadResponse(x.conn.reader, x.out)
		if err != nil {
			return nil, errors.Wrap(err, "read answer")
		}
		x.conn.limited.N = math.MaxInt64
		if x.heard != nil {
			x.heard()
		}
		if resp.StatusCode == http.StatusContinue && x.proceed != nil {
			x.confirmed = true
			x.proceeds.Do(func() { close(x.proceed) })
		}
		if resp.StatusCode >= http.StatusOK || resp.StatusCode == http.StatusSwitchingProtocols {
			return resp, nil
		}
	}
	return nil, errors.New("too many informational answers")
}

// end gives the connection back. It is used again only where the whole exchange is certainly over.
func (x *exchange) end(complete bool) {
	x.once.Do(func() {
		reusable := complete && x.uploaded() && x.conn.reader.Buffered() == 0
		reusable = x.stop() && reusable
		if x.finished != nil {
			close(x.finished)
		}
		x.client.release(x.conn, reusable)
		if x.written != nil {
			closeUpload(x.out)
		}
	})
}

// uploaded tells whether the request was written to its end.
func (x *exchange) uploaded() bool {
	if x.written == nil {
		return true
	}
	timer := time.NewTimer(uploadEndWait)
	defer timer.Stop()
	select {
	case err := <-x.written:
		return err == nil
	case <-timer.C:
		return false
	}
}

func closeUpload(out *http.Request) {
	if out.Body != nil {
		out.Body.Close()
	}
}

// exchangeBody ends the exchange when the answer was read to its end or is closed.
type exchangeBody struct {
	inner    io.Reader
	exchange *exchange
	reusable bool
}

func (b *exchangeBody) Read(p []byte) (int, error) {
	n, err := b.inner.Read(p)
	if err != nil {
		b.exchange.end(err == io.EOF && b.reusable)
	}
	return n, err
}

// Close ends the exchange. The connection of an answer that was not read to its end is closed.
func (b *exchangeBody) Close() error {
	b.exchange.end(false)
	return nil
}

var errNotContinued = errors.New("body was not asked for")

// continueReader holds a body back until the other side asks for it.
type continueReader struct {
	io.ReadCloser
	exchange *exchange
	asked    bool
}

func (r *continueReader) Read(p []byte) (int, error) {
	if !r.asked {
		var tooLong <-chan time.Time
		if !r.exchange.opts.confirm {
			timer := time.NewTimer(continueTimeout)
			defer timer.Stop()
			tooLong = timer.C
		}
		select {
		case <-r.exchange.proceed:
		case <-tooLong:
		case <-r.exchange.finished:
			return 0, errNotContinued
		}
		r.asked = true
	}
	return r.ReadCloser.Read(p)
}
