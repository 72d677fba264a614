package admission

import "time"

// Defaults of Config.
const (
	DefaultSuccessesPerSlot = 10
	DefaultTeamPercent      = 50
	DefaultMaxWait          = time.Second
	// DefaultQueuePerSlot is the default queue length for each slot, in requests.
	DefaultQueuePerSlot = 4
)

// Config holds the settings of a Gate. Zero values take the documented defaults.
type Config struct {
	// Slots is the hard cap of requests in flight. Default 1.
	Slots int
	// NestedLevels is the number of call depths for which a slot is reserved; 1 lets requests call each other's
	// services once without waiting on each other. Deeper calls are admitted or refused at once and never wait. Use 1
	// where the service takes nested calls, else 0. Default 0; at most Slots-1 is used.
	NestedLevels int
	// InitialSlots is the concurrency of a cold backend server. Default 1.
	InitialSlots int
	// SuccessesPerSlot is the number of successes at normal latency that add one slot. Default 10.
	SuccessesPerSlot int
	// ColdRate is the number of requests a second that a cold backend server bears. Where it is set, all slots are used
	// from the start, and SetCold tells when the rate binds. Default 0: the ramp grows the slots instead.
	ColdRate float64
	// QueueLength bounds the waiting requests for each call depth. Default 4 times Slots.
	QueueLength int
	// TeamPercent is the share of the queue, in percent, that one team may fill; at least one request. Default 50.
	TeamPercent int
	// MaxWait is the longest time in the queue. Default 1s.
	MaxWait time.Duration
}

// withDefaults returns the configuration with zero values replaced.
func (c Config) withDefaults() Config {
	c.Slots = max(c.Slots, 1)
	c.NestedLevels = min(max(c.NestedLevels, 0), c.Slots-1)
	c.InitialSlots = min(max(c.InitialSlots, 1), c.Slots)
	if c.SuccessesPerSlot <= 0 {
		c.SuccessesPerSlot = DefaultSuccessesPerSlot
	}
	if c.QueueLength <= 0 {
		c.QueueLength = DefaultQueuePerSlot * c.Slots
	}
	if c.TeamPercent <= 0 || c.TeamPercent > 100 {
		c.TeamPercent = DefaultTeamPercent
	}
	if c.MaxWait <= 0 {
		c.MaxWait = DefaultMaxWait
	}
	return c
}

// teamLength is the number of requests that one team may have in a queue.
func (c Config) teamLength() int {
	return max(c.QueueLength*c.TeamPercent/100, 1)
}
