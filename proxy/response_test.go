package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// scriptedServer responds to the n-th request (from 0) over all its connections with the text that respond returns. An
// empty text closes the connection without a response.
type scriptedServer struct {
	net.Listener
	requests, conns atomic.Int64
}

func newScriptedServer(t testing.TB, respond func(n int64, r *http.Request) string) *scriptedServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { listener.Close() })
	s := &scriptedServer{Listener: listener}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go s.serve(conn, respond)
		}
	}()
	return s
}

func (s *scriptedServer) serve(conn net.Conn, respond func(n int64, r *http.Request) string) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if r.Header.Get("Expect") == "" {
			io.Copy(io.Discard, r.Body)
		}
		text := respond(s.requests.Add(1)-1, r)
		if text == "" {
			return
		}
		io.WriteString(conn, text)
		if strings.Contains(text, "Connection: close") {
			return
		}
	}
}

func okResponse(extra, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", extra, len(body), body)
}

// Guards against net/http repeating a request by itself after the server closed a reused connection. Each request must
// arrive once, whatever its method. This includes repeatable requests, because the retry budget decides on retries.
func TestTransportNeverRepeats(t *testing.T) {
	tests := []struct {
		desc, method, path string
		header             []string
	}{
		{"GET that may not be repeated", "GET", "/once", nil},
		{"POST with a key and no body", "POST", "/once", []string{"Idempotency-Key", "k"}},
		{"POST with X-Idempotency-Key", "POST", "/once", []string{"X-Idempotency-Key", "k"}},
		{"POST", "POST", "/once", nil},
		{"GET that may be repeated", "GET", "/a", nil},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			broken := atomic.Bool{}
			s := newScriptedServer(t, func(int64, *http.Request) string {
				if broken.Load() {
					return ""
				}
				return okResponse("", "ok")
			})
			m := newVM(t, "vm1", newFleetView(t, 4), directory{newPeer("vm1", "")})
			m.announce(t, "b", s.Addr().String(), "1")
			for range 3 {
				resp, _, err := sendRequest(t, m.caller, test.method, test.path, nil, test.header...)
				assert.NilError(t, err)
				assert.Equal(t, resp.StatusCode, 200)
			}
			assert.Equal(t, s.conns.Load(), int64(1)) // the connection is reused
			broken.Store(true)
			before := s.requests.Load()
			resp, _, _ := sendRequest(t, m.caller, test.method, test.path, nil, test.header...)
			assert.Equal(t, resp.StatusCode, 502)
			assert.Equal(t, resp.Header.Get(HeaderOutcome), "unknown")
			assert.Equal(t, s.requests.Load()-before, int64(1))
		})
	}
}

// Guards against truncated responses that a caller mistakes for complete ones, and against complete responses that are
// refused.
func TestResponseFraming(t *testing.T) {
	tests := []struct {
		desc, method, response string
		status                 int
		body                   string
		cut                    bool
	}{
		{"whole", "GET", okResponse("", "hello"), 200, "hello", false},
		{"cut by length", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\nConnection: close\r\n\r\nhello", 200, "hello", true},
		{"cut in chunks", "GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n5\r\nhello\r\n", 200, "hello", true},
		{"long and cut by length", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 99999\r\nConnection: close\r\n\r\n" + strings.Repeat("x", 99998), 200, "", true},
		{"no length", "GET", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhello", 502, "", false},
		{"two lengths", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 4\r\nConnection: close\r\n\r\nhello", 502, "", false},
		{"switching protocols unasked", "GET", "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\nhello", 502, "", false},
		{"HEAD without length", "HEAD", "HTTP/1.1 200 OK\r\n\r\n", 200, "", false},
		{"not modified", "GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 77\r\n\r\n", 304, "", false},
		{"no content", "GET", "HTTP/1.1 204 No Content\r\n\r\n", 204, "", false},
		{"headers too large", "GET", okResponse("X: "+strings.Repeat("x", maxResponseHeaderBytes)+"\r\n", "hello"), 502, "", false},
		{"garbage", "GET", "\x00\x01\x02garbage\r\n\r\n", 502, "", false},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			s := newScriptedServer(t, func(_ int64, r *http.Request) string { return test.response })
			v := newFleetView(t, 4)
			entry, gate := newEntryAndGate(t, v, nil)
			gate.announce(t, "b", s.Addr().String(), "1")
			local := newVM(t, "vm2", v, directory{newPeer("vm2", "")})
			local.announce(t, "b", s.Addr().String(), "1")
			for _, m := range []*testVM{local, entry} {
				resp, text, err := sendRequest(t, m.caller, test.method, "/once", nil)
				if test.cut {
					// As long as nothing was sent to the caller, a refusal signals the failure as clearly as a broken
					// connection.
					refused := resp.Header.Get(HeaderOutcome) == "unknown" && resp.StatusCode == 502
					assert.Assert(t, err != nil || refused, "%d %s", resp.StatusCode, text)
					assert.Assert(t, err != nil || len(test.response) < 1000, "%d", resp.StatusCode)
					continue
				}
				assert.NilError(t, err)
				assert.Equal(t, resp.StatusCode, test.status)
				if test.status == 502 {
					assert.Equal(t, resp.Header.Get(HeaderOutcome), "unknown")
					continue
				}
				assert.Equal(t, text, test.body)
				if test.status == 304 {
					assert.Assert(t, resp.Header.Get("Content-Length") != "0")
				}
			}
		})
	}
}

// Guards against a response to another request reaching a caller, and against reuse of the connection that carried it.
func TestWrongResponsesAreNeverDelivered(t *testing.T) {
	tests := []struct {
		desc    string
		respond func(r *http.Request) string
		status  int
	}{
		{"another id", func(*http.Request) string { return okResponse(HeaderRequestID+": other\r\n", "secret") }, 502},
		{"another id without body", func(*http.Request) string { return okResponse(HeaderRequestID+": other\r\n", "") }, 502},
		{"extra response on the connection", func(r *http.Request) string {
			id := HeaderRequestID + ": " + r.Header.Get(HeaderRequestID) + "\r\n"
			return okResponse(id, "ok") + okResponse(HeaderRequestID+": other\r\n", "secret")
		}, 200},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			s := newScriptedServer(t, func(_ int64, r *http.Request) string { return test.respond(r) })
			m := newVM(t, "vm1", newFleetView(t, 4), directory{newPeer("vm2", s.Addr().String())})
			local := newVM(t, "vm3", newFleetView(t, 4), directory{newPeer("vm3", "")})
			local.announce(t, "b", s.Addr().String(), "1")
			for _, hop := range []*testVM{m, local} {
				s.conns.Store(0)
				for range 5 {
					resp, text, _ := sendRequest(t, hop.caller, "GET", "/once", nil)
					assert.Assert(t, !strings.Contains(text, "secret"))
					assert.Equal(t, resp.StatusCode, test.status)
				}
				assert.Equal(t, s.conns.Load(), int64(5))
			}
		})
	}
}

// Guards against a response without a request ID between processes of the fleet, where the ID is mandatory.
func TestPeerResponseWithoutIDIsRefused(t *testing.T) {
	s := newScriptedServer(t, func(int64, *http.Request) string { return okResponse("", "secret") })
	m := newVM(t, "vm1", newFleetView(t, 4), directory{newPeer("vm2", s.Addr().String())})
	resp, text, _ := sendRequest(t, m.caller, "GET", "/once", nil)
	assert.Equal(t, resp.StatusCode, 502)
	assert.Equal(t, resp.Header.Get(HeaderOutcome), "unknown")
	assert.Assert(t, !strings.Contains(text, "secret"))
}

// Guards against a late response to a request that was abandoned. Its connection must not be reused.
func TestLateResponseIsDropped(t *testing.T) {
	release := make(chan struct{})
	s := newScriptedServer(t, func(n int64, _ *http.Request) string {
		if n == 0 {
			<-release
			return okResponse("", "late")
		}
		return okResponse("", "own")
	})
	v := newFleetView(t, 4)
	m := newVM(t, "vm1", v, directory{newPeer("vm1", "")})
	m.announce(t, "b", s.Addr().String(), "1")
	req := newTestRequest(t, "once")
	req.Deadline = deadlineIn(50)
	_, err := m.gate.Run(t.Context(), req)
	refusal := asRefusal(err)
	assert.Equal(t, refusal.Status, 504)
	assert.Equal(t, refusal.Outcome, OutcomeUnknown)
	close(release)
	for range 5 {
		_, text, _ := sendRequest(t, m.caller, "GET", "/once", nil)
		assert.Equal(t, text, "own")
	}
}
