package proxy

import (
	"bytes"
	"context"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// ErrBodyTooLarge reports a body that exceeds a limit.
var ErrBodyTooLarge = errors.New("body is too large")

// Body is a request body. It can be sent again if it is buffered in memory or if nothing was read from its sender yet.
type Body struct {
	length   int64 // in bytes; -1 where unknown
	data     []byte
	buffered bool   // data is the complete body
	prefix   []byte // the first bytes of a body that is not buffered
	// declared is the length that the entry stated for a body in chunks, where hasDeclared is true.
	declared    int64
	hasDeclared bool
	charge      *byteCharge // the bytes that the body holds of the process's budget

	mu          sync.Mutex // guards the fields below
	source      io.Reader
	readStarted bool
	attempt     *attemptReader
	// waiting is true while a read from the sender is in progress. failed is true after the sender broke off or
	// stalled.
	waiting, failed bool
}

// bodyStallTimeout limits the wait for the next bytes of a streamed body. The request holds a slot during this wait.
const bodyStallTimeout = 2 * time.Second

// NewBody returns a body of length bytes, -1 where the length is not known. A body of known length up to bufferLimit
// bytes is read into memory at once. A longer one is streamed and can be sent again only while nothing of it was read.
func NewBody(source io.Reader, length, bufferLimit int64) (*Body, error) {
	if source == nil || length == 0 {
		return &Body{buffered: true}, nil
	}
	if length < 0 || length > bufferLimit {
		return &Body{length: length, source: source}, nil
	}
	data := make([]byte, length)
	if _, err := io.ReadFull(source, data); err != nil {
		return nil, errors.Wrap(err, "read body")
	}
	return &Body{length: length, data: data, buffered: true}, nil
}

// NewDeferredBody returns a body of length bytes, -1 where the length is not known. Nothing is read before the first
// call of Buffer, BufferUpTo, Prefetch or Open.
func NewDeferredBody(source io.Reader, length int64) *Body {
	return &Body{length: length, source: source}
}

// Prefetch reads up to limit bytes of a body that is not buffered and streams the rest. A short body of unknown length
// is buffered completely. A slow sender therefore does not hold a slot while it sends the first limit bytes.
func (b *Body) Prefetch(limit int64) error {
	if b.buffered {
		return nil
	}
	data, err := io.ReadAll(io.LimitReader(b.source, limit))
	if err != nil {
		return errors.Wrap(err, "read body")
	}
	if b.length < 0 && int64(len(data)) < limit {
		b.setData(data)
		return nil
	}
	b.prefix = data
	return nil
}

func (b *Body) setData(data []byte) {
	b.data = data
	b.buffered = true
	b.length = int64(len(data))
	b.charge.shrink(b.length)
}

// Buffer reads the whole body into memory. It fails with ErrBodyTooLarge if the body exceeds limit bytes.
func (b *Body) Buffer(limit int64) error {
	if b.buffered {
		return nil
	}
	if b.length > limit {
		return ErrBodyTooLarge
	}
	data, err := io.ReadAll(io.LimitReader(b.source, limit+1))
	if err != nil {
		return errors.Wrap(err, "read body")
	}
	if int64(len(data)) > limit {
		return ErrBodyTooLarge
	}
	b.setData(data)
	return nil
}

// BufferUpTo reads a body of up to limit bytes into memory. Of a longer body it keeps the first limit+1 bytes and
// streams the rest.
func (b *Body) BufferUpTo(limit int64) error {
	if b.buffered || b.prefix != nil {
		return nil
	}
	data, err := io.ReadAll(io.LimitReader(b.source, limit+1))
	if err != nil {
		b.mu.Lock()
		b.failed = true
		b.mu.Unlock()
		return errors.Wrap(err, "read body")
	}
	complete := int64(len(data)) <= limit
	if b.hasDeclared && (complete && int64(len(data)) != b.declared || int64(len(data)) > b.declared) {
		return errors.Errorf("body does not have its declared length of %d bytes", b.declared)
	}
	if complete {
		b.setData(data)
		return nil
	}
	b.prefix = data
	return nil
}

// expectedLength returns the number of bytes that the sender stated, or -1 where it stated none.
func (b *Body) expectedLength() int64 {
	if b.length < 0 && b.hasDeclared {
		return b.declared
	}
	return b.length
}

// hold makes a charge that of the body. A charge for more than a buffered body holds is reduced.
func (b *Body) hold(charge *byteCharge) {
	b.charge = charge
	if b.buffered {
		charge.shrink(int64(len(b.data)))
	}
}

// release returns the bytes that the body holds of the budget of the process. The body must not be sent afterwards.
func (b *Body) release() {
	if b != nil {
		b.charge.free()
	}
}

// Bytes returns the body where it is buffered, and nil otherwise.
func (b *Body) Bytes() []byte { return b.data }

// Length returns the number of bytes, or -1 where it is not known.
func (b *Body) Length() int64 { return b.length }

// CanReplay reports whether the body can be sent, or sent again, from its first byte.
func (b *Body) CanReplay() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffered || !b.readStarted
}

// senderFault reports whether the sender broke off or stalled. For an attempt that timed out, it also reports true
// while a read from the sender is in progress.
func (b *Body) senderFault(timedOut bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.failed || timedOut && b.waiting
}

// Open returns a reader for one attempt. It waits until the reader of the previous attempt is closed, because a
// transport may continue to read for a while after it returned an error. Open fails with errBodyConsumed if an earlier
// attempt read from the sender. The reader calls stalled when the sender stalls.
func (b *Body) Open(ctx context.Context, stalled func()) (io.ReadCloser, error) {
	if b.buffered {
		return io.NopCloser(bytes.NewReader(b.data)), nil
	}
	b.mu.Lock()
	previous := b.attempt
	b.mu.Unlock()
	if previous != nil {
		select {
		case <-previous.closed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.readStarted {
		return nil, errBodyConsumed
	}
	b.attempt = &attemptReader{body: b, prefix: b.prefix, stalled: stalled, closed: make(chan struct{})}
	return b.attempt, nil
}

var (
	errBodyConsumed = errors.New("body was already read and cannot be sent again")
	errReaderClosed = errors.New("attempt has ended")
)

// attemptReader reads the buffered prefix and then the rest from the sender. After Close it never reads from the sender
// again, because those bytes belong to the next attempt.
type attemptReader struct {
	body    *Body
	prefix  []byte
	stalled func()
	once    sync.Once
	closed  chan struct{}
}

func (a *attemptReader) Read(p []byte) (int, error) {
	if len(a.prefix) > 0 {
		n := copy(p, a.prefix)
		a.prefix = a.prefix[n:]
		return n, nil
	}
	if err := a.beginRead(); err != nil {
		return 0, err
	}
	timer := time.AfterFunc(bodyStallTimeout, func() {
		a.endRead(false)
		a.stalled()
	})
	n, err := a.body.source.Read(p)
	timer.Stop()
	a.endRead(err == nil || err == io.EOF)
	if isStall(err) {
		a.stalled()
	}
	return n, err
}

func (a *attemptReader) beginRead() error {
	a.body.mu.Lock()
	defer a.body.mu.Unlock()
	select {
	case <-a.closed:
		return errReaderClosed
	default:
	}
	a.body.readStarted = true
	a.body.waiting = true
	return nil
}

func (a *attemptReader) endRead(ok bool) {
	a.body.mu.Lock()
	defer a.body.mu.Unlock()
	a.body.waiting = false
	a.body.failed = a.body.failed || !ok
}

func (a *attemptReader) Close() error {
	a.body.mu.Lock()
	defer a.body.mu.Unlock()
	a.once.Do(func() { close(a.closed) })
	return nil
}
