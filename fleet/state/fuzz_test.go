package state

import (
	"bytes"
	"os"
	"testing"

	"gotest.tools/v3/assert"
)

func readStored(f *testing.F, file string) []byte {
	f.Helper()
	data, err := os.ReadFile("testdata/stored/" + file)
	assert.NilError(f, err)
	return data
}

// FuzzCommand guards against a command that stops each process that applies it, that changes the state although it is refused,
// or that makes a state which cannot be restored from its snapshot.
func FuzzCommand(f *testing.F) {
	for line := range bytes.Lines(readStored(f, "c69fd77/log.jsonl")) {
		f.Add(bytes.TrimSpace(line))
	}
	f.Add([]byte(`{"changeId":"a","operator":"b","assignShards":{"owners":{"-1":"x","256":"y"}}}`))
	f.Add([]byte(`{"changeId":"a","operator":"b","apply":{"change":{"services":{"set":{"x":{}}}}}}`))
	snapshot := readStored(f, "c69fd77/snapshot.json")
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Restore(snapshot)
		assert.NilError(t, err)
		before, chain := s.Version(), s.Chain()
		document := s.Config().Hash()
		result, err := DecodeResult(s.Apply(data))
		assert.NilError(t, err)
		if result.Err != nil && (s.Version() != before || s.Chain() != chain || s.Config().Hash() != document) {
			t.Fatalf("refused with %v, but changed the state", result.Err)
		}
		checkRestores(t, s)
	})
}

// FuzzRestore guards against a snapshot of a peer or a file that stops the process, now or with the next command.
func FuzzRestore(f *testing.F) {
	f.Add(readStored(f, "e5723b9/snapshot.json"))
	f.Add(readStored(f, "c69fd77/snapshot.json"))
	f.Add([]byte(`{"format":1,"document":{}}`))
	f.Add([]byte(`{"format":1,"document":{"services":null,"teams":{"red":{}}},"roster":[{},{}],"rollouts":[{"phase":"x"}],"deltas":[{}],"accepted":[{}],"shards":["a"]}`))
	log := readStored(f, "c69fd77/log.jsonl")
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Restore(data)
		if err != nil {
			return
		}
		for line := range bytes.Lines(log) {
			s.Apply(line)
		}
		s.RosterChain()
		s.Since(0)
		checkRestores(t, s)
	})
}

// checkRestores checks that a snapshot of the state gives the same state.
func checkRestores(t *testing.T, s *State) {
	t.Helper()
	data, err := s.Snapshot()
	assert.NilError(t, err)
	restored, err := Restore(data)
	assert.NilError(t, err)
	again, err := restored.Snapshot()
	assert.NilError(t, err)
	if !bytes.Equal(data, again) {
		t.Fatalf("%s\nbecame\n%s", data, again)
	}
}
