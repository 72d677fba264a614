package proxy

import (
	"bufio"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"rosemaryline.dev/fleet/config"
	"rosemaryline.dev/fleet/state"
)

// Guards against a request to exactly a route's prefix that is refused, against a path that reaches the backend server changed,
// and against a path that a backend server would read as one of another route.
func TestPathsAreMatchedAsTheyAreForwarded(t *testing.T) {
	v := newFleetView(t, 4)
	change := config.Change{}
	change.Routes.Set = map[string]config.Route{
		"proofs": {Path: "/proofs", Below: true, Service: "svc", Access: config.AccessOpen, RepeatableMethods: []string{"OPTIONS"}},
	}
	change.SetDefaults()
	v.apply(t, state.Command{Operator: "test", Apply: &state.ApplyChange{Change: change, ContentHash: change.Hash()}})
	b := newBackend(t, nil)
	m := newSingleVM(t, v, b)
	for _, test := range []struct{ target, route string }{
		// The routes are "root" for / and "proofs" for what lies below /proofs/.
		{"/proofs/", "proofs"},
		{"/proofs/?", "proofs"},
		{"/proofs/?a=/../b", "proofs"},
		{"/proofs/x", "proofs"},
		{"/proofs/x/", "proofs"},
		{"/proofs/x//", "proofs"},
		{"/proofs/x/./y", "proofs"},
		{"/proofs/x/../y", "proofs"},
		{"/proofs/x%2Fy", "proofs"},
		{"/proofs/%2e%2ex", "proofs"},
		{"/proofs%2F", "proofs"},
		{"/proofs%2Fx", "proofs"},
		{"/%70roofs/", "proofs"},
		{"/proofs", "root"},
		{"/proofs?", "root"},
		{"/", "root"},
		{"/?", "root"},
		{"//", "root"},
		{"//x", "root"},
		{"/x//", "root"},
		{"/x/", "root"},
		{"/x/../y/", "root"},
		// Cleaned, these belong to the other route, with or without the trailing slash.
		{"/proofs//", ""},
		{"/proofs/.", ""},
		{"/proofs/./", ""},
		{"/proofs/%2e", ""},
		{"/proofs/..", ""},
		{"/proofs/../", ""},
		{"/proofs/%2e%2e/x", ""},
		{"/proofs/..%2Fx", ""},
		{"/proofs/x/..", ""},
		{"//proofs/", ""},
		{"//proofs/x", ""},
		{"/x/../proofs/", ""},
		{"/x/../proofs/y", ""},
		{"/./proofs/", ""},
		{"/x/%2e%2e/proofs/", ""},
	} {
		t.Run(test.target, func(t *testing.T) {
			before := b.count()
			conn := rawConn(t, addressOf(m.caller), "GET "+test.target+" HTTP/1.1\r\n"+rawHead+"\r\n")
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err)
			resp.Body.Close()
			if test.route == "" {
				assert.Equal(t, resp.StatusCode, http.StatusBadRequest)
				assert.Equal(t, b.count(), before)
				return
			}
			assert.Equal(t, resp.StatusCode, http.StatusOK)
			last, _ := b.seen()
			assert.Equal(t, last.RequestURI, test.target)
			r, err := http.NewRequest("GET", "http://h"+test.target, nil)
			assert.NilError(t, err)
			route, refusal := m.entry.match(r, config.AccessOpen)
			assert.Assert(t, refusal == nil)
			assert.Equal(t, route.Name, test.route)
		})
	}
}
