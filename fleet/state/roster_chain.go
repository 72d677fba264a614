package state

import (
	"slices"
)

// maxRosterChanges limits the pending roster changes. It is reached only if that many changes were made without any of
// them coming into force.
const maxRosterChanges = 10_000

// RosterChange is one change of the set of names in the roster.
type RosterChange struct {
	// Version is the version that the change produced.
	Version uint64 `json:"version"`
	Name    string `json:"name"`
	// Joined is true if the process joined and false if it left.
	Joined bool `json:"joined,omitempty"`
}

// RosterInForce states that a version is in force, so that no process uses an earlier roster any more.
type RosterInForce struct {
	Version uint64 `json:"version"`
}

// RosterChain returns the rosters that processes may still use: the sorted names in the oldest one, and the changes
// that lead from it to the current one. A process that control cannot reach counts a majority of the roster that it
// has, so a version is in force only after a majority of each of these rosters confirmed it.
func (s *State) RosterChain() (base []string, changes []RosterChange) {
	names := make(map[string]bool, len(s.roster))
	for name := range s.roster {
		names[name] = true
	}
	for _, c := range slices.Backward(s.rosterChanges) {
		if c.Joined {
			delete(names, c.Name)
		} else {
			names[c.Name] = true
		}
	}
	return sortedNames(names), slices.Clone(s.rosterChanges)
}

func (s *State) addRosterChange(name string, joined bool) {
	s.rosterChanges = append(s.rosterChanges, RosterChange{Version: s.version + 1, Name: name, Joined: joined})
	if len(s.rosterChanges) > maxRosterChanges {
		s.rosterChanges = s.rosterChanges[1:]
	}
}

func (s *State) runRosterInForce(r *RosterInForce) ([]string, *Refusal) {
	if r.Version > s.version {
		return nil, refuse(CodeInvalid, nil, "version %d is ahead of version %d", r.Version, s.version)
	}
	rest := slices.DeleteFunc(slices.Clone(s.rosterChanges), func(c RosterChange) bool { return c.Version <= r.Version })
	if len(rest) == len(s.rosterChanges) {
		return nil, refuse(CodeUnchanged, nil, "no roster change up to version %d is pending", r.Version)
	}
	s.rosterChanges = rest
	return []string{"roster"}, nil
}
