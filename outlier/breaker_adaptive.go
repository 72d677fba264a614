package outlier

import "time"

const (
	// fastShare is the part of the usual duration of a success below which a failure is fast. A gray failure ends requests in
	// about a millisecond, and an ordinary error comes after the server has worked on the request.
	fastShare = 0.1
	// overdueShare is the multiple of the usual duration from which a failure counts in full again, because the server hangs.
	overdueShare = 3
	// ordinaryFailureWeight is the part of failureScore that an ordinary error adds. One leaves the server healthy, two
	// without a success between them make it suspect.
	ordinaryFailureWeight = 0.5
	// firstSuspectTrialAfter is the time after the first failure of a backend server without gray failures in grayMemory
	// until a request that cannot be retried is sent as a trial. Such a failure is most likely a single one.
	firstSuspectTrialAfter = time.Second
	// repeatedSuspectTrialAfter is that time if the last such trial succeeded.
	repeatedSuspectTrialAfter = 250 * time.Millisecond
	// grayTrialAfter is that time for a backend server with a gray failure in grayMemory. At episodes of 2 to 9 s, a quarter
	// is still running then, so that a trial loses 0.2 requests on average; after 3 s, it loses 0.8.
	grayTrialAfter = 7 * time.Second
	// grayMemory is how long a backend server counts as one that tends to gray failures.
	grayMemory = 2 * time.Minute
	// durationWeight is the weight of a sample in the moving average of the durations of successes.
	durationWeight = 1.0 / 16
)

// adaptiveBreaker is the state of a Breaker in adaptive mode.
//
// Load pattern: a backend server gets one to three requests per second, most of which may not be repeated; about one in a hundred
// fails on healthy servers too, and some servers fail nine of ten for seconds at a time.
type adaptiveBreaker struct {
	on bool
	// usual is a moving average of the durations of successes, in nanoseconds; 0 before the first one.
	usual float64
	// grayAt is when the breaker last opened, and wasGray whether it ever did.
	grayAt  time.Duration
	wasGray bool
	// evidenceAt is the time of the last failure or the start of the last trial. Results of requests that began before a
	// failure delay no trial.
	evidenceAt time.Duration
	// passed is true while the last trial succeeded. The next one may then follow at once.
	passed bool
	// falseAlarm is true if the breaker closed after the last failure without having opened.
	falseAlarm bool
}

// SetAdaptive selects the rules for services with the adaptive concurrency limit: ordinary errors count less than failures
// within a moment, and trials of requests that cannot be retried depend on earlier gray failures of the backend server.
func (b *Breaker) SetAdaptive(on bool) { b.adaptive.on = on }

// failureWeight returns the weight of a failure of a request that took the given time.
func (a *adaptiveBreaker) failureWeight(took time.Duration) float64 {
	if !a.on || a.usual == 0 || float64(took) < fastShare*a.usual || float64(took) >= overdueShare*a.usual {
		return 1
	}
	return ordinaryFailureWeight
}

// succeeded records a success that speaks for the backend server. closed is true if it closed the breaker.
func (a *adaptiveBreaker) succeeded(now, took time.Duration, closed bool) {
	a.passed = true
	if closed {
		a.falseAlarm = !a.grayRecently(now)
	}
	if a.usual == 0 {
		a.usual = float64(took)
	}
	a.usual += durationWeight * (float64(took) - a.usual)
}

// failed records a failure. opened is true if it opened the breaker.
func (a *adaptiveBreaker) failed(now time.Duration, opened bool) {
	a.evidenceAt, a.passed = now, false
	if opened {
		a.grayAt, a.wasGray, a.falseAlarm = now, true, false
	}
}

// nonRetryableTrialIn returns the time until a request that cannot be retried may be sent as a trial.
func (a *adaptiveBreaker) nonRetryableTrialIn(now time.Duration, trialRuns bool) time.Duration {
	wait := firstSuspectTrialAfter
	switch {
	case a.grayRecently(now):
		wait = grayTrialAfter
	case a.falseAlarm:
		wait = repeatedSuspectTrialAfter
	}
	switch {
	case a.passed:
		return 0
	case trialRuns:
		return wait
	default:
		return max(a.evidenceAt+wait-now, 0)
	}
}

// grayRecently reports whether the backend server had a gray failure in grayMemory.
func (a *adaptiveBreaker) grayRecently(now time.Duration) bool {
	return a.wasGray && now-a.grayAt < grayMemory
}

// trusts reports whether a failure is most likely a single one, so that a request that cannot be retried is a trial even where
// retryable ones are expected.
func (a *adaptiveBreaker) trusts(now time.Duration) bool { return a.on && !a.grayRecently(now) }
