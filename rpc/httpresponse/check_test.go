package httpresponse

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func read(t *testing.T, method, text string) *http.Response {
	resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), &http.Request{Method: method})
	assert.NilError(t, err)
	return resp
}

// Guards against a status or a field name outside the range of RFC 9110 that is accepted, and against a valid one that is not.
func TestCheckHead(t *testing.T) {
	for text, valid := range map[string]bool{
		"HTTP/1.1 100 S\r\n\r\n": true, "HTTP/1.1 199 S\r\n\r\n": true, "HTTP/1.1 200 S\r\n\r\n": true, "HTTP/1.1 599 S\r\n\r\n": true,
		"HTTP/1.1 000 S\r\n\r\n": false, "HTTP/1.1 099 S\r\n\r\n": false, "HTTP/1.1 600 S\r\n\r\n": false, "HTTP/1.1 +20 S\r\n\r\n": false,
		"HTTP/1.1 200 S\r\n!#$%&'*+-.^_`|~09azAZ: a b\r\n\r\n": true,
		"HTTP/1.1 200 S\r\nX-Field : a\r\n\r\n":                false,
		"HTTP/1.1 200 S\r\nX Field: a\r\n\r\n":                 false,
		"HTTP/1.1 200 S\r\nX-Field: a\r\n b\r\n\r\n":           true,
	} {
		err := CheckHead(read(t, http.MethodGet, text))
		assert.Equal(t, err == nil, valid, "%q: %v", text, err)
	}
	assert.NilError(t, CheckFinal(read(t, http.MethodGet, "HTTP/1.1 200 S\r\n\r\n")))
	assert.ErrorContains(t, CheckFinal(read(t, http.MethodGet, "HTTP/1.1 100 S\r\n\r\n")), "not a final")
}

func TestIsCloseDelimited(t *testing.T) {
	tests := []struct {
		method, text string
		want         bool
	}{
		{http.MethodGet, "HTTP/1.1 200 S\r\n\r\nok", true},
		{http.MethodGet, "HTTP/1.0 200 S\r\n\r\nok", true},
		{http.MethodHead, "HTTP/1.1 200 S\r\n\r\n", false},
		{http.MethodGet, "HTTP/1.1 204 S\r\n\r\n", false},
		{http.MethodGet, "HTTP/1.1 304 S\r\n\r\n", false},
		{http.MethodGet, "HTTP/1.1 200 S\r\nContent-Length: 0\r\n\r\n", false},
		{http.MethodGet, "HTTP/1.1 200 S\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", false},
	}
	for _, test := range tests {
		assert.Equal(t, IsCloseDelimited(read(t, test.method, test.text)), test.want, "%s %q", test.method, test.text)
	}
}

// FuzzCheckHead guards against a header that is accepted and then loses fields when it is written again.
func FuzzCheckHead(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nX-Field : a\r\nContent-Length: 2\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 000 OK\r\nA:\r\n\tb\r\n\r\n"))
	f.Add([]byte("HTTP/1.0 599 \r\nTransfer-Encoding : chunked\r\nx y: z\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(data)), nil)
		if err != nil || CheckHead(resp) != nil {
			return
		}
		assert.Assert(t, resp.StatusCode >= 100 && resp.StatusCode <= 599)
		var text bytes.Buffer
		assert.NilError(t, resp.Header.Write(&text))
		fields := 0
		for _, values := range resp.Header {
			fields += len(values)
		}
		assert.Equal(t, strings.Count(text.String(), "\r\n"), fields, "%q", text.String())
	})
}
