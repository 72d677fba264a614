package proxy

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemaryline.dev/fleet/config"
	"rosemaryline.dev/fleet/state"
)

// setBytes gives entry and gate of a process a budget.
func (m *testVM) setBytes(limit int64) *ByteBudget {
	b := NewByteBudget(limit)
	m.gate.opts.Bytes, m.entry.opts.Bytes = b, b
	m.peer.Config.Handler.(*GateHandler).Bytes = b
	return b
}

// Guards against a caller that reads slowly and thereby holds the slot of a backend server that has finished its response.
func TestSlowReaderHoldsNoSlot(t *testing.T) {
	text := strings.Repeat("0123456789abcdef", 32<<10) // 512 KiB
	b := newBackend(t, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, text) })
	m := newSingleVM(t, newFleetView(t, 1), b)
	budget := m.setBytes(4 << 20)
	resp, err := m.gate.Run(t.Context(), newTestRequest(t, "a"))
	assert.NilError(t, err)
	eventually(t, "the slot is free", func() bool { return m.gate.Load("svc").InFlight == 0 })
	assert.Assert(t, budget.Held() >= int64(len(text))-maxBufferedResponse, "the bytes that are held are not counted")
	got, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Assert(t, string(got) == text)
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, budget.Held(), int64(0))
	assert.Equal(t, m.gate.serversOf("svc")[0].score(), 0.0)
}

// Guards against read-ahead without a bound: neither one long response nor a full budget may hold more than its part, and the
// response still arrives whole.
func TestReadAheadIsBounded(t *testing.T) {
	const size = 8 << 20
	b := newBackend(t, func(w http.ResponseWriter, _ *http.Request) { w.Write(make([]byte, size)) })
	for _, limit := range []int64{64 << 20, 1 << 20, 64 << 10, 0} {
		m := newSingleVM(t, newFleetView(t, 1), b)
		budget := m.setBytes(limit)
		resp, err := m.gate.Run(t.Context(), newTestRequest(t, "a"))
		assert.NilError(t, err)
		time.Sleep(5 * readAheadDelay)
		held := budget.Held()
		assert.Assert(t, held <= min(maxReadAhead, limit/2)+maxBufferedResponse+2*smallBufferBytes, "limit %d: %d bytes", limit, held)
		assert.Equal(t, m.gate.Load("svc").InFlight, 1)
		n, err := io.Copy(io.Discard, resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, n, int64(size))
		resp.Body.Close()
		assert.Equal(t, budget.Held(), int64(0))
	}
}

// Guards against uploads that are taken in without room for them, and against requests without a body that suffer from it.
func TestUploadWithoutRoomIsRefusedAsNotRun(t *testing.T) {
	b := newBackend(t, nil)
	entry, gate := newEntryAndGate(t, newFleetView(t, 4), b)
	check := func(m *testVM, bodies []io.Reader, retryAfter ...string) {
		budget := m.setBytes(50 << 10)
		for _, body := range bodies {
			began := time.Now()
			resp, text, _ := sendRequest(t, entry.caller, "POST", "/once", body)
			assert.Equal(t, resp.StatusCode, 503, text)
			assert.Assert(t, slices.Contains(retryAfter, resp.Header.Get("Retry-After")))
			assert.Equal(t, resp.Header.Get(HeaderOutcome), string(OutcomeNotRun))
			assert.Assert(t, strings.Contains(text, `"memory"`), text)
			assert.Assert(t, time.Since(began) < time.Second)
		}
		eventually(t, "nothing is held", func() bool { return budget.Held() == 0 })
	}
	large := func() io.Reader { return strings.NewReader(strings.Repeat("b", 60<<10)) }
	check(entry, []io.Reader{large(), io.MultiReader(strings.NewReader("of unknown length"))}, "1")
	assert.Equal(t, b.count(), 0)
	for _, request := range []string{"GET", "POST"} {
		resp, text, _ := sendRequest(t, entry.caller, request, "/once", strings.NewReader("small"))
		assert.Equal(t, resp.StatusCode, 200, text)
	}
	entry.setBytes(64 << 20)
	check(gate, []io.Reader{large()}, "1", "2") // an entry varies the delay of a gate by a quarter
	assert.Equal(t, b.count(), 2)
	resp, _, _ := sendRequest(t, entry.caller, "POST", "/once", strings.NewReader("small"))
	assert.Equal(t, resp.StatusCode, 200, "the gate learns the length of a small body that it gets in chunks")
}

// Guards against one connection, as of HTTP/2, whose uploads use up the room of all others.
func TestOneConnectionHoldsAPartOnly(t *testing.T) {
	budget := NewByteBudget(400 << 10)
	ctx := budget.CountConn(t.Context())
	var charges []*byteCharge
	reserve := func(ctx context.Context, n int64) bool {
		charge, refusal := budget.reserveBody(ctx, n, "test")
		charges = append(charges, charge)
		return refusal == nil
	}
	assert.Assert(t, reserve(ctx, 60<<10))
	assert.Assert(t, !reserve(ctx, 60<<10))
	assert.Assert(t, reserve(ctx, 40<<10))
	assert.Assert(t, reserve(budget.CountConn(t.Context()), 200<<10), "another connection, with a large first request")
	for _, charge := range charges {
		charge.free()
	}
	assert.Equal(t, budget.Held(), int64(0))
	assert.Assert(t, reserve(ctx, 60<<10))
	assert.Assert(t, reserve(ctx, 40<<10), "what was freed may be held again")
}

// Guards against a backend server that fails because the bodies of its requests exceed its memory, and against requests without a
// body that wait for those with one.
func TestHeldBytesOfAServer(t *testing.T) {
	v := newFleetView(t, 4)
	service, _ := NewFleet(v).Service("svc")
	service.HeldBytes = 100 << 10
	change := config.Change{}
	change.Services.Set = map[string]config.Service{"svc": service}
	change.SetDefaults()
	v.apply(t, state.Command{Operator: "test", Apply: &state.ApplyChange{Change: change, ContentHash: change.Hash()}})
	ctx, release := context.WithCancel(t.Context()) // ends before the servers are closed, also where a check fails
	b := newBackend(t, func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		if r.ContentLength != 0 {
			<-ctx.Done()
		}
	})
	entry, gate := newEntryAndGate(t, v, b)
	results := make(chan int, 2)
	for range 2 {
		go func() {
			resp, _, _ := sendRequest(t, entry.caller, "POST", "/once", strings.NewReader(strings.Repeat("b", 60<<10)))
			results <- resp.StatusCode
		}()
	}
	eventually(t, "one upload waits", func() bool { l := gate.gate.Load("svc"); return l.InFlight == 1 && l.Queued == 1 })
	resp, _, _ := sendRequest(t, entry.caller, "GET", "/a", nil)
	assert.Equal(t, resp.StatusCode, 200)
	resp, _, _ = sendRequest(t, entry.caller, "POST", "/once", strings.NewReader(strings.Repeat("b", 101<<10)))
	assert.Equal(t, resp.StatusCode, 413, "it could never start")
	eventually(t, "the first upload runs", func() bool { return b.count() == 2 })
	assert.Equal(t, gate.gate.Load("svc").Queued, 1)
	release()
	assert.Equal(t, <-results, 200)
	assert.Equal(t, <-results, 200)
	assert.Equal(t, b.count(), 3)
}

// FuzzForwardedRequest guards against input from a peer that runs more than once, is passed on with another length than declared,
// stops the process, leaves bytes reserved, or runs without a deadline.
func FuzzForwardedRequest(f *testing.F) {
	head := "POST /v1/run HTTP/1.1\r\nHost: h\r\nRosemaryline-Request-Id: 1\r\nRosemaryline-Service: svc\r\nRosemaryline-Uri: /a\r\n" +
		"Rosemaryline-Deadline-Ms: 1000\r\nRosemaryline-Depth: 0\r\nRosemaryline-Config-Version: 1\r\nRosemaryline-Repeatable: false\r\n"
	chunked := head + "Expect: 100-continue\r\nTransfer-Encoding: chunked\r\n"
	for _, text := range []string{
		head + "Content-Length: 2\r\n\r\nab", head + "Content-Length: 9\r\n\r\nab", head + "Content-Length: 9\r\nRosemaryline-Body-Length: 8\r\n\r\nab",
		chunked + "Rosemaryline-Body-Length: 2\r\n\r\n2\r\nab\r\n0\r\n\r\n", chunked + "Rosemaryline-Body-Length: 3\r\n\r\n2\r\nab\r\n0\r\n\r\n",
		chunked + "Rosemaryline-Body-Length: 0\r\n\r\n2\r\nab\r\n0\r\n\r\n", chunked + "Rosemaryline-Body-Length: -1\r\n\r\n2\r\nab\r\n",
		chunked + "Rosemaryline-Body-Length: 9223372036854775807\r\n\r\nffffffffffffffff\r\nab",
		strings.Replace(head, "1000", "-9223372036855", 1) + "\r\n", head + "Rosemaryline-Objective-Ms: 9223372036855\r\n\r\n",
		head + "Idempotency-Key: k\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(data)))
		if err != nil {
			return
		}
		budget, runs := NewByteBudget(256<<10), 0
		h := &GateHandler{Bytes: budget, MaxBufferedBody: DefaultMaxBufferedBody, MaxKeyedBody: 128 << 10}
		h.Gate = runnerFunc(func(_ context.Context, req *Request) (*Response, error) {
			runs++
			for _, at := range []time.Time{req.Deadline, req.Objective} {
				assert.Assert(t, at.IsZero() || time.Until(at).Abs() < maxPeerDeadline+time.Minute, "%v", at)
			}
			declared := req.Body.expectedLength()
			if err := req.Body.BufferUpTo(maxBufferedAtGate); err != nil {
				return nil, notRunRefusal(http.StatusBadRequest, ReasonBadRequest, "run")
			}
			if req.Body.buffered && declared >= 0 {
				assert.Equal(t, int64(len(req.Body.Bytes())), declared)
			}
			assert.Assert(t, budget.Held() >= int64(len(req.Body.Bytes())) && budget.Held() <= 256<<10)
			return &Response{Status: 200, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(""))}, nil
		})
		h.ServeHTTP(httptest.NewRecorder(), r)
		assert.Assert(t, runs <= 1)
		assert.Equal(t, budget.Held(), int64(0))
	})
}

type runnerFunc func(ctx context.Context, req *Request) (*Response, error)

func (f runnerFunc) Run(ctx context.Context, req *Request) (*Response, error) { return f(ctx, req) }
