package quota

import "time"

// Defaults of Config.
const (
	// DefaultLifetime is also the time for which a new owner grants nothing. Below 250ms the renewals cost more messages
	// than the shorter wait is worth.
	DefaultLifetime = 250 * time.Millisecond
	DefaultDrift    = 0.01
	DefaultSpare    = 100 * time.Millisecond
	// DefaultNeedLifetime covers a round trip between regions. Longer ones keep the spent tokens of processes that ask
	// once in a while out of a small burst.
	DefaultNeedLifetime = 50 * time.Millisecond
	DefaultDemandWindow = 250 * time.Millisecond
	DefaultResend       = 25 * time.Millisecond
)

// Config holds the settings of an Owner or a Holder. Zero values take the documented defaults. Lifetimes and Drift
// must be equal in the whole fleet.
type Config struct {
	// Process and Incarnation identify a Holder. A restarted process has a higher incarnation.
	Process     string
	Incarnation uint64
	// Start is the time on the owner's clock since when no other process grants tokens for its teams. An Owner grants
	// nothing before Start + Lifetime + margin.
	Start time.Duration
	// Lifetime is how long a holder may spend a grant after it asked for it. Default 250ms.
	Lifetime time.Duration
	// NeedLifetime is the same for a grant that only serves waiting requests. Default 50ms.
	NeedLifetime time.Duration
	// Drift is the largest relative error of a process's clock. Default 0.01. Owners refill that much slower, so that a
	// fast clock grants no more than the rate.
	Drift float64
	// Spare is the time for which a holder keeps tokens at the observed demand. Default 100ms.
	Spare time.Duration
	// DemandWindow is the time constant of the observed demand. Shorter windows forget a team between two requests of a
	// moderate rate; longer ones keep tokens from processes that the traffic moved to. Default 250ms.
	DemandWindow time.Duration
	// Resend is the time after which an unanswered request is sent again. Default 25ms.
	Resend time.Duration
}

func (c Config) withDefaults() Config {
	if c.Lifetime <= 0 {
		c.Lifetime = DefaultLifetime
	}
	if c.NeedLifetime <= 0 {
		c.NeedLifetime = DefaultNeedLifetime
	}
	if c.Drift <= 0 {
		c.Drift = DefaultDrift
	}
	if c.Spare <= 0 {
		c.Spare = DefaultSpare
	}
	if c.DemandWindow <= 0 {
		c.DemandWindow = DefaultDemandWindow
	}
	if c.Resend <= 0 {
		c.Resend = DefaultResend
	}
	return c
}

// lifetime is how long a holder may spend the answer to a request, counted from when it first asked.
func (c Config) lifetime(brief bool) time.Duration {
	if brief {
		return c.NeedLifetime
	}
	return c.Lifetime
}

// LongestLifetime is how long a token of a former owner may be spent, on an owner's clock.
func (c Config) LongestLifetime() time.Duration {
	c = c.withDefaults()
	return c.ownerLifetime(max(c.Lifetime, c.NeedLifetime))
}

// ownerLifetime is the time on an owner's clock that covers a lifetime on any holder's clock.
func (c Config) ownerLifetime(lifetime time.Duration) time.Duration {
	return time.Duration(float64(lifetime)*(1+c.Drift)/(1-c.Drift)) + time.Microsecond
}
