package control

import (
	"cmp"
	"math"
	"slices"
	"time"

	"rosemaryline.dev/fleet/state"
	"rosemaryline.dev/membership"
)

// Times of the rule that lets a version be in force without the confirmation of every process.
const (
	// ContactLapse is how long a process admits without a new beat or contact with a majority.
	ContactLapse = membership.ContactWindow
	// FetchGrace is how long a process may admit after it learned of a version that it does not have.
	FetchGrace = membership.FetchGrace
	// DriftMargin covers the difference between the rates of two processes' clocks.
	DriftMargin = 500 * time.Millisecond
	// MajorityDelay is the time from a majority's confirmation of a version until the version is in force.
	MajorityDelay = ContactLapse + FetchGrace + DriftMargin
)

// Confirmation tells which version a process runs.
type Confirmation struct {
	Process string
	Version uint64
	// At is when control learned that the process runs the version, on the clock of the tracker's calls.
	At time.Duration
	// Known is false where the process has not confirmed any version.
	Known bool
}

// VersionStatus answers whether a version is in force.
type VersionStatus struct {
	Version uint64
	InForce bool
	// Missing lists the processes of the current roster that have not confirmed the version, sorted.
	Missing []string
}

// Tracker knows which process confirmed which version and when. A version is in force when every process confirmed it,
// or when a majority confirmed it and MajorityDelay has passed since. A version in force stays so, and so are all
// versions before it.
//
// A process that control cannot reach may hold an earlier roster and judge its majority by that one. The rule is
// therefore checked against each roster since the last version in force.
//
// The delay after a majority's confirmation counts from the first answer that the Tracker gives after it, so the leader
// asks InForce at least once a second. Tracker is pure and not safe for concurrent use.
type Tracker struct {
	confirmed map[string]confirmation
	base      map[string]bool      // the roster at the version in force
	changes   []state.RosterChange // later changes of the roster, ascending by version
	roster    map[string]bool      // the current roster
	marks     []mark
	inForce   uint64
	// folded is true where base is ahead of the rosters that state remembers.
	folded bool
}

type confirmation struct {
	version, incarnation uint64
	// at is when control learned of the version.
	at time.Duration
	// asOf is the latest time at which the process is known to have run the version, or never.
	asOf time.Duration
}

// never is before all times.
const never = time.Duration(math.MinInt64 / 4)

// mark tells since when a majority of each roster has confirmed a version. Marks ascend in version and time.
type mark struct {
	version uint64
	at      time.Duration
}

// NewTracker returns a Tracker with an empty roster.
func NewTracker() *Tracker {
	return &Tracker{confirmed: map[string]confirmation{}, base: map[string]bool{}, roster: map[string]bool{}}
}

// SetRoster replaces the rosters by those of state.State.RosterChain.
func (t *Tracker) SetRoster(base []string, changes []state.RosterChange) {
	t.base = map[string]bool{}
	for _, name := range base {
		t.base[name] = true
	}
	t.changes = slices.Clone(changes)
	t.roster = rosterAfter(t.base, t.changes)
	t.folded = false
	t.fold()
	t.forget()
}

// Confirm notes that a process ran a version at the time asOf, or that it runs it since a time that is not known, with
// asOf at or below 0. A confirmation of an earlier version than before is ignored, except with a higher incarnation: a
// restarted process may hold an earlier version, so its former confirmation no longer counts. Processes outside the
// roster are ignored.
func (t *Tracker) Confirm(now, asOf time.Duration, process string, incarnation, version uint64) {
	if !t.isKnown(process) {
		return
	}
	if asOf <= 0 {
		asOf = never
	}
	former, ok := t.confirmed[process]
	if ok && (incarnation < former.incarnation || incarnation == former.incarnation && version < former.version) {
		return
	}
	if ok && incarnation == former.incarnation && version == former.version {
		former.asOf = max(former.asOf, asOf)
		t.confirmed[process] = former
		return
	}
	t.confirmed[process] = confirmation{version: version, incarnation: incarnation, at: now, asOf: asOf}
}

// InForce returns the highest version in force.
func (t *Tracker) InForce(now time.Duration) uint64 {
	t.update(now)
	return t.inForce
}

// Status answers for one version.
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

// Confirmations returns what is known of each process of the current roster, sorted by name.
func (t *Tracker) Confirmations() []Confirmation {
	list := make([]Confirmation, 0, len(t.roster))
	for name := range t.roster {
		c, ok := t.confirmed[name]
		list = append(list, Confirmation{Process: name, Version: c.version, At: c.at, Known: ok})
	}
	slices.SortFunc(list, func(a, b Confirmation) int { return cmp.Compare(a.Process, b.Process) })
	return list
}

// PendingRosterChange reports whether a roster change is in force that state still remembers as pending. The leader
// then proposes state.RosterInForce with the version in force.
func (t *Tracker) PendingRosterChange(now time.Duration) (version uint64, ok bool) {
	inForce := t.InForce(now)
	return inForce, t.folded
}

// update moves marks and the version in force forward.
func (t *Tracker) update(now time.Duration) {
	t.noteMajority(now)
	t.inForce = max(t.inForce, t.unanimousVersion())
	for len(t.marks) > 0 && now-t.marks[0].at >= MajorityDelay {
		t.inForce = max(t.inForce, t.marks[0].version)
		t.marks = t.marks[1:]
	}
	t.fold()
}

// fold drops rosters that no process acts on any more, because a later one is in force.
func (t *Tracker) fold() {
	for len(t.changes) > 0 && t.changes[0].Version <= t.inForce {
		changeRoster(t.base, t.changes[0])
		t.changes = t.changes[1:]
		t.folded = true
	}
}

// noteMajority marks the version that a majority runs now. It also takes back marks that no longer hold because a
// confirmation was lost in a restart; the age of a confirmation alone takes none back.
func (t *Tracker) noteMajority(now time.Duration) {
	held := t.majorityVersion(never)
	for len(t.marks) > 0 && t.marks[len(t.marks)-1].version > held {
		t.marks = t.marks[:len(t.marks)-1]
	}
	version := t.majorityVersion(now - membership.ConfirmWindow)
	known := t.inForce
	if len(t.marks) > 0 {
		known = t.marks[len(t.marks)-1].version
	}
	if version > known {
		t.marks = append(t.marks, mark{version: version, at: now})
	}
}

// majorityVersion returns the highest version that a majority of each roster up to it confirmed since a time.
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

// majorityOf returns the highest version that more than half of a roster confirmed since a time. Majorities are counted
// within membership.ConfirmWindow: a process that restarted may have forgotten the version, and it counts in a majority
// again that far after its start. An empty roster, in which nobody can admit, confirms everything.
func (t *Tracker) majorityOf(since time.Duration, roster map[string]bool) uint64 {
	if len(roster) == 0 {
		return maxVersion
	}
	versions := make([]uint64, 0, len(roster))
	for name := range roster {
		versions = append(versions, t.runsSince(since, name))
	}
	slices.Sort(versions)
	return versions[(len(versions)-1)/2]
}

// runsSince returns the version that a process is known to have run at or after a time, or 0.
func (t *Tracker) runsSince(since time.Duration, process string) uint64 {
	c, ok := t.confirmed[process]
	if !ok || c.asOf < since {
		return 0
	}
	return c.version
}

// unanimousVersion returns the highest version that every process of every roster confirmed; 0 without processes.
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

const maxVersion = ^uint64(0)

func (t *Tracker) isKnown(process string) bool {
	if t.base[process] || t.roster[process] {
		return true
	}
	return slices.ContainsFunc(t.changes, func(c state.RosterChange) bool { return c.Name == process })
}

// forget drops confirmations of processes that are in no roster.
func (t *Tracker) forget() {
	for name := range t.confirmed {
		if !t.isKnown(name) {
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
