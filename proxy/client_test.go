package proxy

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func clientGet(t *testing.T, c *client, url string) {
	t.Helper()
	out, err := http.NewRequestWithContext(t.Context(), "GET", url, nil)
	assert.NilError(t, err)
	resp, err := c.do(out, func(*http.Response) error { return nil })
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	assert.NilError(t, err)
	resp.Body.Close()
}

// Guards against a TLS connection that is never reused because bytes of the TLS layer are mistaken for a response.
func TestClientReusesTLSConnections(t *testing.T) {
	addresses := map[string]bool{}
	s := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		addresses[r.RemoteAddr] = true
		io.WriteString(w, strings.Repeat("x", 5000))
	}))
	defer s.Close()
	c := newClient(4, 4, 0, s.Client().Transport.(*http.Transport).TLSClientConfig)
	defer c.closeIdle()
	for range 5 {
		clientGet(t, c, s.URL)
	}
	assert.Equal(t, len(addresses), 1)
}

// Guards against more connections than the limit, and against a request that waits for one beyond its deadline.
func TestClientBoundsConnections(t *testing.T) {
	release := make(chan struct{})
	b := newBackend(t, func(http.ResponseWriter, *http.Request) { <-release })
	c := newClient(2, 2, 0, nil)
	defer c.closeIdle()
	var group sync.WaitGroup
	for range 2 {
		group.Go(func() { clientGet(t, c, b.URL) })
	}
	eventually(t, "both run", func() bool { return b.count() == 2 })
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	out, _ := http.NewRequestWithContext(ctx, "GET", b.URL, nil)
	_, err := c.do(out, nil)
	assert.Assert(t, !err.(*sendError).sent)
	close(release)
	group.Wait()
	assert.Equal(t, b.count(), 2)
	assert.Equal(t, len(c.host(addressOf(b.Server)).active), 0)
}

// Guards against a request that is sent on an idle connection that the server already closed.
func TestClientNoticesClosedIdleConnections(t *testing.T) {
	b := newBackend(t, nil)
	c := newClient(2, 2, 0, nil)
	defer c.closeIdle()
	for range 3 {
		clientGet(t, c, b.URL)
		b.CloseClientConnections()
		conn := c.host(addressOf(b.Server)).idle[0]
		eventually(t, "the end arrives", func() bool { return !conn.usable() })
	}
	assert.Equal(t, b.count(), 3)
}

// Guards against an attempt that still reads from the body after its end, and against a second attempt that sends only
// the rest of the body.
func TestBodyIsNeverSentInPart(t *testing.T) {
	body, err := NewBody(strings.NewReader("0123456789"), 10, 4)
	assert.NilError(t, err)
	assert.NilError(t, body.Prefetch(4))
	read := func(n int) (string, io.ReadCloser) {
		r, err := body.Open(t.Context(), func() {})
		assert.NilError(t, err)
		data := make([]byte, n)
		_, err = io.ReadFull(r, data)
		assert.NilError(t, err)
		return string(data), r
	}
	text, first := read(4)
	assert.Equal(t, text, "0123")
	first.Close()
	_, err = first.Read(make([]byte, 1))
	assert.ErrorIs(t, err, errReaderClosed)
	assert.Assert(t, body.CanReplay())
	text, second := read(10)
	assert.Equal(t, text, "0123456789")
	second.Close()
	assert.Assert(t, !body.CanReplay())
	_, err = body.Open(t.Context(), func() {})
	assert.ErrorIs(t, err, errBodyConsumed)
}

// deadlineWriter records at each write whether a write deadline is set.
type deadlineWriter struct {
	http.ResponseWriter
	deadline time.Time
	writes   []bool
}

func (w *deadlineWriter) SetWriteDeadline(at time.Time) error { w.deadline = at; return nil }

func (w *deadlineWriter) Write(p []byte) (int, error) {
	w.writes = append(w.writes, !w.deadline.IsZero())
	return w.ResponseWriter.Write(p)
}

// Guards against a caller that does not read and thereby holds its slot, and against a write deadline that remains set
// for the next response on the connection.
func TestWritesToCallersAreBounded(t *testing.T) {
	w := &deadlineWriter{ResponseWriter: httptest.NewRecorder()}
	body := io.NopCloser(strings.NewReader(strings.Repeat("x", 2*copyBufferBytes)))
	writeBody(w, "GET", &Response{Status: 200, ContentLength: 2 * copyBufferBytes, Body: body}, nil)
	assert.DeepEqual(t, w.writes, []bool{true, true})
	assert.Assert(t, w.deadline.IsZero())
}
