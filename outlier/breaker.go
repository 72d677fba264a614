package outlier

import (
	"math"
	"time"
)

// Settings of Breaker.
const (
	// healthyFailureRatio is the assumed failure ratio of a healthy backend server, which still responds to some
	// requests with errors.
	healthyFailureRatio = 0.02
	// grayFailureRatio is the assumed failure ratio of a backend server with a gray failure.
	grayFailureRatio = 0.7
	// suspectScore is the score from which a backend server is Suspect. One failure reaches it, because the next
	// failure would be a second lost request.
	suspectScore = 3
	// openScore is the score from which the breaker is open. Two failures without a success between them reach it.
	openScore = 6
	// maxScore limits the score, so that three successes suffice after a long fault to fall below suspectScore. A
	// backend server that fails 7 in 10 requests achieves three successes in a row once in 37 times.
	maxScore = 6.5
	// firstTrialWait is the minimum time from the last trial to the next one after a breaker has opened. It doubles
	// with each failed trial, up to maxTrialWait, so that a long fault uses little of the retry budget.
	firstTrialWait = 250 * time.Millisecond
	maxTrialWait   = time.Second
	// nonRetryableTrialAfter is the time without any result after which one request that cannot be retried is sent as a
	// trial, for services that get no retryable requests.
	nonRetryableTrialAfter = 3 * time.Second
	// retryableExpectedFor is the time for which further retryable requests are expected after one. In that time, a
	// request that cannot be retried is used as a trial only if no other backend server has a free slot for it: half of such
	// trials of a gray server are lost requests.
	retryableExpectedFor = 10 * time.Second
	// maxSuspectTrials is the maximum number of concurrent trials at a suspect backend server.
	maxSuspectTrials = 2
)

// The score is the logarithm of the likelihood ratio between a backend server with a gray failure and a healthy one (a
// CUSUM test): each result adds failureScore or the negative successScore, and the sum never falls below zero.
var (
	failureScore = math.Log(grayFailureRatio / healthyFailureRatio)
	successScore = math.Log((1 - grayFailureRatio) / (1 - healthyFailureRatio))
)

// Breaker is the circuit breaker of one backend server: it decides after each result whether the backend server may get
// the next request. It limits the damage of a gray failure that starts abruptly: the backend server fails most requests
// while its health check succeeds, and each request that cannot be retried is lost there. Unlike a Detector it needs no
// peers and no minimum rate. A Breaker belongs to the gate beside the backend server, which sees each result.
type Breaker struct {
	score float64
	// runningTrials is the number of requests that are running as trials. A trial is a request that tests a backend
	// server whose breaker is not closed.
	runningTrials int
	lastTrial     time.Duration
	// trialWait is the minimum time between two trials of a backend server whose breaker is open.
	trialWait time.Duration
	// lastResult is the time of the newest result.
	lastResult time.Duration
	// lastFailureSentAt is the newest time at which a request was sent that failed; 0 if there is none.
	lastFailureSentAt time.Duration
	// lastRetryable is when the newest retryable request was offered; retryableSeen is false before the first.
	lastRetryable time.Duration
	retryableSeen bool
	adaptive      adaptiveBreaker
}

// BreakerRequest holds what a Breaker needs to know about a request.
type BreakerRequest struct {
	// MayFail is true for a request that can be sent to another backend server after a failure, and is therefore
	// preferred as a trial. It is false on the last attempt.
	MayFail bool
	// Forced is true for a request for which no other backend server was found. It is always admitted.
	Forced bool
	// Pressed is true for a request for which no other backend server with a free slot was found.
	Pressed bool
}

// Admit reports whether a request may be sent, and whether it is a trial. A trial must end with TrialEnded.
func (b *Breaker) Admit(now time.Duration, r BreakerRequest) (ok, trial bool) {
	if r.MayFail {
		b.lastRetryable, b.retryableSeen = now, true
	}
	if b.score < suspectScore || r.Forced {
		return true, false
	}
	if !b.allowTrial(now, r) {
		return false, false
	}
	b.runningTrials++
	b.lastTrial = now
	b.adaptive.evidenceAt = now
	return true, true
}

// allowTrial reports whether a request may be sent as a trial now.
func (b *Breaker) allowTrial(now time.Duration, r BreakerRequest) bool {
	if !r.MayFail && (!r.Pressed && b.retryableExpected(now) && !b.adaptive.trusts(now) || b.NonRetryableTrialIn(now) > 0) {
		return false
	}
	if b.score < openScore {
		return b.runningTrials < maxSuspectTrials
	}
	return b.runningTrials == 0 && now-b.lastTrial >= b.trialWait
}

// NonRetryableTrialIn returns the time until a request that cannot be retried may be sent as a trial if no other result comes.
func (b *Breaker) NonRetryableTrialIn(now time.Duration) time.Duration {
	if b.adaptive.on {
		return b.adaptive.nonRetryableTrialIn(now, b.runningTrials > 0)
	}
	if b.runningTrials > 0 {
		return nonRetryableTrialAfter
	}
	return max(max(b.lastResult, b.lastTrial)+nonRetryableTrialAfter-now, 0)
}

// retryableExpected reports whether the backend server gets retryable requests, which are the better trials.
func (b *Breaker) retryableExpected(now time.Duration) bool {
	return b.retryableSeen && now-b.lastRetryable < retryableExpectedFor
}

// TrialEnded ends a trial, whatever its result.
func (b *Breaker) TrialEnded() { b.runningTrials = max(b.runningTrials-1, 0) }

// Observe records the result of a request that was sent at sentAt. Do not call it for a result that is no evidence for or
// against the backend server. A success does not speak for a backend server at which a request failed that was sent later: a
// gray failure begins abruptly and fails new requests at once, while those that began before it still succeed.
func (b *Breaker) Observe(now, sentAt time.Duration, failed bool) {
	b.lastResult = now
	if failed {
		b.lastFailureSentAt = max(b.lastFailureSentAt, sentAt)
		wasOpen := b.score >= openScore
		b.score = min(b.score+failureScore*b.adaptive.failureWeight(now-sentAt), maxScore)
		b.adaptive.failed(now, !wasOpen && b.score >= openScore)
		if wasOpen {
			b.trialWait = min(2*b.trialWait, maxTrialWait)
		} else {
			b.trialWait = firstTrialWait
		}
		return
	}
	if b.score > 0 && sentAt < b.lastFailureSentAt {
		return
	}
	b.trialWait = 0
	wasTripped := b.score >= suspectScore
	b.score = max(b.score+successScore, 0)
	b.adaptive.succeeded(now, now-sentAt, wasTripped && b.score < suspectScore)
}

// Reset drops all evidence, for a new instance.
func (b *Breaker) Reset() { *b = Breaker{adaptive: adaptiveBreaker{on: b.adaptive.on}} }

// Score returns the evidence against the backend server: 0 is none, and from suspectScore on the backend server is
// Suspect.
func (b *Breaker) Score() float64 { return b.score }

// Health returns the current judgement.
func (b *Breaker) Health() Health {
	switch {
	case b.score >= openScore:
		return Faulty
	case b.score >= suspectScore:
		return Suspect
	default:
		return Healthy
	}
}
