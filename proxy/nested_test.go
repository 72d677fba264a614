package proxy

import (
	"net/http"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"
)

// nestedCall makes a call on the local listener as a backend server does, with forged headers.
func nestedCall(t *testing.T, m *testVM, id string) *http.Response {
	resp, _, err := sendRequest(t, m.local, "GET", "/internal/x", nil, HeaderRequestID, id, HeaderTeam, "blue", "Rosemaryline-Depth", "0",
		HeaderDeadline, "600000", "Authorization", "Bearer blue-key")
	assert.NilError(t, err)
	return resp
}

// Guards against nested calls that take the team, depth or deadline from headers instead of from the running request.
func TestNestedCallsInherit(t *testing.T) {
	var m *testVM
	var outer, inner *http.Request
	var status, depth int
	b := newBackend(t, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/internal/x" {
			inner = r.Clone(r.Context())
			parent, _ := m.gate.parentByID(r.Header.Get(HeaderRequestID))
			depth = parent.depth
			return
		}
		outer = r.Clone(r.Context())
		status = nestedCall(t, m, r.Header.Get(HeaderRequestID)).StatusCode
	})
	m = newSingleVM(t, newFleetView(t, 4), b)
	resp, _, _ := sendRequest(t, m.caller, "GET", "/a", nil)
	assert.Equal(t, resp.StatusCode, 200)
	assert.Equal(t, status, 200)
	assert.Equal(t, depth, 1)
	assert.Equal(t, inner.Header.Get(HeaderTeam), "red")
	assert.Assert(t, inner.Header.Get(HeaderRequestID) != outer.Header.Get(HeaderRequestID))
	assert.Equal(t, inner.Header.Get("Authorization"), "")
	innerMs, _ := strconv.Atoi(inner.Header.Get(HeaderDeadline))
	outerMs, _ := strconv.Atoi(outer.Header.Get(HeaderDeadline))
	assert.Assert(t, innerMs <= outerMs, "%d %d", innerMs, outerMs)
	// The request has ended, so its ID no longer identifies a parent. Open routes are not served on the local listener.
	nestedCall(t, m, outer.Header.Get(HeaderRequestID))
	assert.Equal(t, inner.Header.Get(HeaderTeam), "")
	resp, _, _ = sendRequest(t, m.local, "GET", "/a", nil)
	assert.Equal(t, resp.StatusCode, 404)
	assert.Equal(t, len(m.gate.running), 0)
}
