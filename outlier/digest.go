package outlier

import "time"

// Digest is the summary of one backend server that gates send each other.
type Digest struct {
	// Server is unique in the fleet, for example "<VM>/<backend server>".
	Server string `json:"server"`
	// Count is the number of finished requests in the summary, and Failed those that failed.
	Count  int `json:"count"`
	Failed int `json:"failed,omitempty"`
	// Hanging is the number of running requests that take far longer than usual.
	Hanging int `json:"hanging,omitempty"`
	// P50 and P90 are quantiles of the time of requests that did not fail.
	P50 time.Duration `json:"p50"`
	P90 time.Duration `json:"p90"`
	// Warming tells that the server is in its ramp, so that peers don't measure themselves by it.
	Warming bool `json:"warming,omitempty"`
}
