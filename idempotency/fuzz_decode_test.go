package idempotency

import (
	"encoding/hex"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// storedLines returns the commands and the snapshot in testdata/stored.
func storedLines(f *testing.F) (commands [][]byte, snapshot []byte) {
	f.Helper()
	text, err := os.ReadFile("testdata/stored/e5723b9.txt")
	assert.NilError(f, err)
	for line := range strings.Lines(string(text)) {
		command, _, found := strings.Cut(strings.TrimSpace(line), " ")
		data, err := hex.DecodeString(command)
		assert.NilError(f, err)
		if !found {
			return commands, data
		}
		commands = append(commands, data)
	}
	f.Fatal("no snapshot")
	return nil, nil
}

// FuzzCommand guards against a command of a peer that stops each member of the record group, or that turns the clock back, so that
// records are kept for ever.
func FuzzCommand(f *testing.F) {
	commands, snapshot := storedLines(f)
	for _, data := range commands {
		f.Add(data)
	}
	for _, e := range []Expire{{From: time.Minute, Elapsed: -time.Hour}, {From: 61 * time.Second, Elapsed: -time.Hour}, {From: 61 * time.Second, Elapsed: 1 << 62}} {
		data, err := Command{Expire: &e}.Encode()
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s := NewStore()
		assert.NilError(t, s.Restore(snapshot))
		before := s.clock
		_, err := DecodeResult(s.Apply(s.applied+1, data))
		assert.NilError(t, err)
		assert.Assert(t, s.clock >= before && s.clock <= before+maxClockStep)
		checkRestores(t, s)
	})
}

// FuzzRestore guards against a snapshot of a peer that stops a member, now or with a later command.
func FuzzRestore(f *testing.F) {
	commands, snapshot := storedLines(f)
	f.Add(snapshot)
	f.Add(snapshot[:len(snapshot)-3])
	f.Fuzz(func(t *testing.T, data []byte) {
		s := NewStore()
		if s.Restore(data) != nil {
			return
		}
		for _, command := range commands {
			s.Apply(s.applied+1, command)
		}
		checkRestores(t, s)
	})
}

// checkRestores checks that a snapshot of the store gives the same records.
func checkRestores(t *testing.T, s *Store) {
	t.Helper()
	data, err := s.Snapshot()
	assert.NilError(t, err)
	restored := NewStore()
	assert.NilError(t, restored.Restore(data))
	assert.Equal(t, len(restored.records), len(s.records))
	assert.Equal(t, len(restored.released), len(s.released))
	assert.Equal(t, restored.clock, s.clock)
}
