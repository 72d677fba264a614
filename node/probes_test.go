package node

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gopkg.in/tomb.v2"
	"gotest.tools/v3/assert"
)

// Guards against a broken response to a probe that counts as a success, and so returns an ejected backend server to service.
func TestBrokenResponseToAProbe(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	tests := []struct {
		desc, response string
		ok             bool
	}{
		{"length", head + "Content-Length: 2\r\n\r\nok", true},
		{"chunked", head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", true},
		{"until the end of the connection", head + "\r\nok", true},
		{"no content", "HTTP/1.1 204 No Content\r\n\r\n", true},
		{"not found", "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n", true},
		{"informational before", "HTTP/1.1 103 Early Hints\r\n\r\n" + head + "Content-Length: 2\r\n\r\nok", true},
		{"failure", "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", false},
		{"status 000", "HTTP/1.1 000 S\r\nContent-Length: 2\r\n\r\nok", false},
		{"status 099", "HTTP/1.1 099 S\r\nContent-Length: 0\r\n\r\n", false},
		{"status 101", "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n", false},
		{"status 600", "HTTP/1.1 600 S\r\nContent-Length: 0\r\n\r\n", false},
		{"blank in a name", head + "X Field: a\r\nContent-Length: 2\r\n\r\nok", false},
		{"control byte in a name", head + "X\x01Field: a\r\nContent-Length: 2\r\n\r\nok", false},
		{"incomplete length", head + "Content-Length: 4\r\n\r\nok", false},
		{"no last chunk", head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", false},
		{"blank in a trailer", head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX Field: a\r\n\r\n", false},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer listener.Close()
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = io.WriteString(conn, test.response)
				}
			}()
			e := &ejections{tomb: &tomb.Tomb{}, probeClient: newProbeClient()}
			began := time.Now()
			assert.Equal(t, e.sendProbe(listener.Addr().String(), "/health"), test.ok)
			assert.Assert(t, time.Since(began) < 2*probeTimeout)
		})
	}
}
