package control

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"rosemaryline.dev/fleet/config"
	"rosemaryline.dev/fleet/state"
)

// FuzzAPI guards against the body of an operator's request that stops the control VM, or that gets a server error.
func FuzzAPI(f *testing.F) {
	paths := []string{"/v1/config", "/v1/keys/issue", "/v1/keys/withdraw", "/v1/domains/d1/out", "/v1/domains/d1/in",
		"/v1/rollouts/web/begin", "/v1/rollouts/web/abort", "/v1/group", "/v1/snapshot"}
	for i, body := range []string{
		`{"changeId":"a","baseVersion":1,"change":{"teams":{"set":{"red":{"rate":-1e308,"burst":9223372036854775807}}},"services":{"set":{"web":{}}}}}`,
		`{"changeId":"a","baseVersion":1,"team":"red","keyHash":"x"}`, `{"changeId":"a","baseVersion":18446744073709551615,"keyHash":""}`,
		`{"changeId":"a","baseVersion":1,"force":true,"dryRun":true}`, `{"changeId":"","baseVersion":1}`,
		`{"changeId":"a","newVersion":"v2","durationMs":9223372036854775807,"dryRun":true}`, `{"changeId":"a","id":"x"}`,
		`{"action":"replace","id":"zz","address":"x","oldId":"1","dryRun":true}`, `{"format":1}`,
	} {
		f.Add(uint8(i), []byte(body))
	}
	change := applyCommand(config.Diff(state.New().Config(), testDocument()))
	quiet := &log.Logger{Writer: log.IOWriter{Writer: io.Discard}}
	f.Fuzz(func(t *testing.T, path uint8, body []byte) {
		fleet := newMemFleet()
		mustPropose(t, fleet, state.Command{ChangeID: "first", Apply: change})
		api := NewAPI(Options{Fleet: fleet, Logger: quiet})
		r := httptest.NewRequest("POST", paths[int(path)%len(paths)], bytes.NewReader(body))
		r.Header.Set("Authorization", "Bearer admin-secret")
		w := httptest.NewRecorder()
		api.ServeHTTP(w, r)
		if w.Code >= 500 && w.Code != http.StatusNotImplemented {
			t.Fatalf("%s: %d %s", r.URL.Path, w.Code, w.Body)
		}
	})
}

// scriptedCaller replies to each call with the next of its messages, the last one again and again.
type scriptedCaller struct{ replies []json.RawMessage }

func (c *scriptedCaller) Call(_ context.Context, _, _ string, _, reply any) error {
	message := c.replies[0]
	if len(c.replies) > 1 {
		c.replies = c.replies[1:]
	}
	return json.Unmarshal(message, reply)
}

// FuzzFollower guards against replies of a peer that stop a process that follows it, or that take its state back.
func FuzzFollower(f *testing.F) {
	f.Add([]byte(`[{"version":2,"deltas":[{"from":1,"chain":7,"command":{"changeId":"a"}}],"beat":{"number":1,"version":2}}]`))
	f.Add([]byte(`[{"version":9,"needSnapshot":true,"beat":{"number":1}},{"id":1,"total":-1,"offset":0,"data":"e30="}]`))
	f.Add([]byte(`[{"version":9,"needSnapshot":true},{"id":1,"total":2,"data":"e30="}]`))
	f.Add([]byte(`[{"version":9,"needSnapshot":true},{"id":1,"total":1,"data":"e30=","packed":true},{"total":9223372036854775807,"data":""}]`))
	f.Add([]byte(`[{"version":18446744073709551615,"packed":"AAA=","beat":{"number":18446744073709551615,"age":-9223372036854775808}}]`))
	fleet := newMemFleet()
	mustPropose(f, fleet, state.Command{ChangeID: "first", Apply: applyCommand(config.Diff(state.New().Config(), testDocument()))})
	known, _ := fleet.state.Since(0)
	f.Fuzz(func(t *testing.T, data []byte) {
		var replies []json.RawMessage
		if json.Unmarshal(data, &replies) != nil || len(replies) == 0 {
			return
		}
		follower := &Follower{Copy: NewCopy(), Caller: &scriptedCaller{replies}}
		_, err := follower.Copy.Apply(known)
		assert.NilError(t, err)
		for range 3 {
			before := follower.Copy.Version()
			_, _ = follower.Poll(t.Context(), "peer", 0)
			assert.Assert(t, follower.Copy.Version() >= before)
		}
	})
}
