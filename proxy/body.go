package proxy

import (
	"bytes"
	"context"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// ErrBodyTooLarge reports a body above a limit.
var ErrBodyTooLarge = errors.New("body is too large")

// Body is a request body that can be sent again while it is held in memory or has not been read.
type Body struct {
	length int64 // -1 where unknown
	data   []byte
	held   bool   // data is the whole body
	prefix []byte // the first bytes of a body that is not held

	mu      sync.Mutex // guards the fields below
	source  io.Reader
	touched bool
	attempt *attemptReader
	// waiting is true while the sender is waited for; failed is true after the sender broke off or stalled.
	waiting, failed bool
}

// bodyStallTimeout bounds the wait for the next bytes of a streamed body, whose request holds a slot.
const bodyStallTimeout = 2 * time.Second

// NewBody returns a body. length is -1 where it is not known. A body of at most hold bytes is read into memory at once;
// a longer one is streamed, and can be sent again only while nothing of it was read.
func NewBody(source io.Reader, length, hold int64) (*Body, error) {
	if source == nil || length == 0 {
		return &Body{held: true}, nil
	}
	if length < 0 || length > hold {
		return &Body{length: length, source: source}, nil
	}
	data := make([]byte, length)
	if _, err := io.ReadFull(source, data); err != nil {
		return nil, errors.Wrap(err, "read body")
	}
	return &Body{length: length, data: data, held: true}, nil
}

// NewLaterBody returns a body that nothing is read of before Hold, Prefetch or Open. length is -1 where it is not known.
func NewLaterBody(source io.Reader, length int64) *Body {
	return &Body{length: length, source: source}
}

// Prefetch reads up to hold bytes of a body that is not held, so that a short body of unknown length is held and a slow
// sender does not hold a slot from its first byte on. The rest is streamed.
func (b *Body) Prefetch(hold int64) error {
	if b.held {
		return nil
	}
	data, err := io.ReadAll(io.LimitReader(b.source, hold))
	if err != nil {
		return errors.Wrap(err, "read body")
	}
	if b.length < 0 && int64(len(data)) < hold {
		b.hold(data)
		return nil
	}
	b.prefix = data
	return nil
}

func (b *Body) hold(data []byte) {
	b.data = data
	b.held = true
	b.length = int64(len(data))
}

// Hold reads the whole body into memory. It fails with ErrBodyTooLarge above limit bytes.
func (b *Body) Hold(limit int64) error {
	if b.held {
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
	b.hold(data)
	return nil
}

// HoldShort reads a body of up to limit bytes into memory. The beginning of a longer one is kept, and the rest is streamed.
func (b *Body) HoldShort(limit int64) error {
	if b.held || b.prefix != nil {
		return nil
	}
	data, err := io.ReadAll(io.LimitReader(b.source, limit+1))
	if err != nil {
		b.mu.Lock()
		b.failed = true
		b.mu.Unlock()
		return errors.Wrap(err, "read body")
	}
	if int64(len(data)) <= limit {
		b.hold(data)
		return nil
	}
	b.prefix = data
	return nil
}

// Bytes returns the body where it is held in memory.
func (b *Body) Bytes() []byte { return b.data }

// Length returns the number of bytes, or -1 where it is not known.
func (b *Body) Length() int64 { return b.length }

// CanReplay tells whether the body can be sent (again) from its first byte.
func (b *Body) CanReplay() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held || !b.touched
}

// senderFault tells whether the sender broke off or stalled, or, for an attempt that timed out, is still waited for.
func (b *Body) senderFault(timedOut bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.failed || timedOut && b.waiting
}

// Open returns a reader for one attempt. It waits until the reader of the attempt before was closed, since a transport
// may read on for a while after it returned an error, and fails with errBodySpent where that read from the sender.
// stalled is called when the sender stalls.
func (b *Body) Open(ctx context.Context, stalled func()) (io.ReadCloser, error) {
	if b.held {
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
	if b.touched {
		return nil, errBodySpent
	}
	b.attempt = &attemptReader{body: b, prefix: b.prefix, stalled: stalled, closed: make(chan struct{})}
	return b.attempt, nil
}

var (
	errBodySpent    = errors.New("body was read and cannot be sent again")
	errReaderClosed = errors.New("attempt has ended")
)

// attemptReader reads the prefix and then the sender's rest. After Close it never reads from the sender again, because
// the bytes belong to the next attempt.
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
	if err := a.begin(); err != nil {
		return 0, err
	}
	timer := time.AfterFunc(bodyStallTimeout, func() {
		a.end(false)
		a.stalled()
	})
	n, err := a.body.source.Read(p)
	timer.Stop()
	a.end(err == nil || err == io.EOF)
	return n, err
}

func (a *attemptReader) begin() error {
	a.body.mu.Lock()
	defer a.body.mu.Unlock()
	select {
	case <-a.closed:
		return errReaderClosed
	default:
	}
	a.body.touched = true
	a.body.waiting = true
	return nil
}

func (a *attemptReader) end(ok bool) {
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
