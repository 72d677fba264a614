package outlier

import "time"

// Digest is the summary of one backend server that gates send to each other.
type Digest struct {
	// Server is unique in the fleet, for example "<VM>/<backend server>".
	Server string `json:"server"`
	// Count is the number of finished requests in the summary, and Failed the number of those that failed.
	Count  int `json:"count"`
	Failed int `json:"failed,omitempty"`
	// Hanging is the number of running requests that have taken far longer than the median.
	Hanging int `json:"hanging,omitempty"`
	// P50 and P90 are the 50% and 90% quantiles of the latencies of requests that did not fail and of the ages of long
	// running ones.
	P50 time.Duration `json:"p50"`
	P90 time.Duration `json:"p90"`
	// Warming marks a server that is still in its ramp, so that peers do not compare themselves with it.
	Warming bool `json:"warming,omitempty"`
}
