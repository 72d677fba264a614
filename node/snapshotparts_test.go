package node

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"

	"rosemaryline.dev/raft"
)

// Guards against a member that never receives a snapshot above the message limit, and against a snapshot assembled from
// parts of two.
func TestSnapshotPartsComeTogether(t *testing.T) {
	data := bytes.Repeat([]byte("0123456789abcdef"), 5*snapshotPartBytes/32)
	message := raft.Message{Kind: raft.MessageSnapshot, From: 1, To: 2, Term: 3, Snapshot: &raft.Snapshot{Index: 9, Term: 3, Data: data}}
	parts := splitSnapshot(groupControl, "127.0.0.1:1", message)
	assert.Equal(t, len(parts), 3)
	assert.Equal(t, len(message.Snapshot.Data), len(data), "the sender's snapshot is unchanged")

	p := newSnapshotParts()
	_, complete, err := p.add(&parts[0])
	assert.NilError(t, err)
	assert.Assert(t, !complete)
	_, _, err = p.add(&parts[2])
	assert.ErrorContains(t, err, "out of order")
	other := parts[1]
	other.Message.Term++
	_, _, err = p.add(&other)
	assert.ErrorContains(t, err, "out of order")
	_, complete, err = p.add(&parts[1])
	assert.NilError(t, err)
	assert.Assert(t, !complete)
	whole, complete, err := p.add(&parts[2])
	assert.NilError(t, err)
	assert.Assert(t, complete)
	assert.Assert(t, bytes.Equal(whole.Snapshot.Data, data))
	assert.Equal(t, whole.Snapshot.Index, uint64(9))

	small := message
	small.Snapshot = &raft.Snapshot{Index: 9, Data: data[:10]}
	assert.Equal(t, len(splitSnapshot(groupControl, "", small)), 0)
}
