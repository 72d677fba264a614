package proxy

import (
	"net/http"
	"net/textproto"
	"strings"
)

// Headers between the fleet's processes, and between a gate and a backend server.
const (
	HeaderPrefix    = "Rosemaryline-"
	HeaderRequestID = HeaderPrefix + "Request-Id"
	HeaderOutcome   = HeaderPrefix + "Outcome"
	HeaderTeam      = HeaderPrefix + "Team"
	// HeaderDeadline holds the remaining time in milliseconds, so that clocks need not agree.
	HeaderDeadline = HeaderPrefix + "Deadline-Ms"

	headerEntry         = HeaderPrefix + "Entry"
	headerService       = HeaderPrefix + "Service"
	headerRoute         = HeaderPrefix + "Route"
	headerDepth         = HeaderPrefix + "Depth"
	headerConfigVersion = HeaderPrefix + "Config-Version"
	headerRepeatable    = HeaderPrefix + "Repeatable"
	headerURI           = HeaderPrefix + "Uri"
	headerHost          = HeaderPrefix + "Host"
	headerReason        = HeaderPrefix + "Reason"
	headerLoad          = HeaderPrefix + "Load"
	headerQueue         = HeaderPrefix + "Queue-Us"
	headerBackend       = HeaderPrefix + "Backend-Us"
	headerServer        = HeaderPrefix + "Server"
	headerCaller        = HeaderPrefix + "Caller-Service"
	headerPriority      = HeaderPrefix + "Priority"
	headerObjective     = HeaderPrefix + "Objective-Ms"
	headerMayFail       = HeaderPrefix + "May-Fail"
	headerForced        = HeaderPrefix + "Forced"
	headerReached       = HeaderPrefix + "Reached"
	headerRetryAfterMs  = HeaderPrefix + "Retry-After-Ms"

	// HeaderIdempotencyKey is the caller's name for a request that must not run twice.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// hopByHop are the headers that concern one connection only (RFC 9110 section 7.6.1).
var hopByHop = []string{
	"Connection",
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Proxy-Connection",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
}

// removeHopByHop deletes hop-by-hop headers, also those that Connection names.
func removeHopByHop(h http.Header) {
	for _, line := range h["Connection"] {
		for _, name := range strings.Split(line, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		delete(h, name)
	}
}

// removeFleetHeaders deletes every header that only the fleet's processes may set.
func removeFleetHeaders(h http.Header) {
	for name := range h {
		if len(name) >= len(HeaderPrefix) && strings.EqualFold(name[:len(HeaderPrefix)], HeaderPrefix) {
			delete(h, name)
		}
	}
}

// requestHeaders returns the caller's headers as a backend server may see them: without the key, without hop-by-hop
// headers and without headers that a caller could forge.
func requestHeaders(caller http.Header, d Dialect) http.Header {
	h := caller.Clone()
	removeHopByHop(h)
	removeFleetHeaders(h)
	delete(h, "Expect")
	d.Strip(h)
	return h
}

// answerHeaders returns a backend server's answer headers as a caller may see them.
func answerHeaders(backend http.Header) http.Header {
	h := backend.Clone()
	removeHopByHop(h)
	removeFleetHeaders(h)
	return h
}
