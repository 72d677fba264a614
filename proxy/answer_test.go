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

// script is a server that answers the n-th request (from 0) of all its connections with the text that answer returns.
// An empty text closes the connection without an answer.
type script struct {
	net.Listener
	requests, conns atomic.Int64
}

func newScript(t testing.TB, answer func(n int64, r *http.Request) string) *script {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { listener.Close() })
	s := &script{Listener: listener}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go s.serve(conn, answer)
		}
	}()
	return s
}

func (s *script) serve(conn net.Conn, answer func(n int64, r *http.Request) string) {
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
		text := answer(s.requests.Add(1)-1, r)
		if text == "" {
			return
		}
		io.WriteString(conn, text)
		if strings.Contains(text, "Connection: close") {
			return
		}
	}
}

func whole(extra, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", extra, len(body), body)
}

// Guards against requests that net/http repeats by itself on a reused connection that the server closes: each request
// must arrive once, whatever the method, also where it may be repeated (the retry budget decides on that).
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
			s := newScript(t, func(int64, *http.Request) string {
				if broken.Load() {
					return ""
				}
				return whole("", "ok")
			})
			m := newVM(t, "vm1", newView(t, 4), directory{host("vm1", "")})
			m.announce(t, "b", s.Addr().String(), "1")
			for range 3 {
				resp, _, err := call(t, m.caller, test.method, test.path, nil, test.header...)
				assert.NilError(t, err)
				assert.Equal(t, resp.StatusCode, 200)
			}
			assert.Equal(t, s.conns.Load(), int64(1)) // the connection is reused
			broken.Store(true)
			before := s.requests.Load()
			resp, _, _ := call(t, m.caller, test.method, test.path, nil, test.header...)
			assert.Equal(t, resp.StatusCode, 502)
			assert.Equal(t, resp.Header.Get(HeaderOutcome), "unknown")
			assert.Equal(t, s.requests.Load()-before, int64(1))
		})
	}
}

// Guards against answers that a caller takes for whole although they are not, and against whole ones that are refused.
func TestAnswerFraming(t *testing.T) {
	tests := []struct {
		desc, method, answer string
		status               int
		body                 string
		cut                  bool
	}{
		{"whole", "GET", whole("", "hello"), 200, "hello", false},
		{"cut by length", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\nConnection: close\r\n\r\nhello", 200, "hello", true},
		{"cut in chunks", "GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n5\r\nhello\r\n", 200, "hello", true},
		{"long and cut by length", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 99999\r\nConnection: close\r\n\r\n" + strings.Repeat("x", 99998), 200, "", true},
		{"no length", "GET", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhello", 502, "", false},
		{"two lengths", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 4\r\nConnection: close\r\n\r\nhello", 502, "", false},
		{"switching protocols unasked", "GET", "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\nhello", 502, "", false},
		{"HEAD without length", "HEAD", "HTTP/1.1 200 OK\r\n\r\n", 200, "", false},
		{"not modified", "GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 77\r\n\r\n", 304, "", false},
		{"no content", "GET", "HTTP/1.1 204 No Content\r\n\r\n", 204, "", false},
		{"headers too large", "GET", whole("X: "+strings.Repeat("x", maxAnswerHeaderBytes)+"\r\n", "hello"), 502, "", false},
		{"garbage", "GET", "\x00\x01\x02garbage\r\n\r\n", 502, "", false},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			s := newScript(t, func(_ int64, r *http.Request) string { return test.answer })
			v := newView(t, 4)
			entry, gate := pair(t, v, nil)
			gate.announce(t, "b", s.Addr().String(), "1")
			near := newVM(t, "vm2", v, directory{host("vm2", "")})
			near.announce(t, "b", s.Addr().String(), "1")
			for _, m := range []*vm{near, entry} {
				resp, text, err := call(t, m.caller, test.method, "/once", nil)
				if test.cut {
					// Where nothing went to the caller yet, a refusal is as visible as a broken connection.
					refused := resp.Header.Get(HeaderOutcome) == "unknown" && resp.StatusCode == 502
					assert.Assert(t, err != nil || refused, "%d %s", resp.StatusCode, text)
					assert.Assert(t, err != nil || len(test.answer) < 1000, "%d", resp.StatusCode)
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

// Guards against an answer of another request that reaches a caller, and against a second use of its connection.
func TestWrongAnswersAreNeverDelivered(t *testing.T) {
	tests := []struct {
		desc   string
		answer func(r *http.Request) string
		status int
	}{
		{"another id", func(*http.Request) string { return whole(HeaderRequestID+": other\r\n", "secret") }, 502},
		{"another id without body", func(*http.Request) string { return whole(HeaderRequestID+": other\r\n", "") }, 502},
		{"surplus", func(r *http.Request) string {
			id := HeaderRequestID + ": " + r.Header.Get(HeaderRequestID) + "\r\n"
			return whole(id, "ok") + whole(HeaderRequestID+": other\r\n", "secret")
		}, 200},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			s := newScript(t, func(_ int64, r *http.Request) string { return test.answer(r) })
			m := newVM(t, "vm1", newView(t, 4), directory{host("vm2", s.Addr().String())})
			near := newVM(t, "vm3", newView(t, 4), directory{host("vm3", "")})
			near.announce(t, "b", s.Addr().String(), "1")
			for _, hop := range []*vm{m, near} {
				s.conns.Store(0)
				for range 5 {
					resp, text, _ := call(t, hop.caller, "GET", "/once", nil)
					assert.Assert(t, !strings.Contains(text, "secret"))
					assert.Equal(t, resp.StatusCode, test.status)
				}
				assert.Equal(t, s.conns.Load(), int64(5))
			}
		})
	}
}

// Guards against a missing id on the hop between processes, where every answer must carry one.
func TestPeerAnswerWithoutIDIsRefused(t *testing.T) {
	s := newScript(t, func(int64, *http.Request) string { return whole("", "secret") })
	m := newVM(t, "vm1", newView(t, 4), directory{host("vm2", s.Addr().String())})
	resp, text, _ := call(t, m.caller, "GET", "/once", nil)
	assert.Equal(t, resp.StatusCode, 502)
	assert.Equal(t, resp.Header.Get(HeaderOutcome), "unknown")
	assert.Assert(t, !strings.Contains(text, "secret"))
}

// Guards against a late answer: it belongs to a request that was given up, and its connection must not be used again.
func TestLateAnswerIsDropped(t *testing.T) {
	release := make(chan struct{})
	s := newScript(t, func(n int64, _ *http.Request) string {
		if n == 0 {
			<-release
			return whole("", "late")
		}
		return whole("", "own")
	})
	v := newView(t, 4)
	m := newVM(t, "vm1", v, directory{host("vm1", "")})
	m.announce(t, "b", s.Addr().String(), "1")
	req := testRequest(t, "once")
	req.Deadline = deadlineIn(50)
	_, err := m.gate.Run(t.Context(), req)
	refusal := asRefusal(err)
	assert.Equal(t, refusal.Status, 504)
	assert.Equal(t, refusal.Outcome, OutcomeUnknown)
	close(release)
	for range 5 {
		_, text, _ := call(t, m.caller, "GET", "/once", nil)
		assert.Equal(t, text, "own")
	}
}
