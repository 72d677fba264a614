package node

import (
	"slices"
	"time"
)

// defaultLoadInterval is the default of Options.LoadInterval.
const defaultLoadInterval = 10 * time.Second

// loadSteps keeps the load and the ramp in metadata from changing often: each change is gossiped to the whole fleet.
type loadSteps struct {
	interval time.Duration
	rows     []row
	at       time.Duration
}

// smooth returns rows with the load and ramp that were told last, until they are old or something else changed.
func (l *loadSteps) smooth(rows []row, now time.Duration) []row {
	if now-l.at < l.interval && slices.EqualFunc(l.rows, rows, sameService) {
		return l.rows
	}
	l.rows = rows
	l.at = now
	return rows
}

// sameService tells whether two rows differ at most in load and ramp, which entries also learn from answers.
func sameService(a, b row) bool {
	a.Load, a.Effective = b.Load, b.Effective
	return a == b
}
