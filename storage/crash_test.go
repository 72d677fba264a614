package storage

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"rosemaryline.dev/raft"
)

func init() { flag.Set("rapid.seed", "1") }

// expectedState is the state that a store should hold.
type expectedState struct {
	id       raft.ID
	hs       raft.HardState
	snapshot raft.Snapshot
	entries  []raft.Entry
}

func (i expectedState) matches(r Recovered) bool {
	want := raft.PersistentState{HardState: i.hs, Snapshot: i.snapshot, Entries: i.entries}
	want.HardState.Commit = i.snapshot.Index
	got := r.PersistentState
	return (i.id == 0 || i.id == r.ID) && want.HardState == got.HardState && reflect.DeepEqual(want.Snapshot, got.Snapshot) &&
		(len(want.Entries) == 0 && len(got.Entries) == 0 || reflect.DeepEqual(want.Entries, got.Entries))
}

func (i expectedState) last() uint64 { return i.snapshot.Index + uint64(len(i.entries)) }

// conflictingTermOffset is added to the term of a snapshot that should conflict with the log. It is above the terms of
// all entries.
const conflictingTermOffset = 1000

// operation is one random call of a Store method. Sizes that the current state does not allow are reduced.
type operation struct {
	Kind, Back, Count, Bytes uint8
}

func drawOperation(t *rapid.T) operation {
	return operation{
		Kind:  rapid.Uint8Range(0, 5).Draw(t, "kind"),
		Back:  rapid.Uint8Range(0, 5).Draw(t, "back"),
		Count: rapid.Uint8Range(0, 4).Draw(t, "count"),
		Bytes: rapid.Uint8Range(0, 40).Draw(t, "bytes"),
	}
}

// run calls the store and returns the state that it should hold afterwards.
func (o operation) run(s *Store, before expectedState) (expectedState, error) {
	after := before
	after.hs = raft.HardState{Term: before.hs.Term + 1, Vote: raft.ID(o.Back)}
	switch o.Kind {
	case 0:
		return after, s.Save(&after.hs, nil)
	case 1, 2, 3:
		first := max(before.snapshot.Index, before.last()-min(before.last(), uint64(o.Back))) + 1
		var added []raft.Entry
		for i := range uint64(o.Count) + 1 {
			entry := raft.Entry{Term: after.hs.Term, Index: first + i, Kind: raft.EntryKind(o.Kind & 1)}
			if o.Bytes > 0 {
				entry.Data = make([]byte, o.Bytes)
			}
			added = append(added, entry)
		}
		after.entries = append(append([]raft.Entry(nil), before.entries[:first-before.snapshot.Index-1]...), added...)
		if o.Kind == 3 {
			after.hs = before.hs
			return after, s.Save(nil, added)
		}
		return after, s.Save(&after.hs, added)
	}
	after.hs = before.hs
	after.snapshot = raft.Snapshot{
		Index:      before.snapshot.Index + 1 + uint64(o.Back),
		Term:       before.hs.Term + conflictingTermOffset,
		Membership: raft.Membership{Voters: []raft.ID{1, 2, 3}, Learners: []raft.ID{raft.ID(o.Count) + 4}},
		Data:       make([]byte, 10*int(o.Bytes)+1),
	}
	after.entries = nil
	if at := int(o.Back); o.Kind == 4 && at < len(before.entries) {
		after.snapshot.Term = before.entries[at].Term
		after.entries = before.entries[at+1:]
	}
	return after, s.SaveSnapshot(after.snapshot)
}

// TestCrashAtEveryOperation guards against lost, spurious or partially applied changes after a crash at any write, sync
// or rename. Crashes are killed processes and power losses, and they also interrupt recovery.
func TestCrashAtEveryOperation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		operations := rapid.SliceOfN(rapid.Custom(drawOperation), 1, 12).Draw(t, "operations")
		seed := rapid.Uint64().Draw(t, "seed")
		total := 1
		for crashAt := 0; crashAt <= total; crashAt++ {
			rnd := rand.New(rand.NewPCG(seed, uint64(crashAt)))
			ops, err := crashOnce(newMemFS(rnd), operations, crashAt)
			if err != nil {
				t.Fatalf("crash at operation %d: %v", crashAt, err)
			}
			if crashAt == 0 {
				total = ops
			}
		}
	})
}

// crashOnce runs the operations with a first crash at file operation crashAt, and then again with further random
// crashes. It returns the number of file operations in the first run.
func crashOnce(m *memFS, operations []operation, crashAt int) (int, error) {
	m.crashAt = crashAt
	firstOps := 0
	var expected expectedState
	for round := range 4 {
		possible, err := runUntilCrash(m, operations, expected)
		if err != nil {
			return 0, errors.WithMessagef(err, "round %d", round)
		}
		if round == 0 {
			firstOps = m.ops
		}
		// An interrupted recovery must not lose anything either.
		m.restart(1 + m.rnd.IntN(10))
		if s, _, err := Open(m, "data"); err == nil {
			s.Close()
		} else if !errors.Is(err, errCrash) {
			return 0, errors.WithMessagef(err, "first open after round %d", round)
		}
		m.restart(0)
		s, recovered, err := Open(m, "data")
		if err != nil {
			return 0, errors.WithMessagef(err, "open after round %d", round)
		}
		at := len(possible) - 1
		for at >= 0 && !possible[at].matches(recovered) {
			at--
		}
		if at < 0 {
			return 0, errors.Errorf("round %d recovered %+v, expected one of %+v", round, recovered, possible)
		}
		expected = possible[at]
		expected.id = recovered.ID
		s.Close()
		m.restart(1 + m.rnd.IntN(30))
	}
	return firstOps, nil
}

func (m *memFS) restart(crashAt int) {
	if m.rnd.IntN(2) == 0 {
		m.kill(crashAt)
		return
	}
	m.powerLoss(crashAt)
}

// runUntilCrash runs the operations until a crash or to the end, and returns the states that recovery may find
// afterwards.
func runUntilCrash(m *memFS, operations []operation, expected expectedState) ([]expectedState, error) {
	s, recovered, err := Open(m, "data")
	if errors.Is(err, errCrash) {
		return []expectedState{expected}, nil
	}
	if err != nil {
		return nil, err
	}
	if !expected.matches(recovered) {
		return nil, errors.Errorf("opened %+v, expected %+v", recovered, expected)
	}
	expected.id = recovered.ID
	for _, o := range operations {
		after, err := o.run(s, expected)
		if errors.Is(err, errCrash) {
			return []expectedState{expected, after}, nil
		}
		if err != nil {
			return nil, errors.WithMessage(err, fmt.Sprintf("%+v", o))
		}
		expected = after
	}
	return []expectedState{expected}, nil
}
