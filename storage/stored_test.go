package storage

import (
	"os"
	"testing"

	"gotest.tools/v3/assert"

	"rosemaryline.dev/raft"
)

// Guards against a data folder that a later build cannot open, or reads differently, after an upgrade. testdata/stored/COMMIT
// was written by the build of that commit and is never changed. The format is the same since e5723b9.
func TestStoredForms(t *testing.T) {
	dir := t.TempDir()
	assert.NilError(t, os.CopyFS(dir, os.DirFS("testdata/stored/e5723b9")))
	s, got := openOS(t, dir)
	defer s.Close()
	assert.Equal(t, got.ID, raft.ID(10557169325580606653))
	members, err := got.Entries[1].Membership()
	assert.NilError(t, err)
	assert.DeepEqual(t, members, raft.Membership{Voters: []raft.ID{7}})
	got.ID = 0
	assert.DeepEqual(t, got, Recovered{PersistentState: raft.PersistentState{
		HardState: raft.HardState{Term: 3, Vote: 7, Commit: 6},
		Snapshot: raft.Snapshot{Index: 4, Term: 2, Membership: raft.Membership{Voters: []raft.ID{7, 300}, Learners: []raft.ID{9}},
			Data: []byte("state")},
		Entries: []raft.Entry{
			{Term: 2, Index: 5, Kind: raft.EntryCommand, Data: []byte("command")},
			{Term: 3, Index: 6, Kind: raft.EntryMembership, Data: []byte(`{"voters":[7]}`)},
			{Term: 3, Index: 7},
		},
	}})
}
