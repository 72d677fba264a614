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

// Config holds the settings of a Node. Zero values of the numbers mean the default.
type Config struct {
	ID ID
	// ElectionTicks is the least number of ticks without contact before a follower campaigns. Default 10 ticks. It must
	// be more than twice HeartbeatTicks.
	ElectionTicks int
	// HeartbeatTicks is the number of ticks between two heartbeats of a leader. Default 1 tick.
	HeartbeatTicks int
	// MaxAppendBytes bounds the entries of one append message, in bytes of data. A larger entry travels alone.
	// Default 256 KiB.
	MaxAppendBytes int
	// MaxInflight bounds the unanswered append messages to one follower. Default 16 messages.
	MaxInflight int
	// RetainedEntries is the number of entries before a snapshot that stay in memory after Compact, so that a follower
	// slightly behind needs no snapshot. Default 512 entries.
	RetainedEntries int
	// MaxUncommittedBytes bounds the data of a leader's entries that no quorum has synced yet; Propose then fails with
	// ErrBusy. One entry is always taken. Default 16 MiB.
	MaxUncommittedBytes int
	// Rand randomises election timeouts. Required.
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
