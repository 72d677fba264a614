package proxy

import (
	"net/url"
	"path"
	"strings"

	"rosemaryline.dev/fleet/config"
)

// encodedSlash is a slash that is data, in a normalized path.
const encodedSlash = "%2F"

// alternativePaths returns the normalized paths that a backend server may read a path as if it cleans it. If the path has an
// encoded slash, the backend server may decode that first, which can make dot segments of it: decoded is the path in which all
// escapes are decoded.
func alternativePaths(normalized, decoded string) []string {
	forms := cleanedForms(normalized)
	if !strings.Contains(normalized, encodedSlash) {
		return forms
	}
	for _, cleaned := range cleanedForms(decoded) {
		forms = append(forms, config.NormalizeURLPath(&url.URL{Path: cleaned}))
	}
	return forms
}

// cleanedForms returns the paths that a backend server may read a path as if it removes dot segments and empty segments: without a
// trailing slash, and with one if the path names a directory. It returns nil for a path that is clean except for a trailing slash,
// because it is forwarded with that slash and a route may be for exactly that path.
func cleanedForms(p string) []string {
	cleaned := path.Clean(p)
	if p == cleaned || p == cleaned+"/" {
		return nil
	}
	if cleaned == "/" || !strings.HasSuffix(p, "/") && !strings.HasSuffix(p, "/.") && !strings.HasSuffix(p, "/..") {
		return []string{cleaned}
	}
	return []string{cleaned, cleaned + "/"}
}

// requestTarget returns the path and the query of a request as the caller sent them, in a form that the next hop's URL keeps.
func requestTarget(u *url.URL) string {
	target := *u
	target.RawPath = config.EscapedPath(u)
	return target.RequestURI()
}
