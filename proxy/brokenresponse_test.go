package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemaryline.dev/admission"
)

// headServer reads the head of one request on each connection and leaves the rest to respond, which closes the connection.
func headServer(t *testing.T, respond func(c *net.TCPConn, reader *bufio.Reader, r *http.Request)) (address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				reader := bufio.NewReader(c)
				if r, err := http.ReadRequest(reader); err == nil {
					respond(c.(*net.TCPConn), reader, r)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// resetConn closes a connection with a reset instead of a FIN.
func resetConn(c *net.TCPConn) {
	_ = c.SetLinger(0)
	c.Close()
}

// onBothHops runs a test with the backend server at address on the VM of the entry, and on another one.
func onBothHops(t *testing.T, address string, test func(t *testing.T, entry, gate *testVM)) {
	for _, hop := range []string{"same VM", "other VM"} {
		t.Run(hop, func(t *testing.T) {
			v := newFleetView(t, 4)
			entry, gate := newEntryAndGate(t, v, nil)
			if hop == "same VM" {
				entry = newSingleVM(t, v, nil)
				gate = entry
			}
			gate.gate.opts.AllowCloseDelimited = true
			gate.announce(t, "b", address, "1")
			test(t, entry, gate)
		})
	}
}

// callerResponse is what a caller received.
type callerResponse struct {
	status  int
	outcome Outcome
	body    string
	err     error // the response is not complete
}

// upload sends a request with a body of n bytes in writes of 64 KiB, and reads the response meanwhile.
func upload(t *testing.T, s *testVM, method string, n int) callerResponse {
	conn := rawConn(t, addressOf(s.caller), fmt.Sprintf("%s /once HTTP/1.1\r\n%sContent-Length: %d\r\n\r\n", method, rawHead, n))
	defer conn.Close()
	go func() {
		block := make([]byte, 64<<10)
		for left := n; left > 0; left -= len(block) {
			if _, err := conn.Write(block[:min(left, len(block))]); err != nil {
				return
			}
		}
	}()
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return callerResponse{err: err}
	}
	body, err := io.ReadAll(resp.Body)
	return callerResponse{resp.StatusCode, Outcome(resp.Header.Get(HeaderOutcome)), string(body), err}
}

const longUpload = 24 << 20

// Guards against a part of a response that looks whole to the caller: the connection to the backend server is reset, the write of the
// request's body gets the error, and the read of the response sees a plain end.
func TestResponseEndedByAReset(t *testing.T) {
	const open = "HTTP/1.1 200 OK\r\n\r\n"
	tests := []struct {
		desc, response string
		delay          time.Duration // between the response and the end of the connection
		plain          bool          // a close of the socket, which resets the connection because bytes of the request are unread
		upload         int
		readUpload     bool
	}{
		{"later", open + "0123456789", 150 * time.Millisecond, false, longUpload, false},
		{"soon", open + "0123456789", 5 * time.Millisecond, false, longUpload, false},
		{"at once", open + "0123456789", 0, false, longUpload, false},
		{"close at once", open + "0123456789", 0, true, longUpload, false},
		{"close later", open + "0123456789", 150 * time.Millisecond, true, longUpload, false},
		{"empty part", open, 150 * time.Millisecond, false, longUpload, false},
		{"long part", open + strings.Repeat("x", 3*maxBufferedResponse), 150 * time.Millisecond, false, longUpload, false},
		{"HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\n0123456789", 150 * time.Millisecond, false, longUpload, false},
		{"Connection: close", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n0123456789", 150 * time.Millisecond, false, longUpload, false},
		{"failure", "HTTP/1.1 500 E\r\n\r\n0123456789", 150 * time.Millisecond, false, longUpload, false},
		{"incomplete length", "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n0123456789", 150 * time.Millisecond, false, longUpload, false},
		{"incomplete chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n14\r\n0123456789", 150 * time.Millisecond, false, longUpload, false},
		{"no last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\na\r\n0123456789\r\n", 150 * time.Millisecond, false, longUpload, false},
		{"close at once, upload of 20 KB", open + "0123456789", 0, true, 20 << 10, false},
		{"close at once, upload of 40 KB", open + "0123456789", 0, true, 40 << 10, false},
		{"upload of 200 KB", open + "0123456789", 5 * time.Millisecond, false, 200 << 10, false},
		{"upload of 100 bytes", open + "0123456789", 5 * time.Millisecond, false, 100, false},
		{"after the upload", open + "0123456789", 5 * time.Millisecond, false, longUpload, true},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			t.Parallel()
			address := headServer(t, func(c *net.TCPConn, reader *bufio.Reader, r *http.Request) {
				if test.readUpload {
					_, _ = io.Copy(io.Discard, r.Body)
				}
				_, _ = io.WriteString(c, test.response)
				time.Sleep(test.delay)
				if !test.plain {
					resetConn(c)
				}
			})
			onBothHops(t, address, func(t *testing.T, entry, gate *testVM) {
				got := upload(t, entry, http.MethodPost, test.upload)
				assert.Assert(t, got.err != nil || got.status == http.StatusBadGateway && got.outcome == OutcomeUnknown,
					"status %d, outcome %s, body of %d bytes", got.status, got.outcome, len(got.body))
				eventually(t, "the run counts as a failure", func() bool { return gate.gate.serversOf("svc")[0].score() > 0 })
			})
		})
	}
}

// Guards against a whole response that is given up because the upload had not ended, or because the connection was reset after its
// regular end.
func TestWholeResponseBesideAnUpload(t *testing.T) {
	const open = "HTTP/1.1 200 OK\r\n\r\n0123456789"
	write := func(text string) func(*net.TCPConn, *bufio.Reader, *http.Request) {
		return func(c *net.TCPConn, _ *bufio.Reader, _ *http.Request) { _, _ = io.WriteString(c, text) }
	}
	delivered := make(chan struct{})
	tests := []struct {
		desc    string
		method  string
		upload  int
		respond func(c *net.TCPConn, reader *bufio.Reader, r *http.Request)
	}{
		{"request without a body", http.MethodGet, 0, write(open)},
		{"after the upload", http.MethodPost, longUpload, func(c *net.TCPConn, _ *bufio.Reader, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(c, open)
		}},
		{"the upload is read further", http.MethodPost, longUpload, func(c *net.TCPConn, reader *bufio.Reader, _ *http.Request) {
			_, _ = io.WriteString(c, open)
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, reader)
		}},
		{"reset after the end", http.MethodPost, longUpload, func(c *net.TCPConn, _ *bufio.Reader, _ *http.Request) {
			_, _ = io.WriteString(c, open)
			_ = c.CloseWrite()
			<-delivered
		}},
		{"of known length", http.MethodPost, longUpload, func(c *net.TCPConn, reader *bufio.Reader, _ *http.Request) {
			_, _ = io.WriteString(c, okResponse("", "0123456789"))
			_, _ = io.Copy(io.Discard, reader)
		}},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			onBothHops(t, headServer(t, test.respond), func(t *testing.T, entry, gate *testVM) {
				got := upload(t, entry, test.method, test.upload)
				select {
				case delivered <- struct{}{}:
				case <-time.After(10 * time.Millisecond): // no server waits
				}
				assert.NilError(t, got.err)
				assert.Equal(t, got.status, http.StatusOK, got.body)
				assert.Equal(t, got.body, "0123456789")
				eventually(t, "the run counts", func() bool { return len(gate.observer.seen()) == 1 })
				assert.Equal(t, gate.observer.seen()[0], admission.Succeeded)
			})
		})
	}
}

// respondWith is a backend server that responds with text, in which ID stands for the ID of the request, and then keeps the connection
// open.
func respondWith(t *testing.T, text string) (address string) {
	return headServer(t, func(c *net.TCPConn, reader *bufio.Reader, r *http.Request) {
		_, _ = io.WriteString(c, strings.ReplaceAll(text, "ID", r.Header.Get(HeaderRequestID)))
		_, _ = io.Copy(io.Discard, reader)
	})
}

// checkBroken sends a request to a backend server and checks that its response counts as broken.
func checkBroken(t *testing.T, entry, gate *testVM) {
	resp, body, err := sendRequest(t, entry.caller, http.MethodPost, "/once", nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusBadGateway, body)
	assert.Equal(t, resp.Header.Get(HeaderOutcome), string(OutcomeUnknown))
	assert.Assert(t, gate.gate.serversOf("svc")[0].score() > 0, "the run counts as a failure")
	assert.Equal(t, gate.gate.Load("svc").InFlight, 0)
}

// Guards against a response whose status does not exist (RFC 9110 section 15): it was passed on, or counted as informational, so that
// the caller got what followed, or waited for it until the deadline.
func TestResponseWithAnInvalidStatus(t *testing.T) {
	const whole = " S\r\nRosemaryline-Request-Id: ID\r\nContent-Length: 2\r\n\r\nok"
	for _, status := range []string{"000", "001", "099", "600", "999", "+20", "-01"} {
		for desc, text := range map[string]string{
			"alone":           "HTTP/1.1 " + status + whole,
			"without a body":  "HTTP/1.1 " + status + " S\r\n\r\n",
			"before a second": "HTTP/1.1 " + status + " S\r\n\r\n" + "HTTP/1.1 200" + whole,
			"behind a first":  "HTTP/1.1 103 Early Hints\r\n\r\n" + "HTTP/1.1 " + status + whole,
		} {
			t.Run(status+" "+desc, func(t *testing.T) {
				t.Parallel()
				onBothHops(t, respondWith(t, text), checkBroken)
			})
		}
	}
}

// Guards against a header field whose name holds a blank (RFC 9112 section 5.1), which net/textproto lets pass. The field was left out;
// where it says how the body ends, the caller got a body that is not the backend server's.
func TestResponseWithAnInvalidFieldName(t *testing.T) {
	const head, rest = "HTTP/1.1 200 OK\r\nRosemaryline-Request-Id: ID\r\n", "Content-Length: 2\r\n\r\nok"
	tests := []struct{ desc, text string }{
		{"blank", head + "X Field: a\r\n" + rest},
		{"blank before the colon", head + "X-Field : a\r\n" + rest},
		{"two blanks", head + "X  Field: a\r\n" + rest},
		{"blank before the first name", "HTTP/1.1 200 OK\r\n X-Field: a\r\nRosemaryline-Request-Id: ID\r\n" + rest},
		{"blank in an informational response", "HTTP/1.1 103 Early Hints\r\nX Field: a\r\n\r\n" + head + rest},
		{"blank in 100 Continue", "HTTP/1.1 100 Continue\r\nX-Field : a\r\n\r\n" + head + rest},
		{"length", head + "Content-Length : 4\r\n" + rest},
		{"coding", head + "Transfer-Encoding : chunked\r\n" + "Content-Length: 12\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
		{"ID of the request", "HTTP/1.1 200 OK\r\nRosemaryline-Request-Id : other\r\n" + rest},
		{"tab", head + "X\tField: a\r\n" + rest},
		{"0x00", head + "X\x00Field: a\r\n" + rest},
		{"0x01", head + "X\x01Field: a\r\n" + rest},
		{"0x7f", head + "X\x7fField: a\r\n" + rest},
		{"byte above 0x7f", head + "X\xe4Field: a\r\n" + rest},
		{"empty name", head + ": a\r\n" + rest},
		{"no colon", head + "X-Field\r\n" + rest},
		{"0x00 in a value", head + "X-Field: a\x00b\r\n" + rest},
		{"0x01 in a value", head + "X-Field: a\x01b\r\n" + rest},
		{"0x7f in a value", head + "X-Field: a\x7fb\r\n" + rest},
		{"CR in a value", head + "X-Field: a\rb\r\n" + rest},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			t.Parallel()
			onBothHops(t, respondWith(t, test.text), checkBroken)
		})
	}
}

// Guards against a response that is refused although its header is valid, or may be read as if it were (RFC 9112 section 5.2).
func TestResponseWithAFoldedField(t *testing.T) {
	text := "HTTP/1.1 200 OK\r\nRosemaryline-Request-Id: ID\r\nX-Field: a\r\n  b c\r\nx-!#$%&'*+.^_`|~9: d\r\nContent-Length: 2\r\n\r\nok"
	onBothHops(t, respondWith(t, text), func(t *testing.T, entry, _ *testVM) {
		resp, body, err := sendRequest(t, entry.caller, http.MethodPost, "/once", nil)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusOK)
		assert.Equal(t, body, "ok")
		assert.Equal(t, resp.Header.Get("X-Field"), "a b c")
	})
}

// Guards against a trailer that no strict reader accepts: where it is wrong, the end of the response is not known. Valid trailers are not
// passed on.
func TestResponseWithATrailer(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nRosemaryline-Request-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"
	tests := []struct {
		desc, trailer string
		broken        bool
	}{
		{"none", "\r\n", false},
		{"valid", "X-Field: a\r\n\r\n", false},
		{"blank", "X Field: a\r\n\r\n", true},
		{"blank before the colon", "X-Field : a\r\n\r\n", true},
		{"0x01", "X\x01Field: a\r\n\r\n", true},
		{"empty name", ": a\r\n\r\n", true},
		{"no colon", "X-Field\r\n\r\n", true},
		{"0x00 in a value", "X-Field: a\x00b\r\n\r\n", true},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			t.Parallel()
			onBothHops(t, respondWith(t, chunked+test.trailer), func(t *testing.T, entry, gate *testVM) {
				if test.broken {
					checkBroken(t, entry, gate)
					return
				}
				resp, body, err := sendRequest(t, entry.caller, http.MethodPost, "/once", nil)
				assert.NilError(t, err)
				assert.Equal(t, resp.StatusCode, http.StatusOK)
				assert.Equal(t, body, "ok")
				assert.Equal(t, len(resp.Trailer), 0)
			})
		})
	}
}
