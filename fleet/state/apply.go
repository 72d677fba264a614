package state

import (
	"encoding/binary"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Apply runs one command of the replicated log and returns the encoded Result. It is deterministic. A refused command
// changes only the audit trail.
func (s *State) Apply(cmd []byte) (result []byte) {
	return s.apply(cmd).encode()
}

func (s *State) apply(data []byte) Result {
	c, err := decodeCommand(data)
	if err != nil {
		return s.refusedResult(refuse(CodeInvalid, nil, "command is not readable: %v", err))
	}
	if refusal := checkEnvelope(c); refusal != nil {
		return s.refusedResult(refusal)
	}
	if c.Depart != nil {
		return s.recordDeparture(*c.Depart)
	}
	digest := c.digest()
	if first, ok := s.findRecord(c.ChangeID); ok {
		return s.resendResult(first, digest)
	}
	record := Record{ChangeID: c.ChangeID, Operator: c.Operator, Time: c.Time, Kind: c.Kind(), Digest: digest}
	fields, refusal := s.run(c)
	if refusal != nil {
		record.Result = s.refusedResult(refusal)
		// Commands that change nothing, such as a repeated Join, are needed neither for the audit trail nor for
		// resends. A refused order of a rollout to an unknown service may be sent again once the service exists, and has the
		// same change ID then.
		if refusal.Code != CodeUnchanged && !(c.BeginRollout != nil && refusal.Code == CodeNotFound) {
			s.refused.add(record)
		}
		return record.Result
	}
	if stripped := c.withoutSource(); stripped != c {
		if data, err = stripped.Encode(); err != nil {
			return s.refusedResult(refuse(CodeInvalid, nil, "command cannot be encoded: %v", err))
		}
	}
	s.deltas.add(Delta{From: s.version, Chain: s.chain, Command: slices.Clone(data)})
	s.version++
	s.chain = extendChain(s.chain, digest)
	if record.Kind.byOperator() {
		s.operatorVersion = s.version
	}
	record.Fields = limitFields(fields)
	record.Result = Result{Version: s.version}
	s.accepted.add(record)
	return record.Result
}

// extendChain returns the hash of all accepted commands after one more command with the given digest.
func extendChain(chain, digest uint64) uint64 {
	var pair [16]byte
	binary.LittleEndian.PutUint64(pair[:8], chain)
	binary.LittleEndian.PutUint64(pair[8:], digest)
	return xxhash.Sum64(pair[:])
}

func (s *State) refusedResult(r *Refusal) Result { return Result{Version: s.version, Err: r} }

// maxIDBytes limits the length of change IDs, operator names and VM names.
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

// resendResult returns the result of the first command with the same change ID, or a refusal if that was another
// command.
func (s *State) resendResult(first Record, digest uint64) Result {
	if first.Digest != digest {
		return s.refusedResult(refuse(CodeChangeIDReused, nil, "change id %q belongs to another change (%s)", first.ChangeID, first.Kind))
	}
	return first.Result
}

// run executes a command and returns the paths of the fields that it changed. A refused command changes nothing.
func (s *State) run(c *Command) ([]string, *Refusal) {
	if c.checksBaseVersion() {
		if refusal := s.checkBaseVersion(c.BaseVersion); refusal != nil {
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
	case c.BeginRollout != nil:
		return s.runBeginRollout(c)
	case c.DecideRollout != nil:
		return s.runDecideRollout(c)
	case c.AbortRollout != nil:
		return s.runAbortRollout(c)
	case c.AdmitVersions != nil:
		return s.runAdmitVersions(c.AdmitVersions)
	}
	return s.runAssignShards(c.AssignShards)
}

// checkBaseVersion refuses a command if an operator's command was accepted after its base version. Of several
// operators' commands with the same base version, only the first is therefore accepted.
func (s *State) checkBaseVersion(base uint64) *Refusal {
	if base > s.version {
		return refuse(CodeConflict, nil, "base version %d is ahead of version %d", base, s.version)
	}
	if base >= s.operatorVersion {
		return nil
	}
	fields := s.fieldsSince(base)
	return refuse(CodeConflict, fields, "version %d by %s came after base version %d; changed since: %s",
		s.operatorVersion, s.lastOperator(), base, summarizeFields(fields))
}

// fieldsSince returns the sorted paths of the fields that operators changed after a version, as far as the audit trail
// reaches back.
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

// DomainChangedSince reports whether an operator changed the status of a failure domain after a version. It returns true
// if the audit trail does not reach back to that version.
func (s *State) DomainChangedSince(domain string, version uint64) bool {
	for _, r := range slices.Backward(s.accepted.records) {
		if r.Result.Version <= version {
			return false
		}
		if (r.Kind == KindDomainOut || r.Kind == KindDomainIn) && slices.Contains(r.Fields, domainStatusField(domain)) {
			return true
		}
	}
	return s.version > version && (len(s.accepted.records) == 0 || s.accepted.records[0].Result.Version > version+1)
}

func (s *State) lastOperator() string {
	for _, r := range slices.Backward(s.accepted.records) {
		if r.Result.Version == s.operatorVersion {
			return r.Operator
		}
	}
	return "an earlier operator"
}

// summarizeFields returns the first fields and the number of the others, for a message.
func summarizeFields(fields []string) string {
	const shown = 5
	if len(fields) <= shown {
		return fmt.Sprint(fields)
	}
	return fmt.Sprintf("%v and %d more", fields[:shown], len(fields)-shown)
}
