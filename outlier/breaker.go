package outlier

import (
	"math"
	"time"
)

// Breaker settings.
const (
	// healthyFailRatio is the failure ratio of a sound backend server that still answers some requests with errors.
	healthyFailRatio = 0.02
	// grayFailRatio is the failure ratio from which a backend server counts as gray.
	grayFailRatio = 0.7
	// suspectScore is reached by one failure: the next failure would be a second lost request.
	suspectScore = 3
	// openScore is reached by two failures without successes between them.
	openScore = 6
	// maxScore bounds the successes that a backend server needs after a long fault: three from here to below suspectScore. A
	// gray one that fails seven in ten passes them once in 37 times.
	maxScore = 6.5
	// firstTrialWait is the time after which an open backend server is tried first. It doubles with each failed trial, up
	// to lastTrialWait, so that a long fault takes few retries out of the budget.
	firstTrialWait = 250 * time.Millisecond
	lastTrialWait  = time.Second
	// lastTrialAfter is the time without any result after which one request that may not be repeated is tried, for
	// services that get no others.
	lastTrialAfter = 3 * time.Second
	// suspectTrials is the number of trials that a suspect backend server may run at once.
	suspectTrials = 2
)

// The score is the logarithm of the likelihood ratio between a gray and a sound backend server (a CUSUM test): each
// result adds its part, and the sum never falls below zero.
var (
	failScore    = math.Log(grayFailRatio / healthyFailRatio)
	successScore = math.Log((1 - grayFailRatio) / (1 - healthyFailRatio))
)

// Breaker decides after each result whether a backend server may get the next request. It answers a gray failure that
// begins at once: the backend server fails most requests while its health check is good, and each request that may not be
// repeated is lost there. Unlike a Detector it needs no peers and no rates. A Breaker belongs to the gate beside the
// backend server, which sees each result.
type Breaker struct {
	score float64
	// trials are the requests that run as trials.
	trials    int
	lastTrial time.Duration
	// wait is the least time between two trials of an open backend server.
	wait time.Duration
	// lastResult is the time of the newest result, or of the failure that raised the score.
	lastResult time.Duration
}

// BreakerRequest is what a Breaker needs to know of a request.
type BreakerRequest struct {
	// MayFail is true for a request that can be sent elsewhere after a failure, so that it may try a doubtful backend
	// server. A request on its last attempt cannot.
	MayFail bool
	// Forced requests found no other backend server.
	Forced bool
}

// Admit tells whether a request may be sent. trial is true where it is a trial, which must end with TrialEnded.
func (b *Breaker) Admit(now time.Duration, r BreakerRequest) (ok, trial bool) {
	if b.score < suspectScore || r.Forced {
		return true, false
	}
	if !b.mayTry(now, r.MayFail) {
		return false, false
	}
	b.trials++
	b.lastTrial = now
	return true, true
}

func (b *Breaker) mayTry(now time.Duration, mayFail bool) bool {
	if !mayFail && (b.trials > 0 || now-max(b.lastResult, b.lastTrial) < lastTrialAfter) {
		return false
	}
	if b.score < openScore {
		return b.trials < suspectTrials
	}
	return b.trials == 0 && now-b.lastTrial >= b.wait
}

// TrialEnded ends a trial, whatever its result.
func (b *Breaker) TrialEnded() { b.trials = max(b.trials-1, 0) }

// Observe records the result of a request. A result that says nothing about the backend server is not recorded.
func (b *Breaker) Observe(now time.Duration, failed bool) {
	b.lastResult = now
	if failed {
		open := b.score >= openScore
		b.score = min(b.score+failScore, maxScore)
		if open {
			b.wait = min(2*b.wait, lastTrialWait)
		} else {
			b.wait = firstTrialWait
		}
		return
	}
	b.wait = 0
	b.score = max(b.score+successScore, 0)
}

// Reset forgets everything, for a new instance.
func (b *Breaker) Reset() { *b = Breaker{} }

// Score returns the evidence against the backend server: 0 is none, above suspectScore is doubt.
func (b *Breaker) Score() float64 { return b.score }

// Health returns the present judgement.
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
