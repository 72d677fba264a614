package control

import (
	"context"

	"rosemaryline.dev/fleet/state"
)

// Fleet gives the operators' API access to the replicated fleet state.
type Fleet interface {
	Viewer
	// Propose proposes a command and returns its result once the command is durable on a quorum. Errors are
	// *NotLeaderError if another process leads, and *UnknownError if it is not known whether the command ran. With all
	// errors but *UnknownError the command did not run.
	Propose(ctx context.Context, c state.Command) (state.Result, error)
	// Barrier returns once View shows every change that was acknowledged before the call. A process that does not lead
	// returns *NotLeaderError, because only the leader receives all confirmations. After any error, View may miss
	// acknowledged changes.
	Barrier(ctx context.Context) error
}

// NotLeaderError reports that another process leads the control group.
type NotLeaderError struct {
	// Admin is the address of the leader's admin listener. It is empty if no leader is known.
	Admin string
}

func (e *NotLeaderError) Error() string {
	if e.Admin == "" {
		return "no control leader is known"
	}
	return "the control leader is " + e.Admin
}

// UnknownError reports that it is not known whether a command ran. It is safe to send the command again with the same
// change id.
type UnknownError struct{ Err error }

func (e *UnknownError) Error() string { return "outcome is not known: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Err }

// CapacityReporter returns the capacity that processes announce.
type CapacityReporter interface {
	Capacity() []ServiceCapacity
}

// ServiceCapacity is the capacity of a service in one failure domain, in slots.
type ServiceCapacity struct {
	Service string `json:"service"`
	Domain  string `json:"domain"`
	// Announced counts the slots of all announced backend servers.
	Announced float64 `json:"announced"`
	// Effective counts the slots of the backend servers that may receive requests now.
	Effective float64 `json:"effective"`
	// Load is the number of requests in flight or queued.
	Load float64 `json:"load"`
}

// MemberReporter returns the processes that gossip knows.
type MemberReporter interface {
	Members() []MemberInfo
}

// MemberInfo is what gossip knows of one process.
type MemberInfo struct {
	Name        string `json:"name"`
	Address     string `json:"address"`
	Domain      string `json:"domain"`
	Incarnation uint64 `json:"incarnation"`
	Status      string `json:"status"`
}

// Explainer returns the VMs among which an entry would choose for a request now. Errors are of type *Problem.
type Explainer interface {
	Explain(ctx context.Context, q ExplainQuery) ([]Candidate, error)
}

// ExplainQuery describes a request whose choice of a VM is to be explained.
type ExplainQuery struct {
	Service    string `json:"service"`
	Route      string `json:"route"`
	Repeatable bool   `json:"repeatable"`
	// Team is the team of the request; empty where there is none.
	Team string `json:"team,omitempty"`
	// VM is the VM whose entry is asked; empty means that of this process.
	VM string `json:"vm,omitempty"`
}

// Candidate is a VM that hosts a service, with the data that the routing policy uses.
type Candidate struct {
	VM       string  `json:"vm"`
	Domain   string  `json:"domain"`
	Capacity float64 `json:"capacity"`
	InFlight float64 `json:"inFlight"`
	Queued   float64 `json:"queued"`
	State    string  `json:"state"`
	// Reason explains why the candidate would or would not be chosen.
	Reason string `json:"reason"`
	// Work is nil unless the service has the placement least-completion and the entry knows the cost of the request.
	Work *CandidateWork `json:"work,omitempty"`
	// Share is the share of such requests that the entry admits now, 0 to 1; nil where it admits all. It is the same for all
	// candidates.
	Share *float64 `json:"share,omitempty"`
}

// CandidateWork is what an entry expects of a request at a candidate. Times are in milliseconds.
type CandidateWork struct {
	StartMs float64 `json:"startMs"`
	// Speed is relative to the candidate's usual speed.
	Speed        float64 `json:"speed"`
	CostMs       float64 `json:"costMs"`
	CompletionMs float64 `json:"completionMs"`
	// Reported is false if the entry has no report of the candidate's gate; AgeMs is the age of the report.
	Reported bool    `json:"reported"`
	AgeMs    float64 `json:"ageMs"`
}

// GroupAdmin changes the members of the control group.
type GroupAdmin interface {
	// Group returns the current leader, term and members.
	Group() GroupStatus
	// ChangeGroup returns once the change is durable. Errors are *NotLeaderError if another process leads, and
	// *UnknownError if it is not known whether the change was made. With all other errors it was not made.
	ChangeGroup(ctx context.Context, c GroupChange) error
}

// GroupStatus describes the control group.
type GroupStatus struct {
	Leader  string        `json:"leader"`
	Term    uint64        `json:"term"`
	Members []GroupMember `json:"members"`
}

// GroupMember is one member of the control group. Its ID has 16 hex digits; a process that lost its data directory gets
// another one.
type GroupMember struct {
	ID      string `json:"id"`
	VM      string `json:"vm"`
	Address string `json:"address"`
	Learner bool   `json:"learner,omitempty"`
	// Match is the highest log index that the leader knows to be stored on the member.
	Match uint64 `json:"match"`
}

// GroupAction is the kind of a GroupChange.
type GroupAction string

// The values of GroupAction.
const (
	// GroupAdd adds a member as a learner and promotes it once it has caught up.
	GroupAdd GroupAction = "add"
	// GroupRemove removes a member.
	GroupRemove GroupAction = "remove"
	// GroupReplace adds a member, waits until it has caught up, and then removes the member that it replaces.
	GroupReplace GroupAction = "replace"
)

// GroupChange adds, removes or replaces a member of the control group.
type GroupChange struct {
	Action GroupAction `json:"action"`
	// ID is the ID of the member to add or remove.
	ID string `json:"id"`
	// Address is the peer listener of the member to add, as host:port.
	Address string `json:"address,omitempty"`
	// OldID is the ID of the member to remove with GroupReplace.
	OldID string `json:"oldId,omitempty"`
}

// Restorer initializes an empty fleet from a snapshot.
type Restorer interface {
	// Restore fails if the fleet already has a version. Errors are *NotLeaderError if another process leads, and
	// *UnknownError if it is not known whether the snapshot was restored. With all other errors it was not restored.
	Restore(ctx context.Context, snapshot []byte) error
}
