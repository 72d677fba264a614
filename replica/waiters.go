package replica

import (
	"slices"
	"sync"

	"github.com/pkg/errors"

	"rosemaryline.dev/raft"
)

var errReplaced = errors.New("the log was replaced by a snapshot")

// waiters maps log indexes to the callers who wait for the outcome of a proposal there. An index may have several
// waiters: a leader whose entry was overwritten may become the leader again and append another entry at the same index,
// and either entry may be committed.
type waiters struct {
	mu      sync.Mutex // guards the fields below
	byIndex map[uint64][]waiter
	// term is that of the last applied entry.
	term      uint64
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
// *raft.NotLeaderError: its entry was discarded and will never be committed. The same holds for the waiters at later
// indexes with an older term, since terms never decrease along the log. They must not wait until an entry reaches their
// index: the log of the new leader may end before it, and stays so while nobody else proposes.
func (w *waiters) resolve(index, term uint64, result []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, waiting := range w.byIndex[index] {
		if waiting.term == term {
			waiting.done <- outcome{result: result}
			continue
		}
		waiting.done <- outcome{err: &raft.NotLeaderError{}}
	}
	delete(w.byIndex, index)
	w.failOlderThan(term)
}

// failUpTo handles a restored snapshot whose last entry has the given index and term. The waiters up to the index get an
// *UnknownError, because the entries that the snapshot replaces are not applied one by one.
func (w *waiters) failUpTo(index, term uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for waitingIndex, list := range w.byIndex {
		if waitingIndex <= index {
			fail(list, &UnknownError{Err: errReplaced})
			delete(w.byIndex, waitingIndex)
		}
	}
	w.failOlderThan(term)
}

// failOlderThan fails the waiters whose term is older than that of the entry that was just applied. Their indexes are
// later, so that their entries were discarded. The caller holds mu.
func (w *waiters) failOlderThan(term uint64) {
	if term <= w.term {
		return
	}
	w.term = term
	for index, list := range w.byIndex {
		list = slices.DeleteFunc(list, func(waiting waiter) bool {
			if waiting.term >= term {
				return false
			}
			waiting.done <- outcome{err: &raft.NotLeaderError{}}
			return true
		})
		if len(list) == 0 {
			delete(w.byIndex, index)
			continue
		}
		w.byIndex[index] = list
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
