package quota

import "time"

// Defaults of Config.
const (
	// DefaultLifetime is also the time for which a new owner grants nothing. Below 250ms, the additional messages for
	// renewals outweigh the shorter wait.
	DefaultLifetime = 250 * time.Millisecond
	DefaultDrift    = 0.01
	DefaultSpare    = 100 * time.Millisecond
	// DefaultBriefLifetime covers a round trip between regions. With a longer one, the tokens that processes with few
	// requests have already spent would count against a small burst for longer.
	DefaultBriefLifetime = 50 * time.Millisecond
	DefaultDemandWindow  = 250 * time.Millisecond
	DefaultResendAfter   = 25 * time.Millisecond
)

// Config holds the settings of an Owner or a Holder. Zero values select the documented defaults. Lifetime,
// BriefLifetime and Drift must be equal in the whole fleet.
type Config struct {
	// Process and Incarnation identify a Holder. A restarted process has a higher incarnation.
	Process     string
	Incarnation uint64
	// Start is the time on the owner's clock from which no other process grants tokens for its teams. An Owner grants
	// nothing until LongestLifetime has passed since then.
	Start time.Duration
	// Lifetime is the time for which a holder may spend the tokens of a grant, counted from its request. Default 250ms.
	Lifetime time.Duration
	// BriefLifetime is the lifetime of a grant that only serves waiting requests, counted likewise. Default 50ms.
	BriefLifetime time.Duration
	// Drift is the maximum relative error of a process's clock. Owners refill more slowly by this ratio, so that a fast
	// clock does not exceed the rate. Default 0.01.
	Drift float64
	// Spare is the time for which the unspent tokens of a holder should last at the observed demand. Default 100ms.
	Spare time.Duration
	// DemandWindow is the time constant of the observed demand. With a shorter one, the demand of a team with a
	// moderate rate decays to nothing between two requests; with a longer one, processes that no longer get the traffic
	// keep their tokens too long. Default 250ms.
	DemandWindow time.Duration
	// ResendAfter is the time after which a request without a reply is sent again, and the time between two sweeps of a
	// Holder, which renew and return tokens. Default 25ms.
	ResendAfter time.Duration
}

func (c Config) withDefaults() Config {
	if c.Lifetime <= 0 {
		c.Lifetime = DefaultLifetime
	}
	if c.BriefLifetime <= 0 {
		c.BriefLifetime = DefaultBriefLifetime
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
	if c.ResendAfter <= 0 {
		c.ResendAfter = DefaultResendAfter
	}
	return c
}

// lifetime returns the time for which a holder may spend the tokens of a grant, counted from when it first sent the
// request.
func (c Config) lifetime(brief bool) time.Duration {
	if brief {
		return c.BriefLifetime
	}
	return c.Lifetime
}

// LongestLifetime returns the maximum time, on an owner's clock, for which tokens of a former owner can still be spent.
func (c Config) LongestLifetime() time.Duration {
	c = c.withDefaults()
	return c.ownerLifetime(max(c.Lifetime, c.BriefLifetime))
}

// ownerLifetime returns the time on an owner's clock that covers a lifetime on any holder's clock.
func (c Config) ownerLifetime(lifetime time.Duration) time.Duration {
	return time.Duration(float64(lifetime)*(1+c.Drift)/(1-c.Drift)) + time.Microsecond
}
