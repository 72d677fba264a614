package state

import (
	"crypto/sha256"
	"encoding/hex"
)

// HashSource returns the lower-case hex SHA-256 sum of a compressed source, as Replace.SourceHash needs it.
func HashSource(source []byte) string {
	sum := sha256.Sum256(source)
	return hex.EncodeToString(sum[:])
}

// runReplace replaces the whole document. A document with equal content still gets the new label.
func (s *State) runReplace(r *Replace) ([]string, *Refusal) {
	if r.BaseLabel != s.label {
		return nil, refuse(CodeConflict, nil, "document %d is in force, not %d", s.label, r.BaseLabel)
	}
	if r.Label <= s.label {
		return nil, refuse(CodeInvalid, nil, "label %d is not above %d", r.Label, s.label)
	}
	if r.Source != nil && HashSource(r.Source) != r.SourceHash {
		return nil, refuse(CodeInvalid, nil, "the source does not match its hash")
	}
	fields := s.doc.ChangedFields(r.Change)
	if len(fields) > 0 {
		if refusal := s.patch(r.Change); refusal != nil {
			return nil, refusal
		}
	}
	s.label = r.Label
	s.source = r.Source
	return append(fields, "label"), nil
}
