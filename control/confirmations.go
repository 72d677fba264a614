package control

import (
	"sync"
	"time"

	"rosemaryline.dev/fleet/state"
)

// Confirmations wraps a Tracker with a clock and a mutex, and dates confirmations by the heartbeats of this process. It
// is safe for concurrent use.
type Confirmations struct {
	now func() time.Duration

	mu         sync.Mutex // guards the fields below
	tracker    *Tracker
	heartbeats [heartbeatHistorySize]issuedHeartbeat
	newest     int
}

// heartbeatHistorySize is the number of recent heartbeats that are kept to date confirmations. Older heartbeats are of
// no use, because only confirmations of the last 3 s (membership.ConfirmWindow) count towards a majority.
const heartbeatHistorySize = 16

type issuedHeartbeat struct {
	number uint64
	at     time.Duration
}

// NewConfirmations returns Confirmations with an empty roster. now is a monotonic clock.
func NewConfirmations(now func() time.Duration) *Confirmations {
	return &Confirmations{now: now, tracker: NewTracker()}
}

// RecordHeartbeat records the time at which this process issued a heartbeat as the control leader.
func (c *Confirmations) RecordHeartbeat(number uint64, at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.newest = (c.newest + 1) % heartbeatHistorySize
	c.heartbeats[c.newest] = issuedHeartbeat{number: number, at: at}
}

// Confirm records that a process runs a version. A confirmation may be delayed arbitrarily, so its time is the issue
// time of the newest heartbeat that its sender knew. If this process did not issue that heartbeat, or issued it too
// long ago, the confirmation has no time.
func (c *Confirmations) Confirm(p ProcessConfirmation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tracker.Confirm(c.now(), c.issuedAt(p.Heartbeat), p.Process, p.Incarnation, p.Version)
}

// issuedAt returns the issue time of a heartbeat, or 0 if it is not in the heartbeat history. The caller holds mu.
func (c *Confirmations) issuedAt(number uint64) time.Duration {
	for _, h := range c.heartbeats {
		if number != 0 && h.number == number {
			return h.at
		}
	}
	return 0
}

// SetRoster replaces the tracker's rosters by those of a state. It must be called after each change of the roster.
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

// Status reports whether a version is in force and which processes have not confirmed it.
func (c *Confirmations) Status(version uint64) VersionStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.Status(c.now(), version)
}

// PendingRosterChange reports whether the leader should propose state.RosterInForce with the returned version.
func (c *Confirmations) PendingRosterChange() (version uint64, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.PendingRosterChange(c.now())
}

// Processes returns, for each process of the roster, the version that it runs and the age of that information.
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

// ProcessVersion is the version that a process has confirmed.
type ProcessVersion struct {
	Process string `json:"process"`
	Version uint64 `json:"version"`
	// AgeMillis is the time since this control process learned that the process runs Version, in milliseconds.
	AgeMillis int64 `json:"ageMillis"`
	// Known is false if the process has not confirmed any version to this control process.
	Known bool `json:"known"`
}
