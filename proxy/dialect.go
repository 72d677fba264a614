package proxy

import (
	"net/http"
	"strconv"
	"time"
)

// Caller is what a caller tells beside the request itself.
type Caller struct {
	// ID names the request; empty where the entry gives it one.
	ID string
	// Key is the caller's key; HasKey is false where none or more than one came.
	Key    string
	HasKey bool
	// Remaining is the time for which the caller waits; 0 where it tells none.
	Remaining time.Duration
}

// BackendRequest is what a backend server is told beside the request itself.
type BackendRequest struct {
	ID   string
	Team string
	// CallerService is the service of the backend server on whose VM the request began.
	CallerService string
	// Instance is the instance that the request is meant for.
	Instance string
	// Remaining is the time until the request's deadline.
	Remaining time.Duration
}

// BackendAnswer is what a backend server tells beside its answer.
type BackendAnswer struct {
	// ID is the request that the answer belongs to; empty where the backend server tells none.
	ID string
	// NotRun means that the backend server certainly did not begin the request.
	NotRun bool
	// OtherInstance means that another instance than the one meant answered.
	OtherInstance bool
}

// Dialect maps what travels in headers between the fleet and callers or backend servers. It has no state.
type Dialect interface {
	// Caller reads a caller's request.
	Caller(r *http.Request) Caller
	// Strip deletes from a caller's headers what no backend server may see or what the fleet sets itself.
	Strip(h http.Header)
	// ToBackend sets the headers for a backend server.
	ToBackend(h http.Header, r BackendRequest)
	// FromBackend reads a backend server's answer.
	FromBackend(resp *http.Response) BackendAnswer
	// ToCaller sets the headers of an answer that name the request.
	ToCaller(h http.Header, id string)
	// RetryAfter is the text of a Retry-After header.
	RetryAfter(d time.Duration) string
}

// ownDialect is the project's own form: keys as bearer credentials, and headers with HeaderPrefix.
type ownDialect struct{}

// Caller implements Dialect. The entry names the request and the route bounds its time.
func (ownDialect) Caller(r *http.Request) Caller {
	key, ok := bearerKey(r.Header)
	return Caller{Key: key, HasKey: ok}
}

// Strip implements Dialect.
func (ownDialect) Strip(h http.Header) {
	delete(h, "Authorization")
	delete(h, "Forwarded")
	delete(h, "X-Forwarded-For")
	delete(h, "X-Forwarded-Host")
	delete(h, "X-Forwarded-Proto")
}

// ToBackend implements Dialect.
func (ownDialect) ToBackend(h http.Header, r BackendRequest) {
	h.Set(HeaderRequestID, r.ID)
	h.Set(HeaderTeam, r.Team)
	h.Set(HeaderDeadline, strconv.FormatInt(r.Remaining.Milliseconds(), 10))
}

// FromBackend implements Dialect.
func (ownDialect) FromBackend(resp *http.Response) BackendAnswer {
	return BackendAnswer{ID: resp.Header.Get(HeaderRequestID)}
}

// ToCaller implements Dialect.
func (ownDialect) ToCaller(h http.Header, id string) { h.Set(HeaderRequestID, id) }

// RetryAfter implements Dialect in whole seconds, rounded up.
func (ownDialect) RetryAfter(d time.Duration) string { return retryAfterSeconds(d) }
