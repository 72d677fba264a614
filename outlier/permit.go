package outlier

import "time"

// Permit times. The arbiter counts a permit longer than its holder does, so that the arbiter's count of ejected
// capacity is never below the true one.
const (
	// PermitLifetime is the time from the request to the end of a permit at its holder.
	PermitLifetime = 5 * time.Second
	// PermitMargin covers clocks that run at different speeds, and the time from the end of a permit to the end of the
	// ejection in the gate.
	PermitMargin = 500 * time.Millisecond
	// renewAfter is the age from which a holder renews a permit; it leaves room for lost messages.
	renewAfter = 1500 * time.Millisecond
	// askInterval is the time between two requests of a holder for the same server.
	askInterval = 500 * time.Millisecond
)

// PermitRequest asks for, renews or releases the permit to eject one backend server.
type PermitRequest struct {
	VM      string `json:"vm"`
	Service string `json:"service"`
	Server  string `json:"server"`
	// Slots is the capacity that the ejection takes out.
	Slots int `json:"slots"`
	// Run tells apart the runs of the holder's process; a later run has a higher number.
	Run uint64 `json:"run"`
	// Number grows with each request of a run.
	Number uint64 `json:"number"`
	// Release gives the permit back; the holder has ended the ejection before.
	Release bool `json:"release,omitempty"`
}

// PermitReply answers a request. Replies to releases carry no information and may be dropped.
type PermitReply struct {
	VM      string       `json:"vm"`
	Service string       `json:"service"`
	Server  string       `json:"server"`
	Run     uint64       `json:"run"`
	Number  uint64       `json:"number"`
	Granted bool         `json:"granted"`
	Reason  PermitReason `json:"reason"`
}

// PermitReason tells why a permit was granted or refused.
type PermitReason string

const (
	// ReasonGranted means that the rest stays at or above the floor.
	ReasonGranted PermitReason = "granted"
	// ReasonFloor means that the rest would fall below the floor.
	ReasonFloor PermitReason = "floor"
	// ReasonStarting means that permits of a former arbiter may still be in use.
	ReasonStarting PermitReason = "starting"
	// ReasonUnknownVM means that the arbiter knows no capacity of the VM.
	ReasonUnknownVM PermitReason = "unknown-vm"
	// ReasonOutdated means that the request was overtaken by a later one.
	ReasonOutdated PermitReason = "outdated"
	// ReasonReleased answers a release.
	ReasonReleased PermitReason = "released"
)
