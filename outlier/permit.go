package outlier

import "time"

// Times of permits. A permit expires later at the arbiter than at its holder, so that the arbiter never underestimates
// the ejected capacity.
const (
	// PermitLifetime is the time from a request to the end of the granted permit at its holder.
	PermitLifetime = 5 * time.Second
	// PermitMargin is the additional time at the arbiter. It covers clocks that run at different speeds, and the time
	// from the end of a permit to the end of the ejection in the gate.
	PermitMargin = 500 * time.Millisecond
	// renewAfter is the age from which a holder renews a permit. The rest of PermitLifetime leaves room for lost
	// messages.
	renewAfter = 1500 * time.Millisecond
	// requestInterval is the minimum time between two requests of a holder for the same server.
	requestInterval = 500 * time.Millisecond
)

// PermitRequest asks for, renews or releases the permit to eject one backend server.
type PermitRequest struct {
	VM      string `json:"vm"`
	Service string `json:"service"`
	Server  string `json:"server"`
	// Slots is the capacity that the ejection removes.
	Slots int `json:"slots"`
	// Run identifies the run of the holder's process; a later run has a higher number.
	Run uint64 `json:"run"`
	// Number increases with each request of a run.
	Number uint64 `json:"number"`
	// Release gives the permit back; the holder has ended the ejection before.
	Release bool `json:"release,omitempty"`
}

// PermitReply is the reply to a PermitRequest. Replies to releases carry no information and may be lost.
type PermitReply struct {
	VM      string       `json:"vm"`
	Service string       `json:"service"`
	Server  string       `json:"server"`
	Run     uint64       `json:"run"`
	Number  uint64       `json:"number"`
	Granted bool         `json:"granted"`
	Reason  PermitReason `json:"reason"`
}

// PermitReason is the reason why a permit was granted or refused.
type PermitReason string

const (
	// ReasonGranted means that the remaining capacity is at or above the floor.
	ReasonGranted PermitReason = "granted"
	// ReasonFloor means that the remaining capacity would fall below the floor.
	ReasonFloor PermitReason = "floor"
	// ReasonStarting means that permits of a former arbiter may still be in use.
	ReasonStarting PermitReason = "starting"
	// ReasonUnknownVM means that the VM has announced no capacity to the arbiter.
	ReasonUnknownVM PermitReason = "unknown-vm"
	// ReasonOutdated means that the arbiter has already handled a later request.
	ReasonOutdated PermitReason = "outdated"
	// ReasonReleased is in the reply to a release.
	ReasonReleased PermitReason = "released"
)
