package idempotency

import "time"

// expire advances the clock and drops records and released claims older than Retention.
func (s *Store) expire(c *Expire) Result {
	if c.From != s.clock || c.Elapsed < 0 {
		return Result{Outcome: Ignored, Clock: s.clock}
	}
	s.clock += min(c.Elapsed, maxClockStep)
	for key, r := range s.records {
		if s.clock-r.ClaimedAt > Retention {
			delete(s.records, key)
		}
	}
	for id, releasedAt := range s.released {
		if s.clock-releasedAt > Retention {
			delete(s.released, id)
		}
	}
	return Result{Outcome: Recorded, Clock: s.clock}
}

// Expirer proposes Expire commands on the leader of the record group.
type Expirer struct {
	interval   time.Duration
	clockKnown bool
	clock      time.Duration // store's clock at the last result
	learnedAt  time.Duration // local time of that result
}

// NewExpirer returns an Expirer that proposes one command per interval. If interval is not positive, it is 1 minute.
func NewExpirer(interval time.Duration) *Expirer {
	if interval <= 0 {
		interval = time.Minute
	}
	return &Expirer{interval: interval}
}

// Next returns the command to propose now, or false if none is due. The first command only reads the store's clock: no
// clock matches its From of -1.
func (e *Expirer) Next(now time.Duration) (Command, bool) {
	if !e.clockKnown {
		return Command{Expire: &Expire{From: -1}}, true
	}
	if now < e.learnedAt+e.interval {
		return Command{}, false
	}
	return Command{Expire: &Expire{From: e.clock, Elapsed: now - e.learnedAt}}, true
}

// Receive handles the result of a proposed command. A result with a new clock starts the next interval.
func (e *Expirer) Receive(now time.Duration, r Result) {
	if e.clockKnown && r.Clock == e.clock {
		return
	}
	e.clockKnown = true
	e.clock = r.Clock
	e.learnedAt = now
}
