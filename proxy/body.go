package proxy

import (
	"bytes"
	"context"
	"io"
	"sync"

	"github.com/pkg/errors"
)

// ErrBodyTooLarge reports a body above a limit.
var ErrBodyTooLarge = errors.New("body is too large")

// Body is a request body that can be sent again while it is held in memory or has not been read.
type Body struct {
	length int64 // -1 where unknown
	data   []byte
	held   bool // data is the whole body

	mu      sync.Mutex // guards the fields below
	source  io.Reader
	touched bool
	attempt *attemptReader
}

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
	b.data = data
	b.held = true
	b.length = int64(len(data))
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

// Open returns a reader for one attempt. It waits until the reader of the attempt before was closed, since a transport
// may read on for a while after it returned an error.
func (b *Body) Open(ctx context.Context) (io.ReadCloser, error) {
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
	b.attempt = &attemptReader{body: b, closed: make(chan struct{})}
	return b.attempt, nil
}

type attemptReader struct {
	body   *Body
	once   sync.Once
	closed chan struct{}
}

func (a *attemptReader) Read(p []byte) (int, error) {
	a.body.mu.Lock()
	a.body.touched = true
	a.body.mu.Unlock()
	return a.body.source.Read(p)
}

func (a *attemptReader) Close() error {
	a.once.Do(func() { close(a.closed) })
	return nil
}

// opaqueReader hides the concrete type of a body. net/http repeats some requests on its own when it can rewind the
// body; it cannot rewind this one.
type opaqueReader struct{ io.ReadCloser }
