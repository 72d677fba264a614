package routing

import (
	"fmt"
	"net/url"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
	"rosemaryline.dev/fleet/config"
)

// naiveMatch scans all routes: routes for the host take precedence over routes for every host, then the longest
// prefix wins.
func naiveMatch(doc *config.Document, host, path string) string {
	best, bestLength := "", -1
	for name, r := range doc.Routes {
		prefix := strings.TrimRight(r.Path, "/")
		if r.Host != "" && r.Host != host || path != prefix && !strings.HasPrefix(path, prefix+"/") {
			continue
		}
		length := len(prefix)
		if r.Host != "" {
			length += 1000
		}
		if length > bestLength || length == bestLength && name < best {
			best, bestLength = name, length
		}
	}
	return best
}

// TestMatchAgainstScan guards against choosing a route that does not have the longest prefix that ends at a segment
// boundary.
func TestMatchAgainstScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		segments := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "ab"}), 0, 4)
		path := func(name string) string { return "/" + strings.Join(segments.Draw(t, name), "/") }
		host := rapid.SampledFrom([]string{"", "x.example", "y.example"})
		doc := &config.Document{Routes: map[string]config.Route{}}
		for i := range rapid.IntRange(0, 8).Draw(t, "routes") {
			doc.Routes[fmt.Sprintf("r%d", i)] = config.Route{Host: host.Draw(t, "host"), Path: path("prefix")}
		}
		table := NewTable(doc)
		h, p := host.Draw(t, "requestHost"), path("path")
		got, ok := table.Match(strings.ToUpper(h)+":8080", p)
		want := naiveMatch(doc, h, p)
		assert.Equal(t, ok, want != "")
		if ok {
			assert.Equal(t, got.Name, want)
		}
	})
}

// TestRouteDefaults guards against routes without the documented defaults.
func TestRouteDefaults(t *testing.T) {
	table := NewTable(&config.Document{Routes: map[string]config.Route{"r": {Path: "/", Teams: []string{"a"}}}})
	r, ok := table.Match("any", "/x")
	assert.Assert(t, ok)
	assert.Equal(t, r.Deadline, DefaultDeadline)
	assert.Assert(t, r.Repeatable("GET") && !r.Repeatable("POST"))
	assert.Assert(t, r.AllowsTeam("a") && !r.AllowsTeam("b"))
}

// TestEmptyListOfRepeatableMethods guards against applying the default methods to a route with an empty list, whose
// requests must run at most once.
func TestEmptyListOfRepeatableMethods(t *testing.T) {
	doc := &config.Document{Routes: map[string]config.Route{
		"default": {Path: "/default", Service: "s"},
		"never":   {Path: "/never", Service: "s", RepeatableMethods: []string{}},
	}}
	table := NewTable(doc)
	route, ok := table.Match("", "/default")
	assert.Assert(t, ok && route.Repeatable("GET"))
	route, ok = table.Match("", "/never")
	assert.Assert(t, ok && !route.Repeatable("GET"))
}

// Guards against a prefix that no request can match because it is written in another form than the request's path.
func TestPrefixesAreComparedInOneForm(t *testing.T) {
	for _, prefix := range []string{"/z%C3%BCrich", "/z%c3%bcrich", "/zürich", "/%7A%C3%BCrich"} {
		table := NewTable(&config.Document{Routes: map[string]config.Route{"r": {Path: prefix, Below: true}}})
		for _, path := range []string{"/z%C3%BCrich/job", "/z%c3%bcrich/job", "/%7a%C3%BCrich/"} {
			u, err := url.ParseRequestURI(path)
			assert.NilError(t, err)
			_, ok := table.Match("h", config.NormalizeURLPath(u))
			assert.Assert(t, ok, "%s, %s", prefix, path)
		}
	}
}
