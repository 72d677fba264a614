package idempotency

import "time"

// expire advances the clock and drops what is older than Retention.
func (s *Store) expire(c *Expire) Result {
	if c.From != s.clock || c.Elapsed < 0 {
		return Result{Outcome: Ignored, Clock: s.clock}
	}
	s.clock += min(c.Elapsed, maxStep)
	for key, r := range s.records {
		if s.clock-r.Stamp > Retention {
			delete(s.records, key)
		}
	}
	for id, stamp := range s.released {
		if s.clock-stamp > Retention {
			delete(s.released, id)
		}
	}
	return Result{Outcome: Recorded, Clock: s.clock}
}

// Expirer proposes Expire commands on the leader of the record group.
type Expirer struct {
	interval time.Duration
	known    bool
	clock    time.Duration
	learned  time.Duration
}

// NewExpirer returns an Expirer that proposes once in each interval. Default 1m.
func NewExpirer(interval time.Duration) *Expirer {
	if interval <= 0 {
		interval = time.Minute
	}
	return &Expirer{interval: interval}
}

// Next returns the command to propose now, and false when none is due. The first one only reads the store's clock.
func (e *Expirer) Next(now time.Duration) (Command, bool) {
	if !e.known {
		return Command{Expire: &Expire{From: -1}}, true
	}
	if now < e.learned+e.interval {
		return Command{}, false
	}
	return Command{Expire: &Expire{From: e.clock, Elapsed: now - e.learned}}, true
}

// Receive takes the result of a proposed command. A result with a new clock starts the next interval.
func (e *Expirer) Receive(now time.Duration, r Result) {
	if e.known && r.Clock == e.clock {
		return
	}
	e.known = true
	e.clock = r.Clock
	e.learned = now
}
