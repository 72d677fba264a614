package state

import "slices"

func (s *State) runIssueKey(k *IssueKey) ([]string, *Refusal) {
	if _, ok := s.doc.Teams[k.Team]; !ok {
		return nil, refuse(CodeNotFound, nil, "no team %q", k.Team)
	}
	if _, ok := decodeSum(k.KeyHash); !ok {
		return nil, refuse(CodeInvalid, nil, "the key hash is not a SHA-256 sum of 64 lower-case hex digits")
	}
	if s.withdrawn.has(k.KeyHash) {
		return nil, refuse(CodeInvalid, nil, "the key was withdrawn")
	}
	if e, ok := s.keys.findHex(k.KeyHash); ok {
		return nil, refuse(CodeInvalid, nil, "team %q has this key already", e.team)
	}
	s.keys.add(k.KeyHash, k.Team, true)
	s.issued[k.Team] = append(s.issued[k.Team], IssuedKey{Hash: k.KeyHash, Version: s.version + 1})
	return []string{"keys." + k.Team}, nil
}

func (s *State) runWithdrawKey(k *WithdrawKey) ([]string, *Refusal) {
	e, ok := s.keys.findHex(k.KeyHash)
	if !ok {
		return nil, refuse(CodeNotFound, nil, "no team has a key with this hash")
	}
	s.keys.remove(k.KeyHash)
	if e.issued {
		s.removeIssuedKey(e.team, k.KeyHash)
	} else {
		s.removeListedKey(e.team, k.KeyHash)
	}
	return []string{"keys." + e.team}, nil
}

func (s *State) removeIssuedKey(team, hash string) {
	rest := slices.DeleteFunc(s.issued[team], func(k IssuedKey) bool { return k.Hash == hash })
	if len(rest) == 0 {
		delete(s.issued, team)
		return
	}
	s.issued[team] = rest
}

func (s *State) removeListedKey(team, hash string) {
	t := s.doc.Teams[team]
	var rest []string
	for _, h := range t.KeyHashes {
		if h != hash {
			rest = append(rest, h)
		}
	}
	t.KeyHashes = rest
	s.doc.Teams[team] = t
	s.withdrawn.add(hash)
}
