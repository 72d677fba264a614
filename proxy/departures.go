package proxy

import (
	"math"
	"slices"
	"time"
)

// returnHoldDown is how long the announcements of an instance that left without a known start must keep arriving until the
// instance counts as started again. It exceeds the time for which an announcement may be delayed.
const returnHoldDown = 10 * time.Second

// Departure states that an instance of a backend server is leaving.
//
// A departure without a known start is acknowledged by a process that has seen no announcement of the instance, for example
// right after a restart. It covers every start of the instance before Before, or every start while Before is 0.
type Departure struct {
	Instance string
	// StartedMs is the Unix time in milliseconds at which the instance started; 0 where it is not known.
	StartedMs int64
	// Through is the sequence number of the last announcement that is outdated, whenever it arrives. It is math.MaxUint64
	// if the instance must not be announced again.
	Through uint64
	// ID distinguishes departures of an instance without a known start; empty for the others.
	ID string
	// Before is the earliest start, as in StartedMs, that a departure without a known start does not cover; 0 while none is
	// known.
	Before int64
}

// startUnknown reports whether the process that acknowledged the departure did not know when the instance started.
func (d *Departure) startUnknown() bool { return d.StartedMs == 0 && d.Through == math.MaxUint64 }

// covers reports whether an announcement is outdated by the departure.
func (d *Departure) covers(a *Announcement) bool {
	if a.Instance != d.Instance || a.Sequence > d.Through {
		return false
	}
	if d.startUnknown() {
		return d.Before == 0 || a.StartedMs < d.Before
	}
	return a.StartedMs == d.StartedMs
}

// sameDeparture reports whether two departures are of the same start of an instance, or are copies of one without a known
// start.
func (d *Departure) sameDeparture(other *Departure) bool {
	return d.Instance == other.Instance && d.StartedMs == other.StartedMs && d.ID == other.ID
}

// departures holds the latest departures, at most maxBackendServers, the oldest first. It is not safe for concurrent use.
type departures struct {
	list []departureRecord
}

type departureRecord struct {
	Departure
	// candidate is the start that may follow a departure without a known start.
	candidate candidateStart
}

// candidateStart is a start of an instance whose announcements keep arriving after the instance left.
type candidateStart struct {
	startedMs      int64 // 0 if there is none
	sequence       uint64
	since, heardAt time.Duration
}

// add adds a departure. A copy of one that is known only extends it: a late copy does not take back what was learned since.
func (d *departures) add(departure Departure) {
	i := slices.IndexFunc(d.list, func(r departureRecord) bool { return r.sameDeparture(&departure) })
	if i >= 0 {
		known := &d.list[i]
		known.Through = max(known.Through, departure.Through)
		known.Before = max(known.Before, departure.Before)
		return
	}
	d.list = append(d.list, departureRecord{Departure: departure})
	if len(d.list) > maxBackendServers {
		d.list = slices.Delete(d.list, 0, 1)
	}
}

// withoutStart returns the departure without a known start that covers every start of an instance, and whether there is one.
func (d *departures) withoutStart(instance string) (Departure, bool) {
	for i := range d.list {
		if r := &d.list[i]; r.Instance == instance && r.startUnknown() && r.Before == 0 {
			return r.Departure, true
		}
	}
	return Departure{}, false
}

// returned returns the departures without a known start after which an instance started again.
func (d *departures) returned(instance string) (list []Departure) {
	for i := range d.list {
		if r := &d.list[i]; r.Instance == instance && r.startUnknown() && r.Before != 0 {
			list = append(list, r.Departure)
		}
	}
	return list
}

// isOutdated reports whether an announcement that arrives at a time on the process's clock comes from an instance that is
// leaving. After a departure without a known start, an announcement may come from the leaving start or from a later one. The
// leaving start sends no more, so its late announcements end soon; those of a later start keep arriving. The start counts as a
// later one once its announcements have arrived in order for returnHoldDown, none later than ttl after the one before it;
// returned is true for the announcement that shows it.
func (d *departures) isOutdated(a *Announcement, now, ttl time.Duration) (outdated, returned bool) {
	for i := range d.list {
		r := &d.list[i]
		if !r.covers(a) {
			continue
		}
		if r.startUnknown() && r.Before == 0 && r.candidate.announced(a, now, ttl) {
			r.Before, returned = a.StartedMs, true
			continue
		}
		outdated = true
	}
	return outdated, returned
}

// announced records an announcement and reports whether its start has been announced for returnHoldDown.
func (c *candidateStart) announced(a *Announcement, now, ttl time.Duration) bool {
	if a.StartedMs == 0 || a.Draining || a.StartedMs < c.startedMs {
		return false
	}
	if a.StartedMs > c.startedMs || now-c.heardAt > ttl {
		*c = candidateStart{startedMs: a.StartedMs, sequence: a.Sequence, since: now, heardAt: now}
		return false
	}
	if a.Sequence <= c.sequence {
		return false
	}
	c.sequence, c.heardAt = a.Sequence, now
	return now-c.since >= returnHoldDown
}
