package membership

import "time"

// Denial tells why a process may not admit requests on open routes.
type Denial string

const (
	// DenialNone means that the process may admit.
	DenialNone Denial = ""
	// DenialBehind means that the process did not fetch a configuration version in time.
	DenialBehind Denial = "configuration behind"
	// DenialCutOff means that neither a beat nor contact with a majority of the roster is recent.
	DenialCutOff Denial = "cut off from control and from a majority"
)

// RosterEntry is one process that control lists.
type RosterEntry struct {
	Name    string
	Address string
}

// SetRoster sets the processes of which a majority gives the right to admit while control is away. Listed processes
// that are not known as members are contacted.
func (n *Node) SetRoster(entries []RosterEntry) {
	names := make([]string, 0, len(entries))
	n.rosterAddress = make(map[string]string, len(entries))
	for _, entry := range entries {
		names = append(names, entry.Name)
		n.rosterAddress[entry.Name] = entry.Address
	}
	n.evidence.setRoster(names)
}

// SetConfigVersion tells that this process runs the version. It must be called before the process confirms the version
// to control, so that every answer after the confirmation makes the version known.
func (n *Node) SetConfigVersion(version uint64, now time.Duration) {
	n.evidence.learn(version, now, n.evidence.asOf(now))
}

// ObserveBeat takes a beat out of control's answer to a question that was sent at asked. The beat's age is the age that
// the answer states; control itself states 0 for a beat that it issued after it got the question. For long polling the
// question must be younger than ContactWindow to be of use.
func (n *Node) ObserveBeat(b Beat, asked, now time.Duration) {
	n.begin(now)
	n.evidence.answer(&Packet{Beat: &b}, asked, now)
}

// MayAdmit tells whether the process has the right to admit requests on open routes while it runs configVersion.
func (n *Node) MayAdmit(now time.Duration, configVersion uint64) bool {
	return n.Denial(now, configVersion) == DenialNone
}

// Denial tells why MayAdmit is false, or DenialNone.
func (n *Node) Denial(now time.Duration, configVersion uint64) Denial {
	if n.evidence.behind(now, configVersion) {
		return DenialBehind
	}
	if !n.evidence.fresh(now) {
		return DenialCutOff
	}
	return DenialNone
}

// LatestVersion returns the highest configuration version that this process knows to exist.
func (n *Node) LatestVersion() uint64 { return n.evidence.version }
