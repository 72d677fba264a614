package membership

// Status is the state of a member. Of two updates with equal incarnation, the one with the higher status wins.
type Status int

const (
	// StatusAlive marks a member that replies to pings.
	StatusAlive Status = iota
	// StatusSuspect marks a member that did not reply to a ping. It still belongs to the fleet.
	StatusSuspect
	// StatusLeaving marks a member that announced a graceful stop.
	StatusLeaving
	// StatusDead marks a member that left or failed.
	StatusDead
)

var statusNames = [...]string{"alive", "suspect", "leaving", "dead"}

// String returns the name of the status for logs.
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
	// Incarnation orders the updates about a member. A process that restarts under its name needs a higher incarnation. If
	// it starts with a lower one, it raises it when it receives an update about its previous run.
	Incarnation uint64 `json:"incarnation"`
	Status      Status `json:"status"`
	// Meta is the encoded metadata of the member. Node does not interpret it; Metadata defines an encoding.
	Meta        []byte `json:"meta,omitempty"`
	MetaVersion uint64 `json:"metaVersion,omitempty"`
}

// EventKind is the kind of change of a member.
type EventKind int

const (
	// EventJoined reports a member that is new or no longer dead.
	EventJoined EventKind = iota
	// EventStatus reports a new status.
	EventStatus
	// EventMeta reports new metadata.
	EventMeta
	// EventRemoved reports that a dead member was removed after Config.DeadRetention.
	EventRemoved
)

// Event is one change of a member.
type Event struct {
	Kind   EventKind
	Member Member
}
