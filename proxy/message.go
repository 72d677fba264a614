package proxy

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Request is one request on its way to a backend server.
type Request struct {
	// ID is unique for each request that an entry accepts.
	ID string
	// Entry is the VM of the entry that accepted the request.
	Entry   string
	Service string
	Team    string
	Route   string
	// Depth is 0 for new work and the parent's depth + 1 for a nested call.
	Depth int
	// CallerService is the service of the backend server on whose VM the request began; empty where there is none.
	CallerService string
	// Priority ranks the request where work waits, the lowest first; see admission.RequestPriority.
	Priority int
	// MaxAttempts bounds the backend servers that the request is sent to; 0 is no bound but that of the policy.
	MaxAttempts int
	// Call is true for a request without a key, as backend servers make them while they run another one.
	Call bool
	// MayFail is true while the request could still be sent to another backend server after a failure.
	MayFail bool
	// Forced requests found no other VM: the gate sends them also to a doubtful backend server.
	Forced bool
	// ConfigVersion is the fleet state version that the entry used.
	ConfigVersion uint64
	// Repeatable is true where the request may run more than once.
	Repeatable bool
	// IdempotencyKey is the caller's name for the request; empty where it gave none.
	IdempotencyKey string
	// Objective is the time by which an answer is of full use; zero where there is none.
	Objective time.Time
	// Deadline is the time by which the answer's headers must have arrived.
	Deadline time.Time

	Method string
	// URI is the request target as the caller sent it.
	URI    string
	Host   string
	Header http.Header
	Body   *Body
}

// Response is a backend server's answer. Body must be closed; this frees the slot.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// ContentLength is -1 where the length is not known in advance.
	ContentLength int64
	// Server names the backend server that answered.
	Server string
	Timing Timing
	Load   Load
}

// Timing tells where a request spent its time on the gate's side.
type Timing struct {
	// Queue is the wait for a slot.
	Queue time.Duration
	// Backend is the time from sending the request to the answer's headers.
	Backend time.Duration
}

// Load is a gate's load for one service.
type Load struct {
	InFlight int
	// Slots is the effective concurrency, which a cold backend server keeps below its slots.
	Slots  int
	Queued int
}

// Runner runs a request on one VM. It reads the body, or the beginning of a long one, before a backend server gets the
// request: an entry that was not asked for the body takes the request for not run. Errors are of type *Refusal.
type Runner interface {
	Run(ctx context.Context, req *Request) (*Response, error)
}

// Outcome tells a caller whether a request that was not answered by a backend server ran.
type Outcome string

const (
	// OutcomeNotRun means that certainly no backend server began the request.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that a backend server may have begun the request.
	OutcomeUnknown Outcome = "unknown"
)

// Reason classifies a refusal.
type Reason string

// Reasons of refusals.
const (
	ReasonNoRoute       Reason = "no-route"
	ReasonBadKey        Reason = "bad-key"
	ReasonForbidden     Reason = "forbidden"
	ReasonOverRate      Reason = "over-rate"
	ReasonNoCapacity    Reason = "no-capacity"
	ReasonQueueFull     Reason = "queue-full"
	ReasonDeadline      Reason = "deadline"
	ReasonLeaving       Reason = "leaving"
	ReasonDraining      Reason = "draining"
	ReasonDomainOut     Reason = "failure-domain-out"
	ReasonEjected       Reason = "ejected"
	ReasonIsolated      Reason = "isolated"
	ReasonNoState       Reason = "no-state"
	ReasonNoRecords     Reason = "no-record-group"
	ReasonRunning       Reason = "still-running"
	ReasonLost          Reason = "outcome-lost"
	ReasonKeyReused     Reason = "idempotency-key-reused"
	ReasonBodyTooLarge  Reason = "body-too-large"
	ReasonBadRequest    Reason = "bad-request"
	ReasonUnreachable   Reason = "unreachable"
	ReasonBrokenAnswer  Reason = "broken-answer"
	ReasonWrongAnswer   Reason = "wrong-answer"
	ReasonRetryBudget   Reason = "retry-budget"
	ReasonCallerGone    Reason = "caller-gone"
	ReasonAnswerNotKept Reason = "answer-not-kept"
	ReasonShed          Reason = "shed"
	ReasonOtherInstance Reason = "other-instance"
	ReasonSuspect       Reason = "suspect"
	ReasonFaulty        Reason = "faulty"
	ReasonFailed        Reason = "failed"
	ReasonPathSilent    Reason = "path-silent"
)

// Refusal is an answer that a process of the fleet writes itself.
type Refusal struct {
	Status  int
	Outcome Outcome
	Reason  Reason
	// Step and Peer tell where the refusal arose.
	Step string
	Peer string
	// RetryAfter is 0 where the caller gets no advice.
	RetryAfter time.Duration
	// Load is set by a gate.
	Load *Load
	// Reached is true where the request arrived at a backend server, also where that refused it.
	Reached bool
	Err     error
}

func (r *Refusal) Error() string {
	text := fmt.Sprintf("%s: %s (%s)", r.Step, r.Reason, r.Outcome)
	if r.Peer != "" {
		text += " at " + r.Peer
	}
	if r.Err != nil {
		text += ": " + r.Err.Error()
	}
	return text
}

// Unwrap returns the cause.
func (r *Refusal) Unwrap() error { return r.Err }

func notRun(status int, reason Reason, step string) *Refusal {
	return &Refusal{Status: status, Outcome: OutcomeNotRun, Reason: reason, Step: step}
}

func unknown(status int, reason Reason, step string) *Refusal {
	return &Refusal{Status: status, Outcome: OutcomeUnknown, Reason: reason, Step: step, Reached: true}
}
