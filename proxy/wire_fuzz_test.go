package proxy

import (
	"bufio"
	"bytes"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"github.com/uptrace/bunrouter"
	"gotest.tools/v3/assert"
)

// addWire adds files of testdata/wire to the corpus.
func addWire(f *testing.F, files ...string) {
	for _, file := range files {
		data, err := os.ReadFile("testdata/wire/" + file)
		assert.NilError(f, err)
		f.Add(data)
	}
}

// FuzzGateResponse guards against a response of a gate that stops the entry, that passes the fleet's own headers on to callers, or
// that makes the entry keep a VM out of use for longer than a request lasts.
func FuzzGateResponse(f *testing.F) {
	addWire(f, "e5723b9/response.http", "e5723b9/refusal.http", "c69fd77/response.http", "c69fd77/refusal.http")
	const head = "HTTP/1.1 503 S\r\nRosemaryline-Outcome: not-run\r\n"
	f.Add([]byte(head + "Rosemaryline-Retry-After-Ms: 9223372036854775\r\n\r\n"))
	f.Add([]byte(head + "Rosemaryline-Trial-In-Ms: -9223372036855\r\n\r\n"))
	f.Add([]byte(head + "Rosemaryline-Load: 1/-1/9\r\nRosemaryline-Work: 1;0;1\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nRosemaryline-Queue-Us: 9223372036854775807\r\nConnection: rosemaryline-server\r\nrosemaryline-x: 1\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(data)), nil)
		if err != nil {
			return
		}
		g := &remoteGate{address: "10.0.0.2:1"}
		inRange := func(d time.Duration) {
			if d < 0 || d > maxPeerDeadline {
				t.Fatalf("%v is out of range", d)
			}
		}
		checkLoad := func(l Load) { assert.Assert(t, l.InFlight >= 0 && l.Slots >= 0 && l.Queued >= 0, "%+v", l) }
		if refusal := g.parseRefusal(resp); refusal != nil {
			inRange(refusal.RetryAfter)
			inRange(refusal.TrialIn)
			assert.Assert(t, refusal.Outcome == OutcomeNotRun || refusal.Outcome == OutcomeUnknown && refusal.Reached)
			if refusal.Load != nil {
				checkLoad(*refusal.Load)
			}
			return
		}
		got := g.parseResponse(&Request{}, resp, func() {})
		defer got.Body.Close()
		inRange(got.Timing.Queue)
		inRange(got.Timing.Backend)
		checkLoad(got.Load)
		for name := range got.Header {
			if len(name) >= len(HeaderPrefix) && http.CanonicalHeaderKey(name[:len(HeaderPrefix)]) == HeaderPrefix {
				t.Fatalf("header %q reaches the caller", name)
			}
		}
	})
}

// FuzzAnnouncement guards against an announcement that is accepted although its values are not in their ranges, and against a server
// that counts as warm because its cold time overflows.
func FuzzAnnouncement(f *testing.F) {
	f.Add([]byte(`{"service":"svc","address":"10.0.0.9:8","instance":"i1","slots":4,"version":"v2","draining":true,"coldMs":500,"startedMs":1764966303000,"sequence":9}`))
	f.Add([]byte(`{"service":"svc","address":"10.0.0.9:8","instance":"i1","slots":-1,"coldMs":-9223372036854775808}`))
	f.Add([]byte(`{"service":"svc","address":"10.0.0.9:8","instance":"i1","coldMs":9223372036854775807,"startedMs":-1}`))
	f.Add([]byte(`{"service":"svc","address":"[::1]:0","instance":"i1"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var got Announcement
		var err error
		router := bunrouter.New()
		router.PUT("/v1/backend-servers/:name", func(w http.ResponseWriter, r bunrouter.Request) error {
			got, err = readAnnouncement(w, r)
			return nil
		})
		router.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest("PUT", "/v1/backend-servers/b1", bytes.NewReader(data)))
		if err != nil {
			return
		}
		cold := got.coldTime()
		if got.Name != "b1" || got.Service == "" || got.Instance == "" || got.Slots < 0 || got.Slots > maxSlots || cold < 0 || cold > maxColdTime ||
			got.ColdMs > 0 && cold == 0 {
			t.Fatalf("accepted %+v", got)
		}
	})
}
