package pipeline

import (
	"bufio"
	"bytes"
	"net/http"
	"slices"
	"strings"
	"sync"
)

// maxHeadBytes is the largest head of a request that is looked for. Behind a larger one no request is started early.
const maxHeadBytes = 32 << 10

// splitter finds the requests in the bytes that a client sends. It only has to be right about requests that it reports: where
// it does not know how net/http will read the bytes, it reports nothing from then on.
type splitter struct {
	head []byte // the part of the current head that has arrived
	// scanned is the number of bytes of head that were searched for its end; lineLength is the length of the line there.
	scanned, lineLength int
	bodyLeft            int64 // bytes of the current body that have not arrived
	opaque              bool  // nothing more is reported
}

// seen is a request that the splitter found. ambiguous is true if it has both a Content-Length and a Transfer-Encoding, of which
// net/http drops the first.
type seen struct {
	*http.Request
	ambiguous bool
}

// feed takes the next bytes and returns the requests whose heads they complete.
func (s *splitter) feed(data []byte) []seen {
	var found []seen
	for len(data) > 0 && !s.opaque {
		if skipped := min(s.bodyLeft, int64(len(data))); skipped > 0 {
			s.bodyLeft -= skipped
			data = data[skipped:]
			continue
		}
		if len(s.head) == 0 && (data[0] == '\r' || data[0] == '\n') {
			s.opaque = true // net/http ignores empty lines before a request only in some places
			break
		}
		before := len(s.head)
		s.head = append(s.head, data...)
		end, complete := s.headEnd()
		if !complete {
			s.opaque = len(s.head) > maxHeadBytes
			break
		}
		data = data[end-before:]
		head := s.head[:end]
		r := s.parse(head)
		s.head, s.scanned, s.lineLength = nil, 0, 0
		if r != nil {
			found = append(found, seen{r, hasField(head, "content-length:") && hasField(head, "transfer-encoding:")})
		}
	}
	if s.opaque {
		s.head = nil
	}
	return found
}

// headEnd returns the length of the head if all of it has arrived: up to and including the first empty line.
func (s *splitter) headEnd() (end int, complete bool) {
	for i := s.scanned; i < len(s.head); i++ {
		switch s.head[i] {
		case '\n':
			if s.lineLength == 0 {
				return i + 1, true
			}
			s.lineLength = 0
		case '\r':
			if i+1 == len(s.head) {
				s.scanned = i // it belongs to the line unless a line feed follows
				return 0, false
			}
			if s.head[i+1] != '\n' {
				s.lineLength++
			}
		default:
			s.lineLength++
		}
	}
	s.scanned = len(s.head)
	return 0, false
}

// bodiless are the methods whose requests may be started early if they have no body, and withBody those of other requests
// behind which the next one is found.
var (
	bodiless = []string{http.MethodGet, http.MethodHead}
	withBody = []string{http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete}
)

// headReaders are the readers of parse, each with a buffer of 4 KB.
var headReaders = sync.Pool{New: func() any { return bufio.NewReader(nil) }}

// parse returns the request with the given head, or nil if net/http may read it differently.
func (s *splitter) parse(head []byte) *http.Request {
	reader := headReaders.Get().(*bufio.Reader)
	defer headReaders.Put(reader)
	reader.Reset(bytes.NewReader(head))
	r, err := http.ReadRequest(reader)
	if err != nil || !r.ProtoAtLeast(1, 1) || r.ProtoMajor != 1 {
		s.opaque = true
		return nil
	}
	known := slices.Contains(bodiless, r.Method) || slices.Contains(withBody, r.Method)
	if !known || r.Host == "" || r.ContentLength < 0 || r.Header.Get("Expect") != "" || r.Header.Get("Upgrade") != "" || r.Close {
		s.opaque = true // the request itself is served; what follows it is not looked at
	}
	s.bodyLeft = max(r.ContentLength, 0)
	r.Body = http.NoBody // a body would be read from reader
	return r
}

// hasField reports whether a head has a line that begins with name, which is in lower case and ends with a colon.
func hasField(head []byte, name string) bool {
	for line := range bytes.Lines(head) {
		if len(line) >= len(name) && strings.EqualFold(string(line[:len(name)]), name) {
			return true
		}
	}
	return false
}

// startable reports whether a request may be started early as far as its form is concerned. It leaves requests that net/http
// refuses to net/http.
func startable(r *http.Request) bool {
	if !slices.Contains(bodiless, r.Method) || r.ContentLength != 0 || r.Header.Get("Expect") != "" || r.Header.Get("Upgrade") != "" {
		return false
	}
	for name, values := range r.Header {
		if !isToken(name) || slices.ContainsFunc(values, hasControl) {
			return false
		}
	}
	return r.Host != "" && !strings.ContainsFunc(r.Host, func(c rune) bool { return c <= ' ' || c >= 0x7f })
}

// isToken reports whether a header name consists of letters, digits and the punctuation that RFC 9110 allows.
func isToken(name string) bool {
	return name != "" && !strings.ContainsFunc(name, func(c rune) bool {
		letter := 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9'
		return !letter && !strings.ContainsRune("!#$%&'*+-.^_`|~", c)
	})
}

// hasControl reports whether a header value contains a control character other than a tab.
func hasControl(value string) bool {
	return strings.ContainsFunc(value, func(c rune) bool { return c < ' ' && c != '\t' || c == 0x7f })
}
