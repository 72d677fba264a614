package control

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

// brokenAPI responds to each request with text and closes the connection.
func brokenAPI(t *testing.T, text string) (c *Client, requests *atomic.Int32) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { listener.Close() })
	requests = &atomic.Int32{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = io.Copy(io.Discard, r.Body)
					requests.Add(1)
					_, _ = io.WriteString(conn, text)
				}
			}()
		}
	}()
	transport := &http.Transport{DisableKeepAlives: true}
	return &Client{Addresses: []string{listener.Addr().String()}, HTTP: &http.Client{Transport: transport}, RetryDelay: time.Millisecond}, requests
}

// Guards against a broken response that an operator gets as the whole, or as a refusal although the change may have been made. A change
// with an id is sent again.
func TestBrokenResponsesToOperators(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	const reply = `{"version":7}`
	tests := []struct{ desc, text string }{
		{"status 000", "HTTP/1.1 000 S\r\nContent-Length: 13\r\n\r\n" + reply},
		{"status 099", "HTTP/1.1 099 S\r\nContent-Length: 13\r\n\r\n" + reply},
		{"status 600", "HTTP/1.1 600 S\r\nContent-Length: 13\r\n\r\n" + reply},
		{"status 101", "HTTP/1.1 101 S\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n"},
		{"blank in a name", head + "X Field: a\r\nContent-Length: 13\r\n\r\n" + reply},
		{"control byte in a name", head + "X\x01Field: a\r\nContent-Length: 13\r\n\r\n" + reply},
		{"without a length", head + "\r\n" + reply},
		{"without a length, cut", head + "\r\n" + reply[:6]},
		{"incomplete length", head + "Content-Length: 13\r\n\r\n" + reply[:6]},
		{"no last chunk", head + "Transfer-Encoding: chunked\r\n\r\nd\r\n" + reply + "\r\n"},
		{"blank in a trailer", head + "Transfer-Encoding: chunked\r\n\r\nd\r\n" + reply + "\r\n0\r\nX Field: a\r\n\r\n"},
		{"no reply", head + "Content-Length: 3\r\n\r\n{\"v"},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			var unknown *UnknownError
			c, requests := brokenAPI(t, test.text)
			_, err := c.PostOnce(t.Context(), "/x", struct{}{})
			assert.Assert(t, errors.As(err, &unknown), "%v", err)
			assert.Equal(t, requests.Load(), int32(1))
			_, err = c.Change(t.Context(), "/x", struct{}{})
			assert.Assert(t, errors.As(err, &unknown), "%v", err)
			if test.desc == "no reply" {
				return // a complete response
			}
			assert.Equal(t, requests.Load(), int32(1+clientAttempts))
			data, err := c.GetRaw(t.Context(), "/x")
			assert.Assert(t, err != nil, "%s", data)
		})
	}
}
