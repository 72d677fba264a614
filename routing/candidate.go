package routing

import "time"

// State tells whether a candidate accepts new work.
type State int

const (
	// StateServing accepts new work.
	StateServing State = iota
	// StateEjected is out because of a detected fault; the gate refuses new work until it is readmitted.
	StateEjected
	// StateDraining is leaving; it finishes what it has.
	StateDraining
	// StateLapsed no longer announces itself.
	StateLapsed
	// StateTakenOut lies in a failure domain that operators took out.
	StateTakenOut
)

var stateNames = [...]string{"serving", "ejected", "draining", "lapsed", "taken-out"}

// String returns the state as it appears in logs and metadata.
func (s State) String() string {
	if s < 0 || int(s) >= len(stateNames) {
		return "unknown"
	}
	return stateNames[s]
}

// ParseState is the inverse of State.String.
func ParseState(name string) (State, bool) {
	for i, n := range stateNames {
		if n == name {
			return State(i), true
		}
	}
	return 0, false
}

// Candidate is one place that can run a request: for an entry a VM that hosts the service, for a gate a backend server
// on its VM (with the backend server's name in VM).
type Candidate struct {
	VM, Domain string
	// Capacity is the number of requests that may run at once, after ramp.
	Capacity float64
	// InFlight and Queued are the requests running and waiting there, by the last report.
	InFlight, Queued float64
	State
	// PathPenalty is the health of the path to the VM from PathHealth.Penalty: 0 is a healthy path, 1 a dead one.
	PathPenalty float64
	// LoadAge is the time since InFlight and Queued were reported.
	LoadAge time.Duration
}

// Local tells where the choosing process is.
type Local struct {
	VM, Domain, Region string
	// Regions maps each failure domain to its region. A failure domain that is absent counts as a far region.
	Regions map[string]string
}

// Reason tells why a policy made its choice, for the log line of the decision.
type Reason string

const (
	// ReasonNone means that no candidate accepts new work.
	ReasonNone Reason = "no-candidate"
	// ReasonOwnVM means that the own VM has room.
	ReasonOwnVM Reason = "own-vm"
	// ReasonOwnDomain means that the own failure domain has room.
	ReasonOwnDomain Reason = "own-domain"
	// ReasonOwnRegion means that nearer candidates would queue the request.
	ReasonOwnRegion Reason = "own-region"
	// ReasonFarRegion means that no candidate in the own region has room.
	ReasonFarRegion Reason = "far-region"
	// ReasonLeastLoaded means that all candidates would queue the request and this one has the shortest wait.
	ReasonLeastLoaded Reason = "least-loaded"
	// ReasonTrial means that the request tries a doubtful backend server on purpose.
	ReasonTrial Reason = "trial"
	// ReasonRandom means that the policy does not look at load.
	ReasonRandom Reason = "random"
)
