package control

import (
	"cmp"
	"math"
	"slices"
	"time"

	"rosemaryline.dev/fleet/state"
	"rosemaryline.dev/membership"
)

// Times of the rule by which a version can be in force although only a majority of the processes confirmed it.
const (
	// ContactWindow is the longest time for which a process admits requests without a new heartbeat or contact with a
	// majority.
	ContactWindow = membership.ContactWindow
	// FetchGrace is the longest time for which a process admits requests after it learned of a version that it does not
	// have.
	FetchGrace = membership.FetchGrace
	// DriftMargin allows for clocks of two processes that run at different rates.
	DriftMargin = 500 * time.Millisecond
	// MajorityDelay is the time from the confirmation of a version by a majority until the version is in force.
	MajorityDelay = ContactWindow + FetchGrace + DriftMargin
)

// Confirmation is the version that a process has confirmed.
type Confirmation struct {
	Process string
	Version uint64
	// At is the time at which the tracker learned that the process runs the version, on the clock of the now arguments.
	At time.Duration
	// Known is false if the process has not confirmed any version.
	Known bool
}

// VersionStatus reports whether a version is in force.
type VersionStatus struct {
	Version uint64
	InForce bool
	// Missing lists the processes of the current roster that have not confirmed the version, sorted.
	Missing []string
}

// Tracker records which version each process confirmed and when, and decides which version is in force. A version is in
// force once every process has confirmed it, or once MajorityDelay has passed since a majority confirmed it. A version
// stays in force, and all earlier versions are in force with it.
//
// A process that control cannot reach may have an earlier roster and count its majority in that one. The tracker
// therefore requires a majority of each roster since the last version in force.
//
// MajorityDelay starts with the first call of InForce or Status after the confirmation, so the leader calls InForce at
// least once a second. Tracker has no clock of its own and is not safe for concurrent use.
type Tracker struct {
	confirmed     map[string]confirmation
	base          map[string]bool      // roster at the version in force
	changes       []state.RosterChange // changes of the roster after base, ascending by version
	roster        map[string]bool      // current roster
	majorityMarks []majorityMark       // ascending by version and time
	inForce       uint64
	// baseAdvanced is true if base includes roster changes that the state still lists as pending.
	baseAdvanced bool
}

type confirmation struct {
	version, incarnation uint64
	// at is the time at which the tracker learned of the version.
	at time.Duration
	// asOf is the latest time at which the process is known to have run the version, or minTime if none is known.
	asOf time.Duration
}

// minTime is before any time on the clock.
const minTime = time.Duration(math.MinInt64 / 4)

// majorityMark records since when a version has been confirmed by a majority of each roster.
type majorityMark struct {
	version uint64
	at      time.Duration
}

// NewTracker returns a Tracker with an empty roster.
func NewTracker() *Tracker {
	return &Tracker{confirmed: map[string]confirmation{}, base: map[string]bool{}, roster: map[string]bool{}}
}

// SetRoster replaces the rosters by those that state.State.RosterChain returns.
func (t *Tracker) SetRoster(base []string, changes []state.RosterChange) {
	t.base = map[string]bool{}
	for _, name := range base {
		t.base[name] = true
	}
	t.changes = slices.Clone(changes)
	t.roster = rosterAfter(t.base, t.changes)
	t.baseAdvanced = false
	t.advanceBase()
	t.dropUnknownProcesses()
}

// Confirm records that a process ran a version at the time asOf. If asOf is 0 or less, the time is not known, and the
// confirmation does not count towards a new majority. A confirmation of an earlier version than before is ignored
// unless it has a higher incarnation: a restarted process may run an earlier version, so its previous confirmation no
// longer counts. Processes that are in no roster are ignored.
func (t *Tracker) Confirm(now, asOf time.Duration, process string, incarnation, version uint64) {
	if !t.inAnyRoster(process) {
		return
	}
	if asOf <= 0 {
		asOf = minTime
	}
	previous, ok := t.confirmed[process]
	if ok && (incarnation < previous.incarnation || incarnation == previous.incarnation && version < previous.version) {
		return
	}
	if ok && incarnation == previous.incarnation && version == previous.version {
		previous.asOf = max(previous.asOf, asOf)
		t.confirmed[process] = previous
		return
	}
	t.confirmed[process] = confirmation{version: version, incarnation: incarnation, at: now, asOf: asOf}
}

// InForce returns the highest version in force.
func (t *Tracker) InForce(now time.Duration) uint64 {
	t.update(now)
	return t.inForce
}

// Status reports whether a version is in force and which processes of the current roster have not confirmed it.
func (t *Tracker) Status(now time.Duration, version uint64) VersionStatus {
	s := VersionStatus{Version: version, InForce: version <= t.InForce(now)}
	for name := range t.roster {
		if c, ok := t.confirmed[name]; !ok || c.version < version {
			s.Missing = append(s.Missing, name)
		}
	}
	slices.Sort(s.Missing)
	return s
}

// Confirmations returns the confirmed version of each process of the current roster, sorted by name.
func (t *Tracker) Confirmations() []Confirmation {
	list := make([]Confirmation, 0, len(t.roster))
	for name := range t.roster {
		c, ok := t.confirmed[name]
		list = append(list, Confirmation{Process: name, Version: c.version, At: c.at, Known: ok})
	}
	slices.SortFunc(list, func(a, b Confirmation) int { return cmp.Compare(a.Process, b.Process) })
	return list
}

// PendingRosterChange reports whether the state still lists a roster change as pending that is in force. The leader
// then proposes state.RosterInForce with the returned version, the highest in force.
func (t *Tracker) PendingRosterChange(now time.Duration) (version uint64, ok bool) {
	inForce := t.InForce(now)
	return inForce, t.baseAdvanced
}

// update updates the majority marks and the version in force.
func (t *Tracker) update(now time.Duration) {
	t.updateMajorityMarks(now)
	t.inForce = max(t.inForce, t.unanimousVersion())
	for len(t.majorityMarks) > 0 && now-t.majorityMarks[0].at >= MajorityDelay {
		t.inForce = max(t.inForce, t.majorityMarks[0].version)
		t.majorityMarks = t.majorityMarks[1:]
	}
	t.advanceBase()
}

// advanceBase applies the roster changes that are in force to base, because no process uses the rosters before them any
// more.
func (t *Tracker) advanceBase() {
	for len(t.changes) > 0 && t.changes[0].Version <= t.inForce {
		changeRoster(t.base, t.changes[0])
		t.changes = t.changes[1:]
		t.baseAdvanced = true
	}
}

// updateMajorityMarks adds a mark if a majority has confirmed a higher version. It also removes the marks of versions
// that a majority no longer runs because a process restarted with an earlier version. A mark stays when its
// confirmations only become old.
func (t *Tracker) updateMajorityMarks(now time.Duration) {
	confirmedVersion := t.majorityVersion(minTime)
	for len(t.majorityMarks) > 0 && t.majorityMarks[len(t.majorityMarks)-1].version > confirmedVersion {
		t.majorityMarks = t.majorityMarks[:len(t.majorityMarks)-1]
	}
	version := t.majorityVersion(now - membership.ConfirmWindow)
	known := t.inForce
	if len(t.majorityMarks) > 0 {
		known = t.majorityMarks[len(t.majorityMarks)-1].version
	}
	if version > known {
		t.majorityMarks = append(t.majorityMarks, majorityMark{version: version, at: now})
	}
}

// majorityVersion returns the highest version that a majority of each roster up to that version is known to have run at
// or after the time since. It returns 0 if there are no processes.
func (t *Tracker) majorityVersion(since time.Duration) uint64 {
	roster := map[string]bool{}
	for name := range t.base {
		roster[name] = true
	}
	version := t.majorityOf(since, roster)
	for _, c := range t.changes {
		if c.Version > version {
			break
		}
		changeRoster(roster, c)
		version = min(version, max(t.majorityOf(since, roster), c.Version-1))
	}
	if version == maxVersion {
		return 0
	}
	return version
}

// majorityOf returns the highest version that more than half of a roster is known to have run at or after the time
// since. A new majority is counted only with confirmations within membership.ConfirmWindow: a process that restarted
// may have lost the version, and once that window has passed since its start it counts in majorities of the membership
// protocol again. An empty roster returns maxVersion, because no process of it can admit requests.
func (t *Tracker) majorityOf(since time.Duration, roster map[string]bool) uint64 {
	if len(roster) == 0 {
		return maxVersion
	}
	versions := make([]uint64, 0, len(roster))
	for name := range roster {
		versions = append(versions, t.confirmedSince(since, name))
	}
	slices.Sort(versions)
	return versions[(len(versions)-1)/2]
}

// confirmedSince returns the version that a process is known to have run at or after the time since, or 0.
func (t *Tracker) confirmedSince(since time.Duration, process string) uint64 {
	c, ok := t.confirmed[process]
	if !ok || c.asOf < since {
		return 0
	}
	return c.version
}

// unanimousVersion returns the highest version that every process of every roster confirmed, or 0 if there are no
// processes.
func (t *Tracker) unanimousVersion() uint64 {
	lowest := maxVersion
	for name := range t.base {
		lowest = min(lowest, t.confirmed[name].version)
	}
	for _, c := range t.changes {
		lowest = min(lowest, t.confirmed[c.Name].version)
	}
	if lowest == maxVersion {
		return 0
	}
	return lowest
}

// maxVersion is the highest possible version. majorityOf returns it for an empty roster, which holds no version back.
const maxVersion = ^uint64(0)

func (t *Tracker) inAnyRoster(process string) bool {
	if t.base[process] || t.roster[process] {
		return true
	}
	return slices.ContainsFunc(t.changes, func(c state.RosterChange) bool { return c.Name == process })
}

// dropUnknownProcesses deletes the confirmations of processes that are in no roster.
func (t *Tracker) dropUnknownProcesses() {
	for name := range t.confirmed {
		if !t.inAnyRoster(name) {
			delete(t.confirmed, name)
		}
	}
}

func rosterAfter(base map[string]bool, changes []state.RosterChange) map[string]bool {
	roster := make(map[string]bool, len(base))
	for name := range base {
		roster[name] = true
	}
	for _, c := range changes {
		changeRoster(roster, c)
	}
	return roster
}

func changeRoster(roster map[string]bool, c state.RosterChange) {
	if c.Joined {
		roster[c.Name] = true
	} else {
		delete(roster, c.Name)
	}
}
