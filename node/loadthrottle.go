package node

import (
	"slices"
	"time"
)

// defaultLoadInterval is the default of Options.LoadInterval, the minimum time between two metadata updates that differ
// only in load and ramp.
const defaultLoadInterval = 10 * time.Second

// loadThrottle limits how often a change of load or ramp alone changes the metadata, because each change is gossiped to
// the whole fleet.
type loadThrottle struct {
	interval    time.Duration
	rows        []serviceRow
	publishedAt time.Duration
}

// throttle returns the rows that were published last, unless interval has passed or something other than load and ramp
// has changed. Otherwise it returns rows.
func (l *loadThrottle) throttle(rows []serviceRow, now time.Duration) []serviceRow {
	if now-l.publishedAt < l.interval && slices.EqualFunc(l.rows, rows, sameExceptLoad) {
		return l.rows
	}
	l.rows = rows
	l.publishedAt = now
	return rows
}

// sameExceptLoad reports whether two rows differ at most in load and ramp. Entries also learn these from responses.
func sameExceptLoad(a, b serviceRow) bool {
	a.Load, a.Effective = b.Load, b.Effective
	return a == b
}
