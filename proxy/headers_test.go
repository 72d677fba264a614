package proxy

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against a backend server that receives the key, headers that a caller forged or hop-by-hop headers, and
// against callers that receive the fleet's own headers.
func TestHeadersAreFiltered(t *testing.T) {
	b := newBackend(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(HeaderOutcome, "not-run")
		w.Header().Set("Rosemaryline-Load", "1/1/1")
		w.Header().Set("Keep-Alive", "5")
		w.Header().Set("X-Answer", "yes")
		io.WriteString(w, "ok")
	})
	v := newFleetView(t, 4)
	remote, _ := newEntryAndGate(t, v, b)
	for desc, m := range map[string]*testVM{"one hop": newSingleVM(t, v, b), "both hops": remote} {
		t.Run(desc, func(t *testing.T) {
			resp, text, err := sendRequest(t, m.caller, "GET", "/a?b=%2f", nil, "Rosemaryline-Team", "blue", "rosemaryline-depth", "9",
				"Connection", "X-Named, close", "X-Named", "1", "Te", "trailers", "Keep-Alive", "1", "Proxy-Authorization", "red-key",
				"Upgrade", "x", "X-Forwarded-For", "9.9.9.9", "Forwarded", "for=9", "X-Kept", "kept", HeaderRequestID, "forged")
			assert.NilError(t, err)
			assert.Equal(t, text, "ok")
			assert.Equal(t, resp.Header.Get(HeaderOutcome)+resp.Header.Get("Rosemaryline-Load")+resp.Header.Get("Keep-Alive"), "")
			assert.Equal(t, resp.Header.Get("X-Answer"), "yes")
			r, _ := b.seen()
			assert.Assert(t, !strings.Contains(fmt.Sprint(r.Header, r.URL, r.Host), "red-key"))
			for _, name := range []string{"Rosemaryline-Depth", "Rosemaryline-Uri", "X-Named", "Te", "Keep-Alive", "Proxy-Authorization", "Upgrade", "X-Forwarded-For", "Forwarded"} {
				assert.Equal(t, r.Header.Get(name), "", name)
			}
			assert.Equal(t, r.Header.Get(HeaderTeam), "red")
			assert.Equal(t, r.Header.Get(HeaderRequestID), resp.Header.Get(HeaderRequestID))
			assert.Assert(t, r.Header.Get(HeaderRequestID) != "forged")
			assert.Equal(t, r.Header.Get("X-Kept")+r.RequestURI, "kept/a?b=%2f")
		})
	}
}

// Guards against a gate that passes on a key which an entry failed to strip.
func TestGateStripsTheKey(t *testing.T) {
	b := newBackend(t, nil)
	_, gate := newEntryAndGate(t, newFleetView(t, 4), b)
	resp, _, _ := sendRequest(t, gate.peer, "GET", GatePath, nil, HeaderRequestID, "i", headerService, "svc", headerURI, "/a",
		HeaderDeadline, "1000", headerDepth, "0", headerConfigVersion, "1", headerRepeatable, "true")
	assert.Equal(t, resp.StatusCode, 200)
	r, _ := b.seen()
	assert.Equal(t, r.Header.Get("Authorization"), "")
}

// Guards against accepting any key other than the exact one.
func TestKeysOfAnyBytes(t *testing.T) {
	m := newSingleVM(t, newFleetView(t, 4), newBackend(t, nil))
	rapid.Check(t, func(rt *rapid.T) {
		key := rapid.OneOf(rapid.String(), rapid.Just("red-key\u00a0"), rapid.Just("red-key\x85"),
			rapid.Custom(func(t *rapid.T) string { return string(rapid.SliceOf(rapid.Byte()).Draw(t, "bytes")) })).Draw(rt, "key")
		r, _ := http.NewRequest("GET", "http://h/a", nil)
		r.Header["Authorization"] = []string{"Bearer " + key}
		_, refusal := m.entry.accept(r, "id", defaultDialect{}.Caller(r))
		if strings.Trim(key, " \t") == "red-key" {
			return
		}
		if refusal == nil || refusal.Status != 401 || refusal.Outcome != OutcomeNotRun {
			rt.Fatalf("key %q gave %v", key, refusal)
		}
	})
	r, _ := http.NewRequest("GET", "http://h/a", nil)
	r.Header["Authorization"] = []string{"Bearer red-key", "Bearer blue-key"}
	_, refusal := m.entry.accept(r, "id", defaultDialect{}.Caller(r))
	assert.Equal(t, refusal.Reason, ReasonBadKey)
}

func FuzzRequestHeaders(f *testing.F) {
	f.Add("Connection", "Authorization, X-A", "ROSEMARYLINE-Team", "x")
	f.Fuzz(func(t *testing.T, name1, value1, name2, value2 string) {
		h := http.Header{"Authorization": {"secret"}}
		h.Add(name1, value1)
		h.Add(name2, value2)
		for name := range requestHeaders(h, defaultDialect{}) {
			lower := strings.ToLower(name)
			if strings.HasPrefix(lower, "rosemaryline-") || lower == "connection" || name == "Authorization" {
				t.Errorf("header %q is passed on", name)
			}
		}
	})
}

// Guards against headers that net/http adds by itself. The backend server must receive only what the caller sent, and
// responses between processes must carry no header that no entry reads.
func TestNoHeadersAreAdded(t *testing.T) {
	v := newFleetView(t, 4)
	b := newBackend(t, nil)
	entry, gate := newEntryAndGate(t, v, b)
	resp, _, _ := sendRequest(t, entry.caller, "GET", "/a", nil, "User-Agent", "")
	assert.Equal(t, resp.StatusCode, 200)
	seen, _ := b.seen()
	_, added := seen.Header["User-Agent"]
	assert.Assert(t, !added, "%v", seen.Header["User-Agent"])

	req, err := http.NewRequest("POST", gate.peer.URL+GatePath, nil)
	assert.NilError(t, err)
	gateResponse, err := gate.peer.Client().Do(req)
	assert.NilError(t, err)
	defer gateResponse.Body.Close()
	assert.Equal(t, gateResponse.Header.Get(HeaderOutcome), string(OutcomeNotRun))
	assert.Equal(t, gateResponse.Header.Get("Date"), "")
}
