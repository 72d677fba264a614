package proxy

import (
	"io"
	stdlog "log"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemaryline.dev/admission"
	"rosemaryline.dev/fleet/config"
	"rosemaryline.dev/fleet/state"
	"rosemaryline.dev/routing"
)

// Guards against retries of a request that may have run and may not be repeated, and against missing retries where the
// request did not run or may be repeated.
func TestRetries(t *testing.T) {
	tests := []struct {
		desc, method, path string
		body               string
		first              http.HandlerFunc // nil: the first VM refuses as not run
		status             int
		firstRuns          int
	}{
		{"not run, not repeatable", "POST", "/once", "body", nil, 200, 0},
		{"not run, long body", "POST", "/once", strings.Repeat("b", 1<<20), nil, 200, 0},
		{"unknown, repeatable", "GET", "/a", "", abortHandler, 200, 1},
		{"unknown, not repeatable", "POST", "/once", "body", abortHandler, 502, 1},
		{"unknown, GET that may not be repeated", "GET", "/once", "", abortHandler, 502, 1},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			v := newFleetView(t, 4)
			failing, healthy := newBackend(t, test.first), newBackend(t, nil)
			first, second := newVM(t, "vm2", v, nil), newVM(t, "vm3", v, nil)
			first.announce(t, "b", addressOf(failing.Server), "1")
			second.announce(t, "b", addressOf(healthy.Server), "1")
			if test.first == nil {
				first.gate.Leave()
			}
			// The second VM appears loaded, so that the first one is tried before it.
			busy := newPeer("vm3", addressOf(second.peer))
			busy.InFlight, busy.Age = 100, 0
			entry := newVM(t, "vm1", v, directory{newPeer("vm2", addressOf(first.peer)), busy})
			resp, text, _ := sendRequest(t, entry.caller, test.method, test.path, strings.NewReader(test.body))
			assert.Equal(t, resp.StatusCode, test.status, text)
			assert.Equal(t, failing.count(), test.firstRuns)
			if test.status == 200 {
				_, body := healthy.seen()
				assert.Equal(t, len(body), len(test.body))
			}
		})
	}
}

// Guards against retries that amplify an overload. They must stay within the retry ratio and the reserve.
func TestRetryBudgetHolds(t *testing.T) {
	v := newFleetView(t, 4)
	b := newBackend(t, abortHandler)
	var hosts directory
	for _, name := range []string{"vm2", "vm3", "vm4", "vm5"} {
		m := newVM(t, name, v, nil)
		m.announce(t, "b", addressOf(b.Server), "1")
		hosts = append(hosts, newPeer(name, addressOf(m.peer)))
	}
	entry := newVM(t, "vm1", v, hosts)
	const requests = 100
	for range requests {
		resp, _, _ := sendRequest(t, entry.caller, "GET", "/a", nil)
		assert.Equal(t, resp.Header.Get(HeaderOutcome), "unknown")
	}
	assert.Assert(t, b.count() > requests)
	assert.Assert(t, float64(b.count()) <= requests*(1+routing.RetryRatio)+routing.RetryReserve, "%d runs", b.count())
}

// Guards against a caller that leaves being counted as a failure of the path or of the backend server, and against a
// retry of its request elsewhere.
func TestCallerThatLeavesIsNotAFault(t *testing.T) {
	for _, hops := range []string{"one hop", "both hops"} {
		t.Run(hops, func(t *testing.T) {
			v := newFleetView(t, 4)
			b := newBackend(t, hangHandler)
			entry := newSingleVM(t, v, b)
			gate := entry
			if hops == "both hops" {
				entry, gate = newEntryAndGate(t, v, b)
			}
			conn := rawConn(t, addressOf(entry.caller), "GET /a HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer red-key\r\n\r\n")
			eventually(t, "the request runs", func() bool { return b.count() == 1 })
			conn.Close()
			eventually(t, "the slot is free", func() bool { return gate.gate.Load("svc").InFlight == 0 })
			assert.DeepEqual(t, gate.observer.seen(), []admission.Result{admission.Cancelled})
			candidates, _, _ := entry.entry.Explain("svc")
			assert.Equal(t, candidates[0].PathPenalty, 0.0)
			assert.Equal(t, b.count(), 1)
		})
	}
}

// Guards against running a queued request whose caller left before it started. The request may not be repeated.
func TestCallerThatLeavesTheQueue(t *testing.T) {
	for _, hops := range []string{"one hop", "both hops"} {
		t.Run(hops, func(t *testing.T) {
			v := newFleetView(t, 1)
			release := make(chan struct{})
			b := newBackend(t, func(http.ResponseWriter, *http.Request) { <-release })
			entry := newSingleVM(t, v, b)
			gate := entry
			if hops == "both hops" {
				entry, gate = newEntryAndGate(t, v, b)
			}
			text := "POST /once HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer red-key\r\nContent-Length: 0\r\n\r\n"
			rawConn(t, addressOf(entry.caller), text)
			eventually(t, "the first runs", func() bool { return b.count() == 1 })
			conn := rawConn(t, addressOf(entry.caller), text)
			eventually(t, "the second waits", func() bool { return gate.gate.Load("svc").Queued == 1 })
			conn.Close()
			eventually(t, "the queue is empty", func() bool { return gate.gate.Load("svc").Queued == 0 })
			close(release)
			eventually(t, "the slot is free", func() bool { return gate.gate.Load("svc").InFlight == 0 })
			assert.Equal(t, b.count(), 1)
		})
	}
}

// Guards against stopping a running request because its caller left, although it may not be repeated.
func TestRunningRequestOutlivesItsCaller(t *testing.T) {
	release, ended := make(chan struct{}), make(chan error, 1)
	b := newBackend(t, func(_ http.ResponseWriter, r *http.Request) {
		select {
		case <-release:
		case <-r.Context().Done():
		}
		ended <- r.Context().Err()
	})
	entry, gate := newEntryAndGate(t, newFleetView(t, 4), b)
	conn := rawConn(t, addressOf(entry.caller), "POST /once HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer red-key\r\nContent-Length: 0\r\n\r\n")
	eventually(t, "the request runs", func() bool { return b.count() == 1 })
	conn.Close()
	eventually(t, "the entry gave up", func() bool { return entry.entry.router.loads.outstanding("vm2") == 0 })
	assert.Equal(t, gate.gate.Load("svc").InFlight, 1)
	close(release)
	assert.NilError(t, <-ended)
	eventually(t, "the slot is free", func() bool { return gate.gate.Load("svc").InFlight == 0 })
}

func (t *loadTable) outstanding(vm string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.row(loadKey{vm, "svc"}).outstanding
}

// Guards against a slow sender that holds a slot. A short body, even of unknown length, must be read before the request
// takes a slot. A long one must be abandoned when it stalls, without blaming the backend server.
func TestSlowSender(t *testing.T) {
	head := "POST /once HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer red-key\r\n"
	tests := []struct {
		desc, text string
		reaches    bool
	}{
		{"short", head + "Content-Length: 9\r\n\r\nhalf", false},
		{"chunked", head + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", false},
		{"long, stalls at once", head + "Content-Length: 999999\r\n\r\nhalf", false},
		{"long, stalls later", head + "Content-Length: 999999\r\n\r\n" + strings.Repeat("b", 2*DefaultMaxBufferedBody), true},
		{"long, breaks off", head + "Content-Length: 999999\r\n\r\n" + strings.Repeat("b", 2*DefaultMaxBufferedBody), true},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			t.Parallel()
			b := newBackend(t, nil)
			entry, gate := newEntryAndGate(t, newFleetView(t, 4), b)
			conn := rawConn(t, addressOf(entry.caller), test.text)
			if !test.reaches {
				time.Sleep(20 * time.Millisecond) // time for a faulty implementation to take a slot
				assert.Equal(t, gate.gate.Load("svc").InFlight, 0)
				assert.Equal(t, b.count(), 0)
				return
			}
			eventually(t, "the request runs", func() bool { return b.count() == 1 })
			if test.desc == "long, breaks off" {
				conn.Close()
			}
			eventually(t, "the slot is free", func() bool { return gate.gate.Load("svc").InFlight == 0 })
			assert.DeepEqual(t, gate.observer.seen(), []admission.Result{admission.Cancelled})
			candidates, _, _ := entry.entry.Explain("svc")
			assert.Equal(t, candidates[0].PathPenalty, 0.0)
		})
	}
}

// Guards against an entry that counts an expired deadline as a failure of the path. The gate must report the expiry
// before the entry stops waiting.
func TestDeadlineIsNoPathFault(t *testing.T) {
	v := newFleetView(t, 4)
	entry, gate := newEntryAndGate(t, v, newBackend(t, hangHandler))
	shortDeadline(t, v, gate)
	entry.fleet.Refresh()
	for range 3 {
		resp, _, _ := sendRequest(t, entry.caller, "GET", "/once", nil)
		assert.Equal(t, resp.StatusCode, 504)
	}
	candidates, _, _ := entry.entry.Explain("svc")
	assert.Equal(t, candidates[0].PathPenalty, 0.0)
}

// Guards against replacing an empty list of repeatable methods with the default. No method of such a route is
// repeatable.
func TestEmptyListOfRepeatableMethods(t *testing.T) {
	v := newFleetView(t, 4)
	route := config.Route{Path: "/none", Service: "svc", Access: config.AccessOpen, RepeatableMethods: []string{}}
	change := config.Change{Routes: config.Entries[config.Route]{Set: map[string]config.Route{"none": route}}}
	change.SetDefaults()
	v.apply(t, state.Command{Operator: "test", Apply: &state.ApplyChange{Change: change, ContentHash: change.Hash()}})
	b := newBackend(t, abortHandler)
	remote := newVM(t, "vm2", v, nil)
	remote.announce(t, "b", addressOf(b.Server), "1")
	local := newVM(t, "vm1", v, directory{newPeer("vm1", ""), newPeer("vm2", addressOf(remote.peer))})
	local.announce(t, "b", addressOf(b.Server), "1")
	sendRequest(t, local.caller, "GET", "/none", nil)
	assert.Equal(t, b.count(), 1)
}

// Guards against a peer that accepts connections and never responds. The caller must get a response in time. A request
// that may not be repeated must never be complete at the peer, so that it certainly did not run.
func TestHalfOpenPeer(t *testing.T) {
	v := newFleetView(t, 4)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	received := make(chan string, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		data, _ := io.ReadAll(conn)
		received <- string(data)
		conn.Close()
	}()
	entry := newVM(t, "vm1", v, directory{newPeer("vm2", listener.Addr().String())})
	shortDeadline(t, v, entry)
	entry.fleet.Refresh()
	resp, _, _ := sendRequest(t, entry.caller, "GET", "/once", nil)
	assert.Equal(t, resp.StatusCode, 504)
	assert.Equal(t, resp.Header.Get(HeaderOutcome), "not-run")
	// The request asks for 100 Continue, and the end of the chunked body was never sent.
	text := <-received
	assert.Assert(t, strings.Contains(text, "Expect: 100-continue") && strings.HasSuffix(text, "\r\n\r\n"), text)
	assert.Assert(t, !strings.Contains(text, "\r\n0\r\n"), text)
	candidates, _, _ := entry.entry.Explain("svc")
	assert.Assert(t, candidates[0].PathPenalty > 0)
}

// Guards against weaker guarantees for HTTP/2 callers than for HTTP/1.1 callers. A truncated body must reset their
// stream, and fleet headers from them must not be passed on.
func TestHTTP2Callers(t *testing.T) {
	b := newBackend(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", "100000")
		io.WriteString(w, strings.Repeat("x", 99_999))
		panic(http.ErrAbortHandler)
	})
	m := newSingleVM(t, newFleetView(t, 4), b)
	s := httptest.NewUnstartedServer(m.entry)
	s.EnableHTTP2 = true
	s.Config.ErrorLog = stdlog.New(io.Discard, "", 0)
	s.StartTLS()
	defer s.Close()
	resp, _, err := sendRequest(t, s, "GET", "/once", nil, HeaderTeam, "blue")
	assert.Assert(t, err != nil)
	assert.Equal(t, resp.ProtoMajor, 2)
	r, _ := b.seen()
	assert.Equal(t, r.Header.Get(HeaderTeam), "red")
}
