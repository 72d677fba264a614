package control

import (
	"rosemaryline.dev/fleet/config"
	"rosemaryline.dev/fleet/state"
)

// Envelope is common to all requests that change state.
type Envelope struct {
	// ChangeID identifies the change; a resend with the same id gets the first answer.
	ChangeID string `json:"changeId"`
	// BaseVersion is the version that the operator decided on. The change is refused where an operator changed
	// something since.
	BaseVersion uint64 `json:"baseVersion"`
	// DryRun checks the change and leaves the state as it is.
	DryRun bool `json:"dryRun,omitempty"`
}

// ApplyRequest changes the configuration document.
type ApplyRequest struct {
	Envelope
	state.ApplyChange
}

// KeyRequest issues or withdraws a key. Team is used only to issue.
type KeyRequest struct {
	Envelope
	Team    string `json:"team,omitempty"`
	KeyHash string `json:"keyHash"`
}

// DomainRequest takes a failure domain out or brings it back.
type DomainRequest struct {
	Envelope
	Force bool `json:"force,omitempty"`
}

// GroupRequest changes the control group.
type GroupRequest struct {
	GroupChange
	DryRun bool `json:"dryRun,omitempty"`
}

// ChangeReply answers an accepted change.
type ChangeReply struct {
	// Version is the version that the change made; in a dry run it is the current version.
	Version uint64 `json:"version"`
	DryRun  bool   `json:"dryRun,omitempty"`
	// Fields are what the change alters; only a dry run has them.
	Fields []string `json:"fields,omitempty"`
	// Warnings tell what the change risks.
	Warnings []string `json:"warnings,omitempty"`
}

// ConfigReply is the configuration document.
type ConfigReply struct {
	Version uint64 `json:"version"`
	// BaseVersion is the lowest base version that does not conflict now.
	BaseVersion uint64           `json:"baseVersion"`
	Hash        string           `json:"hash"`
	Document    *config.Document `json:"document"`
}

// VersionReply is the current version.
type VersionReply struct {
	Version uint64 `json:"version"`
	InForce uint64 `json:"inForce"`
}

// StatusReply describes the fleet.
type StatusReply struct {
	VersionReply
	// Versions lists which processes run which version, newest first.
	Versions []RunningVersion `json:"versions"`
	// Unconfirmed are processes of the roster that this control process has not heard of.
	Unconfirmed []string `json:"unconfirmed,omitempty"`
	DomainsOut  []string `json:"domainsOut,omitempty"`
	Group       any      `json:"group,omitempty"`
	// Stale is true where the answer comes from this process alone, without a quorum.
	Stale bool `json:"stale,omitempty"`
}

// RunningVersion lists the processes that run a version.
type RunningVersion struct {
	Version   uint64           `json:"version"`
	InForce   bool             `json:"inForce"`
	Processes []ProcessVersion `json:"processes"`
}

// InForceReply answers whether a version is in force.
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
	// Issued are the keys that were issued by command.
	Issued []state.IssuedKey `json:"issued,omitempty"`
}

// DomainStatus is a failure domain with its status.
type DomainStatus struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	Out    bool   `json:"out"`
	// Capacity is what processes announce there; it is empty where that is not known.
	Capacity []ServiceCapacity `json:"capacity,omitempty"`
}

// HistoryReply is the audit trail, newest first.
type HistoryReply struct {
	Records []state.Record `json:"records"`
}

// MembersReply lists the processes of the roster and what gossip knows of them.
type MembersReply struct {
	Roster []state.Process `json:"roster"`
	Gossip []MemberInfo    `json:"gossip,omitempty"`
}

// ExplainReply tells where a request would go.
type ExplainReply struct {
	Version uint64 `json:"version"`
	// Route is the name of the route; it is empty where none matches.
	Route   string        `json:"route,omitempty"`
	Details *config.Route `json:"details,omitempty"`
	// Allowed tells whether the team may use the route; Reason tells why.
	Allowed    bool        `json:"allowed"`
	Reason     string      `json:"reason"`
	DomainsOut []string    `json:"domainsOut,omitempty"`
	Candidates []Candidate `json:"candidates,omitempty"`
}

// ProblemCode classifies a failed request.
type ProblemCode string

// Codes of failed requests, in addition to those of state.Code.
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

// Problem is the RFC 9457 problem document of a failed request. It is an error.
type Problem struct {
	Status int         `json:"status"`
	Title  string      `json:"title"`
	Detail string      `json:"detail"`
	Code   ProblemCode `json:"code"`
	// Fields are those at fault, or those that changed since the base version.
	Fields []string `json:"fields,omitempty"`
	// Version is the current version, where it is known.
	Version uint64 `json:"version,omitempty"`
	// Leader is the admin address of the control leader, with ProblemNotLeader.
	Leader string `json:"leader,omitempty"`
}

func (p *Problem) Error() string { return string(p.Code) + ": " + p.Detail }
