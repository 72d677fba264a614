package shares

import "time"

// cutOff reports whether this process has lost contact to the processes that report to it: it was frozen until all entries
// had dropped its decisions, or less than half of those that it told of the shortage still report. Their slots would not
// count, so that the first reports after the interruption would be compared with a small part of the capacity.
func (d *Decider) cutOff(now, elapsed time.Duration) bool {
	told, reporting := 0, 0
	for _, p := range d.reporters {
		if !p.toldShort {
			continue
		}
		told++
		if now-p.at <= reportLifetime {
			reporting++
		}
	}
	return elapsed > d.cfg.ValidFor || 2*reporting < told
}

// restart makes the decider decide like that of a new owner: not short for settleTime, and the announced slots count for VMs
// that do not report.
func (d *Decider) restart(now time.Duration) {
	d.cfg.Start = now
	d.status.Short = false
	d.excess, d.easySince = 0, -1
	for _, p := range d.reporters {
		p.toldShort = false
	}
}
