package shares

import (
	"slices"
	"time"
)

// Admitter applies the decisions about one service at an entry.
type Admitter struct {
	cfg      Config
	decision Decision
	at       time.Duration // when the report was sent that the decision answers
	received bool
}

// NewAdmitter returns an Admitter without a decision, which admits everything.
func NewAdmitter(cfg Config) *Admitter { return &Admitter{cfg: cfg.withDefaults()} }

// Receive stores the decision in the reply to a report that was sent at the time asked. The decision is valid from then on:
// counted from its arrival, a delayed reply would bind the entry for longer after the owner is gone. Replies to earlier
// reports than that of the stored decision are ignored, because they are late and perhaps from a former owner. While a
// decision is valid, those with the same or a lower sequence are ignored too.
func (a *Admitter) Receive(asked time.Duration, d Decision) {
	if a.received && asked < a.at || a.valid(asked) && d.Sequence <= a.decision.Sequence {
		return
	}
	a.decision, a.at, a.received = d, asked, true
}

func (a *Admitter) valid(now time.Duration) bool { return a.received && now-a.at <= a.cfg.ValidFor }

// Short reports whether a valid decision says that the service is short of capacity.
func (a *Admitter) Short(now time.Duration) bool { return a.valid(now) && a.decision.Short }

// Age returns the age of the last decision; ok is false without one.
func (a *Admitter) Age(now time.Duration) (age time.Duration, ok bool) { return now - a.at, a.received }

// Share returns the share of the requests of a team with a priority that is admitted now. Requests with a priority that has no
// rank get the share of the next less urgent rank, or of the last one.
func (a *Admitter) Share(now time.Duration, team string, priority int) float64 {
	ranks := a.decision.Ranks
	if !a.Short(now) || len(ranks) == 0 {
		return 1
	}
	i := slices.IndexFunc(ranks, func(r Rank) bool { return r.Priority >= priority })
	if i < 0 {
		i = len(ranks) - 1
	}
	for _, t := range ranks[i].Teams {
		if t.Team == team {
			return clampShare(t.Share)
		}
	}
	return clampShare(ranks[i].Share)
}

// Admit decides about a new request. key identifies the request; the same key and share always give the same answer.
func (a *Admitter) Admit(now time.Duration, team string, priority int, key uint64) (ok bool, retryAfter time.Duration) {
	share := a.Share(now, team, priority)
	if share >= 1 || unit(key) < share {
		return true, 0
	}
	mean := min(max(time.Duration(a.decision.RetryAfterMs)*time.Millisecond, MinRetryAfter), MaxRetryAfter)
	// The delays are spread from half to one and a half of the mean, so that callers do not return at the same time.
	spread := time.Duration((0.5 + unit(mix(key))) * float64(mean))
	return false, min(max(spread, MinRetryAfter), MaxRetryAfter)
}

// unit maps a key to a number from 0 to below 1.
func unit(key uint64) float64 { return float64(mix(key)>>11) / (1 << 53) }

// mix is the finalizer of splitmix64, which spreads keys that differ in few bits.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
