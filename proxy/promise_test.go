package proxy

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemaryline.dev/admission"
	"rosemaryline.dev/fleet/config"
	"rosemaryline.dev/fleet/state"
)

// promisingDialect is sheddingDialect for callers that take some statuses as a promise that the request has not run.
type promisingDialect struct{ sheddingDialect }

func (promisingDialect) ImpliesNotRun(status int) bool { return impliesNotRun(status) }

// promiseFleet returns an entry and the gate of its requests, on one VM or on two. Each serves /once and /call, whose requests
// may not be repeated, and / for all others. /call needs no key.
func promiseFleet(t *testing.T, hops string, d Dialect, h http.HandlerFunc) (entry, gate *testVM, b *backend) {
	v := newFleetView(t, 4)
	call := config.Route{Path: "/call", Service: "svc", Access: config.AccessPublic, RepeatableMethods: []string{"OPTIONS"}, Deadline: config.Duration(5 * time.Second)}
	change := config.Change{Routes: config.Entries[config.Route]{Set: map[string]config.Route{"call": call}}}
	v.apply(t, state.Command{Operator: "test", Apply: &state.ApplyChange{Change: change, ContentHash: change.Hash()}})
	b = newBackend(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
		h(w, r)
	})
	setDialect := func(o *EntryOptions) { o.Dialect = d }
	if hops == "both hops" {
		entry, gate = newEntryAndGate(t, v, b, setDialect)
	} else {
		entry = newSingleVM(t, v, b, setDialect)
		gate = entry
	}
	gate.gate.opts.Dialect = d
	return entry, gate, b
}

// Guards against passing on a backend server's status that callers take as a promise that the request has not run, although the
// backend server has begun it: they would send a request once more that may not be repeated.
func TestStatusOfARunRequestPromisesNothing(t *testing.T) {
	requests := []struct {
		desc, path string
		header     []string
	}{
		{desc: "unsafe", path: "/once"},
		{desc: "keyed", path: "/once", header: []string{HeaderIdempotencyKey, "k"}},
		{desc: "keyed on a route that may be repeated", path: "/a", header: []string{HeaderIdempotencyKey, "k"}},
		{desc: "call of a backend server", path: "/call"},
	}
	bodies := map[string]string{"short": "failed", "streamed": strings.Repeat("f", maxBufferedResponse+1)}
	for _, status := range []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		for _, hops := range []string{"one hop", "both hops"} {
			for _, request := range requests {
				for length, body := range bodies {
					t.Run(fmt.Sprint(status, ", ", hops, ", ", request.desc, ", ", length), func(t *testing.T) {
						entry, _, b := promiseFleet(t, hops, promisingDialect{}, func(w http.ResponseWriter, _ *http.Request) {
							w.Header().Set("Retry-After", "1")
							w.Header().Set("Signature", "of the backend server")
							w.WriteHeader(status)
							io.WriteString(w, body)
						})
						resp, text, err := sendRequest(t, entry.caller, "POST", request.path, strings.NewReader("b"), request.header...)
						assert.NilError(t, err)
						assert.Equal(t, resp.StatusCode, http.StatusBadGateway, text)
						assert.Equal(t, Outcome(resp.Header.Get(HeaderOutcome)), OutcomeUnknown)
						assert.Equal(t, resp.Header.Get("Retry-After"), "")
						assert.Equal(t, resp.Header.Get("Signature"), "", "it is of another response")
						assert.Equal(t, b.count(), 1, "a request that may not be repeated ran again")
					})
				}
			}
		}
	}
}

// Guards against a promise in the stored response of an idempotency key: the first submission has run.
func TestStoredResponsePromisesNothing(t *testing.T) {
	entry, gate, b := promiseFleet(t, "both hops", promisingDialect{}, func(http.ResponseWriter, *http.Request) {})
	gate.claimer.stored = func() *Response {
		return &Response{Status: http.StatusServiceUnavailable, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("failed")), ContentLength: 6}
	}
	resp, text, err := sendRequest(t, entry.caller, "POST", "/once", strings.NewReader("b"), HeaderIdempotencyKey, "k")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusBadGateway, text)
	assert.Equal(t, b.count(), 0)
}

// Guards against releasing the claim of a request that a backend server may have run: another submission would run it again.
func TestUnmarkedOtherInstanceKeepsTheClaim(t *testing.T) {
	entry, gate, _ := promiseFleet(t, "both hops", promisingDialect{}, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusMisdirectedRequest)
	})
	resp, _, err := sendRequest(t, entry.caller, "POST", "/once", strings.NewReader("b"), HeaderIdempotencyKey, "k")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusBadGateway)
	assert.Assert(t, contains(gate.claimer.calls, "abandon"), "%v", gate.claimer.calls)
}

// Guards against replacing responses that break no promise: of requests that may be repeated, and for callers that take no status
// as a promise.
func TestOtherStatusesArePassedOn(t *testing.T) {
	for _, test := range []struct {
		desc, method, path string
		dialect            Dialect
		status             int
	}{
		{"may be repeated", "GET", "/a", promisingDialect{}, http.StatusTooManyRequests},
		{"may be repeated, after several attempts", "GET", "/a", promisingDialect{}, http.StatusServiceUnavailable},
		{"no promise", "POST", "/once", promisingDialect{}, http.StatusInternalServerError},
		{"conflict", "POST", "/once", promisingDialect{}, http.StatusConflict},
		{"statuses without a meaning", "POST", "/once", defaultDialect{}, http.StatusServiceUnavailable},
	} {
		t.Run(test.desc, func(t *testing.T) {
			entry, _, _ := promiseFleet(t, "both hops", test.dialect, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Retry-After", "1")
				w.WriteHeader(test.status)
				io.WriteString(w, "failed")
			})
			resp, text, err := sendRequest(t, entry.caller, test.method, test.path, strings.NewReader(""))
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, test.status)
			assert.Equal(t, text, "failed")
			assert.Equal(t, resp.Header.Get("Retry-After"), "1")
			assert.Equal(t, resp.Header.Get(HeaderOutcome), "")
		})
	}
}

// Guards against a failing backend server that its circuit breaker never sees: its failures have a status that means overload where
// the backend server marks it.
func TestUnmarkedRefusalsCountAsFailures(t *testing.T) {
	for _, test := range []struct {
		desc    string
		dialect Dialect
		marked  bool
		want    admission.Result
	}{
		{"marked", promisingDialect{}, true, admission.Overloaded},
		{"not marked", promisingDialect{}, false, admission.Failed},
		{"without marks", defaultDialect{}, false, admission.Overloaded},
	} {
		for _, status := range []int{http.StatusTooManyRequests, http.StatusServiceUnavailable} {
			t.Run(fmt.Sprint(test.desc, ", ", status), func(t *testing.T) {
				entry, gate, _ := promiseFleet(t, "one hop", test.dialect, func(w http.ResponseWriter, _ *http.Request) {
					if test.marked {
						w.Header().Set("Not-Run", "1")
					}
					w.WriteHeader(status)
				})
				_, _, err := sendRequest(t, entry.caller, "POST", "/once", strings.NewReader("b"))
				assert.NilError(t, err)
				assert.DeepEqual(t, gate.observer.seen(), []admission.Result{test.want})
			})
		}
	}
}
