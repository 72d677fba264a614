package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemaryline.dev/fleet/config"
	"rosemaryline.dev/fleet/state"
)

// setDeadline sets the deadline of a route.
func (v *fleetView) setDeadline(t testing.TB, route string, deadline time.Duration) {
	change := config.Change{}
	v.View(func(s *state.State) {
		r := s.Config().Routes[route]
		r.Deadline = config.Duration(deadline)
		change.Routes.Set = map[string]config.Route{route: r}
	})
	change.SetDefaults()
	v.apply(t, state.Command{Operator: "test", Apply: &state.ApplyChange{Change: change, ContentHash: change.Hash()}})
}

// Guards against a caller that declares a body and sends nothing, or only a part, and thereby holds the bytes that are reserved for it
// until the read timeout of the listener.
func TestStalledSender(t *testing.T) {
	const margin = time.Second // scheduling on a busy machine
	tests := []struct {
		desc, header, body string
		deadline           time.Duration
		took               time.Duration
	}{
		{"nothing sent", "Content-Length: 60000", "", 10 * time.Second, bodyStallTimeout},
		{"a part sent", "Content-Length: 60000", "part", 10 * time.Second, bodyStallTimeout},
		{"chunks", "Transfer-Encoding: chunked", "4\r\npart\r\n", 10 * time.Second, bodyStallTimeout},
		{"deadline", "Content-Length: 60000", "part", 500 * time.Millisecond, 500 * time.Millisecond},
		{"longer than what is buffered", "Content-Length: 600000", "part", 500 * time.Millisecond, 500 * time.Millisecond},
		{"key", "Idempotency-Key: k\r\nContent-Length: 600000", "part", 500 * time.Millisecond, 500 * time.Millisecond},
		{"100 Continue", "Expect: 100-continue\r\nContent-Length: 60000", "", 500 * time.Millisecond, 500 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			t.Parallel()
			b := newBackend(t, nil)
			v := newFleetView(t, 4)
			v.setDeadline(t, "once", test.deadline)
			m := newSingleVM(t, v, b)
			budget := m.setBytes(4 << 20)
			began := time.Now()
			conn := rawConn(t, addressOf(m.caller), "POST /once HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer red-key\r\n"+test.header+"\r\n\r\n"+test.body)
			eventually(t, "the bytes are reserved", func() bool { return budget.Held() > 0 })
			reader := bufio.NewReader(conn)
			resp, err := http.ReadResponse(reader, nil)
			if err == nil && resp.StatusCode == http.StatusContinue {
				resp, err = http.ReadResponse(reader, nil)
			}
			assert.NilError(t, err)
			took := time.Since(began)
			text, err := io.ReadAll(resp.Body)
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, http.StatusRequestTimeout)
			assert.Equal(t, resp.Header.Get(HeaderOutcome), string(OutcomeNotRun))
			assert.Assert(t, strings.Contains(string(text), `"body-stalled"`), string(text))
			assert.Assert(t, took > test.took/2 && took < test.took+margin, "took %s", took)
			assert.Equal(t, budget.Held(), int64(0))
			_, err = reader.ReadByte()
			assert.Equal(t, err, io.EOF, "the connection is closed")
			assert.Equal(t, b.count(), 0)
		})
	}
}

// Guards against a deadline of a read that ends a request which waits for its backend server for longer than bodyStallTimeout, or the
// next one of the connection.
func TestDeadlinesOfReadsEndWithTheRead(t *testing.T) {
	t.Parallel()
	b := newBackend(t, func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		if n > 0 {
			time.Sleep(bodyStallTimeout + 200*time.Millisecond)
		}
		fmt.Fprint(w, n, " bytes")
	})
	m := newSingleVM(t, newFleetView(t, 4), b)
	head := "POST /once HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer red-key\r\nContent-Length: "
	conn := rawConn(t, addressOf(m.caller), head+"2\r\n\r\nab")
	reader := bufio.NewReader(conn)
	for _, want := range []string{"2 bytes", "0 bytes"} {
		resp, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		text, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(text), want)
		io.WriteString(conn, head+"0\r\n\r\n")
	}
}

// Guards against a stalled sender that delays the response to a request whose body is streamed: net/http waits for a read in progress.
func TestStreamedBodyThatStalls(t *testing.T) {
	t.Parallel()
	m := newSingleVM(t, newFleetView(t, 4), newBackend(t, nil))
	began := time.Now()
	conn := rawConn(t, addressOf(m.caller), "POST /once HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer red-key\r\nContent-Length: 600000\r\n\r\n"+
		strings.Repeat("b", 100<<10))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.Header.Get(HeaderOutcome), string(OutcomeUnknown))
	assert.Assert(t, time.Since(began) < bodyStallTimeout+time.Second, "took %s", time.Since(began))
	eventually(t, "the slot is free", func() bool { return m.gate.Load("svc").InFlight == 0 })
}

// Guards against a sender that is refused before its body is read, and gets the refusal only when it has sent the body: net/http reads it
// first.
func TestRefusedSenderThatStalls(t *testing.T) {
	t.Parallel()
	m := newSingleVM(t, newFleetView(t, 4), newBackend(t, nil))
	m.setBytes(1 << 10)
	for key, status := range map[string]int{"wrong-key": http.StatusUnauthorized, "red-key": http.StatusServiceUnavailable} {
		began := time.Now()
		conn := rawConn(t, addressOf(m.caller), "POST /once HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer "+key+"\r\nContent-Length: 60000\r\n\r\npart")
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, status)
		assert.Assert(t, time.Since(began) < bodyStallTimeout+time.Second, "took %s", time.Since(began))
	}
	conn := rawConn(t, addressOf(m.caller), "POST /once HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n")
	reader := bufio.NewReader(conn)
	for _, next := range []string{"part", "POST /once HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\npart"} {
		io.WriteString(conn, next)
		resp, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err, "the connection goes on after a body that arrives")
		_, err = io.Copy(io.Discard, resp.Body)
		assert.NilError(t, err)
	}
}

// Guards against a stalled stream of an HTTP/2 connection that ends its other streams.
func TestStalledStream(t *testing.T) {
	b := newBackend(t, nil)
	v := newFleetView(t, 4)
	v.setDeadline(t, "once", 500*time.Millisecond)
	m := newSingleVM(t, v, b)
	budget := m.setBytes(4 << 20)
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	caller := httptest.NewUnstartedServer(m.entry)
	caller.Config.Protocols = protocols
	start(t, caller)
	dials := 0
	transport := &http.Transport{Protocols: protocols, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		dials++
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}}
	defer transport.CloseIdleConnections()
	send := func(body io.Reader) *http.Response {
		req, err := http.NewRequest("POST", caller.URL+"/once", body)
		assert.NilError(t, err)
		req.Header.Set("Authorization", "Bearer red-key")
		resp, err := transport.RoundTrip(req)
		assert.NilError(t, err)
		resp.Body.Close()
		return resp
	}
	stalled, writer := io.Pipe()
	defer writer.Close()
	assert.Equal(t, send(stalled).StatusCode, http.StatusRequestTimeout)
	eventually(t, "nothing is held", func() bool { return budget.Held() == 0 })
	assert.Equal(t, send(strings.NewReader("ab")).StatusCode, 200)
	assert.Equal(t, dials, 1)
	assert.Equal(t, b.count(), 1)
}

// Guards against an entry that stops, or a path that breaks off, while the gate reads a body: the gate held the reserved bytes, and the
// slot where the body is read with one, until the connection ended.
func TestGateOfStalledEntry(t *testing.T) {
	head := "POST /v1/run HTTP/1.1\r\nHost: h\r\nRosemaryline-Request-Id: 1\r\nRosemaryline-Service: svc\r\nRosemaryline-Uri: /a\r\n" +
		"Rosemaryline-Deadline-Ms: 10000\r\nRosemaryline-Depth: 0\r\nRosemaryline-Config-Version: 1\r\nRosemaryline-Repeatable: false\r\n"
	for _, test := range []struct {
		desc, rest string
		reason     Reason
	}{
		{"before the slot", "Content-Length: 60000\r\n\r\npart", ReasonBodyStalled},
		{"with the slot", "Expect: 100-continue\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", ReasonCallerGone},
	} {
		t.Run(test.desc, func(t *testing.T) {
			t.Parallel()
			b := newBackend(t, nil)
			m := newSingleVM(t, newFleetView(t, 1), b)
			budget := m.setBytes(4 << 20)
			began := time.Now()
			reader := bufio.NewReader(rawConn(t, addressOf(m.peer), head+test.rest))
			resp := &http.Response{}
			for resp.StatusCode < http.StatusOK {
				var err error
				resp, err = http.ReadResponse(reader, nil)
				assert.NilError(t, err)
			}
			assert.Assert(t, time.Since(began) < bodyStallTimeout+time.Second, "took %s", time.Since(began))
			assert.Equal(t, resp.StatusCode, 503)
			assert.Equal(t, resp.Header.Get(HeaderOutcome), string(OutcomeNotRun))
			assert.Equal(t, resp.Header.Get(headerReason), string(test.reason))
			eventually(t, "nothing is held", func() bool { return budget.Held() == 0 && m.gate.Load("svc").InFlight == 0 })
			assert.Equal(t, b.count(), 0)
			assert.Equal(t, m.gate.serversOf("svc")[0].score(), 0.0)
		})
	}
}
