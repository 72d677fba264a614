package state

import (
	"encoding/binary"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Apply runs one command of the replicated log and returns the encoded Result. It is deterministic. Refused commands
// change nothing but the audit trail.
func (s *State) Apply(cmd []byte) (result []byte) {
	return s.apply(cmd).encode()
}

func (s *State) apply(data []byte) Result {
	c, err := decodeCommand(data)
	if err != nil {
		return s.refusal(refuse(CodeInvalid, nil, "command is not readable: %v", err))
	}
	if refusal := checkEnvelope(c); refusal != nil {
		return s.refusal(refusal)
	}
	digest := c.digest()
	if first, ok := s.findRecord(c.ChangeID); ok {
		return s.answerResend(first, digest)
	}
	record := Record{ChangeID: c.ChangeID, Operator: c.Operator, Time: c.Time, Kind: c.Kind(), Digest: digest}
	fields, refusal := s.run(c)
	if refusal != nil {
		record.Result = s.refusal(refusal)
		// A repeated Join is no decision that an audit or a resend needs.
		if refusal.Code != CodeUnchanged {
			s.refused.add(record)
		}
		return record.Result
	}
	if stripped := c.withoutSource(); stripped != c {
		if data, err = stripped.Encode(); err != nil {
			return s.refusal(refuse(CodeInvalid, nil, "command cannot be encoded: %v", err))
		}
	}
	s.deltas.add(Delta{From: s.version, Chain: s.chain, Command: slices.Clone(data)})
	s.version++
	s.chain = extendChain(s.chain, digest)
	if record.Kind.byOperator() {
		s.operatorVersion = s.version
	}
	record.Fields = firstFields(fields)
	record.Result = Result{Version: s.version}
	s.accepted.add(record)
	return record.Result
}

func extendChain(chain, digest uint64) uint64 {
	var pair [16]byte
	binary.LittleEndian.PutUint64(pair[:8], chain)
	binary.LittleEndian.PutUint64(pair[8:], digest)
	return xxhash.Sum64(pair[:])
}

func (s *State) refusal(r *Refusal) Result { return Result{Version: s.version, Err: r} }

const maxIDBytes = 128

func checkEnvelope(c *Command) *Refusal {
	switch {
	case c.ChangeID == "" || len(c.ChangeID) > maxIDBytes:
		return refuse(CodeInvalid, nil, "the change id must have 1 to %d bytes", maxIDBytes)
	case c.Operator == "" || len(c.Operator) > maxIDBytes:
		return refuse(CodeInvalid, nil, "the operator must have 1 to %d bytes", maxIDBytes)
	case c.Kind() == "":
		return refuse(CodeInvalid, nil, "a command does exactly one thing")
	}
	return nil
}

func (s *State) findRecord(id string) (Record, bool) {
	if r, ok := s.accepted.find(id); ok {
		return r, true
	}
	return s.refused.find(id)
}

func (s *State) answerResend(first Record, digest uint64) Result {
	if first.Digest != digest {
		return s.refusal(refuse(CodeChangeIDReused, nil, "change id %q belongs to another change (%s)", first.ChangeID, first.Kind))
	}
	return first.Result
}

// run executes a command and returns the fields that it changed. A refused command changes nothing.
func (s *State) run(c *Command) ([]string, *Refusal) {
	if c.usesBase() {
		if refusal := s.checkBase(c.BaseVersion); refusal != nil {
			return nil, refusal
		}
	}
	switch {
	case c.Apply != nil:
		return s.runApply(c.Apply)
	case c.IssueKey != nil:
		return s.runIssueKey(c.IssueKey)
	case c.WithdrawKey != nil:
		return s.runWithdrawKey(c.WithdrawKey)
	case c.SetDomain != nil:
		return s.runSetDomain(c.SetDomain)
	case c.Replace != nil:
		return s.runReplace(c.Replace)
	case c.Join != nil:
		return s.runJoin(*c.Join)
	case c.Leave != nil:
		return s.runLeave(c.Leave.Name)
	case c.RosterInForce != nil:
		return s.runRosterInForce(c.RosterInForce)
	}
	return s.runAssignShards(c.AssignShards)
}

// checkBase lets exactly one of several operators' commands with an equal base version win.
func (s *State) checkBase(base uint64) *Refusal {
	if base > s.version {
		return refuse(CodeConflict, nil, "base version %d is ahead of version %d", base, s.version)
	}
	if base >= s.operatorVersion {
		return nil
	}
	fields := s.fieldsSince(base)
	return refuse(CodeConflict, fields, "version %d by %s came after base version %d; changed since: %s",
		s.operatorVersion, s.lastOperator(), base, summary(fields))
}

// fieldsSince returns the sorted fields that operators changed after a version, as far as the audit trail goes back.
func (s *State) fieldsSince(version uint64) []string {
	var fields []string
	for _, r := range slices.Backward(s.accepted.records) {
		if r.Result.Version <= version {
			break
		}
		if r.Kind.byOperator() {
			fields = append(fields, r.Fields...)
		}
	}
	slices.Sort(fields)
	return slices.Compact(fields)
}

func (s *State) lastOperator() string {
	for _, r := range slices.Backward(s.accepted.records) {
		if r.Result.Version == s.operatorVersion {
			return r.Operator
		}
	}
	return "an earlier operator"
}

// summary lists the first fields for a message.
func summary(fields []string) string {
	const shown = 5
	if len(fields) <= shown {
		return fmt.Sprint(fields)
	}
	return fmt.Sprintf("%v and %d more", fields[:shown], len(fields)-shown)
}
