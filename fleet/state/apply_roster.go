package state

import (
	"fmt"
	"net"
)

func (s *State) runJoin(p Process) ([]string, *Refusal) {
	if p.Name == "" || len(p.Name) > maxIDBytes {
		return nil, refuse(CodeInvalid, nil, "the VM name must have 1 to %d bytes", maxIDBytes)
	}
	if _, _, err := net.SplitHostPort(p.Address); err != nil {
		return nil, refuse(CodeInvalid, nil, "address %q is not host:port", p.Address)
	}
	if _, ok := s.doc.Domains[p.Domain]; !ok {
		return nil, refuse(CodeNotFound, nil, "no failure domain %q", p.Domain)
	}
	if s.roster[p.Name] == p {
		return nil, refuse(CodeUnchanged, nil, "process %s is in the roster", p.Name)
	}
	if _, known := s.roster[p.Name]; !known {
		s.addRosterChange(p.Name, true)
	}
	s.roster[p.Name] = p
	return []string{"roster." + p.Name}, nil
}

// runLeave removes a process from the roster and leaves its shards without an owner.
func (s *State) runLeave(name string) ([]string, *Refusal) {
	if _, ok := s.roster[name]; !ok {
		return nil, refuse(CodeUnchanged, nil, "process %q is not in the roster", name)
	}
	delete(s.roster, name)
	s.addRosterChange(name, false)
	for shard, owner := range s.shards {
		if owner == name {
			s.shards[shard] = ""
		}
	}
	return []string{"roster." + name}, nil
}

func (s *State) runAssignShards(a *AssignShards) ([]string, *Refusal) {
	changed := false
	for shard := range a.Owners {
		if shard < 0 || shard >= Shards {
			return nil, refuse(CodeInvalid, nil, "shard %d is not in 0 to %d", shard, Shards-1)
		}
	}
	var fields []string
	for shard := range Shards {
		owner, ok := a.Owners[shard]
		if !ok {
			continue
		}
		if _, known := s.roster[owner]; owner != "" && !known {
			return nil, refuse(CodeNotFound, nil, "no process %q in the roster", owner)
		}
		changed = changed || s.shards[shard] != owner
		fields = append(fields, fmt.Sprintf("shards.%d", shard))
	}
	if !changed {
		return nil, refuse(CodeUnchanged, nil, "the shards have these owners already")
	}
	for shard, owner := range a.Owners {
		s.shards[shard] = owner
	}
	return fields, nil
}
