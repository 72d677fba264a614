package membership

import (
	"hash/fnv"
	"math"
	"slices"
	"time"
)

// A process may admit requests only on evidence with a known upper bound on its age. A one-way message cannot give such
// a bound, because a packet may be delayed without limit. Evidence is therefore dated only by replies: the content of
// a reply is at least as recent as the time at which this process sent the request, minus the age that the reply
// states.
//
// Let v be a version that control reports as in force because a majority of the roster had confirmed it by time t, and
// ContactWindow+FetchGrace plus a margin for clock drift have passed since t. A process that admits requests has
// evidence younger than ContactWindow. This evidence is one of the following:
//
//   - a heartbeat issued after t, which carries v or a later version, or
//   - contact after t with a majority of the roster, which shares with the confirming majority at least one process that
//     knew v.
//
// Contact with a process at a time means that this process has the other's state as of that time. It is transitive: a
// reply carries the ages of the sender's own contacts, so a process needs only a few pings to have contact with a
// majority of 2,000 processes.
//
// A process that restarts loses the versions that it confirmed. Until it is established again, it does not admit
// requests and does not count as a contact. It is established by a heartbeat that is no older than its start, or by
// contact with a majority that is dated ConfirmWindow after its start or later. Such a heartbeat carries the newest
// version that the process can have confirmed before the restart, or a later one. Such contact is enough because
// control counts a confirmation towards a majority for at most ConfirmWindow, so that confirmations from before the
// restart no longer count.
const (
	// ContactWindow is the age up to which a heartbeat, or contact with a majority, permits a process to admit requests.
	ContactWindow = 3 * time.Second
	// FetchGrace is the time that a process has to fetch a version after it learned of it.
	FetchGrace = 2 * time.Second
	// ConfirmWindow is the time for which control counts a confirmation towards a majority.
	ConfirmWindow = 3 * time.Second
	// staleHeartbeatAge is the default of Config.StaleHeartbeatAge, the age of the newest heartbeat above which contacts
	// are collected.
	staleHeartbeatAge = 1500 * time.Millisecond
	// contactLagAge is the age of contact with a majority above which additional pings are sent twice as often.
	contactLagAge = 2 * time.Second

	// ageUnit is the unit of Contacts.Ages. It makes the largest age in one byte, 254 units, slightly longer than
	// ContactWindow.
	ageUnit = 12 * time.Millisecond
	// noContact marks an age in Contacts.Ages that is unknown or above ContactWindow.
	noContact = 255

	// never is a time before all others.
	never = time.Duration(math.MinInt64 / 4)
)

// evidence is what a process knows about the newest configuration version, with a lower bound on the time at which that
// was true.
type evidence struct {
	// staleHeartbeatAge is the age of the newest heartbeat above which contacts are collected; see
	// Config.StaleHeartbeatAge.
	staleHeartbeatAge time.Duration
	self              string
	start             time.Duration

	roster        []string // sorted
	rosterHash    uint64
	selfIndex     int             // index in roster, or -1
	contact       []time.Duration // by roster index: time as of which the peer's state is known here, or never
	majorityAt    time.Duration   // cached result of majorityContact, invalid while majorityDirty is set
	majorityDirty bool

	heartbeat   LeaderHeartbeat // highest number and highest version received; Age is unused
	heartbeatAt time.Duration   // lower bound on the issue time of heartbeat

	version    uint64        // highest version that this process has learned of
	aheadSince time.Duration // time since which version is above the version that this process runs, or never
	deadlines  []versionDeadline
	// established is true once the evidence is recent enough that the versions which this process confirmed before its
	// start, and has lost, no longer matter. Until then the process may not admit requests and does not count as a
	// contact. updateEstablished sets it; it stays set until the process ends.
	established bool
}

// versionDeadline is the time after which this process must run a version to admit requests.
type versionDeadline struct {
	version  uint64
	deadline time.Duration
}

func newEvidence(self string, staleHeartbeatAge time.Duration) *evidence {
	return &evidence{self: self, staleHeartbeatAge: staleHeartbeatAge, selfIndex: -1, heartbeatAt: never, majorityAt: never, start: never, aheadSince: never}
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
		e.recordContact(e.index(name), oldContact[i])
	}
	e.majorityDirty = true
}

func hashNames(names []string) uint64 {
	h := fnv.New64a()
	for _, name := range names {
		h.Write([]byte(name))
		h.Write([]byte{0})
	}
	return h.Sum64()
}

// index returns the index of a name in the roster, or -1.
func (e *evidence) index(name string) int {
	i, found := slices.BinarySearch(e.roster, name)
	if !found {
		return -1
	}
	return i
}

// newestEvidenceAt returns the latest time as of which the evidence shows the newest version, or never.
func (e *evidence) newestEvidenceAt(now time.Duration) time.Duration {
	return max(e.heartbeatAt, e.majorityContact(now))
}

// fresh reports whether the evidence is recent enough to admit requests.
func (e *evidence) fresh(now time.Duration) bool {
	if !e.established {
		return false
	}
	return now-e.heartbeatAt <= ContactWindow || now-e.majorityContact(now) <= ContactWindow
}

// majorityContact returns the latest time such that this process has the state of a majority of the roster as of that
// time or later, or never. The process itself counts only when it is established.
func (e *evidence) majorityContact(now time.Duration) time.Duration {
	if len(e.roster) == 0 {
		return never
	}
	needed := len(e.roster)/2 + 1
	if e.established && e.selfIndex >= 0 {
		needed--
	}
	if needed == 0 {
		return now
	}
	if e.majorityDirty {
		e.majorityAt = nthNewest(e.contact, needed)
		e.majorityDirty = false
	}
	return e.majorityAt
}

// nthNewest returns the n-th latest of the times, or never if there are fewer.
func nthNewest(times []time.Duration, n int) time.Duration {
	if len(times) < n {
		return never
	}
	sorted := slices.Clone(times)
	slices.Sort(sorted)
	return sorted[len(sorted)-n]
}

// learnVersion records that a version exists and sets the deadline for running it: FetchGrace from now, but at most
// ContactWindow+FetchGrace from asOf, the time of the newest evidence. The second limit denies extra time to a process
// that was cut off and therefore learns of the version late.
func (e *evidence) learnVersion(version uint64, now, asOf time.Duration) {
	if version <= e.version {
		return
	}
	e.version = version
	if e.aheadSince == never {
		e.aheadSince = now
	}
	at := min(now+FetchGrace, asOf+ContactWindow+FetchGrace)
	const mergeWithin = 100 * time.Millisecond // limits the length of the list when versions follow each other quickly
	if last := len(e.deadlines) - 1; last >= 0 && at-e.deadlines[last].deadline < mergeWithin {
		e.deadlines[last].version = version
		e.deadlines[last].deadline = min(e.deadlines[last].deadline, at)
		return
	}
	e.deadlines = append(e.deadlines, versionDeadline{version, at})
}

// runVersion records that this process runs a version.
func (e *evidence) runVersion(version uint64) {
	if version >= e.version {
		e.aheadSince = never
	}
}

// behind reports whether the deadline of a version newer than configVersion has passed.
func (e *evidence) behind(now time.Duration, configVersion uint64) bool {
	for len(e.deadlines) > 0 && e.deadlines[0].version <= configVersion {
		e.deadlines = e.deadlines[1:]
	}
	for _, d := range e.deadlines {
		if d.deadline < now {
			return true
		}
	}
	return false
}

// observe records the versions in a packet. It does not date the heartbeat, because a packet that is not a reply has
// no known age.
func (e *evidence) observe(p *Packet, now time.Duration) {
	asOf := e.newestEvidenceAt(now)
	e.learnVersion(p.Version, now, asOf)
	if p.Heartbeat != nil {
		e.learnVersion(p.Heartbeat.Version, now, asOf)
		e.recordHeartbeat(*p.Heartbeat, never)
	}
}

// observeReply records all evidence in a reply to a request that was sent at the time sentAt.
func (e *evidence) observeReply(p *Packet, sentAt, now time.Duration) {
	e.observe(p, now)
	if p.Heartbeat != nil {
		e.recordHeartbeat(*p.Heartbeat, sentAt)
	}
	if p.Established {
		e.recordContact(e.index(p.From), sentAt)
	}
	e.recordContacts(p.Contacts, sentAt)
	e.updateEstablished(now)
}

// recordHeartbeat records a heartbeat that was issued at sentAt-h.Age or later; sentAt is never if that time is
// unknown. A heartbeat with a higher number was issued later, so the bound of an older heartbeat is also valid for a
// newer one.
func (e *evidence) recordHeartbeat(h LeaderHeartbeat, sentAt time.Duration) {
	e.heartbeat.Number = max(e.heartbeat.Number, h.Number)
	e.heartbeat.Version = max(e.heartbeat.Version, h.Version)
	if sentAt != never && h.Age >= 0 {
		e.heartbeatAt = max(e.heartbeatAt, sentAt-h.Age)
	}
}

// recordContacts records the contacts of a peer that sent them in reply to a request sent at the time sentAt. Contacts
// for another roster are ignored.
func (e *evidence) recordContacts(c *Contacts, sentAt time.Duration) {
	if c == nil || c.Roster != e.rosterHash || len(c.Ages) != len(e.roster) {
		return
	}
	for i, age := range c.Ages {
		if age != noContact {
			e.recordContact(i, sentAt-time.Duration(age)*ageUnit)
		}
	}
}

// recordContact records contact with the process at roster index i. An index below 0 is ignored.
func (e *evidence) recordContact(i int, at time.Duration) {
	if i < 0 || i == e.selfIndex || at <= e.contact[i] {
		return
	}
	e.contact[i] = at
	e.majorityDirty = true
}

// updateEstablished sets established once the newest heartbeat was issued no earlier than the start of this process, or
// contact with a majority is dated ConfirmWindow after the start or later.
func (e *evidence) updateEstablished(now time.Duration) {
	if e.established || e.start == never {
		return
	}
	if e.heartbeatAt >= e.start || e.majorityContact(now) >= e.start+ConfirmWindow {
		e.established = true
		e.majorityDirty = true
	}
}

// contactsForAck returns the contacts to send in a reply to a ping, or nil while the newest heartbeat is not stale
// and nobody needs them.
func (e *evidence) contactsForAck(now time.Duration) *Contacts {
	if !e.stale(now) || len(e.roster) == 0 {
		return nil
	}
	ages := make([]byte, len(e.roster))
	for i := range ages {
		ages[i] = e.contactAge(i, now)
	}
	return &Contacts{Roster: e.rosterHash, Ages: ages}
}

// contactAge returns the age of the contact at roster index i, in units of ageUnit rounded up, or noContact.
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

// staleAt returns the time from which contacts with other processes are needed unless a newer heartbeat arrives.
func (e *evidence) staleAt() time.Duration {
	if e.heartbeatAt == never {
		return never
	}
	return e.heartbeatAt + e.staleHeartbeatAge + 1
}

// stale reports whether the newest heartbeat is so old that contacts with other processes are needed.
func (e *evidence) stale(now time.Duration) bool {
	return now-e.heartbeatAt > e.staleHeartbeatAge
}

// lagging reports whether contact with a majority is needed and so old that the process might soon have to stop
// admitting requests.
func (e *evidence) lagging(now time.Duration) bool {
	return e.stale(now) && now-e.majorityContact(now) > contactLagAge
}

// heartbeatForPacket returns the newest heartbeat with its age at now, or nil if no heartbeat has a known age.
func (e *evidence) heartbeatForPacket(now time.Duration) *LeaderHeartbeat {
	if e.heartbeatAt == never {
		return nil
	}
	return &LeaderHeartbeat{Number: e.heartbeat.Number, Version: e.heartbeat.Version, Age: now - e.heartbeatAt}
}
