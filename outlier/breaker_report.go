package outlier

import "time"

// reportedTrialWait is the time until the next trial that a Breaker reports while a trial runs. It is the time between two trials of
// a backend server that failed for the first time.
const reportedTrialWait = firstTrialWait

// TrialIn returns the time until a request that may fail may be sent as a trial, 0 if the breaker is closed. The end of a running
// trial is not known.
func (b *Breaker) TrialIn(now time.Duration) time.Duration {
	switch {
	case b.score < suspectScore, b.score < openScore && b.runningTrials < maxSuspectTrials:
		return 0
	case b.score < openScore:
		return reportedTrialWait
	}
	wait := max(b.lastTrial+b.trialWait-now, 0)
	if b.runningTrials > 0 {
		wait = max(wait, reportedTrialWait)
	}
	return wait
}
