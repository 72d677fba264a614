package admission

import "time"

// Ticket identifies an offered request at one Gate. A Gate never reuses a ticket; 0 is no ticket.
type Ticket uint64

// Request describes a request that asks for a slot.
type Request struct {
	Team string
	// Depth is the nesting depth of the request: 0 for a request that no other request caused, and the parent's depth
	// + 1 for a nested call.
	Depth int
	// Weight sets the team's share of the starts from the queue, and of the places in a full queue, relative to other
	// teams. The caller passes the team's rate in requests per second. All requests of a team should have the same
	// weight. 0 means 1.
	Weight float64
	// Priority is the rank of the request in the queue; lower values start first. RequestPriority and
	// BackendCallPriority return it.
	Priority int
	// NoWait is true for a request that is refused with ReasonFull instead of being queued.
	NoWait bool
	// Deadline is the time at which the request may no longer start. 0 means that only Config.MaxWait limits its time
	// in the queue.
	Deadline time.Duration
	// Objective is the latest start time whose response still meets the latency objective. A queued request that has
	// passed its objective is late: it starts after all requests of the same priority that are not. 0 means no
	// objective.
	Objective time.Duration
	// ExpectedDuration is the expected time from the start of the request to its response. A request that cannot
	// finish before its deadline is refused, either by Offer or as soon as this is certain. 0 means unknown.
	ExpectedDuration time.Duration
	// ExpectedCost is the usual time from the start of such a request to its response. The adaptive limit measures the
	// time of the request against it. Unlike ExpectedDuration it refuses nothing. 0 means unknown.
	ExpectedCost time.Duration
	// Bytes is the length of the body of the request. It counts against Config.HeldBytes.
	Bytes int64
}

// Verdict is the outcome of Offer.
type Verdict uint8

// Verdicts of Offer.
const (
	// Admitted requests hold a slot until Done or Cancel.
	Admitted Verdict = iota + 1
	// Queued requests get a Grant or a Refusal later.
	Queued
	// Refused requests did not run.
	Refused
)

// Reason is the cause of a refusal. Its text is the value of the Rosemaryline-Reason header.
type Reason string

// Reasons of refusals.
const (
	ReasonNone      Reason = ""
	ReasonQueueFull Reason = "queue-full"
	ReasonTeamShare Reason = "team-queue-share"
	ReasonDeadline  Reason = "deadline"
	ReasonMaxWait   Reason = "max-wait"
	// ReasonHopeless means that the request could not have finished before its deadline.
	ReasonHopeless Reason = "hopeless"
	ReasonNested   Reason = "nested-too-deep"
	ReasonDraining Reason = "draining"
	ReasonEjected  Reason = "ejected"
	ReasonLost     Reason = "lost"
	// ReasonFull means that no slot was free for a request that does not wait.
	ReasonFull Reason = "full"
	// ReasonTooLarge means that the body alone exceeds Config.HeldBytes.
	ReasonTooLarge Reason = "body-too-large"
	// ReasonDisplaced means that a queued request gave its place in the full queue to a more urgent one, or to one of
	// a team with fewer queued requests for its weight.
	ReasonDisplaced Reason = "displaced"
)

// Decision is the result of Offer.
type Decision struct {
	Verdict Verdict
	Ticket  Ticket
	// Reason is set when Verdict is Refused.
	Reason Reason
	// Displaced lists the queued requests that were refused to make room for this one.
	Displaced []Refusal
}

// Grant gives a slot to a queued request.
type Grant struct {
	Ticket Ticket
	// Wait is the time that the request spent in the queue.
	Wait time.Duration
}

// Refusal ends a queued request without running it.
type Refusal struct {
	Ticket Ticket
	Reason Reason
}

// Result is how an admitted request ended.
type Result uint8

// Results of admitted requests.
const (
	// Succeeded means that the backend server responded without a server error.
	Succeeded Result = iota + 1
	// Failed means a server error, a broken connection or a missed deadline.
	Failed
	// Overloaded means that the backend server shed the request.
	Overloaded
	// Cancelled means that the request says nothing about the backend server: the caller disconnected or the request
	// was not sent.
	Cancelled
)

// State is whether the backend server accepts requests.
type State uint8

// States of a backend server.
const (
	Serving State = iota
	// Draining backend servers finish their running requests and accept no new ones.
	Draining
	// Ejected backend servers accept no new requests. The ramp restarts when they return to Serving.
	Ejected
	// Lost backend servers have stopped announcing themselves and accept no new requests. The ramp restarts when they
	// return to Serving.
	Lost
)

// refusalReason returns the reason for refusing requests in state s; ReasonNone while serving.
func (s State) refusalReason() Reason {
	switch s {
	case Draining:
		return ReasonDraining
	case Ejected:
		return ReasonEjected
	case Lost:
		return ReasonLost
	default:
		return ReasonNone
	}
}

// Load is the current load of a Gate, for the Rosemaryline-Load header and the membership metadata.
type Load struct {
	// InFlight is the number of admitted requests that have not ended.
	InFlight int
	// Effective is the number of requests that may currently be in flight.
	Effective int
	Queued    int
	Slots     int
	State     State
}
