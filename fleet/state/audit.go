package state

import "time"

const (
	// maxAcceptedRecords is how many accepted changes are kept for resends and for the audit trail.
	maxAcceptedRecords = 10_000
	// maxRefusedRecords is how many refused changes are kept. Refusals have their own bound, so that a flood of them
	// does not push accepted changes out.
	maxRefusedRecords = 1_000
)

// Record is an entry of the audit trail. It also holds the answer to a resend.
type Record struct {
	ChangeID string    `json:"changeId"`
	Operator string    `json:"operator"`
	Time     time.Time `json:"time,omitzero"`
	Kind     Kind      `json:"kind"`
	// Fields are what the command changed, at most 50.
	Fields []string `json:"fields,omitempty"`
	// Result is the answer to the command.
	Result Result `json:"result"`
	// Digest is a hash of the command without its time.
	Digest uint64 `json:"digest"`
}

// window keeps the last records by change id.
type window struct {
	limit   int
	records []Record
	byID    map[string]int // position in records plus dropped
	dropped int
}

func newWindow(limit int) *window {
	return &window{limit: limit, byID: map[string]int{}}
}

func (w *window) add(r Record) {
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

func (w *window) find(id string) (Record, bool) {
	i, ok := w.byID[id]
	if !ok {
		return Record{}, false
	}
	return w.records[i-w.dropped], true
}

// History returns up to limit records of the audit trail, newest first. Accepted changes come in order of version;
// refused ones stand at the version at which they were refused.
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
