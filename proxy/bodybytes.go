package proxy

import (
	"context"
	"io"
	"math"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"rosemaryline.dev/proxy/bytebudget"
)

// memoryRetryAfter is the Retry-After of a request that is refused because the process holds too many bytes: about the time in which
// a link of 6 Mbit/s takes the bodies of ten uploads.
const memoryRetryAfter = time.Second

// smallBufferBytes is the size of the buffers of responses while the process has no room for larger ones.
const smallBufferBytes = 4 << 10

var (
	heldBytesGauge   = metrics.NewGauge("rosemaryline_held_bytes", nil)
	budgetGauge      = metrics.NewGauge("rosemaryline_held_bytes_limit", nil)
	memoryRefusals   = metrics.NewCounter("rosemaryline_memory_refusals_total")
	freedEarly       = metrics.NewCounter("rosemaryline_slots_freed_early_total")
	unlimitedAccount = &ByteBudget{account: bytebudget.New(math.MaxInt64)}
)

// ByteBudget limits the bytes of bodies that a process holds. Entry and gate of a process share one.
type ByteBudget struct {
	mu      sync.Mutex
	account *bytebudget.Budget
}

// NewByteBudget returns a budget of limit bytes.
func NewByteBudget(limit int64) *ByteBudget {
	budgetGauge.Set(float64(limit))
	return &ByteBudget{account: bytebudget.New(limit)}
}

// orUnlimited returns b, or a budget without a limit where b is nil.
func (b *ByteBudget) orUnlimited() *ByteBudget {
	if b == nil {
		return unlimitedAccount
	}
	return b
}

// Held returns the bytes that the process holds now.
func (b *ByteBudget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.account.Held()
}

// connBytes is what the requests of one connection of a caller hold.
type connBytes struct {
	budget *ByteBudget
	held   int64 // guarded by the budget's mu
	bodies int   // requests with a body in progress on an HTTP/2 connection; guarded by the budget's mu
}

type connBytesKey struct{}

// reserve takes n bytes for a new request on a connection, which may be nil; nil if they do not fit.
func (b *ByteBudget) reserve(n int64, conn *connBytes) *byteCharge {
	c := &byteCharge{budget: b, conn: conn}
	fits := func(account *bytebudget.Budget, n int64) bool {
		if conn == nil {
			return account.Reserve(n)
		}
		return account.ReserveOnConn(n, conn.held)
	}
	if !c.grow(n, fits) {
		return nil
	}
	return c
}

// byteCharge is what one request or response holds of a budget. A nil charge holds nothing.
type byteCharge struct {
	budget *ByteBudget
	conn   *connBytes // what the caller's connection holds; nil where it is not counted
	n      int64      // guarded by the budget's mu
	freed  bool       // no bytes may be added any more
}

// grow adds n bytes to the charge if the budget allows it.
func (c *byteCharge) grow(n int64, reserve func(*bytebudget.Budget, int64) bool) bool {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.freed || !reserve(b.account, n) {
		return false
	}
	c.n += n
	if c.conn != nil {
		c.conn.held += n
	}
	heldBytesGauge.Set(float64(b.account.Held()))
	return true
}

// take adds n bytes to the charge, also where the budget has no room.
func (c *byteCharge) take(n int64) {
	c.grow(n, func(b *bytebudget.Budget, n int64) bool { b.Take(n); return true })
}

// shrink returns all but n bytes.
func (c *byteCharge) shrink(n int64) {
	if c == nil {
		return
	}
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if excess := c.n - n; excess > 0 {
		b.account.Release(excess)
		c.n = n
		if c.conn != nil {
			c.conn.held -= excess
		}
		heldBytesGauge.Set(float64(b.account.Held()))
	}
}

// release returns n bytes.
func (c *byteCharge) release(n int64) {
	c.budget.mu.Lock()
	left := max(c.n-n, 0)
	c.budget.mu.Unlock()
	c.shrink(left)
}

// free returns all bytes. Later calls have no effect.
func (c *byteCharge) free() {
	if c == nil {
		return
	}
	c.shrink(0)
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.freed = true
}

// requestBytes returns how many bytes of a body of the given length (-1 where it is not known) a process holds while it reads and
// sends it: the whole of a body that is buffered, else the first part and the buffer through which the rest is streamed.
func requestBytes(length, bufferLimit int64, keyed bool, keyedLimit int64) int64 {
	switch {
	case length >= 0 && length <= bufferLimit:
		return length
	case keyed && length > keyedLimit:
		return 0 // it is refused without being read
	case keyed && length < 0:
		return keyedLimit
	case keyed:
		return length
	default:
		return bufferLimit + copyBufferBytes
	}
}

// reserveBody reserves the bytes of a new request's body. It returns a refusal if the process has no room for them.
func (b *ByteBudget) reserveBody(ctx context.Context, n int64, step string) (*byteCharge, *Refusal) {
	if n == 0 {
		return nil, nil
	}
	charge := b.orUnlimited().reserve(n, connOf(ctx))
	if charge != nil {
		return charge, nil
	}
	memoryRefusals.Inc()
	refusal := notRunRefusal(http.StatusServiceUnavailable, ReasonMemory, step)
	refusal.RetryAfter = memoryRetryAfter
	return nil, refusal
}

// copyBuffer returns a buffer for a response in progress: a small one where the process has no room. free returns it.
func (b *ByteBudget) copyBuffer() (buffer []byte, free func()) {
	charge := &byteCharge{budget: b.orUnlimited()}
	if !charge.grow(copyBufferBytes, (*bytebudget.Budget).Reserve) {
		charge.take(smallBufferBytes)
		return make([]byte, smallBufferBytes), charge.free
	}
	pooled := copyBuffers.Get().(*[copyBufferBytes]byte)
	return pooled[:], func() {
		copyBuffers.Put(pooled)
		charge.free()
	}
}

// chargedBody returns the bytes of a response when its body is closed.
type chargedBody struct {
	io.ReadCloser
	charge *byteCharge
}

func (b *chargedBody) Close() error {
	err := b.ReadCloser.Close()
	b.charge.free()
	return err
}

// heldBytes returns how many bytes of a body count against the limit of the backend server: all that it allows where the length is
// not known, so that such a request runs beside none with a body. The caller holds mu.
func (s *server) heldBytes(body *Body) int64 {
	if s.cfg.HeldBytes == 0 {
		return 0
	}
	if length := body.expectedLength(); length >= 0 {
		return length
	}
	return s.cfg.HeldBytes
}
