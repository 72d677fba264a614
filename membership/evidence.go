package membership

import (
	"hash/fnv"
	"math"
	"slices"
	"time"
)

// The right to admit rests on evidence with a lower bound on its age. One-way messages cannot give such a bound,
// because a packet may be delayed without limit. Evidence is therefore dated only by answers: what an answer says held
// no earlier than the moment at which this process asked, minus the age that the answer states for it.
//
// Let v be a version that control reports as in force because a majority of the roster confirmed it by time t, at
// least ContactWindow+FetchGrace+drift ago. A process that admits has evidence younger than ContactWindow:
//
//   - a beat issued after t carries v or a later version, or
//   - contact after t with a majority of the roster; it overlaps the confirming majority in a process that knew v.
//
// Contact is transitive: an answer carries the ages of the sender's own contacts, so a process needs only a few pings
// to have contact with a majority of 2,000 processes.
//
// A process that restarts forgets what it confirmed. It admits and counts as contact only when it is established again:
// when it had evidence that is no older than its own start, or for a majority no older than ConfirmWindow after its start.
// Control counts a confirmation towards a majority for at most ConfirmWindow, so a confirmation from before the
// restart no longer counts when the process is established again.
const (
	// ContactWindow is the age up to which a beat or contact with a majority gives the right to admit.
	ContactWindow = 3 * time.Second
	// FetchGrace is the time to fetch a version after learning of it.
	FetchGrace = 2 * time.Second
	// ConfirmWindow is the time for which control counts a confirmation towards a majority.
	ConfirmWindow = 3 * time.Second
	// staleBeat is the default of Config.StaleBeat.
	staleBeat = 1500 * time.Millisecond
	// lagAge is the age of contact with a majority from which contact is looked for at twice the rate.
	lagAge = 2 * time.Second

	// ageUnit makes the largest age in one byte (254 units) slightly longer than ContactWindow.
	ageUnit = 12 * time.Millisecond
	// noContact marks an age that is unknown or too old to be of use.
	noContact = 255

	never = time.Duration(math.MinInt64 / 4)
)

// evidence is what a process knows about the newest configuration version, and since when at the earliest.
type evidence struct {
	// staleBeat is Config.StaleBeat.
	staleBeat time.Duration
	self      string
	start     time.Duration

	roster     []string // sorted
	rosterHash uint64
	selfIndex  int             // in the roster, or -1
	contact    []time.Duration // by roster index: time as of which the peer's knowledge is known here, or never
	majorityAt time.Duration   // cached; see majority
	dirty      bool

	beat   Beat          // highest number and version seen; Age is unused
	beatAt time.Duration // lower bound of the time at which beat was issued

	version     uint64 // highest version known to exist
	due         []due
	established bool
}

// due is a version that this process must run from a point in time on.
type due struct {
	version uint64
	at      time.Duration
}

func newEvidence(self string, staleBeat time.Duration) *evidence {
	return &evidence{self: self, staleBeat: staleBeat, selfIndex: -1, beatAt: never, majorityAt: never, start: never}
}

func (e *evidence) begin(now time.Duration) {
	if e.start == never {
		e.start = now
	}
}

func (e *evidence) setRoster(names []string) {
	old, oldContact := e.roster, e.contact
	e.roster = slices.Clone(names)
	slices.Sort(e.roster)
	e.roster = slices.Compact(e.roster)
	e.rosterHash = hashNames(e.roster)
	e.selfIndex = e.index(e.self)
	e.contact = make([]time.Duration, len(e.roster))
	for i := range e.contact {
		e.contact[i] = never
	}
	for i, name := range old {
		e.touch(e.index(name), oldContact[i])
	}
	e.dirty = true
}

func hashNames(names []string) uint64 {
	h := fnv.New64a()
	for _, name := range names {
		h.Write([]byte(name))
		h.Write([]byte{0})
	}
	return h.Sum64()
}

// index returns the place of a name in the roster, or -1.
func (e *evidence) index(name string) int {
	i, found := slices.BinarySearch(e.roster, name)
	if !found {
		return -1
	}
	return i
}

// asOf returns the time as of which this process knows the newest version, or never.
func (e *evidence) asOf(now time.Duration) time.Duration {
	return max(e.beatAt, e.majority(now))
}

// fresh tells whether the evidence is young enough to admit requests.
func (e *evidence) fresh(now time.Duration) bool {
	if !e.established {
		return false
	}
	return now-e.beatAt <= ContactWindow || now-e.majority(now) <= ContactWindow
}

// majority returns the time as of which this process had contact with a majority of the roster. The process itself
// counts only when it is established.
func (e *evidence) majority(now time.Duration) time.Duration {
	if len(e.roster) == 0 {
		return never
	}
	others := len(e.roster)/2 + 1
	if e.established && e.selfIndex >= 0 {
		others--
	}
	if others == 0 {
		return now
	}
	if e.dirty {
		e.majorityAt = nthNewest(e.contact, others)
		e.dirty = false
	}
	return e.majorityAt
}

func nthNewest(times []time.Duration, n int) time.Duration {
	if len(times) < n {
		return never
	}
	sorted := slices.Clone(times)
	slices.Sort(sorted)
	return sorted[len(sorted)-n]
}

// learn records that a version exists. The time to fetch it starts now, but it ends no later than it would for a
// process that learned of the version as soon as its evidence could have shown it: a process that was cut off gets no
// extra time.
func (e *evidence) learn(version uint64, now, asOf time.Duration) {
	if version <= e.version {
		return
	}
	e.version = version
	at := min(now+FetchGrace, asOf+ContactWindow+FetchGrace)
	const mergeWithin = 100 * time.Millisecond // bounds the list under a stream of changes
	if last := len(e.due) - 1; last >= 0 && at-e.due[last].at < mergeWithin {
		e.due[last].version = version
		e.due[last].at = min(e.due[last].at, at)
		return
	}
	e.due = append(e.due, due{version, at})
}

// behind tells whether a version that must run by now is newer than configVersion.
func (e *evidence) behind(now time.Duration, configVersion uint64) bool {
	for len(e.due) > 0 && e.due[0].version <= configVersion {
		e.due = e.due[1:]
	}
	for _, d := range e.due {
		if d.at < now {
			return true
		}
	}
	return false
}

// hear takes the version out of a packet that is no answer and therefore has no known age.
func (e *evidence) hear(p *Packet, now time.Duration) {
	asOf := e.asOf(now)
	e.learn(p.Version, now, asOf)
	if p.Beat != nil {
		e.learn(p.Beat.Version, now, asOf)
		e.takeBeat(*p.Beat, never)
	}
}

// answer takes all evidence out of the answer of a peer to a question sent at asked.
func (e *evidence) answer(p *Packet, asked, now time.Duration) {
	e.hear(p, now)
	if p.Beat != nil {
		e.takeBeat(*p.Beat, asked)
	}
	if p.Established {
		e.touch(e.index(p.From), asked)
	}
	e.takeContacts(p.Contacts, asked)
	e.establish(now)
}

// takeBeat records a beat that was issued no earlier than asked - b.Age. A beat with a higher number was issued later,
// so the bound of an older beat also holds for a newer one.
func (e *evidence) takeBeat(b Beat, asked time.Duration) {
	e.beat.Number = max(e.beat.Number, b.Number)
	e.beat.Version = max(e.beat.Version, b.Version)
	if asked != never && b.Age >= 0 {
		e.beatAt = max(e.beatAt, asked-b.Age)
	}
}

func (e *evidence) takeContacts(c *Contacts, asked time.Duration) {
	if c == nil || c.Roster != e.rosterHash || len(c.Ages) != len(e.roster) {
		return
	}
	for i, age := range c.Ages {
		if age != noContact {
			e.touch(i, asked-time.Duration(age)*ageUnit)
		}
	}
}

func (e *evidence) touch(i int, at time.Duration) {
	if i < 0 || i == e.selfIndex || at <= e.contact[i] {
		return
	}
	e.contact[i] = at
	e.dirty = true
}

func (e *evidence) establish(now time.Duration) {
	if e.established || e.start == never {
		return
	}
	if e.beatAt >= e.start || e.majority(now) >= e.start+ConfirmWindow {
		e.established = true
		e.dirty = true
	}
}

// contacts returns the ages of the contacts, or nil while the beat is fresh and nobody needs them.
func (e *evidence) contacts(now time.Duration) *Contacts {
	if !e.stale(now) || len(e.roster) == 0 {
		return nil
	}
	ages := make([]byte, len(e.roster))
	for i := range ages {
		ages[i] = e.contactAge(i, now)
	}
	return &Contacts{Roster: e.rosterHash, Ages: ages}
}

func (e *evidence) contactAge(i int, now time.Duration) byte {
	if i == e.selfIndex && e.established {
		return 0
	}
	age := now - e.contact[i]
	if age > ContactWindow {
		return noContact
	}
	return byte((age + ageUnit - 1) / ageUnit)
}

// stale tells whether the newest beat is so old that contact with other processes is needed.
func (e *evidence) stale(now time.Duration) bool {
	return now-e.beatAt > e.staleBeat
}

// lagging tells whether contact with a majority is so old that it could soon end the right to admit.
func (e *evidence) lagging(now time.Duration) bool {
	return e.stale(now) && now-e.majority(now) > lagAge
}

// sendBeat returns the newest beat in the form for a packet sent now, or nil.
func (e *evidence) sendBeat(now time.Duration) *Beat {
	if e.beatAt == never {
		return nil
	}
	return &Beat{Number: e.beat.Number, Version: e.beat.Version, Age: now - e.beatAt}
}
