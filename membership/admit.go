package membership

import "time"

// Denial is the reason why a process has no permission to admit requests on open routes.
type Denial string

const (
	// DenialNone means that the process may admit requests.
	DenialNone Denial = ""
	// DenialBehind means that the process did not fetch a known configuration version in time.
	DenialBehind Denial = "configuration behind"
	// DenialCutOff means that the process has neither a recent heartbeat nor recent contact with a majority of the roster.
	DenialCutOff Denial = "cut off from control and from a majority"
)

// RosterEntry is one process in the roster that control maintains.
type RosterEntry struct {
	Name    string
	Address string
}

// SetRoster sets the roster. While control is unavailable, contact with a majority of these processes is the condition
// for admitting requests. The node contacts processes in the roster that it does not know as members.
func (n *Node) SetRoster(entries []RosterEntry) {
	names := make([]string, 0, len(entries))
	n.rosterAddress = make(map[string]string, len(entries))
	for _, entry := range entries {
		names = append(names, entry.Name)
		n.rosterAddress[entry.Name] = entry.Address
	}
	n.evidence.setRoster(names)
}

// SetConfigVersion records that this process runs the version. It must be called before the process confirms the
// version to control, so that every packet it sends after the confirmation carries the version.
func (n *Node) SetConfigVersion(version uint64, now time.Duration) {
	n.evidence.learnVersion(version, now, n.evidence.newestEvidenceAt(now))
	n.evidence.runVersion(version)
}

// VersionLag returns for how long this process has known of a version newer than the one that it runs; 0 if it knows
// of none.
func (n *Node) VersionLag(now time.Duration) time.Duration {
	if n.evidence.aheadSince == never {
		return 0
	}
	return now - n.evidence.aheadSince
}

// ObserveHeartbeat records a heartbeat from control's reply to a request that this process sent at the time sentAt. The
// age in h is the one in the reply; control sets it to 0 for a heartbeat that it issued after the request arrived. The
// reply to a long poll is recent enough to permit admission only if the request was sent less than ContactWindow (3 s)
// ago.
func (n *Node) ObserveHeartbeat(h LeaderHeartbeat, sentAt, now time.Duration) {
	n.begin(now)
	n.evidence.observeReply(&Packet{Heartbeat: &h}, sentAt, now)
}

// MayAdmit reports whether the process has permission to admit requests on open routes while it runs configVersion. The
// permission lapses without new evidence: it lasts up to ContactWindow (3 s) after the newest heartbeat or contact with
// a majority, and until the deadline to run a newer version.
func (n *Node) MayAdmit(now time.Duration, configVersion uint64) bool {
	return n.Denial(now, configVersion) == DenialNone
}

// Denial returns the reason why MayAdmit is false, or DenialNone.
func (n *Node) Denial(now time.Duration, configVersion uint64) Denial {
	if n.evidence.behind(now, configVersion) {
		return DenialBehind
	}
	if !n.evidence.fresh(now) {
		return DenialCutOff
	}
	return DenialNone
}

// LatestVersion returns the highest configuration version that this process has learned of.
func (n *Node) LatestVersion() uint64 { return n.evidence.version }
