// Package state is the replicated fleet state machine: configuration, keys, failure domain status, process roster and
// shard owners. It is pure: equal commands in equal order give equal state. A State is not safe for concurrent use; the
// caller locks.
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
	// ChangeID identifies the change over resends. It is required.
	ChangeID string `json:"changeId"`
	// Operator is who proposed the change: an operator's name, or the VM name of a process.
	Operator string `json:"operator"`
	// BaseVersion is the version that an operator's decision is based on. Commands of processes leave it at 0.
	BaseVersion uint64 `json:"baseVersion,omitempty"`
	// Time is the proposer's wall clock, for the audit trail only.
	Time time.Time `json:"time,omitzero"`

	Apply        *ApplyChange  `json:"apply,omitempty"`
	IssueKey     *IssueKey     `json:"issueKey,omitempty"`
	WithdrawKey  *WithdrawKey  `json:"withdrawKey,omitempty"`
	SetDomain    *SetDomain    `json:"setDomain,omitempty"`
	Replace      *Replace      `json:"replace,omitempty"`
	Join         *Process      `json:"join,omitempty"`
	Leave        *Leave        `json:"leave,omitempty"`
	AssignShards *AssignShards `json:"assignShards,omitempty"`
	// RosterInForce is proposed by the control leader.
	RosterInForce *RosterInForce `json:"rosterInForce,omitempty"`
}

// ApplyChange changes the configuration document.
type ApplyChange struct {
	Change config.Change `json:"change"`
	// ContentHash is Change.Hash() as the operator computed it. A change that arrives with another hash is refused.
	ContentHash string `json:"contentHash"`
}

// IssueKey adds a key to a team. The key itself stays with the operator.
type IssueKey struct {
	Team string `json:"team"`
	// KeyHash is the lower-case hex SHA-256 sum of the key.
	KeyHash string `json:"keyHash"`
}

// WithdrawKey takes a key from its team, whether it was issued or listed in the configuration document.
type WithdrawKey struct {
	KeyHash string `json:"keyHash"`
}

// SetDomain takes a failure domain out or brings it back.
type SetDomain struct {
	Domain string `json:"domain"`
	Out    bool   `json:"out"`
	// Force skips the check that each service keeps its floor.
	Force bool `json:"force,omitempty"`
	// AnyBase leaves out the comparison with the base version: the last command wins whatever else changed.
	AnyBase bool `json:"anyBase,omitempty"`
}

// Replace puts a whole configuration document in force under a label of the operators' own. Operators race under labels:
// the command wins where BaseLabel is the label in force.
type Replace struct {
	Label     uint64 `json:"label"`
	BaseLabel uint64 `json:"baseLabel"`
	// Change turns the document in force under BaseLabel into the new one.
	Change config.Change `json:"change"`
	// Source is the document as the operator sent it, compressed. Only processes with the control role keep it; it may
	// hold keys in clear and is left out of deltas.
	Source []byte `json:"source,omitempty"`
	// SourceHash is the lower-case hex SHA-256 sum of Source.
	SourceHash string `json:"sourceHash"`
}

// Process is one process of the fleet in the roster.
type Process struct {
	// Name is the VM name.
	Name string `json:"name"`
	// Address is the peer listener's host and port.
	Address string `json:"address"`
	// Domain is the failure domain.
	Domain string `json:"domain"`
}

// Leave removes a process from the roster.
type Leave struct {
	Name string `json:"name"`
}

// AssignShards sets the owners of shards.
type AssignShards struct {
	// Owners maps shard numbers to VM names; an empty name leaves the shard without owner.
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
)

// Kind returns what the command does, or "" unless exactly one of the pointers is set.
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
	if len(kinds) != 1 {
		return ""
	}
	return kinds[0]
}

// byOperator reports whether the kind is decided by operators, who race under base versions. Processes' own commands
// neither need a base version nor outdate one.
func (k Kind) byOperator() bool {
	switch k {
	case KindApply, KindIssueKey, KindWithdrawKey, KindDomainOut, KindDomainIn, KindReplace:
		return true
	}
	return false
}

// Encode returns the command as Apply takes it.
func (c *Command) Encode() ([]byte, error) { return json.Marshal(c) }

func decodeCommand(data []byte) (*Command, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	c := &Command{}
	return c, decoder.Decode(c)
}

// usesBase reports whether the command is compared with the base version. A replacement is compared by label instead.
func (c *Command) usesBase() bool {
	if c.Replace != nil || c.SetDomain != nil && c.SetDomain.AnyBase {
		return false
	}
	return c.Kind().byOperator()
}

// withoutSource returns the command as processes without the control role get it.
func (c *Command) withoutSource() *Command {
	if c.Replace == nil || c.Replace.Source == nil {
		return c
	}
	stripped, replace := *c, *c.Replace
	replace.Source = nil
	stripped.Replace = &replace
	return &stripped
}

// digest tells a resend from another change with the same id. The time may differ between resends. The source counts by
// its hash, so that a copy without it has the same history. So does the change of a replacement: it depends on the document in
// force when it was proposed, while its source stays the same.
func (c *Command) digest() uint64 {
	timeless := *c.withoutSource()
	timeless.Time = time.Time{}
	if c.Replace != nil {
		replace := *timeless.Replace
		replace.Change = config.Change{}
		timeless.Replace = &replace
	}
	data, err := json.Marshal(&timeless)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(data)
}
