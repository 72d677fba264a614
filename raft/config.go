package raft

import (
	"math/rand/v2"

	"github.com/pkg/errors"
)

// Defaults of Config.
const (
	defaultElectionTicks   = 10
	defaultHeartbeatTicks  = 1
	defaultMaxAppendBytes  = 256 << 10
	defaultMaxInflight     = 16
	defaultRetainedEntries = 512
	defaultMaxUncommitted  = 16 << 20
)

// Config holds the settings of a Node. A number that is 0 is replaced by its default.
type Config struct {
	ID ID
	// ElectionTicks is the election timeout: the minimum number of ticks without contact with a leader before a follower
	// starts an election. The actual timeout is random, from ElectionTicks to just below twice that. It must be more than
	// twice HeartbeatTicks. Default 10 ticks.
	ElectionTicks int
	// HeartbeatTicks is the interval between a leader's heartbeats, in ticks. Default 1 tick.
	HeartbeatTicks int
	// MaxAppendBytes limits the entries in one append message, in bytes of data plus 32 bytes for each entry.
	// A larger entry is sent in a message of its own. Default 256 KiB.
	MaxAppendBytes int
	// MaxInflight is the maximum number of unacknowledged append messages to one follower. Default 16 messages.
	MaxInflight int
	// RetainedEntries is the number of entries before a snapshot that Compact keeps in memory, so that a follower that is
	// only slightly behind needs no snapshot. Default 512 entries.
	RetainedEntries int
	// MaxUncommittedBytes limits the data in a leader's uncommitted entries. Propose fails with ErrBusy if a new entry
	// would exceed it, except that one entry of any size is accepted if there is no other uncommitted data.
	// Default 16 MiB.
	MaxUncommittedBytes int
	// NoLease gives up the leader's lease, which Status.LeaseValid reports. Without it a restarted member takes part in
	// elections at once instead of after ElectionTicks, and starts one early if it hears of no leader, so that a group whose
	// members were all restarted has a leader soon.
	NoLease bool
	// Rand is the source of the random election timeouts. Required.
	Rand *rand.Rand
}

func (c Config) withDefaults() Config {
	setDefault(&c.ElectionTicks, defaultElectionTicks)
	setDefault(&c.HeartbeatTicks, defaultHeartbeatTicks)
	setDefault(&c.MaxAppendBytes, defaultMaxAppendBytes)
	setDefault(&c.MaxInflight, defaultMaxInflight)
	setDefault(&c.RetainedEntries, defaultRetainedEntries)
	setDefault(&c.MaxUncommittedBytes, defaultMaxUncommitted)
	return c
}

func setDefault(value *int, fallback int) {
	if *value == 0 {
		*value = fallback
	}
}

func (c Config) validate() error {
	switch {
	case c.ID == 0:
		return errors.New("raft: config: ID is 0")
	case c.Rand == nil:
		return errors.New("raft: config: Rand is nil")
	case min(c.HeartbeatTicks, c.MaxAppendBytes, c.MaxInflight, c.RetainedEntries, c.MaxUncommittedBytes) < 0:
		return errors.New("raft: config: negative value")
	case c.ElectionTicks <= 2*c.HeartbeatTicks:
		return errors.Errorf("raft: config: ElectionTicks %d must be more than twice HeartbeatTicks %d",
			c.ElectionTicks, c.HeartbeatTicks)
	}
	return nil
}
