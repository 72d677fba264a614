package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeProcess is a fake of the VM's process. It records the requests it receives and the last announcement, and responds
// to every request with status 200.
type fakeProcess struct {
	*httptest.Server
	mu    sync.Mutex
	calls []string
	last  announcement
}

func startFakeProcess(t *testing.T) *fakeProcess {
	p := &fakeProcess{}
	p.Server = httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.calls = append(p.calls, r.Method+" "+r.URL.Path+" "+r.Header.Get("Rosemaryline-Request-Id"))
		if strings.HasPrefix(r.URL.Path, announcePath) {
			json.NewDecoder(r.Body).Decode(&p.last)
		}
	}))
	t.Cleanup(p.Close)
	return p
}

// received reports whether a request contains call in its method, path and request ID, which single spaces separate.
func (p *fakeProcess) received(call string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Contains(strings.Join(p.calls, "\n"), call)
}

func (p *fakeProcess) lastAnnouncement() announcement {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.last
}

func startStandin(t *testing.T, p *fakeProcess) *Server {
	s, err := Start(Options{Name: "b", Service: "svc", Listen: "127.0.0.1:0", Slots: 3, Announce: p.URL, Seed: 1})
	assert.NilError(t, err)
	t.Cleanup(func() {
		s.Stop()
		s.client.CloseIdleConnections()
		http.DefaultClient.CloseIdleConnections()
	})
	return s
}

func get(t *testing.T, s *Server, path string) (resp *http.Response, body string, err error) {
	req, reqErr := http.NewRequest("GET", "http://"+s.Address()+path, nil)
	assert.NilError(t, reqErr)
	req.Header.Set("Rosemaryline-Request-Id", "id-1")
	resp, err = http.DefaultClient.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp, string(data), err
}

func put(t *testing.T, s *Server, faults string) int {
	req, err := http.NewRequest("PUT", "http://"+s.Address()+FaultsPath, strings.NewReader(faults))
	assert.NilError(t, err)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	resp.Body.Close()
	return resp.StatusCode
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("condition not met in time: " + what)
		}
	}
}

// TestSwitches guards against faults that are not injected as measurements expect, and against accepting invalid values.
func TestSwitches(t *testing.T) {
	s := startStandin(t, startFakeProcess(t))
	for _, bad := range []string{"x", `{"none":1}`, `{"slowFactor":-1}`, `{"slowFactor":1e300}`, `{"hangShare":1.5}`, `{"cutShare":-0.1}`} {
		assert.Equal(t, put(t, s, bad), 400, bad)
	}
	assert.Equal(t, s.Faults(), Faults{})
	resp, body, err := get(t, s, "/a")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 200)
	assert.Equal(t, resp.Header.Get("Rosemaryline-Request-Id"), "id-1")
	assert.Assert(t, strings.Contains(body, `"run":1`), body)
	assert.Equal(t, put(t, s, `{"errorShare":1}`), 200)
	resp, _, err = get(t, s, "/a")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 500)
	assert.Equal(t, put(t, s, `{"cutShare":1}`), 200)
	_, _, err = get(t, s, "/a")
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	assert.Equal(t, s.Runs()["id-1"], 3)
	assert.Equal(t, s.Peak(), 1)
}

// TestAnnouncements guards against a stand-in that does not announce that it drains, does not withdraw its announcement
// when it stops, or withdraws it when it crashes.
func TestAnnouncements(t *testing.T) {
	p := startFakeProcess(t)
	s := startStandin(t, p)
	eventually(t, "announcement", func() bool { return p.received("PUT " + announcePath + "b") })
	assert.Equal(t, p.lastAnnouncement().Slots, 3)
	assert.Equal(t, put(t, s, `{"drain":true}`), 200)
	eventually(t, "announcement of draining", func() bool { return p.lastAnnouncement().Draining })
	assert.NilError(t, s.Stop())
	assert.Assert(t, p.received("DELETE"))
	p2 := startFakeProcess(t)
	crashing := startStandin(t, p2)
	eventually(t, "announcement", func() bool { return p2.received("PUT") })
	crashing.Crash()
	assert.NilError(t, crashing.Stop())
	assert.Assert(t, !p2.received("DELETE"))
}

// TestNestedCall guards against nested calls without the ID of the request that makes them, and against a data race with
// Crash.
func TestNestedCall(t *testing.T) {
	p := startFakeProcess(t)
	s := startStandin(t, p)
	_, body, err := get(t, s, "/a?nested=/internal/x")
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(body, `"nested":"/internal/x 200"`), body)
	assert.Assert(t, p.received("GET /internal/x id-1"))
	done := make(chan struct{})
	go func() { get(t, s, "/a?nested=/internal/x"); close(done) }()
	s.Crash()
	<-done
}
