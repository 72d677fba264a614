package config

import (
	"net/url"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// NormalizePath returns the form of an escaped URL path in which paths and the prefixes of routes are compared: two paths that are
// equivalent by RFC 3986 have the same form.
//
//   - An encoded unreserved character (a letter, a digit, "-", ".", "_" or "~") equals its plain form (section 6.2.2.2).
//   - The case of hexadecimal digits does not matter (section 6.2.2.1); the form has upper case.
//   - An encoded reserved character is data and not its plain form: "%2F" does not separate segments (section 2.2).
//   - Bytes that cannot stand in a path, such as those above 0x7f, are encoded.
//
// Dot segments and empty segments stay. The error reports a "%" without two hexadecimal digits. A second call changes nothing.
func NormalizePath(escaped string) (string, error) {
	if isNormalized(escaped) {
		return escaped, nil
	}
	var b strings.Builder
	b.Grow(len(escaped))
	for i := 0; i < len(escaped); i++ {
		c := escaped[i]
		switch {
		case c == '%':
			if i+2 >= len(escaped) || !isHex(escaped[i+1]) || !isHex(escaped[i+2]) {
				return "", errors.Errorf("path %q has a %% without two hexadecimal digits", escaped)
			}
			decoded := unhex(escaped[i+1])<<4 | unhex(escaped[i+2])
			i += 2
			if isUnreserved(decoded) {
				b.WriteByte(decoded)
				continue
			}
			writeEscaped(&b, decoded)
		case isPathByte(c):
			b.WriteByte(c)
		default:
			writeEscaped(&b, c)
		}
	}
	return b.String(), nil
}

// checkRoutePaths reports prefixes that no request can match, and those that are equal to another one once both are normalized. It
// is not a part of Validate, which members of the control group of earlier builds run on the same commands.
func (d *Document) checkRoutePaths() (problems []FieldError) {
	type match struct {
		host, path string
		below      bool
	}
	first := map[match]string{}
	eachSorted(d.Routes, func(name string, r Route) {
		field := joinPath("routes", name) + ".path"
		path, err := NormalizePath(r.Path)
		if err != nil {
			problems = append(problems, FieldError{Field: field, Problem: err.Error()})
			return
		}
		key := match{r.Host, path, r.Below}
		if other, taken := first[key]; taken {
			problems = append(problems, FieldError{Field: field, Problem: "route " + strconv.Quote(other) + " has an equivalent path"})
			return
		}
		first[key] = name
	})
	return problems
}

// NormalizeURLPath returns the normalized path of a parsed URL, which has no bad escapes.
func NormalizeURLPath(u *url.URL) string {
	path, err := NormalizePath(EscapedPath(u))
	if err != nil {
		return u.Path
	}
	return path
}

// EscapedPath returns the path of a parsed URL as it was written, except that bytes that cannot stand in a path are escaped.
// url.URL.EscapedPath decodes all escapes of a path with such a byte, also an encoded slash.
func EscapedPath(u *url.URL) string {
	if decoded, err := url.PathUnescape(u.RawPath); u.RawPath == "" || err != nil || decoded != u.Path {
		return u.EscapedPath()
	}
	var b strings.Builder
	for i := range len(u.RawPath) {
		if c := u.RawPath[i]; c == '%' || c == '[' || c == ']' || isPathByte(c) {
			b.WriteByte(c)
		} else {
			writeEscaped(&b, c)
		}
	}
	return b.String()
}

// isNormalized reports whether a path holds only bytes that stay as they are. It spares most requests a copy.
func isNormalized(path string) bool {
	for i := range len(path) {
		if path[i] == '%' || !isPathByte(path[i]) {
			return false
		}
	}
	return true
}

// isUnreserved reports whether a byte is an unreserved character of RFC 3986, section 2.3.
func isUnreserved(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || strings.IndexByte("-._~", c) >= 0
}

// isPathByte reports whether a byte may stand in a path: a pchar of RFC 3986, section 3.3, or a slash.
func isPathByte(c byte) bool { return isUnreserved(c) || strings.IndexByte("!$&'()*+,;=:@/", c) >= 0 }

func isHex(c byte) bool {
	return '0' <= c && c <= '9' || 'a' <= c && c <= 'f' || 'A' <= c && c <= 'F'
}

func unhex(c byte) byte {
	switch {
	case c >= 'a':
		return c - 'a' + 10
	case c >= 'A':
		return c - 'A' + 10
	}
	return c - '0'
}

func writeEscaped(b *strings.Builder, c byte) {
	const digits = "0123456789ABCDEF"
	b.WriteByte('%')
	b.WriteByte(digits[c>>4])
	b.WriteByte(digits[c&15])
}
