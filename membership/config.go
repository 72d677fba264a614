package membership

import "time"

// Config sets the pace of a Node. Zero values mean the defaults.
type Config struct {
	// Period is the time between two pings. Default 500ms.
	Period time.Duration
	// PingTimeout is the wait for a direct answer before helpers are asked. Default 150ms.
	PingTimeout time.Duration
	// Helpers is the number of processes asked to ping indirectly. Default 3.
	Helpers int
	// Confirmations is the number of processes, besides the first accuser, that must confirm a suspicion before the
	// member counts as dead. Fleets of fewer processes need as many as there can be. Default 2.
	Confirmations int
	// SuspicionPeriods is the least number of periods from suspicion to death in a small fleet; it grows with the
	// logarithm of the fleet size. Default 5.
	SuspicionPeriods int
	// SyncInterval is the time between two exchanges of member digests with a random peer. Default 5s.
	SyncInterval time.Duration
	// DeadRetention is the time until a dead member is forgotten. Default 10m.
	DeadRetention time.Duration
	// MaxPacketBytes bounds the updates and digests put into one packet, by their estimated JSON size. Default 12 KiB,
	// which leaves room for the other fields below the packet limit of 16 KiB.
	MaxPacketBytes int
	// MetaInterval is the least time between two versions of the own metadata. Default 1s.
	MetaInterval time.Duration
	// MetaIntervalPerMember is the least time between two versions for each known member: each version goes to all
	// processes, so with a fixed interval the traffic of a process would grow with the fleet. Default 200ms, which
	// keeps metadata of about 1 KB below 16 KB/s for a process.
	MetaIntervalPerMember time.Duration
	// StaleBeat is the age of the newest beat from which contact with other processes is looked for. A beat is dated by the
	// question that it answers, so it is up to two intervals old when the next one comes; a value below that costs pings in
	// calm times. It must stay below ContactWindow. Default 1.5s.
	StaleBeat time.Duration
	// ContactInterval is the time between two further pings while no beat is fresh. Default 400ms: the answers carry
	// the contacts of the whole roster, and at 2,000 processes shorter intervals cost more than 16 KB/s.
	ContactInterval time.Duration
}

func (c Config) withDefaults() Config {
	setDuration(&c.Period, 500*time.Millisecond)
	setDuration(&c.PingTimeout, 150*time.Millisecond)
	setDuration(&c.SyncInterval, 5*time.Second)
	setDuration(&c.DeadRetention, 10*time.Minute)
	setDuration(&c.MetaInterval, time.Second)
	setDuration(&c.MetaIntervalPerMember, 200*time.Millisecond)
	setDuration(&c.StaleBeat, staleBeat)
	setDuration(&c.ContactInterval, 400*time.Millisecond)
	setInt(&c.Helpers, 3)
	setInt(&c.Confirmations, 2)
	setInt(&c.SuspicionPeriods, 5)
	setInt(&c.MaxPacketBytes, 12<<10)
	return c
}

func setDuration(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

func setInt(n *int, value int) {
	if *n <= 0 {
		*n = value
	}
}
