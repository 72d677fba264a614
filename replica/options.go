package replica

import (
	"math/rand/v2"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"rosemaryline.dev/raft"
	"rosemaryline.dev/storage"
)

// Defaults of Options.
const (
	defaultTickInterval    = 100 * time.Millisecond
	defaultSnapshotEntries = 10_000
	// defaultMaxProposalBytes keeps an entry below the message bound of package rpc, also in base64. An entry that no
	// message can carry would block replication for good.
	defaultMaxProposalBytes = 8 << 20
)

// StateMachine is what the group replicates. Its methods are called by one goroutine at a time.
type StateMachine interface {
	// Apply executes a command; it must be deterministic and must not change data. index is the position in the log.
	Apply(index uint64, data []byte) []byte
	// Snapshot encodes the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state.
	Restore(data []byte) error
}

// Transport sends messages to other members of the group.
type Transport interface {
	// Send is best effort and never blocks.
	Send(to raft.ID, m raft.Message)
}

// Options configure a Group.
type Options struct {
	// Store and Recovered come from storage.Open. Once started, the Group owns the Store and
	// closes it in Stop.
	Store     *storage.Store
	Recovered storage.Recovered
	// StateMachine is in its initial state.
	StateMachine StateMachine
	Transport    Transport
	// TickInterval is the length of a tick. Default 100 ms.
	TickInterval time.Duration
	// ElectionTicks is the least number of ticks without contact before a follower campaigns. Default 10 ticks.
	ElectionTicks int
	// HeartbeatTicks is the number of ticks between two heartbeats. Default 1 tick.
	HeartbeatTicks int
	// MaxAppendBytes bounds the entries of one message. Default 256 KiB.
	MaxAppendBytes int
	// SnapshotEntries is the number of entries between two snapshots. Default 10,000 entries.
	SnapshotEntries uint64
	// MaxProposalBytes bounds one proposal. Default 8 MiB.
	MaxProposalBytes int
	// Rand randomises election timeouts. Default: seeded at random.
	Rand *rand.Rand
	// Logger takes log lines. Default: the standard logger of phuslu/log.
	Logger *log.Logger
}

func (o Options) withDefaults() (Options, error) {
	if o.Store == nil || o.StateMachine == nil || o.Transport == nil {
		return o, errors.New("replica: options: Store, StateMachine and Transport are required")
	}
	if o.TickInterval < 0 || o.MaxProposalBytes < 0 {
		return o, errors.New("replica: options: negative value")
	}
	if o.TickInterval == 0 {
		o.TickInterval = defaultTickInterval
	}
	if o.SnapshotEntries == 0 {
		o.SnapshotEntries = defaultSnapshotEntries
	}
	if o.MaxProposalBytes == 0 {
		o.MaxProposalBytes = defaultMaxProposalBytes
	}
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if o.Logger == nil {
		o.Logger = &log.DefaultLogger
	}
	return o, nil
}

func (o Options) raftConfig() raft.Config {
	return raft.Config{
		ID:             o.Recovered.ID,
		ElectionTicks:  o.ElectionTicks,
		HeartbeatTicks: o.HeartbeatTicks,
		MaxAppendBytes: o.MaxAppendBytes,
		Rand:           o.Rand,
	}
}
