package node

import (
	"slices"
	"time"
)

// loadInterval is the least time between two versions of the metadata that differ in load only.
const loadInterval = 10 * time.Second

// loadSteps keeps the load in metadata from changing often: each change is gossiped to the whole fleet.
type loadSteps struct {
	rows []row
	at   time.Duration
}

// smooth returns rows with the load that was told last, until it is old or something else changed.
func (l *loadSteps) smooth(rows []row, now time.Duration) []row {
	if now-l.at < loadInterval && slices.EqualFunc(l.rows, rows, sameButLoad) {
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

func sameButLoad(a, b row) bool {
	a.Load = b.Load
	return a == b
}
