package proxy

import (
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// senderDeadline returns the time until which a read from the sender of a body may wait. It handles the load pattern in which callers
// declare a body and then stall, so that the bytes reserved for it are missing for the uploads of others. deadline is that of the
// request; zero where it does not limit the read.
func senderDeadline(now, deadline time.Time) time.Time {
	stall := now.Add(bodyStallTimeout)
	if deadline.IsZero() {
		return stall
	}
	return minTime(stall, deadline)
}

// senderBody is the body of a request as its sender transfers it. A read ends with an error for which isStall holds when the sender
// sends nothing for bodyStallTimeout.
type senderBody struct {
	io.ReadCloser
	header     http.Header // of the response
	controller *http.ResponseController
	http1      bool
	// whole is the read deadline that the server sets for the whole request; zero where there is none.
	whole time.Time

	mu             sync.Mutex // guards the fields below
	deadline       time.Time  // of the reads, beside bodyStallTimeout; zero where there is none
	reading, ended bool
	over           bool // nothing more is to be read: the body has ended, or its sender stalled
}

// watchSender returns a copy of a request with a body whose reads do not wait for a stalled sender. The handler must call end before it
// returns. The original keeps its body, whose type tells net/http how to go on with the connection.
func watchSender(w http.ResponseWriter, r *http.Request) (watched *http.Request, end func()) {
	if r.Body == nil || r.Body == http.NoBody {
		return r, func() {}
	}
	b := &senderBody{ReadCloser: r.Body, header: w.Header(), controller: http.NewResponseController(w), http1: r.ProtoMajor == 1}
	if server, ok := r.Context().Value(http.ServerContextKey).(*http.Server); ok && server.ReadTimeout > 0 {
		b.whole = time.Now().Add(server.ReadTimeout)
	}
	watched = r.WithContext(r.Context())
	watched.Body = b
	endBody := connOf(r.Context()).beginBody(r)
	return watched, func() {
		b.end()
		endBody()
	}
}

// limitReads ends reads of a watched body at the deadline. A deadline of zero leaves only bodyStallTimeout.
func limitReads(body io.Reader, deadline time.Time) {
	if b, ok := body.(*senderBody); ok {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.deadline = deadline
	}
}

// isStall reports whether a read from a sender ended because the sender stalled.
func isStall(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// stallRefusal returns the refusal of a request whose body did not arrive in time, and closes the connection of an HTTP/1 caller after
// it. The handler calls it before it writes the response.
func stallRefusal(body io.Reader, err error, step string) *Refusal {
	if b, ok := body.(*senderBody); ok && b.http1 {
		b.header.Set("Connection", "close")
	}
	refusal := notRunRefusal(http.StatusRequestTimeout, ReasonBodyStalled, step)
	refusal.Err = err
	return refusal
}

// gateBodyError returns err, or a refusal if the entry or the path to it stalled. Its status is not that of a caller's fault, and the
// entry sends the request, whose body it holds, to another VM.
func gateBodyError(err error) error {
	if !isStall(err) {
		return err
	}
	refusal := notRunRefusal(http.StatusServiceUnavailable, ReasonBodyStalled, "gate")
	refusal.Err = err
	return refusal
}

// Read implements io.Reader.
func (b *senderBody) Read(p []byte) (int, error) {
	if !b.beginRead() {
		return 0, http.ErrBodyReadAfterClose
	}
	n, err := b.ReadCloser.Read(p)
	b.endRead(err)
	return n, err
}

func (b *senderBody) beginRead() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended {
		return false
	}
	b.reading = true
	// Only test writers lack read deadlines; the writers of net/http have them.
	_ = b.controller.SetReadDeadline(senderDeadline(time.Now(), b.deadline))
	return true
}

// endRead restores the deadline of the whole request. With the deadline of a read, net/http would cancel a request whose body is
// complete, and HTTP/2 would close the body while nobody reads it. After a stall the deadline remains, so that net/http does not wait
// for the rest of the body before it sends the response.
func (b *senderBody) endRead(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reading = false
	b.over = b.over || err != nil
	if !b.ended && !isStall(err) {
		_ = b.controller.SetReadDeadline(b.whole)
	}
}

// end ends a read that is still in progress, for which net/http would wait before it sends the response, and fails later ones: the
// connection may then serve another request. Of a body that was not read, net/http reads up to 256 KiB before it sends the response;
// that takes no longer than bodyStallTimeout.
func (b *senderBody) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.ended || b.over:
	case b.reading:
		_ = b.controller.SetReadDeadline(time.Unix(1, 0))
	default:
		_ = b.controller.SetReadDeadline(time.Now().Add(bodyStallTimeout))
	}
	b.ended = true
}
