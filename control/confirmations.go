package control

import (
	"sync"
	"time"

	"rosemaryline.dev/fleet/state"
)

// Confirmations is a Tracker with a clock and a lock. It is safe for concurrent use.
type Confirmations struct {
	now func() time.Duration

	mu      sync.Mutex // guards the fields below
	tracker *Tracker
	beats   [beatsKept]issuedBeat
	newest  int
}

// beatsKept is the number of beats by which confirmations can be dated. Older ones are of no use.
const beatsKept = 16

type issuedBeat struct {
	number uint64
	at     time.Duration
}

// NewConfirmations returns Confirmations with an empty roster. now is a monotonic clock.
func NewConfirmations(now func() time.Duration) *Confirmations {
	return &Confirmations{now: now, tracker: NewTracker()}
}

// Issued notes when this process issued a beat as the leader.
func (c *Confirmations) Issued(number uint64, at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.newest = (c.newest + 1) % beatsKept
	c.beats[c.newest] = issuedBeat{number: number, at: at}
}

// Confirm notes that a process runs a version. A confirmation may be late by any time, so it is dated by the newest beat
// that its sender knew; without a beat of this leader it has no date.
func (c *Confirmations) Confirm(p ProcessConfirmation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tracker.Confirm(c.now(), c.issuedAt(p.Beat), p.Process, p.Incarnation, p.Version)
}

// issuedAt returns when a beat was issued, or 0. The caller holds mu.
func (c *Confirmations) issuedAt(number uint64) time.Duration {
	for _, b := range c.beats {
		if number != 0 && b.number == number {
			return b.at
		}
	}
	return 0
}

// SetRoster takes the rosters of a state. It must be called after each change of the roster.
func (c *Confirmations) SetRoster(s *state.State) {
	base, changes := s.RosterChain()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tracker.SetRoster(base, changes)
}

// InForce returns the highest version in force. It must be called at least once a second.
func (c *Confirmations) InForce() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.InForce(c.now())
}

// Status answers for one version.
func (c *Confirmations) Status(version uint64) VersionStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.Status(c.now(), version)
}

// PendingRosterChange tells whether the leader should propose state.RosterInForce with the returned version.
func (c *Confirmations) PendingRosterChange() (version uint64, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.PendingRosterChange(c.now())
}

// Processes returns what each process of the roster runs and for how long control has known it.
func (c *Confirmations) Processes() []ProcessVersion {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	var list []ProcessVersion
	for _, p := range c.tracker.Confirmations() {
		entry := ProcessVersion{Process: p.Process, Version: p.Version, Known: p.Known}
		if p.Known {
			entry.AgeMillis = (now - p.At).Milliseconds()
		}
		list = append(list, entry)
	}
	return list
}

// ProcessVersion tells which version a process runs.
type ProcessVersion struct {
	Process string `json:"process"`
	Version uint64 `json:"version"`
	// AgeMillis is how long control has known it, in milliseconds.
	AgeMillis int64 `json:"ageMillis"`
	// Known is false where the process has not confirmed any version to this control process.
	Known bool `json:"known"`
}
