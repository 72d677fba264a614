package proxy

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemaryline.dev/fleet/state"
)

// Guards against requests that are refused in the moment after a restart in which the process has no fleet state yet, and
// against a wait for it that lets a backend server work longer than the caller waits.
func TestRequestsWaitForTheFirstState(t *testing.T) {
	const delay = 200 * time.Millisecond
	b := newBackend(t, nil)
	v := newFleetView(t, 4)
	known := v.s
	v.s = state.New()
	m := newSingleVM(t, v, nil)
	began := time.Now()
	time.AfterFunc(delay, func() {
		v.mu.Lock()
		v.s = known
		v.mu.Unlock()
		m.announce(t, "b", addressOf(b.Server), "1")
		m.fleet.Refresh()
	})
	resp, text, err := sendRequest(t, m.caller, "GET", "/once", nil)
	assert.NilError(t, err)
	assert.Assert(t, time.Since(began) >= delay)
	assert.Equal(t, resp.StatusCode, http.StatusOK, text)
	seen, _ := b.seen()
	remaining, err := strconv.Atoi(seen.Header.Get(HeaderDeadline))
	assert.NilError(t, err)
	assert.Assert(t, time.Duration(remaining)*time.Millisecond <= 5*time.Second-delay/2, "%d ms", remaining)
}

// lateDirectory is a Directory that knows no host at first.
type lateDirectory struct{ hosts atomic.Pointer[directory] }

func (d *lateDirectory) Hosts(service string) []Peer {
	if hosts := d.hosts.Load(); hosts != nil {
		return hosts.Hosts(service)
	}
	return nil
}

// Guards against requests that are refused for lack of capacity in the moment after a restart in which the process has its
// state, but no other VM has told it yet what it hosts.
func TestRequestsWaitForTheFirstHost(t *testing.T) {
	late := &lateDirectory{}
	m := newSingleVM(t, newFleetView(t, 4), newBackend(t, nil), func(o *EntryOptions) { o.Directory = late })
	time.AfterFunc(200*time.Millisecond, func() { late.hosts.Store(&directory{newPeer("vm1", "")}) })
	resp, text, err := sendRequest(t, m.caller, "GET", "/once", nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK, text)
	late.hosts.Store(&directory{})
	eventually(t, "end of the start", func() bool { return m.entry.opts.Clock() >= m.entry.startedAt+stateWait })
	began := time.Now()
	resp, _, err = sendRequest(t, m.caller, "GET", "/once", nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, time.Since(began) < stateWait)
}

// Guards against requests that wait for a fleet state that nobody can provide: later ones are refused at once.
func TestRequestsWaitForTheFirstStateOnlyAfterTheStart(t *testing.T) {
	m := newSingleVM(t, &fleetView{s: state.New()}, nil)
	resp, _, err := sendRequest(t, m.caller, "GET", "/once", nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, resp.Header.Get("Retry-After"), "1")
	assert.Assert(t, m.entry.opts.Clock() >= m.entry.startedAt+stateWait)
	began := time.Now()
	for range 5 {
		resp, _, err := sendRequest(t, m.caller, "GET", "/once", nil)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	}
	assert.Assert(t, time.Since(began) < stateWait)
}
