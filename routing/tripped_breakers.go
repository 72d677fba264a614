package routing

import "time"

const (
	// FaultyTargetTTL is how long an entry avoids a target after its gate reported repeated failures. Gray failures
	// last for seconds, and the gate notifies the entries that it refused when the backend server has recovered.
	// After the same time without any result, the circuit breaker also admits as a trial a request that may not be
	// repeated, so the entry must then send such requests to the target again.
	FaultyTargetTTL = 3 * time.Second
	// SuspectTargetTTL is how long an entry avoids a target after its gate reported a single failure. It is shorter
	// because the next success usually closes the circuit breaker again.
	SuspectTargetTTL = 500 * time.Millisecond
	// TrialInterval is the minimum time between two trials that one entry sends to one target in its own failure
	// domain. It equals the minimum time between two trials that the circuit breaker admits after repeated failures.
	TrialInterval = 250 * time.Millisecond
	// SharedTrialSpread is the time over which entries that know of the same due trial spread theirs. It is the shortest time between two
	// trials that the circuit breaker admits: spread over a second, they found recovered backend servers later.
	SharedTrialSpread = 250 * time.Millisecond
	// RemoteTrialInterval is the minimum time between two trials that one entry sends to one faulty target in another
	// failure domain. The entries in the domain of the target may have no request that may be used as a trial. The
	// capacity floor is measured over 2 s, so a recovered backend server must receive a request within that time.
	RemoteTrialInterval = 2 * time.Second
)

// Target is a service on one VM.
type Target struct{ VM, Service string }

// TrippedBreakers holds the targets whose gate refused a request of this entry because the circuit breaker of the
// backend server has tripped. A gray failure lasts for seconds. Without this record, each entry would keep sending its
// requests there under a steady load, and each refusal would cross failure domains.
type TrippedBreakers struct {
	byTarget map[Target]trippedBreaker
}

// trippedBreaker holds the time at which the record of a target expires, and the earliest times of the next trial
// from the same and from another failure domain.
type trippedBreaker struct {
	until, nextTrial, nextRemoteTrial time.Duration
	// nextPressedTrial is the earliest time of the next trial by a request that may not be repeated; see TakePressedTrial.
	nextPressedTrial time.Duration
	// at is when the state of the circuit breaker was observed, due when the gate admits the next trial according to that.
	at, due time.Duration
}

// NewTrippedBreakers returns an empty TrippedBreakers.
func NewTrippedBreakers() *TrippedBreakers {
	return &TrippedBreakers{byTarget: map[Target]trippedBreaker{}}
}

// Record records that the circuit breaker of a target refused a request. faulty is true after repeated failures, when
// the gate notifies the entry of the recovery, and false after a single failure.
func (b *TrippedBreakers) Record(target Target, now time.Duration, faulty bool) {
	breaker := trippedBreaker{at: now, until: now + SuspectTargetTTL, nextTrial: now + TrialInterval, nextRemoteTrial: now + SuspectTargetTTL}
	breaker.nextPressedTrial = breaker.until
	if faulty {
		breaker.until = now + FaultyTargetTTL
		breaker.nextPressedTrial = breaker.until
		breaker.nextRemoteTrial = now + RemoteTrialInterval
	}
	b.byTarget[target] = breaker
}

// AllowPressedTrial records the earliest time at which the gate of a target admits a request that may not be repeated as a
// trial, as the gate said with its refusal.
func (b *TrippedBreakers) AllowPressedTrial(target Target, at time.Duration) {
	if breaker, ok := b.byTarget[target]; ok {
		breaker.nextPressedTrial = at
		b.byTarget[target] = breaker
	}
}

// BreakerReport is what is known of the circuit breaker of a target from a report that was passed on.
type BreakerReport struct {
	// At is when the gate made the report.
	At time.Duration
	// Healthy is true for a closed circuit breaker, Faulty for an open one. With neither, the target is suspect.
	Healthy, Faulty bool
	// TrialIn is the time from At until the gate admits a request that may fail as a trial, PressedTrialIn that for any other.
	TrialIn, PressedTrialIn time.Duration
	// Spread is a random time of up to SharedTrialSpread by which this entry's trial is later. Without it, all entries that know of a due
	// trial would send one before they hear of each other's.
	Spread time.Duration
}

// Learn records the state of the circuit breaker of a target, unless something newer is known. Load pattern: a hundred entries
// send two or three requests per second to each of many gray targets, so that most of them would learn of each failure and each
// trial by a refusal of their own.
func (b *TrippedBreakers) Learn(target Target, now time.Duration, r BreakerReport) {
	known, ok := b.byTarget[target]
	switch {
	case ok && known.at >= r.At:
		return
	case r.Healthy:
		delete(b.byTarget, target)
		return
	}
	lasts := SuspectTargetTTL
	breaker := trippedBreaker{at: r.At, due: r.At + r.TrialIn, nextPressedTrial: r.At + r.PressedTrialIn}
	breaker.nextTrial = breaker.due + r.Spread
	if ok && known.until > now && (r.TrialIn == 0 || breaker.due <= known.due+dueTolerance) {
		// No trial was admitted since, so that the time that was drawn holds.
		breaker.due, breaker.nextTrial = known.due, known.nextTrial
	}
	if r.Faulty {
		lasts = FaultyTargetTTL
	}
	breaker.until = max(r.At+lasts, breaker.nextPressedTrial+PressedTrialTime)
	// Entries in other failure domains send one only if those of the target's domain had no request for it.
	breaker.nextRemoteTrial = breaker.nextTrial + RemoteTrialInterval
	if breaker.until > now {
		b.byTarget[target] = breaker
	}
}

// dueTolerance is the difference in the time of one due trial between two reports. They spend different times on the network.
const dueTolerance = 100 * time.Millisecond

// PressedTrialTime is the time from the moment at which a gate admits a trial of a request that may not be repeated to the end of
// the record, in which an entry without another free slot sends one.
const PressedTrialTime = time.Second

// Extend keeps the record of a target until the given time, if it would end earlier.
func (b *TrippedBreakers) Extend(target Target, until time.Duration) {
	if breaker, ok := b.byTarget[target]; ok && until > breaker.until {
		breaker.until = until
		b.byTarget[target] = breaker
	}
}

// TakePressedTrial reports whether a request that may not be repeated should be sent to a target now as a trial, and if so
// keeps others from it. Use it only for a request that would otherwise wait in a queue or be refused: it is lost if the target
// still fails. Load pattern: the load is above the capacity that is left while many backend servers fail, and too few requests
// that may be repeated arrive to find out which of them have recovered.
func (b *TrippedBreakers) TakePressedTrial(target Target, now time.Duration) bool {
	breaker, ok := b.byTarget[target]
	if !ok || now < breaker.nextPressedTrial || now >= breaker.until {
		return false
	}
	breaker.nextPressedTrial = breaker.until
	b.byTarget[target] = breaker
	return true
}

// TrialSucceeded records that a trial succeeded. The next trial from the same failure domain may follow at once.
func (b *TrippedBreakers) TrialSucceeded(target Target, now time.Duration) {
	if breaker, ok := b.byTarget[target]; ok {
		breaker.nextTrial = now
		b.byTarget[target] = breaker
	}
}

// Clear removes the record of a target that has recovered.
func (b *TrippedBreakers) Clear(target Target) { delete(b.byTarget, target) }

// Len returns the number of targets with a record.
func (b *TrippedBreakers) Len() int { return len(b.byTarget) }

// RequestInfo describes a request that might be sent to a target.
type RequestInfo struct {
	// MayFail is true for a request that can be sent elsewhere after a failure, so that it may be used as a trial.
	MayFail bool
	// SameDomain is true when the target is in the failure domain of the entry.
	SameDomain bool
}

// Avoid reports whether a request must not be sent to a target. Trials of a faulty target are mostly left to the
// entries in its failure domain, so that few of the requests that its gate refuses cross failure domains.
func (b *TrippedBreakers) Avoid(target Target, now time.Duration, r RequestInfo) bool {
	breaker, ok := b.byTarget[target]
	switch {
	case !ok:
		return false
	case now >= breaker.until:
		delete(b.byTarget, target)
		return false
	case r.MayFail && r.SameDomain:
		return now < breaker.nextTrial
	case r.MayFail:
		return now < breaker.nextRemoteTrial
	default:
		return true
	}
}

// TakeTrial reports whether a request that may fail should be sent to a target now as a trial, and if so sets the
// time of the next trial. Without trials, the capacity of a recovered backend server would stay unused. The time of
// the next trial does not depend on a response, so it also limits trials over a broken path.
func (b *TrippedBreakers) TakeTrial(target Target, now time.Duration, sameDomain bool) bool {
	breaker, ok := b.byTarget[target]
	due := breaker.nextRemoteTrial
	if sameDomain {
		due = breaker.nextTrial
	}
	if !ok || now < due || now >= breaker.until {
		return false
	}
	breaker.nextTrial, breaker.nextRemoteTrial = now+TrialInterval, now+RemoteTrialInterval
	b.byTarget[target] = breaker
	return true
}
