package replica

import (
	"sync"

	"github.com/pkg/errors"

	"rosemaryline.dev/raft"
)

var errReplaced = errors.New("the log was replaced by a snapshot")

// waiters maps log positions to callers who wait for their outcome. One index may have several waiters: a leader who
// lost an entry and leads again may append another one there, and either may be committed.
type waiters struct {
	mu      sync.Mutex // guards the fields below
	byIndex map[uint64][]waiter
	closed  error
}

type waiter struct {
	term uint64
	done chan<- outcome
}

func newWaiters() *waiters { return &waiters{byIndex: map[uint64][]waiter{}} }

func (w *waiters) add(index, term uint64, done chan<- outcome) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed != nil {
		done <- outcome{err: w.closed}
		return
	}
	w.byIndex[index] = append(w.byIndex[index], waiter{term, done})
}

// resolve reports the result of a committed entry. An entry of another term at the same index means that the waiter's
// entry was dropped and will never be committed.
func (w *waiters) resolve(index, term uint64, result []byte) {
	for _, waiting := range w.take(index) {
		if waiting.term == term {
			waiting.done <- outcome{result: result}
			continue
		}
		waiting.done <- outcome{err: &raft.NotLeaderError{}}
	}
}

func (w *waiters) take(index uint64) []waiter {
	w.mu.Lock()
	defer w.mu.Unlock()
	taken := w.byIndex[index]
	delete(w.byIndex, index)
	return taken
}

// skip fails the waiters up to an index that a snapshot covers: the entries in between are not seen.
func (w *waiters) skip(index uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for at, list := range w.byIndex {
		if at <= index {
			fail(list, &UnknownError{Err: errReplaced})
			delete(w.byIndex, at)
		}
	}
}

// failAll fails all waiters, present and later.
func (w *waiters) failAll(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = err
	for _, list := range w.byIndex {
		fail(list, err)
	}
	clear(w.byIndex)
}

func fail(list []waiter, err error) {
	for _, waiting := range list {
		waiting.done <- outcome{err: err}
	}
}
