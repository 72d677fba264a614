package node

import (
	"context"
	"sync"
	"time"

	"rosemaryline.dev/raft"
	"rosemaryline.dev/rpc"
)

const (
	methodSnapshotPart = "raft.snapshot"
	// snapshotPartBytes limits the data in one message. With its encoding, a part must stay below the message limit of
	// package rpc.
	snapshotPartBytes = 1 << 20
	// snapshotPartTimeout limits sending one part.
	snapshotPartTimeout = 5 * time.Second
	// maxSnapshotBytes limits the size of a snapshot that a member receives.
	maxSnapshotBytes = 1 << 30
)

// snapshotPart is a part of a snapshot that is too large for one message. Parts are sent in order, each after the reply
// to the previous one.
type snapshotPart struct {
	Group groupName `json:"group"`
	From  string    `json:"from"`
	// Message is the raft message without the snapshot's data.
	Message raft.Message `json:"message"`
	Offset  int          `json:"offset"`
	Total   int          `json:"total"`
	Data    []byte       `json:"data"`
}

// splitSnapshot returns the parts of a message with a large snapshot, or nil if the message fits into one call.
func splitSnapshot(group groupName, from string, m raft.Message) []snapshotPart {
	if m.Snapshot == nil || len(m.Snapshot.Data) <= snapshotPartBytes {
		return nil
	}
	data := m.Snapshot.Data
	head := *m.Snapshot
	head.Data = nil
	m.Snapshot = &head
	var parts []snapshotPart
	for offset := 0; offset < len(data); offset += snapshotPartBytes {
		end := min(offset+snapshotPartBytes, len(data))
		parts = append(parts, snapshotPart{
			Group: group, From: from, Message: m, Offset: offset, Total: len(data), Data: data[offset:end],
		})
	}
	return parts
}

// startSnapshot sends a large snapshot to a member in a goroutine of its own, so that heartbeats do not wait for it.
// While one is in flight to a member, further ones to it are dropped.
func (t *raftTransport) startSnapshot(to raft.ID, address string, parts []snapshotPart) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.snapshotsInFlight[to] {
		return
	}
	t.snapshotsInFlight[to] = true
	t.tomb.Go(func() error {
		t.sendSnapshot(address, parts)
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.snapshotsInFlight, to)
		return nil
	})
}

// sendSnapshot sends the parts of a snapshot in order. It stops at the first failure; raft then sends the whole
// snapshot again.
func (t *raftTransport) sendSnapshot(address string, parts []snapshotPart) {
	for _, part := range parts {
		ctx, cancel := context.WithTimeout(t.tomb.Context(context.Background()), snapshotPartTimeout)
		err := t.client.Call(ctx, address, methodSnapshotPart, part, &struct{}{})
		cancel()
		if err != nil {
			return
		}
	}
}

// snapshotParts assembles at most one snapshot for each group from its parts.
type snapshotParts struct {
	mu      sync.Mutex // guards pending
	pending map[groupName]*partialSnapshot
}

type partialSnapshot struct {
	message raft.Message
	total   int
	data    []byte
}

func newSnapshotParts() *snapshotParts {
	return &snapshotParts{pending: map[groupName]*partialSnapshot{}}
}

// add adds a part. With the last part it returns the whole message and true. A part that does not follow the previous
// one is an error with code rpc.CodeInvalid; the sender then starts again.
func (p *snapshotParts) add(part *snapshotPart) (raft.Message, bool, error) {
	known := part.Group == groupControl || part.Group == groupRecords
	if !known || part.Message.Snapshot == nil || part.Total > maxSnapshotBytes || part.Offset+len(part.Data) > part.Total {
		return raft.Message{}, false, &rpc.RemoteError{Code: rpc.CodeInvalid, Message: "malformed part of a snapshot"}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if part.Offset == 0 {
		p.pending[part.Group] = &partialSnapshot{message: part.Message, total: part.Total}
	}
	partial := p.pending[part.Group]
	if partial == nil || !partial.follows(part) {
		return raft.Message{}, false, &rpc.RemoteError{Code: rpc.CodeInvalid, Message: "part of a snapshot out of order"}
	}
	partial.data = append(partial.data, part.Data...)
	if len(partial.data) < part.Total {
		return raft.Message{}, false, nil
	}
	delete(p.pending, part.Group)
	snapshot := *partial.message.Snapshot
	snapshot.Data = partial.data
	whole := partial.message
	whole.Snapshot = &snapshot
	return whole, true, nil
}

// follows reports whether part belongs to the same snapshot and is the next one.
func (p *partialSnapshot) follows(part *snapshotPart) bool {
	return part.Offset == len(p.data) && part.Total == p.total &&
		part.Message.From == p.message.From &&
		part.Message.Term == p.message.Term &&
		part.Message.Snapshot.Index == p.message.Snapshot.Index
}

// receiveSnapshotPart adds a part of a large snapshot and delivers the message when it is complete.
func (c *controlRole) receiveSnapshotPart(_ context.Context, _ string, part snapshotPart) (struct{}, error) {
	whole, complete, err := c.parts.add(&part)
	if err != nil || !complete {
		return struct{}{}, err
	}
	return c.receiveMessage(context.Background(), "", raftEnvelope{Group: part.Group, From: part.From, Message: whole})
}
