package raft

import (
	"slices"

	"github.com/pkg/errors"
)

// entryOverhead is the number of bytes that an entry adds to the size of a message on top of its data, so that empty
// entries count too.
const entryOverhead = 32

// raftLog holds the entries after baseIndex, the latest snapshot and the memberships that both contain.
// Invariants: baseIndex <= snapshot.Index <= commit <= lastIndex(); applied <= commit; entries up to stable are synced.
type raftLog struct {
	baseIndex uint64
	baseTerm  uint64
	entries   []Entry
	snapshot  Snapshot
	// memberships is never empty. Its first element is the membership at snapshot.Index.
	memberships []membershipRecord
	commit      uint64
	applied     uint64
	stable      uint64
}

// membershipRecord is a membership and the index of the entry or snapshot that contains it.
type membershipRecord struct {
	index      uint64
	membership Membership
}

func newLog(r PersistentState) (*raftLog, error) {
	l := &raftLog{}
	l.reset(r.Snapshot)
	if err := l.append(r.Entries); err != nil {
		return nil, err
	}
	if r.HardState.Commit > l.lastIndex() {
		return nil, errors.Wrapf(ErrMalformed, "commit %d is beyond last index %d", r.HardState.Commit, l.lastIndex())
	}
	l.commit = max(l.commit, r.HardState.Commit)
	l.stable = l.lastIndex()
	return l, nil
}

// reset replaces the whole log with a snapshot.
func (l *raftLog) reset(s Snapshot) {
	l.baseIndex, l.baseTerm, l.entries = s.Index, s.Term, nil
	l.snapshot = s
	l.memberships = []membershipRecord{{s.Index, s.Membership.clone()}}
	l.commit, l.applied, l.stable = s.Index, s.Index, s.Index
}

func (l *raftLog) lastIndex() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *raftLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of the entry at index. ok is false if the log does not contain it.
func (l *raftLog) term(index uint64) (term uint64, ok bool) {
	switch {
	case index == l.baseIndex:
		return l.baseTerm, true
	case index < l.baseIndex || index > l.lastIndex():
		return 0, false
	}
	return l.at(index).Term, true
}

func (l *raftLog) at(index uint64) Entry { return l.entries[index-l.baseIndex-1] }

func (l *raftLog) matches(index, term uint64) bool {
	ownTerm, ok := l.term(index)
	return ok && ownTerm == term
}

// upToDate reports whether a log whose last entry has the given index and term is at least as up to date as this log.
// As in Raft elections, the last terms are compared first, then the last indexes.
func (l *raftLog) upToDate(index, term uint64) bool {
	ownTerm := l.lastTerm()
	return term > ownTerm || term == ownTerm && index >= l.lastIndex()
}

// append adds entries at the end. It returns ErrMalformed if they leave a gap or their terms decrease.
func (l *raftLog) append(entries []Entry) error {
	for _, e := range entries {
		if e.Index != l.lastIndex()+1 || e.Term < l.lastTerm() {
			return errors.Wrapf(ErrMalformed, "entry %d of term %d after entry %d of term %d",
				e.Index, e.Term, l.lastIndex(), l.lastTerm())
		}
		if e.Kind == EntryMembership {
			m, err := e.Membership()
			if err != nil {
				return err
			}
			l.memberships = append(l.memberships, membershipRecord{e.Index, m})
		}
		l.entries = append(l.entries, e)
	}
	return nil
}

// mergeFromLeader appends a leader's entries and removes the entries that conflict with them. It returns ErrMalformed
// if a committed entry conflicts.
func (l *raftLog) mergeFromLeader(entries []Entry) error {
	for i, e := range entries {
		if e.Index <= l.baseIndex || l.matches(e.Index, e.Term) {
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

// truncate removes the entries from index on.
func (l *raftLog) truncate(index uint64) {
	if index > l.lastIndex() {
		return
	}
	// The capacity is reduced too, so that a later append does not overwrite entries in slices that callers still hold.
	end := index - l.baseIndex - 1
	l.entries = l.entries[:end:end]
	l.stable = min(l.stable, index-1)
	l.memberships = slices.DeleteFunc(l.memberships, func(c membershipRecord) bool { return c.index >= index })
}

// slice returns a copy of the entries from first to last inclusive.
func (l *raftLog) slice(first, last uint64) []Entry {
	if first > last {
		return nil
	}
	return slices.Clone(l.entries[first-l.baseIndex-1 : last-l.baseIndex])
}

// sliceUpToBytes returns a copy of the entries from first on, limited to maxBytes of data and overhead. It returns at
// least one entry if there is one.
func (l *raftLog) sliceUpToBytes(first uint64, maxBytes int) []Entry {
	size, end := 0, first
	for end <= l.lastIndex() {
		size += len(l.at(end).Data) + entryOverhead
		if size > maxBytes && end > first {
			break
		}
		end++
	}
	return l.slice(first, end-1)
}

// dataBytes returns the total data size of the entries from first to last inclusive, in bytes.
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

// latestMembership returns the latest membership in the log, whether or not it is committed.
func (l *raftLog) latestMembership() membershipRecord { return l.memberships[len(l.memberships)-1] }

// membershipAt returns the membership that applies at index, which must not be before the snapshot.
func (l *raftLog) membershipAt(index uint64) Membership {
	found := l.memberships[0].membership
	for _, c := range l.memberships {
		if c.index <= index {
			found = c.membership
		}
	}
	return found
}

// compact sets s as the latest snapshot and keeps up to retained entries before it.
func (l *raftLog) compact(s Snapshot, retained uint64) {
	for len(l.memberships) > 1 && l.memberships[1].index <= s.Index {
		l.memberships = l.memberships[1:]
	}
	l.snapshot = s
	if s.Index <= l.baseIndex+retained {
		return
	}
	base := s.Index - retained
	term, _ := l.term(base)
	l.entries = slices.Clone(l.entries[base-l.baseIndex:])
	l.baseIndex, l.baseTerm = base, term
}
