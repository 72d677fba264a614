package idempotency

import "time"

// Reply tells the gate what to answer to the caller. The zero value means that no answer is due yet.
type Reply uint8

// Replies.
const (
	NoReply Reply = iota
	// ReplyNotRun refuses the request; no backend server began it and none will.
	ReplyNotRun
	// ReplyStored sends the stored answer in Step.Answer.
	ReplyStored
	// ReplyRunning is status 409: another submission of the key runs.
	ReplyRunning
	// ReplyMismatch is status 422: the key was used with another body.
	ReplyMismatch
	// ReplyUnknown reports an unknown outcome.
	ReplyUnknown
	// ReplyBackend passes on the backend server's own answer.
	ReplyBackend
)

// Step lists what the gate does next. Several fields may be set; the reply comes first.
type Step struct {
	Reply  Reply
	Answer *Answer
	// Run starts the request at the backend server. It is set at most once in the life of an Attempt.
	Run bool
	// Propose is a command for the record group. Its result goes to Recorded, its failure to Unreachable.
	Propose *Command
	// Finished means that nothing is left to do and the Attempt can be dropped.
	Finished bool
}

// Ended tells how the run at the backend server ended.
type Ended uint8

// Ends of a run.
const (
	// EndedNotRun means that it is certain that the backend server did not begin the request.
	EndedNotRun Ended = iota + 1
	// EndedAnswered means that the whole answer arrived.
	EndedAnswered
	// EndedUnknown means that the request may have run.
	EndedUnknown
)

// phase is the state of an Attempt.
type phase uint8

const (
	phaseNew phase = iota
	phaseClaiming
	phaseRunning
	// phaseRecording proposes how the run ended until the record group took it.
	phaseRecording
	phaseFinished
)

const (
	firstRetry = 50 * time.Millisecond
	// maxRetry bounds the pause between two proposals while the record group is away.
	maxRetry = 5 * time.Second
)

// Attempt is the gate's logic for one submission of a request with an idempotency key. The gate holds a slot from Start
// to the end of the run.
type Attempt struct {
	claim    Claim
	deadline time.Duration
	gone     func(Claimer) bool

	phase phase
	// final is the command that records how the attempt ended.
	final *Command
	// owed is the reply that waits for final. A "not run" waits, so that a retry elsewhere finds the key free.
	owed  Reply
	retry time.Duration
	pause time.Duration
	// inFlight is true while a proposal has no result.
	inFlight bool
}

// NewAttempt returns an Attempt for one submission. After deadline the claim is given up. gone reports whether a
// claimer's incarnation is known to have ended; a wrong true only turns a "still running" into "unknown".
func NewAttempt(claim Claim, deadline time.Duration, gone func(Claimer) bool) *Attempt {
	return &Attempt{claim: claim, deadline: deadline, gone: gone}
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
	a.pause = firstRetry
	return a.propose(Command{Claim: &a.claim})
}

// Recorded takes the result of the last proposal.
func (a *Attempt) Recorded(now time.Duration, r Result) Step {
	switch a.phase {
	case phaseClaiming:
		a.inFlight = false
		return a.claimed(now, r)
	case phaseRecording:
		if r.Outcome != Recorded && r.Outcome != Ignored {
			return Step{} // a late answer to the claim
		}
		a.phase = phaseFinished
		return Step{Reply: a.pay(), Finished: true}
	default:
		return Step{}
	}
}

// pay returns the reply that is still due.
func (a *Attempt) pay() Reply {
	reply := a.owed
	a.owed = NoReply
	return reply
}

// claimed acts on the answer to the claim.
func (a *Attempt) claimed(now time.Duration, r Result) Step {
	switch r.Outcome {
	case Granted:
		if now >= a.deadline {
			return a.giveUp()
		}
		a.phase = phaseRunning
		return Step{Run: true}
	case Completed:
		return a.finish(Step{Reply: ReplyStored, Answer: r.Answer})
	case Running:
		if r.Claimer != nil && a.gone != nil && a.gone(*r.Claimer) {
			return a.finish(Step{Reply: ReplyUnknown})
		}
		return a.finish(Step{Reply: ReplyRunning})
	case Lost:
		return a.finish(Step{Reply: ReplyUnknown})
	case Mismatch:
		return a.finish(Step{Reply: ReplyMismatch})
	default:
		return a.giveUp()
	}
}

// Unreachable reports that the last proposal failed or that its outcome is unknown. A claim is given up at once; how a
// run ended is proposed again later.
func (a *Attempt) Unreachable(now time.Duration) Step {
	a.inFlight = false
	switch a.phase {
	case phaseClaiming:
		step := a.giveUp()
		step.Propose = nil
		a.schedule(now)
		return step
	case phaseRecording:
		a.schedule(now)
		return Step{Reply: a.pay()}
	default:
		return Step{}
	}
}

// RunEnded reports the end of the run. answer is kept where how is EndedAnswered.
func (a *Attempt) RunEnded(_ time.Duration, how Ended, answer Answer) Step {
	if a.phase != phaseRunning {
		return Step{}
	}
	a.phase = phaseRecording
	a.pause = firstRetry
	switch how {
	case EndedNotRun:
		a.owed = ReplyNotRun
		return a.record(NoReply, Command{Release: &Release{Key: a.claim.Key, ClaimID: a.claim.ClaimID}})
	case EndedAnswered:
		complete := &Complete{Key: a.claim.Key, ClaimID: a.claim.ClaimID, Answer: answer.bounded()}
		return a.record(ReplyBackend, Command{Complete: complete})
	default:
		return a.record(ReplyUnknown, Command{Abandon: &Abandon{Key: a.claim.Key, ClaimID: a.claim.ClaimID}})
	}
}

// Cancel gives up a claim that was not granted yet, for example when the caller left. A run is not cancelled here.
func (a *Attempt) Cancel(time.Duration) Step {
	if a.phase != phaseClaiming {
		return Step{}
	}
	return a.giveUp()
}

// Tick gives up a claim at the deadline and proposes again what was not recorded.
func (a *Attempt) Tick(now time.Duration) Step {
	switch {
	case a.phase == phaseClaiming && now >= a.deadline:
		return a.giveUp()
	case a.phase == phaseRecording && a.owed != NoReply && now >= a.deadline:
		return Step{Reply: a.pay()}
	case a.phase == phaseRecording && !a.inFlight && now >= a.retry:
		return a.propose(*a.final)
	default:
		return Step{}
	}
}

// giveUp refuses the request as not run and releases the claim, whose command may still arrive.
func (a *Attempt) giveUp() Step {
	a.phase = phaseRecording
	return a.record(ReplyNotRun, Command{Release: &Release{Key: a.claim.Key, ClaimID: a.claim.ClaimID}})
}

func (a *Attempt) record(reply Reply, final Command) Step {
	a.final = &final
	step := a.propose(final)
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

func (a *Attempt) schedule(now time.Duration) {
	a.inFlight = false
	a.retry = now + a.pause
	a.pause = min(2*a.pause, maxRetry)
}

// bounded returns the answer without a body that is too large to keep.
func (a Answer) bounded() Answer {
	if len(a.Body) > MaxBody {
		a.Body = nil
		a.BodyOmitted = true
	}
	return a
}
