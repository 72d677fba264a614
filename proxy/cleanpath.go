package proxy

import (
	"path"
	"strings"
)

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
