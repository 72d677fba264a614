package admission

import "time"

// Ticket identifies one offered request at one Gate. It is never reused; 0 is no ticket.
type Ticket uint64

// Request asks for a slot.
type Request struct {
	Team string
	// Depth is 0 for new work and the parent's depth + 1 for a nested call.
	Depth int
	// Weight is the team's share of turns and of a full queue relative to other teams; use the team's rate. All requests
	// of a team should have the same weight. 0 means 1.
	Weight float64
	// Priority ranks the request where work waits, the lowest first.
	Priority int
	// Deadline is the time after which the request must not start. 0 means no deadline but Config.MaxWait.
	Deadline time.Duration
	// Objective is the time up to which a start still leads to an answer of full use. Where work waits, requests past
	// theirs start after all others of their priority. 0 means none.
	Objective time.Duration
	// Work is the expected time from the start to the answer. A request that cannot be answered before its deadline is
	// refused, at its offer or as soon as it is certain. 0 means that nothing is expected.
	Work time.Duration
}

// Verdict is the answer to an offered request.
type Verdict uint8

// Verdicts of Offer.
const (
	// Admitted requests hold a slot until Done.
	Admitted Verdict = iota + 1
	// Queued requests get a Grant or a Refusal later.
	Queued
	// Refused requests did not run.
	Refused
)

// Reason tells why a request was refused. Its text is used in the Rosemaryline-Reason header.
type Reason string

// Reasons of refusals.
const (
	ReasonNone      Reason = ""
	ReasonQueueFull Reason = "queue-full"
	ReasonTeamShare Reason = "team-queue-share"
	ReasonDeadline  Reason = "deadline"
	ReasonMaxWait   Reason = "max-wait"
	// ReasonHopeless refuses a request that could not be answered before its deadline.
	ReasonHopeless Reason = "hopeless"
	ReasonNested   Reason = "nested-too-deep"
	ReasonDraining Reason = "draining"
	ReasonEjected  Reason = "ejected"
	ReasonLost     Reason = "lost"
	// ReasonDisplaced refuses a queued request in favour of a team that has fewer requests in the full queue.
	ReasonDisplaced Reason = "displaced"
)

// Decision answers Offer.
type Decision struct {
	Verdict Verdict
	Ticket  Ticket
	// Reason is set for refused requests.
	Reason Reason
	// Displaced holds queued requests that were refused to make room for this one.
	Displaced []Refusal
}

// Grant gives a slot to a queued request.
type Grant struct {
	Ticket Ticket
	// Wait is the time that the request spent in the queue.
	Wait time.Duration
}

// Refusal ends a queued request that did not run.
type Refusal struct {
	Ticket Ticket
	Reason Reason
}

// Result tells how an admitted request ended.
type Result uint8

// Results of admitted requests.
const (
	// Succeeded means that the backend server answered without a server error.
	Succeeded Result = iota + 1
	// Failed means a server error, a broken connection or a missed deadline.
	Failed
	// Overloaded means that the backend server shed the request.
	Overloaded
	// Cancelled says nothing about the backend server: the caller left or the request was not sent.
	Cancelled
)

// State tells whether the backend server takes work.
type State uint8

// States of a backend server.
const (
	Serving State = iota
	// Draining backend servers finish what runs and take nothing new.
	Draining
	// Ejected backend servers take nothing new; on return to Serving the ramp starts again.
	Ejected
	// Lost backend servers no longer announce themselves.
	Lost
)

// reason is the refusal that a state causes; none while serving.
func (s State) reason() Reason {
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

// Load describes a Gate for the Rosemaryline-Load header and for membership metadata.
type Load struct {
	InFlight int
	// Effective is the concurrency that the ramp allows.
	Effective int
	Queued    int
	Slots     int
	State     State
}
