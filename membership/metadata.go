package membership

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// Metadata is what a process tells about itself and about the services on its VM.
type Metadata struct {
	ConfigVersion uint64 `json:"configVersion"`
	Rows          []Row  `json:"rows,omitempty"`
}

// Row describes the backend servers of one service on one VM.
type Row struct {
	Service string `json:"service"`
	// Slots is the announced capacity: the sum of the slots of all announced backend servers.
	Slots int `json:"slots"`
	// Effective is the capacity in use now, after ramp, drain and ejection.
	Effective float64 `json:"effective"`
	// State is the text of a routing.State.
	State    string  `json:"state"`
	InFlight float64 `json:"inFlight,omitempty"`
	Queued   float64 `json:"queued,omitempty"`
	// Digest is the latency digest for the detectors of other gates, in their own encoding.
	Digest json.RawMessage `json:"digest,omitempty"`
	// Age is the time between measuring and sending the row.
	Age time.Duration `json:"age,omitempty"`
}

// Encode returns the form that Node.SetMeta takes.
func (m Metadata) Encode() ([]byte, error) {
	data, err := json.Marshal(m)
	return data, errors.Wrap(err, "encode member metadata")
}

// DecodeMetadata reads Member.Meta. Empty metadata is valid: the member announced nothing yet.
func DecodeMetadata(data []byte) (Metadata, error) {
	var m Metadata
	if len(data) == 0 {
		return m, nil
	}
	err := json.Unmarshal(data, &m)
	return m, errors.Wrap(err, "decode member metadata")
}
