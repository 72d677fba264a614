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
	// defaultMaxProposalBytes keeps an entry below the maximum message size of package rpc, even when encoded in base64.
	// An entry that does not fit into any message would block replication permanently.
	defaultMaxProposalBytes = 8 << 20
)

// StateMachine is the state machine that the group replicates. Its methods are never called concurrently.
type StateMachine interface {
	// Apply executes a command and returns its result. It must be deterministic and must not modify data. index is the
	// index of the command's log entry.
	Apply(index uint64, data []byte) []byte
	// Snapshot returns the encoded state.
	Snapshot() ([]byte, error)
	// Restore replaces the state with one that Snapshot encoded.
	Restore(data []byte) error
}

// Transport sends messages to other members of the group.
type Transport interface {
	// Send tries to send a message. It may drop the message and must not block.
	Send(to raft.ID, m raft.Message)
}

// Options holds the settings of a Group. A number that is 0 is replaced by its default.
type Options struct {
	// Store and Recovered are the results of storage.Open. A started Group owns the Store and closes it in Stop. Required.
	Store     *storage.Store
	Recovered storage.Recovered
	// StateMachine must be in its initial state. Required.
	StateMachine StateMachine
	// Transport sends messages to the other members. Required.
	Transport Transport
	// TickInterval is the duration of a tick. Default 100 ms.
	TickInterval time.Duration
	// ElectionTicks is the minimum number of ticks without contact with a leader before a follower starts an election.
	// Default 10 ticks.
	ElectionTicks int
	// HeartbeatTicks is the interval between a leader's heartbeats, in ticks. Default 1 tick.
	HeartbeatTicks int
	// MaxAppendBytes limits the entries in one message, in bytes of data plus 32 bytes for each entry. A larger entry is
	// sent in a message of its own. Default 256 KiB.
	MaxAppendBytes int
	// SnapshotEntries is the number of entries after which a new snapshot is taken. Default 10,000 entries.
	SnapshotEntries uint64
	// MaxProposalBytes is the maximum size of one proposal, in bytes. Default 8 MiB.
	MaxProposalBytes int
	// Rand is the source of the random election timeouts. Default: a generator with a random seed.
	Rand *rand.Rand
	// Logger receives the log messages. Default: the default logger of phuslu/log.
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
		NoLease:        true, // reads are confirmed by a quorum
		Rand:           o.Rand,
	}
}
