package state

import (
	"slices"

	"rosemaryline.dev/fleet/config"
)

func (s *State) runApply(a *ApplyChange) ([]string, *Refusal) {
	if hash := a.Change.Hash(); hash != a.ContentHash {
		return nil, refuse(CodeInvalid, nil, "content hash %q does not match the change, which has %q", a.ContentHash, hash)
	}
	fields, refusal := s.checkApply(a.Change)
	if refusal != nil {
		return nil, refusal
	}
	if refusal := s.patch(a.Change); refusal != nil {
		return nil, refusal
	}
	// The document now differs from the source that an operator sent.
	s.source = nil
	return fields, nil
}

// patch applies a change to the document and updates what depends on it. It refuses the change, and changes nothing, if
// the resulting document is not valid.
func (s *State) patch(c config.Change) *Refusal {
	listed := s.listedKeys(c.Teams)
	if errs := s.doc.PatchChecked(c, s.listedKeyOwner); len(errs) > 0 {
		return refuseFields(errs)
	}
	s.updateKeyIndex(c.Teams, listed)
	if !c.Routes.IsZero() {
		s.routesVersion = s.version + 1
	}
	for _, domain := range c.Domains.Remove {
		delete(s.domainsOut, domain)
	}
	s.dropRollouts(c.Services.Remove, s.version+1)
	return nil
}

// CheckApply returns the paths of the fields that a change would alter, or the refusal that it would get now. It
// changes nothing.
func (s *State) CheckApply(c config.Change) ([]string, *Refusal) {
	fields, refusal := s.checkApply(c)
	if refusal != nil {
		return nil, refusal
	}
	if _, err := s.doc.Apply(c); err != nil {
		return nil, refuse(CodeInvalid, nil, "%s", err)
	}
	return fields, nil
}

// checkApply checks a change against the issued and withdrawn keys and the roster, which are not part of the document.
func (s *State) checkApply(c config.Change) ([]string, *Refusal) {
	if refusal := s.checkListedKeys(c.Teams); refusal != nil {
		return nil, refusal
	}
	if refusal := s.checkRosterDomains(c.Domains.Remove); refusal != nil {
		return nil, refusal
	}
	fields := s.doc.ChangedFields(c)
	if len(fields) == 0 {
		return nil, refuse(CodeUnchanged, nil, "the document has this content already")
	}
	return fields, nil
}

// checkListedKeys refuses documents that list a key that was withdrawn or that was issued by command.
func (s *State) checkListedKeys(teams config.Entries[config.Team]) *Refusal {
	for _, team := range sortedNames(teams.Set) {
		for _, hash := range teams.Set[team].KeyHashes {
			field := []string{"teams." + team + ".keyHashes"}
			if s.withdrawn.has(hash) {
				return refuse(CodeInvalid, field, "%s: key %s was withdrawn; remove it from the file", field[0], hash)
			}
			if e, ok := s.keys.findHex(hash); ok && e.issued {
				return refuse(CodeInvalid, field, "%s: key %s was issued to team %s; remove it from the file", field[0], hash, e.team)
			}
		}
	}
	return nil
}

// checkRosterDomains refuses to remove a failure domain that has processes in the roster.
func (s *State) checkRosterDomains(removed []string) *Refusal {
	if len(removed) == 0 {
		return nil
	}
	for _, p := range s.Roster() {
		if slices.Contains(removed, p.Domain) {
			return refuse(CodeInvalid, []string{"domains." + p.Domain}, "process %s is in failure domain %s", p.Name, p.Domain)
		}
	}
	return nil
}

func (s *State) listedKeyOwner(hash string) (string, bool) {
	e, ok := s.keys.findHex(hash)
	return e.team, ok && !e.issued
}

// listedKeys returns the key hashes that the document lists for the teams that a change sets or removes.
func (s *State) listedKeys(teams config.Entries[config.Team]) []string {
	var hashes []string
	for name := range teams.Set {
		hashes = append(hashes, s.doc.Teams[name].KeyHashes...)
	}
	for _, name := range teams.Remove {
		hashes = append(hashes, s.doc.Teams[name].KeyHashes...)
	}
	return hashes
}

// updateKeyIndex brings the key index up to date after a change of teams. previous are the key hashes that the document
// listed for these teams before the change. The issued keys of removed teams are removed too.
func (s *State) updateKeyIndex(teams config.Entries[config.Team], previous []string) {
	for _, hash := range previous {
		s.keys.remove(hash)
	}
	for _, name := range teams.Remove {
		for _, key := range s.issued[name] {
			s.keys.remove(key.Hash)
		}
		delete(s.issued, name)
	}
	for name, team := range teams.Set {
		for _, hash := range team.KeyHashes {
			s.keys.add(hash, name, false)
		}
	}
}

func sortedNames[T any](m map[string]T) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
