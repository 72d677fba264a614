package state

import "time"

const (
	// maxAcceptedRecords is the number of accepted changes that are kept for resends and for the audit trail.
	maxAcceptedRecords = 10_000
	// maxRefusedRecords is the number of refused changes that are kept. Refusals have a limit of their own, so that
	// many of them do not displace accepted changes.
	maxRefusedRecords = 1_000
)

// Record is an entry of the audit trail. A resend of the command gets the result in it.
type Record struct {
	ChangeID string    `json:"changeId"`
	Operator string    `json:"operator"`
	Time     time.Time `json:"time,omitzero"`
	Kind     Kind      `json:"kind"`
	// Fields are the paths of the fields that the command changed, at most 50.
	Fields []string `json:"fields,omitempty"`
	// Result is the result of the command.
	Result Result `json:"result"`
	// Digest is a hash of the command: equal for a resend, different for another command with the same change ID.
	Digest uint64 `json:"digest"`
}

// recordWindow keeps the latest records, up to limit, and finds them by change ID.
type recordWindow struct {
	limit   int
	records []Record
	byID    map[string]int // index in records plus dropped
	dropped int            // number of records removed from the front
}

func newRecordWindow(limit int) *recordWindow {
	return &recordWindow{limit: limit, byID: map[string]int{}}
}

func (w *recordWindow) add(r Record) {
	w.byID[r.ChangeID] = len(w.records) + w.dropped
	w.records = append(w.records, r)
	if len(w.records) <= w.limit {
		return
	}
	delete(w.byID, w.records[0].ChangeID)
	w.records[0] = Record{}
	w.records = w.records[1:]
	w.dropped++
}

func (w *recordWindow) find(id string) (Record, bool) {
	i, ok := w.byID[id]
	if !ok {
		return Record{}, false
	}
	return w.records[i-w.dropped], true
}

// History returns up to limit records of the audit trail, newest first. The order is that of the versions: the version
// that an accepted change made, and the version at which a refused change was refused.
func (s *State) History(limit int) []Record {
	accepted, refused := s.accepted.records, s.refused.records
	var out []Record
	for len(out) < limit && len(accepted)+len(refused) > 0 {
		a, r := len(accepted)-1, len(refused)-1
		if a < 0 || r >= 0 && refused[r].Result.Version >= accepted[a].Result.Version {
			out = append(out, refused[r])
			refused = refused[:r]
			continue
		}
		out = append(out, accepted[a])
		accepted = accepted[:a]
	}
	return out
}
