package idempotency

import "time"

// Reply is the kind of response that the gate sends to the caller.
type Reply uint8

// Values of Reply.
const (
	// NoReply means that no response is due yet.
	NoReply Reply = iota
	// ReplyNotRun rejects the request. No backend server has started it or will start it.
	ReplyNotRun
	// ReplyStored sends the stored response in Step.StoredResponse.
	ReplyStored
	// ReplyRunning rejects the request with status 409 because another submission of the key is running.
	ReplyRunning
	// ReplyMismatch rejects the request with status 422 because the key was used with another request.
	ReplyMismatch
	// ReplyUnknown reports that the outcome of the request is unknown.
	ReplyUnknown
	// ReplyBackend forwards the response of the backend server.
	ReplyBackend
)

// Step is what the gate does next. If several fields are set, the gate sends the reply first.
type Step struct {
	Reply Reply
	// StoredResponse is the stored response; set with ReplyStored.
	StoredResponse *StoredResponse
	// Run means that the gate sends the request to the backend server. It is set at most once per Attempt.
	Run bool
	// Propose is a command for the record group. The gate passes its result to Attempt.HandleResult, or its failure to
	// Attempt.HandleProposalFailure.
	Propose *Command
	// Finished means that the Attempt has nothing left to do and can be discarded.
	Finished bool
}

// RunOutcome is how the run of a request at the backend server ended.
type RunOutcome uint8

// Values of RunOutcome.
const (
	// RunNotStarted means that the backend server certainly did not start the request.
	RunNotStarted RunOutcome = iota + 1
	// RunCompleted means that the whole response arrived.
	RunCompleted
	// RunUnknown means that the request may have run, but no complete response arrived.
	RunUnknown
)

// phase is the state of an Attempt.
type phase uint8

const (
	phaseNew phase = iota
	phaseClaiming
	phaseRunning
	// phaseRecording proposes the final command until the record group has applied it.
	phaseRecording
	phaseFinished
)

const (
	// minRetryDelay is the delay before the first retry of a failed proposal. It doubles with each retry.
	minRetryDelay = 50 * time.Millisecond
	// maxRetryDelay limits the delay between retries while the record group is unavailable.
	maxRetryDelay = 5 * time.Second
)

// Attempt is the gate's state machine for one submission of a request with an idempotency key. The gate holds a slot
// from Start to the end of the run. Each method returns the next Step of the gate.
type Attempt struct {
	claim        Claim
	deadline     time.Duration
	claimerEnded func(Claimer) bool

	phase phase
	// finalCommand is the command that records how the Attempt ended.
	finalCommand *Command
	// pendingReply is the reply that waits until finalCommand is recorded, its proposal fails or the deadline passes.
	// ReplyNotRun waits, so that a retry through another process finds the key free.
	pendingReply Reply
	retryAt      time.Duration // time of the next retry of finalCommand
	retryDelay   time.Duration
	// inFlight is true while the result of a proposal is outstanding.
	inFlight bool
}

// NewAttempt returns an Attempt for one submission. A claim that is not granted by deadline is released. claimerEnded
// reports whether a claimer's incarnation is known to have ended; if it returns true by mistake, the only effect is
// ReplyUnknown instead of ReplyRunning. If claimerEnded is nil, no incarnation is known to have ended.
func NewAttempt(claim Claim, deadline time.Duration, claimerEnded func(Claimer) bool) *Attempt {
	return &Attempt{claim: claim, deadline: deadline, claimerEnded: claimerEnded}
}

// Start proposes the claim.
func (a *Attempt) Start(now time.Duration) Step {
	if a.phase != phaseNew {
		return Step{}
	}
	if now >= a.deadline {
		a.phase = phaseFinished
		return Step{Reply: ReplyNotRun, Finished: true}
	}
	a.phase = phaseClaiming
	a.retryDelay = minRetryDelay
	return a.propose(Command{Claim: &a.claim})
}

// HandleResult handles the result of the last proposal.
func (a *Attempt) HandleResult(now time.Duration, r Result) Step {
	switch a.phase {
	case phaseClaiming:
		a.inFlight = false
		return a.handleClaimResult(now, r)
	case phaseRecording:
		if r.Outcome != Recorded && r.Outcome != Ignored {
			return Step{} // late result of the claim
		}
		a.phase = phaseFinished
		return Step{Reply: a.takePendingReply(), Finished: true}
	default:
		return Step{}
	}
}

// takePendingReply returns the pending reply and clears it.
func (a *Attempt) takePendingReply() Reply {
	reply := a.pendingReply
	a.pendingReply = NoReply
	return reply
}

// handleClaimResult handles the result of the claim.
func (a *Attempt) handleClaimResult(now time.Duration, r Result) Step {
	switch r.Outcome {
	case Granted:
		if now >= a.deadline {
			return a.rejectNotRun()
		}
		a.phase = phaseRunning
		return Step{Run: true}
	case Completed:
		return a.finish(Step{Reply: ReplyStored, StoredResponse: r.StoredResponse})
	case Running:
		if r.Claimer != nil && a.claimerEnded != nil && a.claimerEnded(*r.Claimer) {
			return a.finish(Step{Reply: ReplyUnknown})
		}
		return a.finish(Step{Reply: ReplyRunning})
	case Lost:
		return a.finish(Step{Reply: ReplyUnknown})
	case Mismatch:
		return a.finish(Step{Reply: ReplyMismatch})
	default:
		return a.rejectNotRun()
	}
}

// HandleProposalFailure handles the last proposal's failure or unknown outcome. The request of a claim is rejected at
// once, and the release of the claim is proposed after a delay, because the claim may still be applied. A command that
// records the outcome of a run is proposed again after a delay.
func (a *Attempt) HandleProposalFailure(now time.Duration) Step {
	a.inFlight = false
	switch a.phase {
	case phaseClaiming:
		step := a.rejectNotRun()
		step.Propose = nil
		a.scheduleRetry(now)
		return step
	case phaseRecording:
		a.scheduleRetry(now)
		return Step{Reply: a.takePendingReply()}
	default:
		return Step{}
	}
}

// RunEnded handles the end of the run. response is stored if outcome is RunCompleted, without a body that is larger
// than MaxBodyBytes.
func (a *Attempt) RunEnded(_ time.Duration, outcome RunOutcome, response StoredResponse) Step {
	if a.phase != phaseRunning {
		return Step{}
	}
	a.phase = phaseRecording
	a.retryDelay = minRetryDelay
	switch outcome {
	case RunNotStarted:
		a.pendingReply = ReplyNotRun
		return a.proposeFinal(NoReply, Command{Release: &Release{Key: a.claim.Key, ClaimID: a.claim.ClaimID}})
	case RunCompleted:
		complete := &Complete{Key: a.claim.Key, ClaimID: a.claim.ClaimID, StoredResponse: response.withoutLargeBody()}
		return a.proposeFinal(ReplyBackend, Command{Complete: complete})
	default:
		return a.proposeFinal(ReplyUnknown, Command{Abandon: &Abandon{Key: a.claim.Key, ClaimID: a.claim.ClaimID}})
	}
}

// Cancel releases a claim that is not granted yet, for example when the caller closed the connection. It does not
// cancel a run.
func (a *Attempt) Cancel(time.Duration) Step {
	if a.phase != phaseClaiming {
		return Step{}
	}
	return a.rejectNotRun()
}

// Tick handles the deadline of a claim or of a pending reply, and retries a failed proposal when it is due.
func (a *Attempt) Tick(now time.Duration) Step {
	switch {
	case a.phase == phaseClaiming && now >= a.deadline:
		return a.rejectNotRun()
	case a.phase == phaseRecording && a.pendingReply != NoReply && now >= a.deadline:
		return Step{Reply: a.takePendingReply()}
	case a.phase == phaseRecording && !a.inFlight && now >= a.retryAt:
		return a.propose(*a.finalCommand)
	default:
		return Step{}
	}
}

// rejectNotRun rejects the request as not run and releases the claim, whose command may still be applied later.
func (a *Attempt) rejectNotRun() Step {
	a.phase = phaseRecording
	return a.proposeFinal(ReplyNotRun, Command{Release: &Release{Key: a.claim.Key, ClaimID: a.claim.ClaimID}})
}

// proposeFinal proposes the final command and returns the step with the reply.
func (a *Attempt) proposeFinal(reply Reply, command Command) Step {
	a.finalCommand = &command
	step := a.propose(command)
	step.Reply = reply
	return step
}

func (a *Attempt) finish(step Step) Step {
	a.phase = phaseFinished
	step.Finished = true
	return step
}

func (a *Attempt) propose(c Command) Step {
	a.inFlight = true
	return Step{Propose: &c}
}

func (a *Attempt) scheduleRetry(now time.Duration) {
	a.inFlight = false
	a.retryAt = now + a.retryDelay
	a.retryDelay = min(2*a.retryDelay, maxRetryDelay)
}

// withoutLargeBody returns the response, without its body if that is larger than MaxBodyBytes.
func (r StoredResponse) withoutLargeBody() StoredResponse {
	if len(r.Body) > MaxBodyBytes {
		r.Body = nil
		r.BodyOmitted = true
	}
	return r
}
