package proxy

import (
	"net/http"
	"net/textproto"
	"strings"
)

// Headers between the processes of the fleet, and between a gate and a backend server.
const (
	HeaderPrefix    = "Rosemaryline-"
	HeaderRequestID = HeaderPrefix + "Request-Id"
	HeaderOutcome   = HeaderPrefix + "Outcome"
	HeaderTeam      = HeaderPrefix + "Team"
	// HeaderDeadline is the remaining time in milliseconds. A duration is used because the clocks of two VMs may
	// differ.
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
	headerWork          = HeaderPrefix + "Work"
	headerReports       = HeaderPrefix + "Reports"
	headerQueue         = HeaderPrefix + "Queue-Us"
	headerBackend       = HeaderPrefix + "Backend-Us"
	headerServer        = HeaderPrefix + "Server"
	headerCaller        = HeaderPrefix + "Caller-Service"
	headerPriority      = HeaderPrefix + "Priority"
	headerObjective     = HeaderPrefix + "Objective-Ms"
	headerMayFail       = HeaderPrefix + "May-Fail"
	headerForced        = HeaderPrefix + "Forced"
	headerRepeat        = HeaderPrefix + "Repeat"
	headerPressed       = HeaderPrefix + "Pressed"
	headerNoWait        = HeaderPrefix + "No-Wait"
	headerTrialInMs     = HeaderPrefix + "Trial-In-Ms"
	headerReached       = HeaderPrefix + "Reached"
	headerRetryAfterMs  = HeaderPrefix + "Retry-After-Ms"
	// headerBodyLength is the length in bytes of a body that an entry sends in chunks although it knows the length.
	headerBodyLength = HeaderPrefix + "Body-Length"

	// HeaderIdempotencyKey identifies a request that must not run twice.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// hopByHopHeaders are the headers that apply to one connection only (RFC 9110 section 7.6.1).
var hopByHopHeaders = []string{
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

// removeHopByHop deletes hop-by-hop headers, including those listed in Connection.
func removeHopByHop(h http.Header) {
	for _, line := range h["Connection"] {
		for _, name := range strings.Split(line, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(h, name)
	}
}

// removeFleetHeaders deletes every header that only processes of the fleet may set.
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

// responseHeaders returns the headers of a backend server's response as a caller may see them: without hop-by-hop
// headers and without the fleet's own headers.
func responseHeaders(backend http.Header) http.Header {
	h := backend.Clone()
	removeHopByHop(h)
	removeFleetHeaders(h)
	return h
}
