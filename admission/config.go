package admission

import "time"

// Defaults of Config.
const (
	DefaultSuccessesPerSlot = 10
	DefaultTeamPercent      = 50
	DefaultMaxWait          = time.Second
	// DefaultQueuePerSlot is the default queue length per slot, in requests.
	DefaultQueuePerSlot = 4
)

// Config holds the settings of a Gate. A zero value selects the default of the field.
type Config struct {
	// Slots is the maximum number of requests in flight. Default 1.
	Slots int
	// NestedLevels is the number of nesting depths for which one slot each is reserved. With 1, requests may call
	// each other's services one level deep without blocking each other. Calls nested deeper are admitted or refused
	// at once and never queued. Use 1 for a service that receives nested calls and 0 otherwise. Default 0; values
	// above Slots-1 are reduced to Slots-1.
	NestedLevels int
	// InitialSlots is the number of requests in flight that a cold backend server gets. Default 1.
	InitialSlots int
	// SuccessesPerSlot is the number of successful requests with normal latency after which the ramp adds one slot.
	// Default 10.
	SuccessesPerSlot int
	// Adaptive selects the adaptive limit in place of the ramp: all slots are available from the start, and fewer after
	// evidence of overload. InitialSlots and SuccessesPerSlot have no effect then. Default false.
	Adaptive bool
	// ColdRate is the number of requests per second that a cold backend server can handle. When it is set, all slots
	// are available from the start, and this limit applies until the time passed to SetColdUntil. Default 0: no rate
	// limit; the ramp adds slots step by step instead.
	ColdRate float64
	// QueueLength is the maximum number of queued requests for each nesting depth. Default 4 times Slots.
	QueueLength int
	// TeamPercent is the maximum share of the queue that one team may occupy, in percent, but at least one request.
	// Default 50.
	TeamPercent int
	// MaxWait is the maximum time that a request stays in the queue. Default 1s.
	MaxWait time.Duration
	// HeldBytes limits the bytes of the bodies of the requests in flight. Default 0: no limit.
	HeldBytes int64
}

// withDefaults returns a copy of c with defaults in place of zero and invalid values.
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

// maxQueuedPerTeam returns the number of requests that one team may have in one queue.
func (c Config) maxQueuedPerTeam() int {
	return max(c.QueueLength*c.TeamPercent/100, 1)
}
