package node

import (
	"slices"
	"time"
)

// defaultLoadInterval is the default of Options.LoadInterval.
const defaultLoadInterval = 10 * time.Second

// loadSteps keeps the load and the ramp in metadata from changing often: each change is gossiped to the whole fleet.
type loadThrottle struct {
	interval    time.Duration
	rows        []serviceRow
	publishedAt time.Duration
}

// smooth returns rows with the load and ramp that were told last, until they are old or something else changed.
func (l *loadThrottle) throttle(rows []serviceRow, now time.Duration) []serviceRow {
	if now-l.publishedAt < l.interval && slices.EqualFunc(l.rows, rows, sameExceptLoad) {
		return l.rows
	}
	l.rows = rows
	l.publishedAt = now
	return rows
}

// sameService tells whether two rows differ at most in load and ramp, which entries also learn from answers.
func sameExceptLoad(a, b serviceRow) bool {
	a.Load, a.Effective = b.Load, b.Effective
	return a == b
}
