package routing

import "time"

// State is whether a candidate accepts new requests.
type State int

const (
	// StateServing accepts new requests.
	StateServing State = iota
	// StateEjected is excluded because of a detected fault. Its gate refuses new requests until the ejection ends.
	StateEjected
	// StateDraining is shutting down. It finishes its running requests and accepts no new ones.
	StateDraining
	// StateLapsed has stopped announcing itself.
	StateLapsed
	// StateTakenOut is in a failure domain that operators have taken out of service.
	StateTakenOut
)

var stateNames = [...]string{"serving", "ejected", "draining", "lapsed", "taken-out"}

// String returns the name of the state in logs and metadata, or "unknown".
func (s State) String() string {
	if s < 0 || int(s) >= len(stateNames) {
		return "unknown"
	}
	return stateNames[s]
}

// ParseState returns the state with the given name, and false for an unknown name.
func ParseState(name string) (State, bool) {
	for i, n := range stateNames {
		if n == name {
			return State(i), true
		}
	}
	return 0, false
}

// Candidate is a possible destination of a request: for an entry, a VM that hosts the service; for a gate, a backend
// server on its VM, with the name of the server in the field VM.
type Candidate struct {
	VM, Domain string
	// Capacity is the number of requests that may run there at once, as currently allowed by the ramp.
	Capacity float64
	// InFlight and Queued are the numbers of running and queued requests in the last load report.
	InFlight, Queued float64
	State
	// PathPenalty is the result of PathHealth.Penalty for the path to the VM, from 0 for a healthy path to 1 for a
	// dead one.
	PathPenalty float64
	// LoadAge is the age of the load report that InFlight and Queued come from.
	LoadAge time.Duration
	// Work is what is known of the candidate's work. Only LeastCompletion uses it.
	Work Work
}

// Locality is the location of the process that chooses a candidate.
type Locality struct {
	VM, Domain, Region string
	// Regions maps each failure domain to its region. A failure domain that is missing here counts as being in
	// another region.
	Regions map[string]string
}

// Reason is why a policy chose a candidate. It is logged with the choice.
type Reason string

const (
	// ReasonNone means that no candidate accepts new requests.
	ReasonNone Reason = "no-candidate"
	// ReasonOwnVM means that the VM of the choosing process has a free slot.
	ReasonOwnVM Reason = "own-vm"
	// ReasonOwnDomain means that the own VM has no free slot and another VM of the same failure domain has one.
	ReasonOwnDomain Reason = "own-domain"
	// ReasonOwnRegion means that the own failure domain has no free slot and another one in the same region has one.
	ReasonOwnRegion Reason = "own-region"
	// ReasonFarRegion means that the own region has no free slot and another region has one.
	ReasonFarRegion Reason = "far-region"
	// ReasonLeastLoaded means that no candidate has a free slot and a usable path, and that this one has the lower
	// cost of two random candidates.
	ReasonLeastLoaded Reason = "least-loaded"
	// ReasonShortestQueue means that several VMs had no free slot for the request, and that this one has the shortest queue
	// of them.
	ReasonShortestQueue Reason = "shortest-queue"
	// ReasonLeastCompletion means that no candidate is expected to start the request at once, and that this one is expected
	// to end it sooner than another random candidate.
	ReasonLeastCompletion Reason = "least-completion"
	// ReasonTrial means that the request deliberately tests a backend server whose circuit breaker has tripped.
	ReasonTrial Reason = "trial"
	// ReasonPressedTrial is ReasonTrial for a request that may not be repeated and that no VM with a free slot was found for.
	ReasonPressedTrial Reason = "pressed-trial"
	// ReasonRandom means that the policy chooses at random, whatever the load.
	ReasonRandom Reason = "random"
)
