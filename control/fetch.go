package control

import (
	"time"

	"rosemaryline.dev/fleet/state"
)

// Methods between processes.
const (
	// MethodFetch takes a FetchRequest and answers with a FetchReply.
	MethodFetch = "fleet.fetch"
	// MethodSnapshot takes a SnapshotRequest and answers with a SnapshotReply.
	MethodSnapshot = "fleet.snapshot"
)

const (
	// MaxFetchWait bounds a long poll.
	MaxFetchWait = 30 * time.Second
	// maxReplyBytes bounds the deltas of one reply; a follower asks again for the rest.
	maxReplyBytes = 1 << 20
	// snapshotPartBytes is the size of one part of a snapshot, in bytes before encoding.
	snapshotPartBytes = 1 << 20
	// snapshotKeep is how long an encoded snapshot is kept after the last request for a part of it.
	snapshotKeep = 30 * time.Second
)

// Beat is what the control leader issues twice a second after confirming its quorum.
type Beat struct {
	Number  uint64 `json:"number"`
	Version uint64 `json:"version"`
	// InForce is the highest version in force.
	InForce uint64 `json:"inForce,omitempty"`
	// Age is the time from the issue of the beat to the arrival of the question that it answers; 0 where it was issued
	// later. The asking process can date the beat by it without a common clock.
	Age time.Duration `json:"age,omitempty"`
}

// FetchRequest asks for what follows a version. With control it also confirms that the process runs the version.
type FetchRequest struct {
	Process     string `json:"process"`
	Incarnation uint64 `json:"incarnation"`
	Version     uint64 `json:"version"`
	// Chain is state.State.Chain at the version. A process with another history gets a snapshot.
	Chain uint64 `json:"chain"`
	// BeatNumber is the newest beat that the process knows; a newer one ends the wait.
	BeatNumber uint64 `json:"beatNumber,omitempty"`
	// WaitMillis is how long the answer may wait for news, in milliseconds. At most MaxFetchWait.
	WaitMillis int64 `json:"waitMillis,omitempty"`
}

// FetchReply carries the commands that follow the version asked for.
type FetchReply struct {
	// Version is the version of the answering copy. It may be behind the version asked for.
	Version uint64        `json:"version"`
	Deltas  []state.Delta `json:"deltas,omitempty"`
	// NeedSnapshot is true where the commands are compacted away.
	NeedSnapshot bool `json:"needSnapshot,omitempty"`
	Beat         Beat `json:"beat,omitzero"`
}

// SnapshotRequest asks for one part of a snapshot.
type SnapshotRequest struct {
	// ID is the id of the snapshot in the reply to the first part; it is 0 in the request for the first part.
	ID     uint64 `json:"id,omitempty"`
	Offset int    `json:"offset,omitempty"`
}

// SnapshotReply carries one part of a snapshot.
type SnapshotReply struct {
	ID     uint64 `json:"id"`
	Total  int    `json:"total"`
	Offset int    `json:"offset"`
	Data   []byte `json:"data"`
}
