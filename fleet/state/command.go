// Package state implements the replicated state machine of the fleet: configuration, keys, status of failure domains,
// roster of processes and owners of shards. It is deterministic: equal commands in equal order give equal state. A
// State is not safe for concurrent use; callers need a lock.
package state

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"

	"rosemaryline.dev/fleet/config"
)

// Command is one proposed change. Exactly one of the pointers is set.
type Command struct {
	// ChangeID identifies the change when the command is sent again. It is required.
	ChangeID string `json:"changeId"`
	// Operator is who proposed the change: an operator's name, or the VM name of a process.
	Operator string `json:"operator"`
	// BaseVersion is the version on which an operator's decision is based. It is 0 in commands of processes.
	BaseVersion uint64 `json:"baseVersion,omitempty"`
	// Time is the proposer's wall clock time. Only the audit trail and Rollout.Ended use it.
	Time time.Time `json:"time,omitzero"`

	Apply        *ApplyChange  `json:"apply,omitempty"`
	IssueKey     *IssueKey     `json:"issueKey,omitempty"`
	WithdrawKey  *WithdrawKey  `json:"withdrawKey,omitempty"`
	SetDomain    *SetDomain    `json:"setDomain,omitempty"`
	Replace      *Replace      `json:"replace,omitempty"`
	Join         *Process      `json:"join,omitempty"`
	Leave        *Leave        `json:"leave,omitempty"`
	AssignShards *AssignShards `json:"assignShards,omitempty"`
	// RosterInForce is proposed by the control leader only.
	RosterInForce *RosterInForce `json:"rosterInForce,omitempty"`
	Depart        *Departure     `json:"depart,omitempty"`

	// Processes of earlier builds refuse the following commands.
	BeginRollout  *BeginRollout  `json:"beginRollout,omitempty"`
	DecideRollout *DecideRollout `json:"decideRollout,omitempty"`
	AbortRollout  *AbortRollout  `json:"abortRollout,omitempty"`
	AdmitVersions *AdmitVersions `json:"admitVersions,omitempty"`
}

// ApplyChange changes the configuration document.
type ApplyChange struct {
	Change config.Change `json:"change"`
	// ContentHash is the result of Change.Hash, computed by the operator's client. The command is refused if the hash
	// does not match the change.
	ContentHash string `json:"contentHash"`
}

// IssueKey adds a key to a team. The command holds only its hash; the key itself stays with the operator.
type IssueKey struct {
	Team string `json:"team"`
	// KeyHash is the lower-case hex SHA-256 sum of the key.
	KeyHash string `json:"keyHash"`
}

// WithdrawKey removes a key from its team, whether the key was issued or is listed in the configuration document.
type WithdrawKey struct {
	KeyHash string `json:"keyHash"`
}

// SetDomain takes a failure domain out of service or brings it back.
type SetDomain struct {
	Domain string `json:"domain"`
	Out    bool   `json:"out"`
	// Force skips the check that each service keeps its floor.
	Force bool `json:"force,omitempty"`
	// AnyBase skips the check of the base version, so that the command is accepted whatever else changed and overrides
	// earlier ones.
	AnyBase bool `json:"anyBase,omitempty"`
}

// Replace replaces the whole configuration document. Label is a version number that the operators choose for the
// document. A concurrent replacement is detected by BaseLabel instead of a base version: the command is refused unless
// BaseLabel is the label of the current document and Label is higher.
type Replace struct {
	Label     uint64 `json:"label"`
	BaseLabel uint64 `json:"baseLabel"`
	// Change turns the document with the label BaseLabel into the new one.
	Change config.Change `json:"change"`
	// Source is the document as the operator sent it, compressed. It may contain keys in plain text, so only processes
	// with the control role keep it, and deltas omit it.
	Source []byte `json:"source,omitempty"`
	// SourceHash is the lower-case hex SHA-256 sum of Source.
	SourceHash string `json:"sourceHash"`
}

// Process is one process in the roster.
type Process struct {
	// Name is the VM name.
	Name string `json:"name"`
	// Address is the peer listener's host and port.
	Address string `json:"address"`
	// Domain is the name of the failure domain of the VM.
	Domain string `json:"domain"`
}

// Leave removes a process from the roster.
type Leave struct {
	Name string `json:"name"`
}

// AssignShards sets the owners of shards.
type AssignShards struct {
	// Owners maps shard numbers to VM names. An empty name leaves the shard without an owner.
	Owners map[int]string `json:"owners"`
}

// Kind names what a command does.
type Kind string

// Kinds of commands.
const (
	KindApply         Kind = "apply"
	KindIssueKey      Kind = "key issue"
	KindWithdrawKey   Kind = "key withdraw"
	KindDomainOut     Kind = "domain out"
	KindDomainIn      Kind = "domain in"
	KindReplace       Kind = "replace"
	KindJoin          Kind = "join"
	KindLeave         Kind = "leave"
	KindAssignShards  Kind = "assign shards"
	KindRosterInForce Kind = "roster in force"
	KindDepart        Kind = "depart"
	KindBeginRollout  Kind = "rollout begin"
	KindDecideRollout Kind = "rollout decide"
	KindAbortRollout  Kind = "rollout abort"
	KindAdmitVersions Kind = "admit versions"
)

// Kind returns the kind of the command, or "" if none or more than one of the pointers is set.
func (c *Command) Kind() Kind {
	var kinds []Kind
	add := func(set bool, k Kind) {
		if set {
			kinds = append(kinds, k)
		}
	}
	add(c.Apply != nil, KindApply)
	add(c.IssueKey != nil, KindIssueKey)
	add(c.WithdrawKey != nil, KindWithdrawKey)
	add(c.SetDomain != nil && c.SetDomain.Out, KindDomainOut)
	add(c.SetDomain != nil && !c.SetDomain.Out, KindDomainIn)
	add(c.Replace != nil, KindReplace)
	add(c.Join != nil, KindJoin)
	add(c.Leave != nil, KindLeave)
	add(c.AssignShards != nil, KindAssignShards)
	add(c.RosterInForce != nil, KindRosterInForce)
	add(c.Depart != nil, KindDepart)
	add(c.BeginRollout != nil, KindBeginRollout)
	add(c.DecideRollout != nil, KindDecideRollout)
	add(c.AbortRollout != nil, KindAbortRollout)
	add(c.AdmitVersions != nil, KindAdmitVersions)
	if len(kinds) != 1 {
		return ""
	}
	return kinds[0]
}

// byOperator reports whether operators change the configuration, keys or failure domains with commands of this kind. These
// commands are checked against their base version, except Replace and a SetDomain with AnyBase. Commands of processes and
// commands about rollouts need no base version, and do not cause conflicts with base versions of operators.
func (k Kind) byOperator() bool {
	switch k {
	case KindApply, KindIssueKey, KindWithdrawKey, KindDomainOut, KindDomainIn, KindReplace:
		return true
	}
	return false
}

// Encode returns the command in the JSON form that State.Apply expects.
func (c *Command) Encode() ([]byte, error) { return json.Marshal(c) }

func decodeCommand(data []byte) (*Command, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	c := &Command{}
	return c, decoder.Decode(c)
}

// checksBaseVersion reports whether the command is checked against its base version. Replace is checked by label
// instead.
func (c *Command) checksBaseVersion() bool {
	if c.Replace != nil || c.SetDomain != nil && c.SetDomain.AnyBase {
		return false
	}
	return c.Kind().byOperator()
}

// withoutSource returns the command without the source of a document, as processes without the control role get it.
func (c *Command) withoutSource() *Command {
	if c.Replace == nil || c.Replace.Source == nil {
		return c
	}
	stripped, replace := *c, *c.Replace
	replace.Source = nil
	stripped.Replace = &replace
	return &stripped
}

// digest returns a hash that distinguishes a resend from another command with the same change ID. It omits the time,
// which may differ between resends. It includes the source of a replacement only by SourceHash, so that a copy without
// the source has the same history. It omits the change of a replacement, which depends on the document that was current
// at the time of the proposal, while the source stays the same in a resend. It omits the base of a rollout for the same
// reason.
func (c *Command) digest() uint64 {
	timeless := *c.withoutSource()
	timeless.Time = time.Time{}
	if c.Replace != nil {
		replace := *timeless.Replace
		replace.Change = config.Change{}
		timeless.Replace = &replace
	}
	if c.BeginRollout != nil {
		begin := *c.BeginRollout
		begin.Base = 0
		timeless.BeginRollout = &begin
	}
	data, err := json.Marshal(&timeless)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(data)
}
