package membership

import "time"

// Kind is the kind of a packet.
type Kind int

const (
	// KindPing asks the receiver for a KindAck.
	KindPing Kind = iota
	// KindAck answers a ping, or passes on the answer of Subject.
	KindAck
	// KindPingRequest asks the receiver to ping Subject and to pass the answer on.
	KindPingRequest
	// KindSync carries a digest of known members and asks for what the receiver knows better.
	KindSync
	// KindUpdates carries updates in answer to KindSync.
	KindUpdates
)

// Packet is a message between two processes. It encodes to JSON.
type Packet struct {
	Kind Kind   `json:"kind"`
	From string `json:"from"`
	// Seq is chosen by the process that asks and is repeated in the answer.
	Seq     uint64 `json:"seq,omitempty"`
	Subject string `json:"subject,omitempty"`
	// SubjectAddress lets a helper reach a subject that it does not know.
	SubjectAddress string `json:"subjectAddress,omitempty"`
	// Beat is the newest control beat that the sender knows.
	Beat *Beat `json:"beat,omitempty"`
	// Version is the highest configuration version that the sender knows of.
	Version uint64 `json:"version,omitempty"`
	// Established tells whether the sender itself has had the right to admit since its start; see evidence.go.
	Established bool `json:"established,omitempty"`
	// Contacts tells how fresh the sender's contact with the other processes is. It is sent in answers to pings while
	// no beat is fresh.
	Contacts *Contacts `json:"contacts,omitempty"`
	Updates  []Update  `json:"updates,omitempty"`
	// Digest lists what the sender of a KindSync knows, or in KindUpdates the names that the sender asks for.
	Digest []Known `json:"digest,omitempty"`
	// Notices tell of new metadata; a receiver that lacks it asks the sender for it.
	Notices []Known `json:"notices,omitempty"`
	// RangeFrom and RangeTo bound the names that a sync is about; see sync.go.
	RangeFrom string `json:"rangeFrom,omitempty"`
	RangeTo   string `json:"rangeTo,omitempty"`
}

// Beat is the control group's sign of life.
type Beat struct {
	Number uint64 `json:"number"`
	// Version is the configuration version when the beat was issued.
	Version uint64 `json:"version"`
	// Age is the time from the issue of the beat to the sending of the packet that carries it.
	Age time.Duration `json:"age"`
}

// Contacts is a vector of ages over the sorted roster.
type Contacts struct {
	// Roster is a hash of the roster; a receiver with another roster ignores the vector.
	Roster uint64 `json:"roster"`
	// Ages holds one byte for each name: the age in units of ageUnit, rounded up, or noContact.
	Ages []byte `json:"ages"`
}

// Update is a claim about one member.
type Update struct {
	Member
	// Accuser is the process that made a suspicion or confirms it.
	Accuser string `json:"accuser,omitempty"`
	// HasMeta tells that Member.Meta belongs to MetaVersion. Without it only the version is known.
	HasMeta bool `json:"hasMeta,omitempty"`
}

// Known tells what the sender knows of a member, without metadata.
type Known struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation,omitempty"`
	Status      Status `json:"status,omitempty"`
	MetaVersion uint64 `json:"metaVersion,omitempty"`
}

// Outgoing is a packet to send. Delivery is best effort.
type Outgoing struct {
	To     string // address
	Packet Packet
}
