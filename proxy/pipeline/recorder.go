package pipeline

import (
	"net/http"
	"sync"
	"time"
)

const (
	// maxKeptBytes is the part of a response that is kept until its turn. The handler of a longer one waits when it has
	// written that much.
	maxKeptBytes = 64 << 10
	// writeStallTimeout limits one write to a client that does not read.
	writeStallTimeout = 10 * time.Second
)

// recorder is the http.ResponseWriter of a request that was started early. It keeps the response until copyTo takes it.
type recorder struct {
	cancel func() // ends the request

	mu      sync.Mutex // guards the fields below
	changed *sync.Cond
	header  http.Header
	// sent is a copy of header at the time of WriteHeader; nil before that.
	sent      http.Header
	status    int
	kept      []byte
	held      account // for earlyBytes, kept and the part that copyTo writes
	done      bool    // the handler has returned
	aborted   bool    // the handler broke off the response
	abandoned bool    // nobody will take the response
}

func newRecorder(cancel func()) *recorder {
	rec := &recorder{cancel: cancel, header: http.Header{}, held: account{budget: unlimited{}}}
	rec.changed = sync.NewCond(&rec.mu)
	return rec
}

// Header implements http.ResponseWriter.
func (rec *recorder) Header() http.Header { return rec.header }

// WriteHeader implements http.ResponseWriter. Informational responses are dropped.
func (rec *recorder) WriteHeader(status int) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.writeHeader(status)
}

func (rec *recorder) writeHeader(status int) {
	if rec.sent != nil || status < http.StatusOK {
		return
	}
	rec.status, rec.sent = status, rec.header.Clone()
	rec.changed.Broadcast()
}

// Write implements http.ResponseWriter. It fails with http.ErrAbortHandler after the connection has ended.
func (rec *recorder) Write(p []byte) (int, error) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.writeHeader(http.StatusOK)
	for !rec.abandoned && !rec.makeRoom(len(p)) {
		rec.changed.Wait()
	}
	if rec.abandoned {
		return 0, http.ErrAbortHandler
	}
	rec.kept = append(rec.kept, p...)
	rec.changed.Broadcast()
	return len(p), nil
}

// makeRoom reports whether n bytes more may be kept, and takes them from the budget. What is written when nothing is kept is accepted
// also where the budget has no room, so that the response goes on when it is its turn. The caller holds mu.
func (rec *recorder) makeRoom(n int) bool {
	switch {
	case len(rec.kept) == 0:
		rec.held.set(rec.held.n + int64(n))
		return true
	case len(rec.kept) >= maxKeptBytes:
		return false
	default:
		return rec.held.reserve(int64(n))
	}
}

// Flush implements http.Flusher. What was written is taken as soon as it is the turn of the response.
func (rec *recorder) Flush() {}

// SetWriteDeadline lets the handler use an http.ResponseController. Writes to the client have a deadline of their own.
func (rec *recorder) SetWriteDeadline(time.Time) error { return nil }

// end records that the handler has returned; aborted is true if it broke off the response.
func (rec *recorder) end(aborted bool) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if !aborted {
		rec.writeHeader(http.StatusOK)
	}
	rec.done, rec.aborted = true, aborted
	rec.changed.Broadcast()
}

// abandon cancels the request and drops its response.
func (rec *recorder) abandon() {
	rec.cancel()
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.abandoned = true
	rec.kept = nil
	rec.held.set(0)
	rec.changed.Broadcast()
}

// written returns the bytes of a part that copyTo has written.
func (rec *recorder) written(n int) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.held.set(max(rec.held.n-int64(n), 0))
}

// next waits for the next part of the response. It returns the header with the first part; ended is true after the last.
func (rec *recorder) next(first bool) (header http.Header, status int, part []byte, ended, aborted bool) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	for !rec.done && !rec.abandoned && (rec.sent == nil || !first && len(rec.kept) == 0) {
		rec.changed.Wait()
	}
	part = rec.kept
	rec.kept = nil
	rec.changed.Broadcast()
	return rec.sent, rec.status, part, rec.done && len(part) == 0 || rec.abandoned, rec.aborted || rec.abandoned
}

// copyTo writes the response to w. It panics with http.ErrAbortHandler if the response broke off or w fails, so that the
// client cannot take a part for the whole.
func (rec *recorder) copyTo(w http.ResponseWriter) {
	controller := http.NewResponseController(w)
	defer func() { _ = controller.SetWriteDeadline(time.Time{}) }()
	for first := true; ; first = false {
		header, status, part, ended, aborted := rec.next(first)
		if first && header != nil {
			clear(w.Header())
			for name, values := range header {
				w.Header()[name] = values
			}
			w.WriteHeader(status)
		}
		if len(part) > 0 {
			_ = controller.SetWriteDeadline(time.Now().Add(writeStallTimeout))
			if _, err := w.Write(part); err != nil {
				rec.abandon()
				panic(http.ErrAbortHandler)
			}
			rec.written(len(part))
		}
		if ended && aborted {
			panic(http.ErrAbortHandler)
		}
		if ended && !first {
			return
		}
		if !ended && header != nil && header.Get("Content-Length") == "" {
			_ = controller.Flush()
		}
	}
}
