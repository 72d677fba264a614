package state

import "slices"

// maxDepartures limits the departures that are kept. The oldest are dropped first. They are needed only until the last
// announcement of a leaving instance has arrived, seconds after it was sent.
const maxDepartures = 4096

// Departure records that an instance of a backend server is leaving, so that a process that restarts does not use it again
// when one of its earlier announcements arrives late.
//
// It is not part of the version and the history of the State: deltas do not carry it, and a process of an earlier build,
// which refuses the command, has the same version and history. Only processes with the control role keep departures.
type Departure struct {
	// VM is the name of the VM of the backend server.
	VM string `json:"vm"`
	// Instance and StartedMs identify the start of the backend server. StartedMs is its Unix time in milliseconds; 0 where
	// it is not known.
	Instance  string `json:"instance"`
	StartedMs int64  `json:"startedMs,omitempty"`
	// Through is the number of the last announcement that is outdated.
	Through uint64 `json:"through"`
	// ID distinguishes departures of an instance whose start is not known; empty for the others.
	ID string `json:"id,omitempty"`
	// Before is the earliest start that a departure without a known start does not cover, as in StartedMs; 0 while none is
	// known.
	Before int64 `json:"before,omitempty"`
}

// sameDeparture reports whether two departures are of the same start of a backend server, or are copies of one without a known
// start.
func (d *Departure) sameDeparture(other *Departure) bool {
	return d.VM == other.VM && d.Instance == other.Instance && d.StartedMs == other.StartedMs && d.ID == other.ID
}

// recordDeparture keeps a departure. A copy of a departure only extends it, so that commands may be repeated or overtake one
// another.
func (s *State) recordDeparture(d Departure) Result {
	if d.VM == "" || len(d.VM) > maxIDBytes || d.Instance == "" || len(d.Instance) > maxIDBytes || len(d.ID) > maxIDBytes {
		return s.refusedResult(refuse(CodeInvalid, nil, "the VM and the instance must have 1 to %d bytes, and the ID at most as many", maxIDBytes))
	}
	if i := slices.IndexFunc(s.departures, func(other Departure) bool { return other.sameDeparture(&d) }); i >= 0 {
		d.Through = max(d.Through, s.departures[i].Through)
		d.Before = max(d.Before, s.departures[i].Before)
		s.departures = slices.Delete(s.departures, i, i+1)
	}
	s.departures = append(s.departures, d)
	if len(s.departures) > maxDepartures {
		s.departures = slices.Delete(s.departures, 0, 1)
	}
	return Result{Version: s.version}
}

// Departures returns the departures of the backend servers on a VM, the oldest first.
func (s *State) Departures(vm string) []Departure {
	var list []Departure
	for _, d := range s.departures {
		if d.VM == vm {
			list = append(list, d)
		}
	}
	return list
}
