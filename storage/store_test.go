package storage

import (
	"bytes"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"rosemaryline.dev/raft"
)

func openOS(t *testing.T, dir string) (*Store, Recovered) {
	t.Helper()
	s, recovered, err := Open(OS{}, dir)
	assert.NilError(t, err)
	return s, recovered
}

func testEntries(first, last, term uint64) []raft.Entry {
	var entries []raft.Entry
	for index := first; index <= last; index++ {
		entries = append(entries, raft.Entry{Term: term, Index: index, Data: []byte("data")})
	}
	return entries
}

// TestRestartOnRealFiles guards against errors in restart, snapshots and the lock with real files.
func TestRestartOnRealFiles(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "group")
	s, first := openOS(t, dir)
	assert.Assert(t, first.Empty())
	_, _, err := Open(OS{}, dir)
	var locked *LockedError
	assert.Assert(t, errors.As(err, &locked), "%v", err)

	assert.NilError(t, s.Save(&raft.HardState{Term: 2, Vote: 7, Commit: 9}, testEntries(1, 5, 2)))
	snap := raft.Snapshot{Index: 3, Term: 2, Membership: raft.Membership{Voters: []raft.ID{7}}, Data: []byte("state")}
	assert.NilError(t, s.SaveSnapshot(snap))
	assert.NilError(t, s.SaveSnapshot(raft.Snapshot{Index: 2, Term: 2}))
	assert.NilError(t, s.Close())

	s, r := openOS(t, dir)
	defer s.Close()
	assert.Equal(t, r.ID, first.ID)
	// A commit index beyond the end of the log is reduced to it, because the commit index may have been synced before the
	// snapshot that contains its entry.
	assert.Equal(t, r.HardState, raft.HardState{Term: 2, Vote: 7, Commit: 5})
	assert.DeepEqual(t, r.Snapshot, snap)
	assert.DeepEqual(t, r.Entries, testEntries(4, 5, 2))
	names, err := OS{}.List(dir)
	assert.NilError(t, err)
	assert.DeepEqual(t, names, []string{"id", "lock", logName(4), snapshotName(3)})
}

// TestSaveRefusesEntriesOutOfOrder guards against a gap in the log and against entries at indexes that a snapshot
// covers.
func TestSaveRefusesEntriesOutOfOrder(t *testing.T) {
	s, _, err := Open(newMemFS(rand.New(rand.NewPCG(1, 1))), "data")
	assert.NilError(t, err)
	assert.NilError(t, s.SaveSnapshot(raft.Snapshot{Index: 10, Term: 1}))
	for _, tc := range []struct {
		desc    string
		entries []raft.Entry
	}{
		{"gap after the log", testEntries(12, 12, 1)},
		{"inside the snapshot", testEntries(10, 11, 1)},
		{"gap between entries", append(testEntries(11, 11, 1), testEntries(13, 13, 1)...)},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			var order *OrderError
			assert.Assert(t, errors.As(s.Save(nil, tc.entries), &order))
		})
	}
	assert.NilError(t, s.Save(nil, testEntries(11, 12, 1)))
}

// TestFailedSyncIsFinal guards against continuing after a failed sync, which may have discarded the written pages.
func TestFailedSyncIsFinal(t *testing.T) {
	m := newMemFS(rand.New(rand.NewPCG(1, 1)))
	s, _, err := Open(m, "data")
	assert.NilError(t, err)
	m.crashAt = m.ops + 2
	assert.ErrorIs(t, s.Save(nil, testEntries(1, 1, 1)), errCrash)
	m.crashAt, m.crashed = 0, false
	ops := m.ops
	assert.ErrorIs(t, s.Save(nil, testEntries(1, 1, 1)), errCrash)
	assert.ErrorIs(t, s.SaveSnapshot(raft.Snapshot{Index: 1, Term: 1}), errCrash)
	assert.Assert(t, m.names[filepath.Join("data", snapshotName(1))] == nil)
	assert.Assert(t, m.ops-ops <= 3, "only the temporary snapshot may be written")
}

// TestEveryFlippedBit guards against silent data loss: any flipped bit before the last write must be reported with file
// and offset, and a damaged last write must be truncated as a whole.
func TestEveryFlippedBit(t *testing.T) {
	dir := t.TempDir()
	s, _ := openOS(t, dir)
	assert.NilError(t, s.Save(&raft.HardState{Term: 1}, testEntries(1, 2, 1)))
	lastStart := fileSize(t, filepath.Join(dir, logName(1)))
	assert.NilError(t, s.Save(nil, testEntries(3, 4, 1)))
	assert.NilError(t, s.Close())

	log := filepath.Join(dir, logName(1))
	intact, err := os.ReadFile(log)
	assert.NilError(t, err)
	for bit := range 8 * len(intact) {
		damaged := bytes.Clone(intact)
		damaged[bit/8] ^= 1 << (bit % 8)
		assert.NilError(t, os.WriteFile(log, damaged, fileMode))
		s, r, err := Open(OS{}, dir)
		if int64(bit/8) < lastStart {
			var corrupt *CorruptError
			assert.Assert(t, errors.As(err, &corrupt), "bit %d: %v", bit, err)
			assert.Equal(t, corrupt.File, logName(1))
			assert.Assert(t, corrupt.Offset <= int64(bit/8))
			continue
		}
		assert.NilError(t, err)
		assert.DeepEqual(t, r.Entries, testEntries(1, 2, 1))
		assert.Equal(t, r.TornBytes, int64(len(intact))-lastStart)
		assert.NilError(t, s.Close())
	}
}

func fileSize(t *testing.T, name string) int64 {
	t.Helper()
	info, err := os.Stat(name)
	assert.NilError(t, err)
	return info.Size()
}

// TestMissingOrDamagedFileIsRefused guards against starting with a missing or damaged file: each file holds state that
// the member has promised to keep and that other members rely on.
func TestMissingOrDamagedFileIsRefused(t *testing.T) {
	for _, tc := range []struct {
		desc, name string
		damage     func(name string) error
	}{
		{"no id", idName, os.Remove},
		{"no log", logName(4), os.Remove},
		{"no snapshot", snapshotName(3), os.Remove},
		{"cut snapshot", snapshotName(3), func(name string) error { return os.Truncate(name, 60) }},
		{"damaged id", idName, func(name string) error { return os.Truncate(name, 20) }},
		{"log of another index", logName(9), func(name string) error {
			return os.Rename(filepath.Join(filepath.Dir(name), logName(4)), name)
		}},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			dir := t.TempDir()
			s, _ := openOS(t, dir)
			assert.NilError(t, s.Save(&raft.HardState{Term: 1}, testEntries(1, 4, 1)))
			assert.NilError(t, s.SaveSnapshot(raft.Snapshot{Index: 3, Term: 1, Data: make([]byte, 100)}))
			assert.NilError(t, s.Close())
			assert.NilError(t, tc.damage(filepath.Join(dir, tc.name)))
			_, _, err := Open(OS{}, dir)
			var corrupt *CorruptError
			assert.Assert(t, errors.As(err, &corrupt), "%v", err)
		})
	}
}

// TestSnapshotFile guards against a snapshot file of an operator that is not read back completely, or that is accepted
// although it is truncated or damaged.
func TestSnapshotFile(t *testing.T) {
	snap := raft.Snapshot{Index: 300, Term: 4, Membership: raft.Membership{Voters: []raft.ID{1, 2}}, Data: []byte("state")}
	var buf bytes.Buffer
	assert.NilError(t, WriteSnapshot(&buf, snap))
	got, err := ReadSnapshot(bytes.NewReader(buf.Bytes()), "backup")
	assert.NilError(t, err)
	assert.DeepEqual(t, got, snap)
	for length := range buf.Len() {
		_, err := ReadSnapshot(bytes.NewReader(buf.Bytes()[:length]), "backup")
		assert.Assert(t, err != nil, "length %d", length)
	}
}
