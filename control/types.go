package control

import (
	"rosemaryline.dev/fleet/config"
	"rosemaryline.dev/fleet/state"
)

// Envelope holds the fields that all requests to change the fleet state share.
type Envelope struct {
	// ChangeID identifies the change. A request that is sent again with the same ID gets the first result.
	ChangeID string `json:"changeId"`
	// BaseVersion is the version on which the operator's decision is based. The change is refused if an operator made
	// another change after that version.
	BaseVersion uint64 `json:"baseVersion"`
	// DryRun requests a check of the change without making it.
	DryRun bool `json:"dryRun,omitempty"`
}

// ApplyRequest changes the configuration document.
type ApplyRequest struct {
	Envelope
	state.ApplyChange
}

// KeyRequest issues or withdraws a key. Withdrawing ignores Team.
type KeyRequest struct {
	Envelope
	Team    string `json:"team,omitempty"`
	KeyHash string `json:"keyHash"`
}

// DomainRequest takes a failure domain out of service or brings it back.
type DomainRequest struct {
	Envelope
	Force bool `json:"force,omitempty"`
}

// GroupRequest changes the control group.
type GroupRequest struct {
	GroupChange
	DryRun bool `json:"dryRun,omitempty"`
}

// ChangeReply is the reply to an accepted change.
type ChangeReply struct {
	// Version is the version that the change produced, or the current version for a dry run.
	Version uint64 `json:"version"`
	DryRun  bool   `json:"dryRun,omitempty"`
	// Fields are the paths of the fields that the change would alter. They are set only for a dry run.
	Fields []string `json:"fields,omitempty"`
	// Warnings describe the risks of the change.
	Warnings []string `json:"warnings,omitempty"`
}

// ConfigReply is the configuration document.
type ConfigReply struct {
	Version uint64 `json:"version"`
	// BaseVersion is the lowest base version with which a change does not conflict now.
	BaseVersion uint64           `json:"baseVersion"`
	Hash        string           `json:"hash"`
	Document    *config.Document `json:"document"`
}

// VersionReply holds the current version and the highest version in force.
type VersionReply struct {
	Version uint64 `json:"version"`
	InForce uint64 `json:"inForce"`
}

// StatusReply describes the fleet.
type StatusReply struct {
	VersionReply
	// Versions lists the processes by the version that they run, newest version first.
	Versions []RunningVersion `json:"versions"`
	// Unconfirmed are the processes of the roster that have not confirmed any version to this control process.
	Unconfirmed []string `json:"unconfirmed,omitempty"`
	DomainsOut  []string `json:"domainsOut,omitempty"`
	// Rollouts are the running rollouts.
	Rollouts []state.Rollout `json:"rollouts,omitempty"`
	Group    any             `json:"group,omitempty"`
	// Stale is true if this process replied from its own state, without confirmation by a quorum.
	Stale bool `json:"stale,omitempty"`
}

// RunningVersion lists the processes that run a version.
type RunningVersion struct {
	Version   uint64           `json:"version"`
	InForce   bool             `json:"inForce"`
	Processes []ProcessVersion `json:"processes"`
}

// InForceReply reports whether a version is in force.
type InForceReply struct {
	Version uint64 `json:"version"`
	InForce bool   `json:"inForce"`
	// Missing lists the processes that have not confirmed the version.
	Missing []string `json:"missing,omitempty"`
}

// KeysReply lists the keys of a team by their hashes.
type KeysReply struct {
	Team string `json:"team"`
	// Listed are the hashes in the configuration document.
	Listed []string `json:"listed,omitempty"`
	// Issued are the keys that operators issued one by one.
	Issued []state.IssuedKey `json:"issued,omitempty"`
}

// DomainStatus is the status of a failure domain.
type DomainStatus struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	Out    bool   `json:"out"`
	// Capacity is the capacity that processes announce in the failure domain. It is empty if it is not known.
	Capacity []ServiceCapacity `json:"capacity,omitempty"`
}

// HistoryReply is the audit trail, newest first.
type HistoryReply struct {
	Records []state.Record `json:"records"`
}

// MembersReply lists the processes of the roster and the processes that gossip knows.
type MembersReply struct {
	Roster []state.Process `json:"roster"`
	Gossip []MemberInfo    `json:"gossip,omitempty"`
	// Shards is the number of quota shards that each process owns, by its name. Processes without a shard are left out.
	Shards map[string]int `json:"shards,omitempty"`
}

// ExplainReply describes how a request would be routed.
type ExplainReply struct {
	Version uint64 `json:"version"`
	// Route is the name of the matching route. It is empty if none matches.
	Route   string        `json:"route,omitempty"`
	Details *config.Route `json:"details,omitempty"`
	// ComparedPath is the normalized path that was compared with the prefixes of the routes.
	ComparedPath string `json:"comparedPath,omitempty"`
	// Allowed reports whether the team may use the route, and Reason explains why.
	Allowed bool   `json:"allowed"`
	Reason  string `json:"reason"`
	// Service is the service whose candidates are listed. Of a route with a split, it is the first one.
	Service string `json:"service,omitempty"`
	// Repeatable reports whether a request with the method may run more than once.
	Repeatable bool        `json:"repeatable"`
	DomainsOut []string    `json:"domainsOut,omitempty"`
	Candidates []Candidate `json:"candidates,omitempty"`
}

// ProblemCode classifies a failed request.
type ProblemCode string

// Codes of failed requests. The codes of state.Code are used as well.
const (
	ProblemUnauthorized ProblemCode = "unauthorized"
	ProblemForbidden    ProblemCode = "forbidden"
	ProblemBadRequest   ProblemCode = "badRequest"
	ProblemNotFound     ProblemCode = "notFound"
	ProblemNotLeader    ProblemCode = "notLeader"
	ProblemUnknown      ProblemCode = "unknown"
	ProblemUnavailable  ProblemCode = "unavailable"
	ProblemTooLarge     ProblemCode = "tooLarge"
	ProblemUnsupported  ProblemCode = "unsupported"
)

// Problem is the RFC 9457 problem document of a failed request. It implements error.
type Problem struct {
	Status int         `json:"status"`
	Title  string      `json:"title"`
	Detail string      `json:"detail"`
	Code   ProblemCode `json:"code"`
	// Fields are the fields that are not valid, or that changed after the base version.
	Fields []string `json:"fields,omitempty"`
	// Version is the current version, or 0 if it is not known.
	Version uint64 `json:"version,omitempty"`
	// Leader is the admin address of the control leader. It is set only with ProblemNotLeader, if a leader is known.
	Leader string `json:"leader,omitempty"`
}

func (p *Problem) Error() string { return string(p.Code) + ": " + p.Detail }
