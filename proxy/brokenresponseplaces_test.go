package proxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const brokenHead = "HTTP/1.1 200 OK\r\nRosemaryline-Request-Id: ID\r\n"

// brokenResponses are responses that no reader may take for complete. ID stands for the ID of the request.
var brokenResponses = []struct{ desc, text string }{
	{"status 000", "HTTP/1.1 000 S\r\nRosemaryline-Request-Id: ID\r\nContent-Length: 2\r\n\r\nok"},
	{"status 000 and another response", "HTTP/1.1 000 S\r\n\r\n" + brokenHead + "Content-Length: 2\r\n\r\nok"},
	{"status 600", "HTTP/1.1 600 S\r\nRosemaryline-Request-Id: ID\r\nContent-Length: 2\r\n\r\nok"},
	{"blank in a name", brokenHead + "X Field: a\r\nContent-Length: 2\r\n\r\nok"},
	{"control byte in a name", brokenHead + "X\x01Field: a\r\nContent-Length: 2\r\n\r\nok"},
	{"blank in a trailer", brokenHead + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX Field: a\r\n\r\n"},
	{"incomplete length", brokenHead + "Content-Length: 4\r\n\r\nok"},
	{"no last chunk", brokenHead + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"},
	{"no last chunk, long part", brokenHead + "Transfer-Encoding: chunked\r\n\r\n30000\r\n" + strings.Repeat("x", 0x30000) + "\r\n"},
}

// brokenServer responds to each connection with text and ends it with a reset.
func brokenServer(t *testing.T, text string) (address string) {
	return headServer(t, func(c *net.TCPConn, _ *bufio.Reader, r *http.Request) {
		_, _ = io.WriteString(c, strings.ReplaceAll(text, "ID", r.Header.Get(HeaderRequestID)))
		time.Sleep(20 * time.Millisecond)
		resetConn(c)
	})
}

// Guards against a broken response that is recorded for an idempotency key, or whose key is free again although the request ran.
func TestBrokenResponseIsNotStored(t *testing.T) {
	for _, test := range brokenResponses {
		t.Run(test.desc, func(t *testing.T) {
			onBothHops(t, brokenServer(t, test.text), func(t *testing.T, entry, gate *testVM) {
				resp, _, err := sendRequest(t, entry.caller, http.MethodPost, "/once", strings.NewReader("x"), HeaderIdempotencyKey, "k")
				assert.Assert(t, err != nil || resp.StatusCode == http.StatusBadGateway, "status %d", resp.StatusCode)
				gate.claimer.mu.Lock()
				defer gate.claimer.mu.Unlock()
				if strings.HasSuffix(test.desc, "long part") {
					// The claimer reads such a response itself and learns that it breaks off.
					assert.DeepEqual(t, gate.claimer.calls, []string{"complete"})
					return
				}
				assert.DeepEqual(t, gate.claimer.calls, []string{"abandon"})
			})
		})
	}
}

// Guards against a broken response that a backend server gets as the complete response to a call of its own.
func TestBrokenResponseToACall(t *testing.T) {
	for _, test := range brokenResponses {
		t.Run(test.desc, func(t *testing.T) {
			var m *testVM
			whole := make(chan bool, 1)
			b := newBackend(t, func(w http.ResponseWriter, r *http.Request) {
				id := r.Header.Get(HeaderRequestID)
				if r.URL.Path == "/internal/x" {
					conn, _, err := w.(http.Hijacker).Hijack()
					assert.NilError(t, err)
					_, _ = io.WriteString(conn, strings.ReplaceAll(test.text, "ID", id))
					time.Sleep(20 * time.Millisecond)
					resetConn(conn.(*net.TCPConn))
					return
				}
				resp, _, err := sendRequest(t, m.local, http.MethodPost, "/internal/x", nil, HeaderRequestID, id)
				whole <- err == nil && resp.StatusCode != http.StatusBadGateway
			})
			m = newSingleVM(t, newFleetView(t, 4), b)
			_, _, _ = sendRequest(t, m.caller, http.MethodPost, "/once", nil)
			assert.Assert(t, !<-whole)
		})
	}
}

// Guards against a broken response that looks complete where its request started before the one before it on the connection had ended.
func TestBrokenResponseToAPipelinedRequest(t *testing.T) {
	for _, test := range brokenResponses {
		t.Run(test.desc, func(t *testing.T) {
			broken := make(chan struct{})
			b := newBackend(t, func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/first" {
					<-broken
					return
				}
				conn, _, err := w.(http.Hijacker).Hijack()
				assert.NilError(t, err)
				_, _ = io.WriteString(conn, strings.ReplaceAll(test.text, "ID", r.Header.Get(HeaderRequestID)))
				time.Sleep(20 * time.Millisecond)
				resetConn(conn.(*net.TCPConn))
				close(broken)
			})
			m := newSingleVM(t, newFleetView(t, 4), b)
			conn := rawConnAsync(t, addressOf(m.caller), "GET /first HTTP/1.1\r\n"+rawHead+"\r\nGET /second HTTP/1.1\r\n"+rawHead+"\r\n")
			reader := bufio.NewReader(conn)
			first, err := http.ReadResponse(reader, nil)
			assert.NilError(t, err)
			assert.Equal(t, first.StatusCode, http.StatusOK)
			_, err = io.Copy(io.Discard, first.Body)
			assert.NilError(t, err)
			second, err := http.ReadResponse(reader, nil)
			if err == nil && second.StatusCode != http.StatusBadGateway {
				_, err = io.Copy(io.Discard, second.Body)
				assert.Assert(t, err != nil, "status %d looks complete", second.StatusCode)
			}
		})
	}
}

// Guards against a broken response of a gate that the entry believes: a promise in it that the request has not run, or a part of a body.
// Before the gate has asked for the body of a request that may not be repeated, the request certainly has not run.
func TestBrokenResponseOfAGate(t *testing.T) {
	const processing, proceed = "HTTP/1.1 102 Processing\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n"
	const refusal = "Rosemaryline-Outcome: not-run\r\nRosemaryline-Reason: queue-full\r\nRosemaryline-Request-Id: ID\r\nContent-Length: 0\r\n"
	tests := append([]struct{ desc, text string }{
		{"refusal with status 000", "HTTP/1.1 000 S\r\n" + refusal + "\r\n"},
		{"refusal with a blank in a name", "HTTP/1.1 503 S\r\n" + refusal + "X Field: a\r\n\r\n"},
		{"refusal with a blank before a colon", "HTTP/1.1 503 S\r\n" + refusal + "Rosemaryline-Load : 0/1/0\r\n\r\n"},
		{"body without a length", brokenHead + "\r\nok"},
	}, brokenResponses...)
	for _, test := range tests {
		send := func(t *testing.T, before string) (*http.Response, error) {
			v := newFleetView(t, 4)
			m := newVM(t, "vm1", v, directory{newPeer("vm2", brokenServer(t, before+test.text))})
			resp, _, err := sendRequest(t, m.caller, http.MethodPost, "/once", strings.NewReader("x"))
			return resp, err
		}
		t.Run(test.desc+", body asked for", func(t *testing.T) {
			resp, err := send(t, processing+proceed)
			if err == nil {
				assert.Equal(t, resp.StatusCode, http.StatusBadGateway)
				assert.Equal(t, resp.Header.Get(HeaderOutcome), string(OutcomeUnknown))
			}
		})
		t.Run(test.desc+", body not asked for", func(t *testing.T) {
			resp, err := send(t, processing)
			if err == nil {
				assert.Assert(t, resp.StatusCode >= http.StatusInternalServerError, "status %d", resp.StatusCode)
			}
		})
	}
}
