package proxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a part of a response that looks whole because a short upload was written before the response was read: the server closed
// its socket before the last write had arrived, and the reset came behind the end. A request without a body has no such write.
func TestResetBehindAShortUpload(t *testing.T) {
	for _, test := range []struct {
		method, body string
		broken       bool
	}{{http.MethodPost, strings.Repeat("x", 100), true}, {http.MethodGet, "", false}} {
		t.Run(test.method, func(t *testing.T) {
			headRead, wasReset := make(chan struct{}), make(chan struct{})
			address := headServer(t, func(c *net.TCPConn, _ *bufio.Reader, _ *http.Request) {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n0123456789")
				_ = c.CloseWrite()
				<-headRead
				resetConn(c)
				close(wasReset)
			})
			c := newClient(1, 1, 0, nil)
			defer c.closeIdle()
			c.allowCloseDelimited = true
			out, err := http.NewRequestWithContext(t.Context(), test.method, "http://"+address+"/", strings.NewReader(test.body))
			assert.NilError(t, err)
			resp, err := c.do(out, func(*http.Response) error { return nil })
			assert.NilError(t, err)
			defer resp.Body.Close()
			close(headRead)
			<-wasReset
			body, err := io.ReadAll(resp.Body)
			assert.Equal(t, string(body), "0123456789")
			assert.Equal(t, err != nil, test.broken, "%v", err)
		})
	}
}
