package control

import (
	"context"

	"rosemaryline.dev/fleet/config"
	"rosemaryline.dev/fleet/state"
)

// Fleet is the replicated fleet state as the operators' API needs it.
type Fleet interface {
	Viewer
	// Propose returns the result of a command once it is durable on a quorum. Errors are *NotLeaderError where the
	// command did not run and *UnknownError where that is not known; other errors mean that it did not run.
	Propose(ctx context.Context, c state.Command) (state.Result, error)
	// Barrier returns once View shows every change that was acknowledged before the call. Errors are as for Propose. A
	// process that does not lead returns *NotLeaderError, because only the leader knows all confirmations.
	Barrier(ctx context.Context) error
}

// NotLeaderError reports that another process leads the control group.
type NotLeaderError struct {
	// Admin is the address of the leader's admin listener; it is empty where no leader is known.
	Admin string
}

func (e *NotLeaderError) Error() string {
	if e.Admin == "" {
		return "no control leader is known"
	}
	return "the control leader is " + e.Admin
}

// UnknownError reports that it is not known whether a command ran. A resend with the same change id is safe.
type UnknownError struct{ Err error }

func (e *UnknownError) Error() string { return "outcome is not known: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Err }

// CapacityReporter tells the capacity that processes announce.
type CapacityReporter interface {
	Capacity() []ServiceCapacity
}

// ServiceCapacity is the capacity of a service in one failure domain, in slots.
type ServiceCapacity struct {
	Service string `json:"service"`
	Domain  string `json:"domain"`
	// Announced counts the slots of all announced backend servers.
	Announced float64 `json:"announced"`
	// Effective counts the slots of those that may receive work now.
	Effective float64 `json:"effective"`
	// Load counts requests in flight and queued.
	Load float64 `json:"load"`
}

// MemberReporter tells what gossip knows of processes.
type MemberReporter interface {
	Members() []MemberInfo
}

// MemberInfo is one process as gossip sees it.
type MemberInfo struct {
	Name        string `json:"name"`
	Address     string `json:"address"`
	Domain      string `json:"domain"`
	Incarnation uint64 `json:"incarnation"`
	Status      string `json:"status"`
}

// Explainer tells how the entry of this process would choose a VM for a request now.
type Explainer interface {
	Explain(service string, route config.Route) []Candidate
}

// Candidate is a VM that hosts a service, as the routing policy sees it.
type Candidate struct {
	VM       string  `json:"vm"`
	Domain   string  `json:"domain"`
	Capacity float64 `json:"capacity"`
	InFlight float64 `json:"inFlight"`
	Queued   float64 `json:"queued"`
	State    string  `json:"state"`
	// Reason tells why the candidate would be chosen or passed over.
	Reason string `json:"reason"`
}

// GroupAdmin changes the members of the control group.
type GroupAdmin interface {
	// Group returns the members.
	Group() GroupStatus
	// ChangeGroup returns once the change is durable. Errors are as for Fleet.Propose.
	ChangeGroup(ctx context.Context, c GroupChange) error
}

// GroupStatus describes the control group.
type GroupStatus struct {
	Leader  string        `json:"leader"`
	Term    uint64        `json:"term"`
	Members []GroupMember `json:"members"`
}

// GroupMember is one member of the control group. Its id is 16 hex digits and changes when its data folder is lost.
type GroupMember struct {
	ID      string `json:"id"`
	VM      string `json:"vm"`
	Address string `json:"address"`
	Learner bool   `json:"learner,omitempty"`
	// Match is the highest log index that the leader knows to be on the member.
	Match uint64 `json:"match"`
}

// GroupAction is what a GroupChange does.
type GroupAction string

// Actions on the control group.
const (
	// GroupAdd adds a member as a learner and promotes it once it has caught up.
	GroupAdd GroupAction = "add"
	// GroupRemove removes a member.
	GroupRemove GroupAction = "remove"
	// GroupReplace adds a member, waits until it has caught up, and then removes another one.
	GroupReplace GroupAction = "replace"
)

// GroupChange adds, removes or replaces a member of the control group.
type GroupChange struct {
	Action GroupAction `json:"action"`
	// ID is the member to add or remove.
	ID string `json:"id"`
	// Address is the peer listener of a member to add.
	Address string `json:"address,omitempty"`
	// OldID is the member that ID replaces.
	OldID string `json:"oldId,omitempty"`
}

// Restorer seeds an empty fleet with a snapshot.
type Restorer interface {
	// Restore fails where the fleet already has a version. Errors are as for Fleet.Propose.
	Restore(ctx context.Context, snapshot []byte) error
}
