package proxy

import (
	"bufio"
	"net/http"
	"net/url"
	"strings"
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
		// An encoded slash is data: these are segments of their own below /.
		{"/proofs%2F", "root"},
		{"/proofs%2Fx", "root"},
		{"/proofs%2fx/", "root"},
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
		// A byte that cannot stand in a path is escaped, and nothing else is changed.
		{"/proofsü%2Fx", "root"},
		{"/proofs/ü%2fx%41", "proofs"},
		// A backend server that decodes the slash first would read dot segments.
		{"/x/..%2fproofs/", ""},
		{"/x%2F..%2Fproofs/y", ""},
		{"/proofs/%2e%2e%2Fx", ""},
		// Decoded first, these have empty segments.
		{"/proofs/%2F", ""},
		{"/%2Fproofs/x", ""},
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
			assert.Equal(t, last.RequestURI, strings.ReplaceAll(test.target, "ü", "%C3%BC"))
			r, err := http.NewRequest("GET", "http://h"+test.target, nil)
			assert.NilError(t, err)
			route, refusal := m.entry.match(r, config.AccessOpen)
			assert.Assert(t, refusal == nil)
			assert.Equal(t, route.Name, test.route)
		})
	}
}

// routesOfOneTree are three routes below one another whose requests have different rights: keyed and not repeatable, repeatable, and
// without a key.
func routesOfOneTree(t testing.TB) *Entry {
	v := newFleetView(t, 4)
	yes, no := true, false
	change := config.Change{}
	change.Routes.Set = map[string]config.Route{
		"rounds": {Path: "/rounds", Below: true, Service: "svc", Access: config.AccessOpen, Idempotent: &no},
		"list":   {Path: "/rounds/list", Below: true, Service: "svc", Access: config.AccessOpen, Idempotent: &yes},
		"public": {Path: "/rounds/z%c3%bcrich", Below: true, Service: "svc", Access: config.AccessPublic, Idempotent: &yes},
	}
	change.SetDefaults()
	v.apply(t, state.Command{Operator: "test", Apply: &state.ApplyChange{Change: change, ContentHash: change.Hash()}})
	return newVM(t, "vm1", v, nil).entry
}

// matchedRoute returns the name of the route of a path; empty if it is refused.
func matchedRoute(t testing.TB, e *Entry, path string) string {
	r, err := http.NewRequest("POST", "http://h"+path, nil)
	assert.NilError(t, err)
	route, refusal := e.match(r, config.AccessOpen, config.AccessPublic)
	if refusal != nil {
		return ""
	}
	return route.Name
}

// Guards against a request that may not be repeated and is handled by the route of repeatable ones, or without a key, because an
// encoded slash is taken for a separator, and against a prefix with encoded letters that no request matches.
func TestEncodedPathsKeepTheirRoute(t *testing.T) {
	e := routesOfOneTree(t)
	for path, want := range map[string]string{
		"/rounds/list/17": "list", "/rounds/%6Cist/17": "list",
		"/rounds/list%2F17": "rounds", "/rounds/list%2f17": "rounds", "/rounds/list%252F17": "rounds", "/rounds/list%5C17": "rounds",
		"/rounds/z%C3%BCrich/1": "public", "/rounds/z%c3%bcrich/1": "public", "/rounds/zürich/1": "public",
		"/rounds/z%C3%BCrich%2F1": "rounds", "/rounds/list%2Fü": "rounds", "/rounds/list%00/17": "rounds",
	} {
		assert.Equal(t, matchedRoute(t, e, path), want, path)
	}
}

// FuzzRouteOfAPath guards against a route that depends on how a path is encoded and not on its normalized form alone.
func FuzzRouteOfAPath(f *testing.F) {
	e := routesOfOneTree(f)
	for _, path := range []string{"/rounds/list%2F17", "/rounds/z%c3%bcrich/%2e%2e/x", "/%72ounds/list/", "//rounds/..%2flist/", "/rounds/%00"} {
		f.Add(path)
	}
	f.Fuzz(func(t *testing.T, path string) {
		normalized, err := config.NormalizePath(path)
		if _, parseErr := url.ParseRequestURI(path); err != nil || parseErr != nil || !strings.HasPrefix(path, "/") || strings.ContainsAny(path, "?#") {
			return
		}
		if got, want := matchedRoute(t, e, path), matchedRoute(t, e, normalized); got != want {
			t.Fatalf("%q has the route %q, %q has %q", path, got, normalized, want)
		}
	})
}
