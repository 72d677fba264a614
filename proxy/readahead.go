package proxy

import (
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"

	"rosemaryline.dev/proxy/bytebudget"
)

const (
	// readAheadDelay is how long a reader may take between two reads before the rest of the response is read ahead of it. A reader
	// that keeps up writes 32 KiB into a socket buffer in far less, so it costs no copy; a full socket buffer takes longer to drain.
	readAheadDelay = 20 * time.Millisecond
	// maxReadAhead is the number of bytes of one response that are held for a slow reader. A backend server whose response has more
	// left keeps its slot until the reader has read up to there, or until the deadline of the request has passed (freeSlotAt).
	maxReadAhead = 1 << 20
)

var errBodyDeadline = errors.New("the caller no longer waits for the rest of the response")

// readAheadBody is the body of a streamed response. While its reader keeps up, reads go directly to the backend server. When it
// pauses, a goroutine reads the rest into memory, as far as the budget allows, so that the backend server ends the request and its
// slot is free. It handles the load pattern in which callers on slow links read long responses of a service with few slots.
type readAheadBody struct {
	inner    io.ReadCloser
	charge   *byteCharge
	deadline time.Time // no bytes are delivered after it; zero where there is none
	pause    *time.Timer
	// overdueTimer fires at the deadline of the request; nil where the slot is kept until the end.
	overdueTimer *time.Timer

	mu      sync.Mutex // guards the fields below
	changed sync.Cond
	started bool // a goroutine reads inner
	closed  bool
	chunks  []*aheadChunk
	err     error         // how inner ended, after all chunks
	overdue bool          // the deadline of the request has passed
	waited  time.Duration // since then, for the reader
	free    func() bool   // frees the slot; nil afterwards
	rest    bool          // the slot is free only when inner has ended, so more than maxReadAhead may be held
}

// aheadChunk is a part of a response that was read ahead: data[r:w]. The goroutine that reads ahead fills the last one.
type aheadChunk struct {
	data   []byte
	pooled *[copyBufferBytes]byte // nil for a small chunk
	r, w   int
}

// newReadAheadBody returns a body that reads inner. Closing it closes inner and frees the charge.
func newReadAheadBody(inner io.ReadCloser, charge *byteCharge, deadline time.Time) *readAheadBody {
	b := &readAheadBody{inner: inner, charge: charge, deadline: deadline}
	b.changed.L = &b.mu
	b.pause = time.AfterFunc(readAheadDelay, b.start)
	return b
}

// start begins to read ahead, unless the reader is in a read or the body has ended.
func (b *readAheadBody) start() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.started || b.closed || b.err != nil {
		return
	}
	b.started = true
	go b.readAhead()
}

func (b *readAheadBody) Read(p []byte) (int, error) {
	// A timer that fires now starts the goroutine, or finds the lock taken until this read is complete.
	b.pause.Stop()
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.started {
		return b.readChunk(p)
	}
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.inner.Read(p)
	b.err = err
	if err == nil {
		b.pause.Reset(readAheadDelay)
	}
	return n, err
}

// readChunk returns bytes that were read ahead, and waits for them if there are none. The caller holds mu.
func (b *readAheadBody) readChunk(p []byte) (int, error) {
	for !b.closed && b.err == nil && !b.hasBytes() {
		b.changed.Wait()
	}
	switch {
	case b.closed:
		return 0, errReaderClosed
	case !b.deadline.IsZero() && time.Now().After(b.deadline):
		return 0, errBodyDeadline
	case !b.hasBytes():
		return 0, b.err
	}
	c := b.chunks[0]
	n := copy(p, c.data[c.r:c.w])
	c.r += n
	if c.r == len(c.data) {
		b.drop()
	}
	b.changed.Broadcast()
	return n, nil
}

// hasBytes reports whether the reader has bytes to read. The first chunk is empty only where it is the last one. The caller holds mu.
func (b *readAheadBody) hasBytes() bool { return len(b.chunks) > 0 && b.chunks[0].r < b.chunks[0].w }

// drop removes the first chunk, which no goroutine fills any more. The caller holds mu.
func (b *readAheadBody) drop() {
	c := b.chunks[0]
	b.chunks = b.chunks[1:]
	b.charge.release(int64(len(c.data)))
	if c.pooled != nil {
		copyBuffers.Put(c.pooled)
	}
}

// readAhead reads inner to its end, or until the body is closed.
func (b *readAheadBody) readAhead() {
	for {
		c := b.awaitRoom()
		if c == nil {
			return
		}
		n, err := b.inner.Read(c.data[c.w:])
		b.mu.Lock()
		c.w += n
		b.err = err
		if err == io.EOF && b.hasBytes() {
			freedEarly.Inc()
		}
		b.changed.Broadcast()
		b.mu.Unlock()
		if err != nil {
			return
		}
	}
}

// awaitRoom returns a chunk with room for the next part of the response; nil after the body was closed. A reader that has nothing
// left to read gets a small chunk also where the budget has no room.
func (b *readAheadBody) awaitRoom() *aheadChunk {
	b.mu.Lock()
	defer b.mu.Unlock()
	for !b.closed {
		if len(b.chunks) == 1 && !b.hasBytes() {
			b.drop()
		}
		if last := len(b.chunks) - 1; last >= 0 && b.chunks[last].w < len(b.chunks[last].data) {
			return b.chunks[last]
		}
		if c := b.newChunk(); c != nil {
			b.chunks = append(b.chunks, c)
			return c
		}
		b.awaitReader()
	}
	return nil
}

// newChunk returns an empty chunk, or nil if there is no room for one. The caller holds mu.
func (b *readAheadBody) newChunk() *aheadChunk {
	reserve := (*bytebudget.Budget).ReserveReadAhead
	if (len(b.chunks)+1)*copyBufferBytes > maxReadAhead {
		reserve = b.reserveRest
	}
	if b.charge.grow(copyBufferBytes, reserve) {
		pooled := copyBuffers.Get().(*[copyBufferBytes]byte)
		return &aheadChunk{data: pooled[:], pooled: pooled}
	}
	if len(b.chunks) > 0 {
		return nil
	}
	b.charge.take(smallBufferBytes)
	return &aheadChunk{data: make([]byte, smallBufferBytes)}
}

// Close ends the response. The goroutine that reads ahead ends as well, because inner is closed.
func (b *readAheadBody) Close() error {
	b.pause.Stop()
	if b.overdueTimer != nil {
		b.overdueTimer.Stop()
	}
	// Before the lock: a read in progress ends with the exchange.
	err := b.inner.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	b.chunks = nil // not returned to the pool: the goroutine may still fill the last one
	b.charge.free()
	b.changed.Broadcast()
	return err
}
