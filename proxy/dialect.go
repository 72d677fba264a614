package proxy

import (
	"net/http"
	"strconv"
	"time"
)

// Caller is the information that a caller sends in headers.
type Caller struct {
	// ID identifies the request; empty where the entry must generate one.
	ID string
	// Key is the caller's key. HasKey is false where the caller sent no key or more than one.
	Key    string
	HasKey bool
	// Remaining is how long the caller waits for a response; 0 where the caller does not say.
	Remaining time.Duration
}

// BackendRequest is the information that a gate adds to a request for a backend server.
type BackendRequest struct {
	ID   string
	Team string
	// CallerService is the service of the backend server on the VM that accepted the request; empty where there is
	// none.
	CallerService string
	// Instance is the instance that the request is intended for.
	Instance string
	// Remaining is the time until the deadline of the request.
	Remaining time.Duration
}

// BackendResponse is the information that a backend server adds to its response.
type BackendResponse struct {
	// ID is the request that the response belongs to; empty where the backend server does not report it.
	ID string
	// NotRun means that the backend server did not start the request.
	NotRun bool
	// OtherInstance means that the response comes from an instance other than the intended one. Without NotRun it does not
	// state that the request did not run.
	OtherInstance bool
}

// Dialect maps request metadata to and from the headers that callers and backend servers use. It has no state.
type Dialect interface {
	// Caller reads the metadata of a caller's request.
	Caller(r *http.Request) Caller
	// Strip deletes the caller's headers that no backend server may see or that the fleet sets itself.
	Strip(h http.Header)
	// ToBackend sets the headers for a backend server.
	ToBackend(h http.Header, r BackendRequest)
	// FromBackend reads the metadata of a backend server's response.
	FromBackend(resp *http.Response) BackendResponse
	// ImpliesNotRun reports whether callers take a status by itself as a promise that the request has not run and will not.
	ImpliesNotRun(status int) bool
	// ToCaller sets the headers that identify the request in a response to a caller.
	ToCaller(h http.Header, id string)
	// RetryAfter returns the value of a Retry-After header.
	RetryAfter(d time.Duration) string
}

// defaultDialect is the project's own dialect: keys are bearer credentials, and headers start with HeaderPrefix.
type defaultDialect struct{}

// Caller implements Dialect. It leaves ID and Remaining unset: the entry generates the ID, and the route limits the
// time.
func (defaultDialect) Caller(r *http.Request) Caller {
	key, ok := bearerKey(r.Header)
	return Caller{Key: key, HasKey: ok}
}

// Strip implements Dialect.
func (defaultDialect) Strip(h http.Header) {
	delete(h, "Authorization")
	delete(h, "Forwarded")
	delete(h, "X-Forwarded-For")
	delete(h, "X-Forwarded-Host")
	delete(h, "X-Forwarded-Proto")
}

// ToBackend implements Dialect.
func (defaultDialect) ToBackend(h http.Header, r BackendRequest) {
	h.Set(HeaderRequestID, r.ID)
	h.Set(HeaderTeam, r.Team)
	h.Set(HeaderDeadline, strconv.FormatInt(r.Remaining.Milliseconds(), 10))
}

// FromBackend implements Dialect.
func (defaultDialect) FromBackend(resp *http.Response) BackendResponse {
	return BackendResponse{ID: resp.Header.Get(HeaderRequestID)}
}

// ImpliesNotRun implements Dialect. Callers read the outcome from HeaderOutcome, which no backend server can set.
func (defaultDialect) ImpliesNotRun(int) bool { return false }

// ToCaller implements Dialect.
func (defaultDialect) ToCaller(h http.Header, id string) { h.Set(HeaderRequestID, id) }

// RetryAfter implements Dialect. The value is in whole seconds, rounded up.
func (defaultDialect) RetryAfter(d time.Duration) string { return retryAfterSeconds(d) }
