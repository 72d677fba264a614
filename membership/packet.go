package membership

import "time"

// Kind is the type of a packet.
type Kind int

const (
	// KindPing asks the receiver for a KindAck.
	KindPing Kind = iota
	// KindAck replies to a ping, or forwards the reply of Subject.
	KindAck
	// KindPingRequest asks the receiver to ping Subject and to forward the reply.
	KindPingRequest
	// KindSync carries a digest of known members and asks for members whose state at the receiver is newer.
	KindSync
	// KindUpdates carries updates and requests for updates, for example in reply to KindSync.
	KindUpdates
)

// Packet is a message between two processes, encoded as JSON.
type Packet struct {
	Kind Kind   `json:"kind"`
	From string `json:"from"`
	// Seq is chosen by the sender of a KindPing or KindPingRequest and copied into the KindAck.
	Seq     uint64 `json:"seq,omitempty"`
	Subject string `json:"subject,omitempty"`
	// SubjectAddress is used by a helper that does not know Subject as a member.
	SubjectAddress string `json:"subjectAddress,omitempty"`
	// Heartbeat is the newest heartbeat of the control leader that the sender has received.
	Heartbeat *LeaderHeartbeat `json:"beat,omitempty"`
	// Version is the highest configuration version that the sender has learned of.
	Version uint64 `json:"version,omitempty"`
	// Established is true once the sender has had evidence from after its start that permits it to admit requests; see
	// the rules in evidence.go. Only an established sender counts as a contact.
	Established bool `json:"established,omitempty"`
	// Contacts holds the ages of the sender's contacts with the other processes. It is sent in replies to pings while the
	// sender's newest heartbeat is older than Config.StaleHeartbeatAge.
	Contacts *Contacts `json:"contacts,omitempty"`
	Updates  []Update  `json:"updates,omitempty"`
	// Digest summarizes the members that the sender of a KindSync knows. In KindUpdates it holds the names of the members
	// that the sender asks for.
	Digest []MemberSummary `json:"digest,omitempty"`
	// Notices announce new metadata; a receiver that lacks it requests it from the sender.
	Notices []MemberSummary `json:"notices,omitempty"`
	// RangeFrom (inclusive) and RangeTo (exclusive) limit the member names that a sync covers. An empty RangeTo means no
	// upper limit. In KindUpdates, RangeTo is the name at which the packet was full; the receiver requests the rest.
	RangeFrom string `json:"rangeFrom,omitempty"`
	RangeTo   string `json:"rangeTo,omitempty"`
}

// LeaderHeartbeat is the periodic heartbeat of the control leader. It proves that the leader was in contact with a
// quorum of the control group when it issued the heartbeat. Processes pass it on in their packets.
type LeaderHeartbeat struct {
	Number uint64 `json:"number"`
	// Version is the newest configuration version at the time of issue.
	Version uint64 `json:"version"`
	// Age is the time from the issue of the heartbeat to the sending of the packet that carries it.
	Age time.Duration `json:"age"`
}

// Contacts holds the age of the last contact with each process of the sorted roster.
type Contacts struct {
	// Roster is a hash of the names in the roster. A receiver with another roster ignores Ages.
	Roster uint64 `json:"roster"`
	// Ages holds one byte for each name: the age in units of 12 ms (ageUnit), rounded up, or 255 (noContact).
	Ages []byte `json:"ages"`
}

// Update is the state of one member as the sender knows it.
type Update struct {
	Member
	// Accuser is the process that raised or confirmed a suspicion; empty for other updates.
	Accuser string `json:"accuser,omitempty"`
	// HasMeta reports whether Member.Meta is the metadata of MetaVersion. If false, only the version is sent.
	HasMeta bool `json:"hasMeta,omitempty"`
}

// MemberSummary is the state of a member as the sender knows it, without address and metadata.
type MemberSummary struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation,omitempty"`
	Status      Status `json:"status,omitempty"`
	MetaVersion uint64 `json:"metaVersion,omitempty"`
}

// Outgoing is a packet to send. The protocol tolerates lost, late and duplicated packets.
type Outgoing struct {
	To     string // address
	Packet Packet
}
