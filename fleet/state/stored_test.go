package state

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

var writeStored = flag.Bool("state.write", false, "write the missing snapshots in testdata/stored")

// Guards against log entries and snapshots of an earlier build that are read differently: the chain in the snapshot is a hash of
// all commands, so processes of two builds whose chains differ would fetch snapshots from each other without end. A folder
// testdata/stored/COMMIT holds log.jsonl, with commands of each kind, and snapshot.json, which the build of that commit made of it.
// Neither is ever changed.
func TestStoredForms(t *testing.T) {
	logs, err := filepath.Glob("testdata/stored/*/log.jsonl")
	assert.NilError(t, err)
	assert.Assert(t, len(logs) >= 2)
	for _, log := range logs {
		data, err := os.ReadFile(log)
		assert.NilError(t, err)
		s, kinds := New(), map[Kind]bool{}
		for line := range bytes.Lines(data) {
			c, err := decodeCommand(line)
			assert.NilError(t, err, "%s: %s", log, line)
			kinds[c.Kind()] = true
			s.Apply(bytes.TrimSpace(line))
		}
		assert.Assert(t, len(kinds) >= 11 && !kinds[""], "%s: %v", log, kinds)
		replayed, err := s.Snapshot()
		assert.NilError(t, err)
		file := filepath.Join(filepath.Dir(log), "snapshot.json")
		stored, err := os.ReadFile(file)
		if os.IsNotExist(err) && *writeStored {
			stored, err = replayed, os.WriteFile(file, replayed, 0o644)
		}
		assert.NilError(t, err)
		assert.Equal(t, string(replayed), string(stored), "%s, replayed", log)
		s, err = Restore(stored)
		assert.NilError(t, err)
		restored, err := s.Snapshot()
		assert.NilError(t, err)
		assert.Equal(t, string(restored), string(stored), "%s, restored", file)
	}
}
