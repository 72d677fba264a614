package proxy

import (
	"bufio"
	"bytes"
	"net/http"
	"net/http/httptest"
	"os"
	"reflect"
	"testing"
	"time"

	"github.com/uptrace/bunrouter"
	"gotest.tools/v3/assert"
)

// readHTTP opens a message in testdata/wire.
func readHTTP(t *testing.T, file string) *bufio.Reader {
	t.Helper()
	data, err := os.ReadFile("testdata/wire/" + file)
	assert.NilError(t, err)
	return bufio.NewReader(bytes.NewReader(data))
}

// Guards against a header between entries and gates, or a field of announcements, that is renamed, removed or read differently.
// testdata/wire holds messages as the build of a commit wrote them; they are never changed. Extra headers of later builds do
// not matter.
func TestWireForms(t *testing.T) {
	load := Load{InFlight: 2, Slots: 4, Queued: 7}
	gate := &remoteGate{address: "10.0.0.2:1"}
	for commit, reportsWork := range map[string]bool{"e5723b9": false, "c69fd77": true} {
		want := Request{ID: "request-1", Entry: "vm1", Service: "svc", Team: "red", Route: "root", Depth: 2, CallerService: "web", Priority: 3,
			MayFail: true, Forced: true, Repeat: RepeatRefused, Pressed: true, NoWait: reportsWork, ConfigVersion: 47,
			Method: "POST", URI: "/a?b=%2f", Host: "shop.example"}
		checkRequest(t, commit+"/request.http", want, 5, reportsWork)
		want.Repeatable, want.IdempotencyKey, want.MayFail, want.Forced, want.Pressed, want.NoWait = true, "key-1", false, false, false, false
		want.Repeat = RepeatNone
		checkRequest(t, commit+"/keyed.http", want, 5, false)

		var work *Work
		if reportsWork {
			work = &Work{Start: 120 * time.Millisecond, Speed: 0.25, Cost: 840 * time.Millisecond}
		}
		resp, err := http.ReadResponse(readHTTP(t, commit+"/response.http"), nil)
		assert.NilError(t, err)
		assert.NilError(t, checkResponseID(resp.Header.Get(HeaderRequestID), "request-1"))
		assert.Assert(t, gate.parseRefusal(resp) == nil)
		got := gate.parseResponse(&Request{}, resp, func() {})
		defer got.Body.Close()
		assert.Equal(t, got.Header.Get("X-Answer"), "yes")
		got.Header, got.Body = nil, nil
		assert.Assert(t, reflect.DeepEqual(*got, Response{Status: 201, ContentLength: 2, Server: "10.0.0.9:8", Timing: Timing{Queue: 3 * time.Millisecond, Backend: 5 * time.Millisecond}, Load: load, Work: work}), "%s: %+v", commit, got)

		resp, err = http.ReadResponse(readHTTP(t, commit+"/refusal.http"), nil)
		assert.NilError(t, err)
		refusal := gate.parseRefusal(resp)
		assert.Assert(t, reflect.DeepEqual(*refusal, Refusal{Status: 503, Outcome: OutcomeNotRun, Reason: ReasonFaulty, Step: "gate", Peer: gate.address,
			RetryAfter: 700 * time.Millisecond, TrialIn: 250 * time.Millisecond, Load: &load, Work: work, Reached: true}), "%s: %+v", commit, refusal)
	}
	r, err := http.ReadRequest(readHTTP(t, "c69fd77/announcement.http"))
	assert.NilError(t, err)
	a, err := readAnnouncement(httptest.NewRecorder(), bunrouter.NewRequest(r))
	assert.ErrorContains(t, err, "name", "without a router there is none")
	assert.Equal(t, a, Announcement{Service: "svc", Address: "10.0.0.9:8", Instance: "i1", Slots: 4, Version: "v2", Draining: true, ColdMs: 500, StartedMs: 1764966303000, Sequence: 9})
}

// checkRequest compares a forwarded request with want, apart from its times, its headers and its body.
func checkRequest(t *testing.T, file string, want Request, length int64, declared bool) {
	t.Helper()
	r, err := http.ReadRequest(readHTTP(t, file))
	assert.NilError(t, err)
	before := time.Now()
	got, err := (&GateHandler{MaxBufferedBody: DefaultMaxBufferedBody}).parse(r)
	assert.NilError(t, err)
	after := time.Now()
	for at, remaining := range map[time.Time]time.Duration{got.Deadline: 9499 * time.Millisecond, got.Objective: 4499 * time.Millisecond} {
		received := at.Add(-remaining)
		assert.Assert(t, !received.Before(before) && !received.After(after), "%s: %v", file, at)
	}
	assert.Equal(t, got.Header.Get("X-Kept"), "kept")
	assert.Equal(t, got.Body.hasDeclared, declared)
	if declared || got.Body.buffered {
		assert.Equal(t, got.Body.expectedLength(), length)
	}
	got.Deadline, got.Objective, got.Header, got.Body = time.Time{}, time.Time{}, nil, nil
	assert.Assert(t, reflect.DeepEqual(*got, want), "%s: %+v", file, *got)
}
