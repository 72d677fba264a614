package raft

import (
	"slices"

	"github.com/pkg/errors"
)

// entryOverhead is added to the data of an entry when bytes of a message are counted, so that empty entries count too.
const entryOverhead = 32

// raftLog holds the entries after base, the latest snapshot and the memberships that both contain.
// Invariants: base <= snapshot.Index <= commit <= last; applied <= commit; entries up to stable are synced.
type raftLog struct {
	base     uint64
	baseTerm uint64
	entries  []Entry
	snapshot Snapshot
	// configs is never empty: its first element is in force at snapshot.Index.
	configs []configRecord
	commit  uint64
	applied uint64
	stable  uint64
}

// configRecord is a membership and the index of the entry that holds it.
type configRecord struct {
	index      uint64
	membership Membership
}

func newLog(r Restored) (*raftLog, error) {
	l := &raftLog{}
	l.reset(r.Snapshot)
	if err := l.append(r.Entries); err != nil {
		return nil, err
	}
	if r.HardState.Commit > l.last() {
		return nil, errors.Wrapf(ErrMalformed, "commit %d is beyond last index %d", r.HardState.Commit, l.last())
	}
	l.commit = max(l.commit, r.HardState.Commit)
	l.stable = l.last()
	return l, nil
}

// reset replaces the whole log by a snapshot.
func (l *raftLog) reset(s Snapshot) {
	l.base, l.baseTerm, l.entries = s.Index, s.Term, nil
	l.snapshot = s
	l.configs = []configRecord{{s.Index, s.Membership.clone()}}
	l.commit, l.applied, l.stable = s.Index, s.Index, s.Index
}

func (l *raftLog) last() uint64 { return l.base + uint64(len(l.entries)) }

func (l *raftLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// term returns the term of the entry at index; ok is false when the log does not hold it.
func (l *raftLog) term(index uint64) (term uint64, ok bool) {
	switch {
	case index == l.base:
		return l.baseTerm, true
	case index < l.base || index > l.last():
		return 0, false
	}
	return l.at(index).Term, true
}

func (l *raftLog) at(index uint64) Entry { return l.entries[index-l.base-1] }

func (l *raftLog) matches(index, term uint64) bool {
	own, ok := l.term(index)
	return ok && own == term
}

// upToDate reports whether a log that ends with index and term holds at least what this log holds.
func (l *raftLog) upToDate(index, term uint64) bool {
	own := l.lastTerm()
	return term > own || term == own && index >= l.last()
}

// append adds entries that follow the last one.
func (l *raftLog) append(entries []Entry) error {
	for _, e := range entries {
		if e.Index != l.last()+1 || e.Term < l.lastTerm() {
			return errors.Wrapf(ErrMalformed, "entry %d of term %d after entry %d of term %d",
				e.Index, e.Term, l.last(), l.lastTerm())
		}
		if e.Kind == EntryMembership {
			m, err := e.Membership()
			if err != nil {
				return err
			}
			l.configs = append(l.configs, configRecord{e.Index, m})
		}
		l.entries = append(l.entries, e)
	}
	return nil
}

// merge adds a leader's entries and drops own entries that conflict with them.
func (l *raftLog) merge(entries []Entry) error {
	for i, e := range entries {
		if e.Index <= l.base || l.matches(e.Index, e.Term) {
			continue
		}
		if e.Index <= l.commit {
			return errors.Wrapf(ErrMalformed, "entry %d of term %d conflicts with a committed entry", e.Index, e.Term)
		}
		l.truncate(e.Index)
		return l.append(entries[i:])
	}
	return nil
}

// truncate drops the entries at and after index.
func (l *raftLog) truncate(index uint64) {
	if index > l.last() {
		return
	}
	// The capacity is cut too, so that later entries do not overwrite slices that were handed out.
	end := index - l.base - 1
	l.entries = l.entries[:end:end]
	l.stable = min(l.stable, index-1)
	l.configs = slices.DeleteFunc(l.configs, func(c configRecord) bool { return c.index >= index })
}

// slice copies the entries from first to last, both included.
func (l *raftLog) slice(first, last uint64) []Entry {
	if first > last {
		return nil
	}
	return slices.Clone(l.entries[first-l.base-1 : last-l.base])
}

// limited copies entries from first on up to maxBytes, but at least one if there is any.
func (l *raftLog) limited(first uint64, maxBytes int) []Entry {
	size, end := 0, first
	for end <= l.last() {
		size += len(l.at(end).Data) + entryOverhead
		if size > maxBytes && end > first {
			break
		}
		end++
	}
	return l.slice(first, end-1)
}

// dataBytes sums the data of the entries from first to last, both included.
func (l *raftLog) dataBytes(first, last uint64) int {
	sum := 0
	for index := first; index <= last; index++ {
		sum += len(l.at(index).Data)
	}
	return sum
}

// firstOfTerm returns the lowest uncommitted index whose entry has the same term as the entry at index.
func (l *raftLog) firstOfTerm(index uint64) uint64 {
	term, _ := l.term(index)
	for index > l.commit+1 && l.matches(index-1, term) {
		index--
	}
	return index
}

// config is the latest membership in the log, committed or not.
func (l *raftLog) config() configRecord { return l.configs[len(l.configs)-1] }

// configAt is the membership in force at index, which is at or after the snapshot.
func (l *raftLog) configAt(index uint64) Membership {
	found := l.configs[0].membership
	for _, c := range l.configs {
		if c.index <= index {
			found = c.membership
		}
	}
	return found
}

// compact takes s as the latest snapshot and keeps up to retained entries before it.
func (l *raftLog) compact(s Snapshot, retained uint64) {
	for len(l.configs) > 1 && l.configs[1].index <= s.Index {
		l.configs = l.configs[1:]
	}
	l.snapshot = s
	if s.Index <= l.base+retained {
		return
	}
	base := s.Index - retained
	term, _ := l.term(base)
	l.entries = slices.Clone(l.entries[base-l.base:])
	l.base, l.baseTerm = base, term
}
