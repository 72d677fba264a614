package proxy

import (
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// checkNotWhole reads a response that its caller must not take for complete.
func checkNotWhole(t *testing.T, conn net.Conn) {
	t.Helper()
	data, err := io.ReadAll(conn)
	status, _, _ := strings.Cut(string(data), "\r\n")
	assert.Assert(t, err != nil || strings.HasPrefix(status, "HTTP/1.0 502"), "%q and %d bytes look complete", status, len(data))
}

// Guards against a part of a response that looks whole to a caller without chunked coding, for which the end of the connection marks the
// end of the response.
func TestBrokenResponseToAnHTTP10Caller(t *testing.T) {
	for _, test := range brokenResponses {
		t.Run(test.desc, func(t *testing.T) {
			onBothHops(t, brokenServer(t, test.text), func(t *testing.T, entry, _ *testVM) {
				const request = "GET /once HTTP/1.0\r\n" + rawHead + "\r\n"
				checkNotWhole(t, rawConn(t, addressOf(entry.caller), request))
				secure := httptest.NewUnstartedServer(entry.entry)
				secure.StartTLS()
				defer secure.Close()
				conn, err := tls.Dial("tcp", addressOf(secure), secure.Client().Transport.(*http.Transport).TLSClientConfig)
				assert.NilError(t, err)
				defer conn.Close()
				_, err = io.WriteString(conn, request)
				assert.NilError(t, err)
				checkNotWhole(t, conn)
			})
		})
	}
}
