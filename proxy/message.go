package proxy

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Request is a request that an entry accepted, as entries and gates pass it on.
type Request struct {
	// ID is unique among the requests that all entries accept.
	ID string
	// Entry is the VM of the entry that accepted the request.
	Entry   string
	Service string
	Team    string
	Route   string
	// Depth is 0 for a request that no running request caused, and the parent's depth + 1 for a nested call.
	Depth int
	// CallerService is the service of the backend server on the entry's VM; empty where there is none.
	CallerService string
	// Priority orders requests that wait in a queue. Lower values are admitted first.
	Priority int
	// MaxAttempts limits the number of backend servers that the request is sent to. 0 means that only the retry policy
	// limits them.
	MaxAttempts int
	// BackendCall is true for a request on a public route, which needs no key. Backend servers send such requests while
	// they process another one.
	BackendCall bool
	// trials is the number of tripped circuit breakers that the request tested. It is not sent to other VMs.
	trials int
	// side is the side of a running rollout that the entry drew for the request. It is not sent to other VMs.
	side versionSide
	// sideChanged is true after a gate refused the version of the side that was drawn.
	sideChanged bool
	// MayFail is true while the request can still be sent to another backend server after a failure. A gate prefers
	// such requests as trials of a backend server whose circuit breaker has tripped.
	MayFail bool
	// Forced is true where the entry found no other VM. The gate then sends the request even if the circuit breaker of
	// the backend server has tripped.
	Forced bool
	// Repeat states whether the request reached a backend server before, in an earlier attempt.
	Repeat Repeat
	// Pressed is true where the entry knows no other VM with a free slot. The gate may then use a request that may not be
	// repeated as a trial of a backend server whose circuit breaker has tripped.
	Pressed bool
	// NoWait is true where the entry expects a free slot on another VM if this one has none. The gate then refuses the request
	// with the reason "full" instead of letting it wait. A gate of an earlier build lets it wait.
	NoWait bool
	// LastResort is true where the entry knows no VM that serves the service, and tries the own one. A gate that is leaving
	// serves such requests, because the own entry accepted them before or during the stop. It is not sent to other VMs.
	LastResort bool
	// ConfigVersion is the version of the fleet state that the entry used.
	ConfigVersion uint64
	// Repeatable is true where the request may run more than once.
	Repeatable bool
	// IdempotencyKey is the value of the caller's Idempotency-Key header; empty where the caller sent none.
	IdempotencyKey string
	// Objective is the time by which a response is fully useful to the caller; zero where there is none.
	Objective time.Time
	// Deadline is the time by which the headers of the response must have arrived.
	Deadline time.Time
	// BodyDeadline is the time by which the body of the response must have ended; zero where the caller does not say how
	// long it waits. It is not sent to the gates of other VMs; the entry closes its connection to them instead.
	BodyDeadline time.Time

	Method string
	// URI is the request target as the caller sent it.
	URI    string
	Host   string
	Header http.Header
	Body   *Body
}

// releaseBody returns the bytes that the body holds of the budget of the process.
func (r *Request) releaseBody() {
	if r != nil {
		r.Body.release()
	}
}

// Response is the response of a backend server. Closing Body frees the slot.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// ContentLength is -1 where the length is not known in advance.
	ContentLength int64
	// Server is the name of the backend server that responded.
	Server string
	Timing Timing
	Load   Load
	// Work is nil where it is not known.
	Work *Work
}

// Timing is the time that a request spent on the gate's VM.
type Timing struct {
	// Queue is the time spent waiting for a slot.
	Queue time.Duration
	// Backend is the time from sending the request to receiving the headers of the response.
	Backend time.Duration
}

// Load is the load of one service at a gate.
type Load struct {
	InFlight int
	// Slots is the effective concurrency. It is lower than the configured slots while a backend server is cold.
	Slots  int
	Queued int
}

// Runner runs a request on one VM. It reads the body, or the first part of a long body, before it sends the request to
// a backend server: an entry whose body was never requested concludes that the request did not run. Errors are of type
// *Refusal.
type Runner interface {
	Run(ctx context.Context, req *Request) (*Response, error)
}

// Outcome states, for a request without a response from a backend server, whether the request ran.
type Outcome string

const (
	// OutcomeNotRun means that no backend server started the request.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that a backend server may have started the request.
	OutcomeUnknown Outcome = "unknown"
)

// Reason classifies a refusal.
type Reason string

// Reasons for refusals.
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
	// ReasonMemory means that the process holds too many bytes of other bodies.
	ReasonMemory Reason = "memory"
	// ReasonBodyStalled means that the sender of the body sent nothing for too long.
	ReasonBodyStalled Reason = "body-stalled"
)

// Refusal is a response that a process of the fleet generates itself, instead of one from a backend server.
type Refusal struct {
	Status  int
	Outcome Outcome
	Reason  Reason
	// Step is the processing step that refused the request. Peer is the backend server or the address of the gate;
	// empty where none was involved.
	Step string
	Peer string
	// RetryAfter is the delay that the caller is asked to wait for; 0 where no delay is given.
	RetryAfter time.Duration
	// TrialIn is the time after which the gate admits a request that may not be repeated as a trial; only with a reason of the
	// circuit breaker.
	TrialIn time.Duration
	// Reported is true if the response with the refusal held a report of its gate, which says more of the circuit breaker.
	Reported bool
	// Load is the load at the gate that refused the request; nil where no gate was involved.
	Load *Load
	// Work is nil where it is not known.
	Work *Work
	// Reached is true where the request reached a backend server, even if the backend server refused it.
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

func notRunRefusal(status int, reason Reason, step string) *Refusal {
	return &Refusal{Status: status, Outcome: OutcomeNotRun, Reason: reason, Step: step}
}

func unknownRefusal(status int, reason Reason, step string) *Refusal {
	return &Refusal{Status: status, Outcome: OutcomeUnknown, Reason: reason, Step: step, Reached: true}
}
