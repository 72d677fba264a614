package idempotency

import (
	"bytes"
	"encoding/hex"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against records of an earlier build that are read differently after an upgrade, so that a keyed request runs again.
// Each line of testdata/stored/COMMIT.txt holds a command and its result as the build of that commit encoded them, and the last
// one the snapshot; the file is never changed. The format is the same since e5723b9.
func TestStoredForms(t *testing.T) {
	text, err := os.ReadFile("testdata/stored/e5723b9.txt")
	assert.NilError(t, err)
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	s, last := NewStore(), len(lines)-1
	for i, line := range lines[:last] {
		command, want, _ := strings.Cut(line, " ")
		data, err := hex.DecodeString(command)
		assert.NilError(t, err)
		assert.Equal(t, hex.EncodeToString(s.Apply(uint64(i+1), data)), want, "command %d", i+1)
	}
	stored, err := hex.DecodeString(lines[last])
	assert.NilError(t, err)
	replayed, err := s.Snapshot()
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(replayed, stored), "replayed: %q", replayed)
	assert.NilError(t, s.Restore(stored))
	restored, err := s.Snapshot()
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(restored, stored), "restored: %q", restored)
}
