package membership

// Status is the state of a member. Of two claims with equal incarnation the one with the higher status wins.
type Status int

const (
	// StatusAlive members answer pings.
	StatusAlive Status = iota
	// StatusSuspect members did not answer; they still count as members.
	StatusSuspect
	// StatusLeaving members announced a graceful stop.
	StatusLeaving
	// StatusDead members left or failed.
	StatusDead
)

var statusNames = [...]string{"alive", "suspect", "leaving", "dead"}

// String returns the status as it appears in logs.
func (s Status) String() string {
	if s < 0 || int(s) >= len(statusNames) {
		return "unknown"
	}
	return statusNames[s]
}

// Member is one process of the fleet as this process sees it.
type Member struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Domain  string `json:"domain"`
	// Incarnation orders the claims about a member. A process that starts again under its name needs a higher one;
	// when it starts with a lower one it raises it as soon as it meets a claim about its former run.
	Incarnation uint64 `json:"incarnation"`
	Status      Status `json:"status"`
	// Meta is opaque here; Metadata is the form that the fleet uses.
	Meta        []byte `json:"meta,omitempty"`
	MetaVersion uint64 `json:"metaVersion,omitempty"`
}

// EventKind tells what changed about a member.
type EventKind int

const (
	// EventJoined reports a member seen for the first time or again after its death.
	EventJoined EventKind = iota
	// EventStatus reports another status.
	EventStatus
	// EventMeta reports new metadata.
	EventMeta
	// EventRemoved reports that a dead member was forgotten.
	EventRemoved
)

// Event is one change, in the order in which this process learned of it.
type Event struct {
	Kind   EventKind
	Member Member
}
