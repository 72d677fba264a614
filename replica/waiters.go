package replica

import (
	"sync"

	"github.com/pkg/errors"

	"rosemaryline.dev/raft"
)

var errReplaced = errors.New("the log was replaced by a snapshot")

// waiters maps log indexes to the callers who wait for the outcome of a proposal there. An index may have several
// waiters: a leader whose entry was overwritten may become the leader again and append another entry at the same index,
// and either entry may be committed.
type waiters struct {
	mu        sync.Mutex // guards the fields below
	byIndex   map[uint64][]waiter
	closedErr error
}

type waiter struct {
	term uint64
	done chan<- outcome
}

func newWaiters() *waiters { return &waiters{byIndex: map[uint64][]waiter{}} }

func (w *waiters) add(index, term uint64, done chan<- outcome) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closedErr != nil {
		done <- outcome{err: w.closedErr}
		return
	}
	w.byIndex[index] = append(w.byIndex[index], waiter{term, done})
}

// resolve reports the result of a committed entry to the waiters at its index. A waiter with another term gets a
// *raft.NotLeaderError: its entry was discarded and will never be committed.
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

// failUpTo fails the waiters up to the index of a restored snapshot with *UnknownError, because the entries that the
// snapshot replaces are not applied one by one.
func (w *waiters) failUpTo(index uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for waitingIndex, list := range w.byIndex {
		if waitingIndex <= index {
			fail(list, &UnknownError{Err: errReplaced})
			delete(w.byIndex, waitingIndex)
		}
	}
}

// failAll fails all current waiters, and all that are added later.
func (w *waiters) failAll(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closedErr = err
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
