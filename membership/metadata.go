package membership

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// Metadata is what a process publishes about itself and about the services on its VM.
type Metadata struct {
	ConfigVersion uint64 `json:"configVersion"`
	Rows          []Row  `json:"rows,omitempty"`
}

// Row describes the backend servers of one service on one VM.
type Row struct {
	Service string `json:"service"`
	// Slots is the announced capacity: the sum of the slots of all backend servers that announced themselves.
	Slots int `json:"slots"`
	// Effective is the capacity, in slots, that is usable now: Slots reduced by ramp, drain and ejection.
	Effective float64 `json:"effective"`
	// State is the name of a routing.State.
	State    string  `json:"state"`
	InFlight float64 `json:"inFlight,omitempty"`
	Queued   float64 `json:"queued,omitempty"`
	// Digest is the latency digest for the outlier detectors of other gates, as encoded by the detector.
	Digest json.RawMessage `json:"digest,omitempty"`
	// Age is the time from the measurement of the row to its sending.
	Age time.Duration `json:"age,omitempty"`
}

// Encode returns the JSON encoding for Node.SetMeta. It fails only if Digest is not valid JSON or a number is not
// finite.
func (m Metadata) Encode() ([]byte, error) {
	data, err := json.Marshal(m)
	return data, errors.Wrap(err, "encode member metadata")
}

// DecodeMetadata decodes Member.Meta. Empty data is valid: the member has published nothing yet. It fails if data is
// not valid JSON.
func DecodeMetadata(data []byte) (Metadata, error) {
	var m Metadata
	if len(data) == 0 {
		return m, nil
	}
	err := json.Unmarshal(data, &m)
	return m, errors.Wrap(err, "decode member metadata")
}
