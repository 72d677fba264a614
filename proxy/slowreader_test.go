package proxy

import (
	"io"
	"net/http"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemaryline.dev/fleet/config"
	"rosemaryline.dev/fleet/state"
)

// numberedBytes returns n bytes as readSlowly expects them.
func numberedBytes(n int) []byte {
	text := make([]byte, n)
	for i := range text {
		text[i] = byte(i % 251)
	}
	return text
}

// readSlowly reads parts of a body with pauses between them, until a condition holds, and then the rest. Bytes are numbered, so that a missing part is noticed.
func readSlowly(t *testing.T, body io.Reader, part int, pause time.Duration, until func() bool) (n int) {
	t.Helper()
	buffer := make([]byte, part)
	for {
		k, err := body.Read(buffer)
		for i, b := range buffer[:k] {
			if b != byte((n+i)%251) {
				t.Fatalf("byte %d is %d", n+i, b)
			}
		}
		n += k
		if err == io.EOF {
			return n
		}
		assert.NilError(t, err)
		if !until() {
			time.Sleep(pause)
		}
	}
}

// Guards against a caller that holds the slot of a backend server for as long as it takes to read a long response, which the write
// timeout of 10 s for 32 KiB does not limit, and against a response that is cut off at the deadline.
func TestSlotIsFreeAfterTheDeadline(t *testing.T) {
	text := numberedBytes(8 << 20)
	tests := []struct {
		desc   string
		budget int64
		part   int
		pause  time.Duration
	}{
		{"with pauses", 64 << 20, copyBufferBytes, 2 * readAheadDelay},
		{"with short pauses", 64 << 20, copyBufferBytes, readAheadDelay / 4},
		{"budget full", 0, copyBufferBytes, 2 * readAheadDelay},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			t.Parallel()
			b := newBackend(t, func(w http.ResponseWriter, _ *http.Request) { w.Write(text) })
			m := newSingleVM(t, newFleetView(t, 1), b)
			budget := m.setBytes(test.budget)
			req := newTestRequest(t, "a")
			req.Deadline = deadlineIn(300)
			resp, err := m.gate.Run(t.Context(), req)
			assert.NilError(t, err)
			var freeAt time.Time
			n := readSlowly(t, resp.Body, test.part, test.pause, func() bool {
				if freeAt.IsZero() && m.gate.Load("svc").InFlight == 0 {
					freeAt = time.Now()
					other, err := m.gate.Run(t.Context(), newTestRequest(t, "a"))
					assert.NilError(t, err)
					other.Body.Close()
				}
				return !freeAt.IsZero()
			})
			t.Logf("the slot was free %s after the deadline", freeAt.Sub(req.Deadline))
			assert.Equal(t, n, len(text))
			assert.Assert(t, freeAt.After(req.Deadline) && freeAt.Before(req.Deadline.Add(time.Second)))
			assert.NilError(t, resp.Body.Close())
			assert.Equal(t, m.gate.Load("svc").InFlight, 0)
			assert.Equal(t, m.gate.serversOf("svc")[0].score(), 0.0)
			assert.Equal(t, budget.Held(), int64(0))
		})
	}
}

// Guards against requests that get a slot but no connection to the backend server, and against a backend server that gets more requests
// while it is still working on a response whose reader keeps up.
func TestSlotIsKeptAfterTheDeadline(t *testing.T) {
	const deadline = 300 * time.Millisecond
	run := func(t *testing.T, connections int, budget int64, h http.HandlerFunc) (*testVM, *Response) {
		v := newFleetView(t, 1)
		service, _ := NewFleet(v).Service("svc")
		service.Connections = connections
		change := config.Change{}
		change.Services.Set = map[string]config.Service{"svc": service}
		change.SetDefaults()
		v.apply(t, state.Command{Operator: "test", Apply: &state.ApplyChange{Change: change, ContentHash: change.Hash()}})
		m := newSingleVM(t, v, newBackend(t, h))
		m.setBytes(budget)
		req := newTestRequest(t, "a")
		req.Deadline = time.Now().Add(deadline)
		resp, err := m.gate.Run(t.Context(), req)
		assert.NilError(t, err)
		return m, resp
	}
	for _, test := range []struct {
		desc   string
		budget int64
		slots  int // in use after the deadline
	}{
		{"no spare connection, room for the rest", 64 << 20, 0},
		{"no spare connection", 4 << 20, 1},
	} {
		t.Run(test.desc, func(t *testing.T) {
			t.Parallel()
			text := numberedBytes(8 << 20) // more than fits into socket buffers
			m, resp := run(t, 1, test.budget, func(w http.ResponseWriter, _ *http.Request) { w.Write(text) })
			time.Sleep(2 * deadline)
			eventually(t, "the rest is read", func() bool { return m.gate.Load("svc").InFlight == test.slots })
			n := readSlowly(t, resp.Body, copyBufferBytes, 0, func() bool { return true })
			assert.Equal(t, n, len(text))
			resp.Body.Close()
			assert.Equal(t, m.gate.Load("svc").InFlight, 0)
			assert.Equal(t, m.gate.opts.Bytes.Held(), int64(0))
		})
	}
	t.Run("slow backend server", func(t *testing.T) {
		t.Parallel()
		text := numberedBytes(maxReadAhead / 2)
		m, resp := run(t, 2, 64<<20, func(w http.ResponseWriter, _ *http.Request) {
			for part := range slices.Chunk(text, len(text)/20) {
				w.Write(part)
				w.(http.Flusher).Flush()
				time.Sleep(deadline / 6)
			}
		})
		n := 0
		for n < len(text)-len(text)/20 {
			k, err := resp.Body.Read(make([]byte, copyBufferBytes))
			assert.NilError(t, err)
			n += k
			assert.Equal(t, m.gate.Load("svc").InFlight, 1)
		}
		resp.Body.Close()
		assert.Equal(t, m.gate.Load("svc").InFlight, 0)
	})
}

// Guards against a backend server that is not blamed for a response which it broke off after its slot was free, and against
// connections of such responses that are counted for ever.
func TestBrokenResponseWithoutSlot(t *testing.T) {
	b := newBackend(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Write(make([]byte, 8<<20))
		panic(http.ErrAbortHandler)
	})
	m := newSingleVM(t, newFleetView(t, 1), b)
	req := newTestRequest(t, "a")
	req.Deadline = deadlineIn(100)
	resp, err := m.gate.Run(t.Context(), req)
	assert.NilError(t, err)
	eventually(t, "the slot is free", func() bool { return m.gate.Load("svc").InFlight == 0 })
	_, err = io.Copy(io.Discard, resp.Body)
	assert.Assert(t, err != nil)
	resp.Body.Close()
	s := m.gate.serversOf("svc")[0]
	assert.Assert(t, s.score() > 0)
	assert.Equal(t, s.unslotted, 0)
}
