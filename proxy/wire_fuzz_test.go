package proxy

import (
	"bufio"
	"bytes"
	"net/http"
	"os"
	"testing"
	"time"

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
