package membership

import "time"

// Config holds the intervals and limits of a Node. Zero values mean the defaults.
type Config struct {
	// Period is the interval between regular pings. Default 500ms.
	Period time.Duration
	// PingTimeout is the time to wait for a direct reply before helpers are asked to ping the peer. Default 150ms.
	PingTimeout time.Duration
	// Helpers is the number of processes that are asked for an indirect ping. Default 3.
	Helpers int
	// Confirmations is the number of processes besides the first accuser that must confirm a suspicion before the member
	// is declared dead. A fleet with too few processes requires all that can confirm. Default 2.
	Confirmations int
	// SuspicionPeriods is the minimum number of periods from suspicion to death in a fleet of up to 10 processes. In a
	// larger fleet it grows with the logarithm of the fleet size. Default 5.
	SuspicionPeriods int
	// SyncInterval is the interval between exchanges of member digests with a random peer. Default 5s.
	SyncInterval time.Duration
	// DeadRetention is the time after which a dead member is removed. Default 10m.
	DeadRetention time.Duration
	// MaxPacketBytes limits the estimated JSON size of the updates and digests in one packet. Default 12 KiB, which leaves
	// room for the other fields below the packet limit of 16 KiB.
	MaxPacketBytes int
	// MetaInterval is the minimum time between two versions of this process's metadata. Default 1s.
	MetaInterval time.Duration
	// MetaIntervalPerMember, multiplied by the number of known members, is also a minimum time between two versions. Each
	// version goes to all processes, so with a fixed interval the traffic of a process would grow with the fleet. Default
	// 200ms, which keeps the traffic of a process below 16 KB/s with metadata of about 1 KB.
	MetaIntervalPerMember time.Duration
	// StaleHeartbeatAge is the age of the newest heartbeat above which this process sends additional pings to collect
	// contacts. The age of a heartbeat counts from the request in whose reply it arrived, so it reaches up to two
	// heartbeat intervals before the next heartbeat arrives; a value below that causes pings in normal operation. It must
	// stay below ContactWindow. Default 1.5s.
	StaleHeartbeatAge time.Duration
	// ContactInterval is the interval between the additional pings while the newest heartbeat is older than
	// StaleHeartbeatAge. Default 400ms: the replies carry the contacts of the whole roster, so in a fleet of 2,000
	// processes a shorter interval costs more than 16 KB/s per process.
	ContactInterval time.Duration
}

func (c Config) withDefaults() Config {
	setDuration(&c.Period, 500*time.Millisecond)
	setDuration(&c.PingTimeout, 150*time.Millisecond)
	setDuration(&c.SyncInterval, 5*time.Second)
	setDuration(&c.DeadRetention, 10*time.Minute)
	setDuration(&c.MetaInterval, time.Second)
	setDuration(&c.MetaIntervalPerMember, 200*time.Millisecond)
	setDuration(&c.StaleHeartbeatAge, staleHeartbeatAge)
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
