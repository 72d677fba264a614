package control

import (
	"time"

	"rosemaryline.dev/fleet/state"
)

// RPC methods between processes.
const (
	// MethodFetch takes a FetchRequest and returns a FetchReply.
	MethodFetch = "fleet.fetch"
	// MethodSnapshot takes a SnapshotRequest and returns a SnapshotReply.
	MethodSnapshot = "fleet.snapshot"
)

const (
	// MaxFetchWait limits the wait of a long poll.
	MaxFetchWait = 30 * time.Second
	// maxReplyBytes limits the deltas in one reply; a follower fetches the rest with further requests.
	maxReplyBytes = 1 << 20
	// snapshotPartBytes is the size of one part of a snapshot, in bytes before encoding. Compressed, a part passes a link
	// of 2 Mbit/s well within the time of a long poll.
	snapshotPartBytes = 256 << 10
	// packedPartBytes is the size of one part of a packed snapshot.
	packedPartBytes = 64 << 10
	// maxFirstBytes limits the commands that a process without state gets instead of a snapshot. A snapshot of a fleet with a
	// long history is much smaller than all its commands.
	maxFirstBytes = 16 << 10
	// snapshotRetention is the time for which an encoded snapshot is kept after the last request for a part of it.
	snapshotRetention = 30 * time.Second
)

// LeaderHeartbeat is the heartbeat of the control leader to the fleet. The leader issues one every 500 ms by default,
// after a quorum of the control group has confirmed that it still leads. It is not raft's heartbeat, which goes to the
// members of the group only.
type LeaderHeartbeat struct {
	Number  uint64 `json:"number"`
	Version uint64 `json:"version"`
	// InForce is the highest version in force.
	InForce uint64 `json:"inForce,omitempty"`
	// Age is the time from the issue of the heartbeat to the arrival of the fetch request in whose reply it is sent; it is
	// 0 if the heartbeat was issued after that. The process that sent the request can compute the issue time from it
	// without a common clock.
	Age time.Duration `json:"age,omitempty"`
}

// FetchRequest asks for the commands that follow a version. Sent to a control VM, it also confirms that the process
// runs that version.
type FetchRequest struct {
	Process     string `json:"process"`
	Incarnation uint64 `json:"incarnation"`
	Version     uint64 `json:"version"`
	// Chain is the hash of the commands up to Version, from state.State.Chain. A process whose history differs from
	// the server's gets a snapshot.
	Chain uint64 `json:"chain"`
	// HeartbeatNumber is the number of the newest heartbeat that the process knows; a newer heartbeat ends the wait.
	HeartbeatNumber uint64 `json:"beatNumber,omitempty"`
	// WaitMillis is how long the server may wait for a newer version or heartbeat, in milliseconds. The server limits it
	// to MaxFetchWait (30 s).
	WaitMillis int64 `json:"waitMillis,omitempty"`
	// Peek asks for the version and the heartbeat only. The reply has no commands. It comes at once, or, if the process has no
	// state and WaitMillis is set, when the version is confirmed.
	Peek bool `json:"peek,omitempty"`
	// AcceptPacked is set by processes that read FetchReply.Packed.
	AcceptPacked bool `json:"acceptPacked,omitempty"`
	// ChecksConfirmation is set by processes that take their first state only from a confirmed reply. Others must not get
	// an unconfirmed one.
	ChecksConfirmation bool `json:"checksConfirmation,omitempty"`
}

// FetchReply carries the commands that follow the requested version.
type FetchReply struct {
	// Version is the version of the server's copy. It may be lower than the requested version.
	Version uint64        `json:"version"`
	Deltas  []state.Delta `json:"deltas,omitempty"`
	// Packed holds the commands in place of Deltas, as compressed JSON.
	Packed []byte `json:"packed,omitempty"`
	// NeedSnapshot is true if the commands have been compacted away or the process has another history.
	NeedSnapshot bool            `json:"needSnapshot,omitempty"`
	Heartbeat    LeaderHeartbeat `json:"beat,omitzero"`
}

// confirmed reports whether a leader has confirmed, since the server started, that its version was the newest: the reply
// has the heartbeat of a leader. A control VM that was restarted lacks the last changes until it learns from a leader that
// they were accepted.
func (reply *FetchReply) confirmed() bool { return reply.Heartbeat.Number > 0 }

// SnapshotRequest asks for one part of a snapshot.
type SnapshotRequest struct {
	// ID is 0 in the request for the first part. The reply names the ID to use for the other parts.
	ID     uint64 `json:"id,omitempty"`
	Offset int    `json:"offset,omitempty"`
	// AcceptPacked is set by processes that read packed snapshots.
	AcceptPacked bool `json:"acceptPacked,omitempty"`
}

// SnapshotReply carries one part of a snapshot.
type SnapshotReply struct {
	ID     uint64 `json:"id"`
	Total  int    `json:"total"`
	Offset int    `json:"offset"`
	Data   []byte `json:"data"`
	// Packed is true if all parts together are the compressed snapshot.
	Packed bool `json:"packed,omitempty"`
}
