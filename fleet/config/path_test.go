package config

import (
	"net/url"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a path that is compared in another form than RFC 3986 gives it.
func TestNormalizePath(t *testing.T) {
	for _, test := range []struct{ escaped, want string }{
		{"/a/b-._~9", "/a/b-._~9"},
		{"/%61%2D%7e", "/a-~"},
		{"/z%c3%bcrich/", "/z%C3%BCrich/"},
		{"/zürich/", "/z%C3%BCrich/"},
		{"/list%2f17", "/list%2F17"},
		{"/a%40b@c", "/a%40b@c"},
		{"/%2e%2E/x", "/../x"},
		{"/a%00b", "/a%00b"},
		{"/100%25", "/100%25"},
		{"/%2541", "/%2541"},
		{`/a b"c`, "/a%20b%22c"},
		{"/a//b/./c", "/a//b/./c"},
		{"", ""},
	} {
		got, err := NormalizePath(test.escaped)
		assert.NilError(t, err)
		assert.Equal(t, got, test.want, test.escaped)
	}
	for _, bad := range []string{"/%", "/%4", "/%zz/", "/a%g0"} {
		_, err := NormalizePath(bad)
		assert.ErrorContains(t, err, bad)
	}
}

// Guards against a file with a prefix that no request matches, or with two that match the same requests.
func TestLoadChecksRoutePaths(t *testing.T) {
	for overlay, want := range map[string]string{
		`routes: {bad: {path: "/a%g0", service: web, access: open}}`:                                                    `routes.bad.path: path "/a%g0" has a %`,
		`routes: {one: {path: "/z%c3%bc", service: web, access: open}, two: {path: "/zü", service: web, access: open}}`: `routes.two.path: route "one" has an equivalent path`,
	} {
		_, err := Load([]byte(testBase), []byte(overlay), [2]string{"base.yaml", "site.yaml"})
		assert.ErrorContains(t, err, want)
	}
}

// FuzzNormalizePath guards against a second form of a normalized path, against an encoded slash that separates segments, and
// against a form that a URL reads as another path.
func FuzzNormalizePath(f *testing.F) {
	for _, seed := range []string{"/", "/a%2Fb/%2e%2e/c", "/z%C3%BCrich/", "/%00", "/%25%32%46", "/a b?c#d", "//x//", "/%"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, escaped string) {
		normalized, err := NormalizePath(escaped)
		if err != nil {
			return
		}
		again, err := NormalizePath(normalized)
		if err != nil || again != normalized {
			t.Fatalf("%q: %q, then %q, %v", escaped, normalized, again, err)
		}
		if strings.Count(escaped, "/") != strings.Count(normalized, "/") {
			t.Fatalf("%q has other segments than %q", normalized, escaped)
		}
		before, err := url.PathUnescape(escaped)
		if err != nil {
			t.Fatalf("%q: %v", escaped, err)
		}
		after, err := url.PathUnescape(normalized)
		if err != nil || before != after {
			t.Fatalf("%q decodes to %q, %q to %q, %v", escaped, before, normalized, after, err)
		}
	})
}
