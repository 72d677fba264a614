package pipeline

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// testBudget has room for requests that are started early until limit bytes are held.
type testBudget struct{ limit, held, most atomic.Int64 }

func (b *testBudget) ReserveEarly(n int64) bool {
	if b.held.Load()+n > b.limit.Load() {
		return false
	}
	b.Take(n)
	return true
}

func (b *testBudget) Take(n int64) {
	held := b.held.Add(n)
	for most := b.most.Load(); held > most && !b.most.CompareAndSwap(most, held); most = b.most.Load() {
	}
}

func (b *testBudget) Release(n int64) { b.held.Add(-n) }

// awaitHeld waits until n bytes are held.
func (b *testBudget) awaitHeld(t *testing.T, n int64) {
	t.Helper()
	for end := time.Now().Add(testTimeout); b.held.Load() != n; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "%d bytes are held", b.held.Load())
	}
}

// Guards against responses of requests that were started early which the process holds beyond its budget, and against a full budget
// that stops the requests of a connection instead of serving them one after the other.
func TestEarlyStartNeedsRoom(t *testing.T) {
	const size = 40 << 10
	for _, test := range []struct {
		limit int64
		most  int32 // requests that may run beside the oldest one
	}{
		{0, 0},
		{2*earlyBytes + readBytes + 2048, 2},
		{64 << 20, maxEarly},
	} {
		budget := &testBudget{}
		budget.limit.Store(test.limit)
		var early atomic.Int32
		first, others := make(chan struct{}), make(chan struct{})
		_, c := serve(t, func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/0" {
				<-first
			}
			if _, ok := w.(*recorder); ok {
				early.Add(1)
				<-others
			}
			for range size / 1024 {
				fmt.Fprint(w, strings.Repeat(r.URL.Path[1:], 1024))
			}
		}, budget)
		for i := range 9 {
			write(t, c, get(fmt.Sprintf("/%d", i)))
		}
		for end := time.Now().Add(testTimeout); early.Load() < test.most && time.Now().Before(end); time.Sleep(time.Millisecond) {
		}
		time.Sleep(50 * time.Millisecond) // for requests that must not start
		assert.Equal(t, early.Load(), test.most)
		close(others)
		if test.most == maxEarly {
			for end := time.Now().Add(testTimeout); budget.held.Load() < maxEarly*size && time.Now().Before(end); time.Sleep(time.Millisecond) {
			}
			assert.Assert(t, budget.held.Load() >= maxEarly*size, "%d bytes are held", budget.held.Load())
		}
		assert.Assert(t, budget.most.Load() <= test.limit+maxUnreadBytes+int64(test.most)*1024, "%d bytes were held", budget.most.Load())
		close(first)
		for i, body := range readBodies(t, bufio.NewReader(c), 9) {
			assert.Equal(t, body, strings.Repeat(fmt.Sprint(i), size))
		}
		budget.awaitHeld(t, 0)
	}
}

// Guards against bytes that stay in the account of a connection whose client leaves while its requests run.
func TestBytesOfAClientThatLeaves(t *testing.T) {
	budget := &testBudget{}
	budget.limit.Store(64 << 20)
	_, c := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/0" {
			<-r.Context().Done()
		}
		fmt.Fprint(w, strings.Repeat("x", 10<<10))
	}, budget)
	write(t, c, get("/0"), get("/1"), get("/2"), "GET /3 HTTP/1.1\r\nHo")
	for end := time.Now().Add(testTimeout); budget.held.Load() < 2*(earlyBytes+10<<10) && time.Now().Before(end); time.Sleep(time.Millisecond) {
	}
	assert.Assert(t, budget.held.Load() >= 2*(earlyBytes+10<<10))
	c.Close()
	budget.awaitHeld(t, 0)
}
