package admission

import (
	"math"
	"time"
)

const (
	// raiseAfter is the time without evidence of overload after which the limit rises by a step. It doubles, up to
	// maxRaiseAfter, if the backend server is overloaded again right after a step, because each such step costs one
	// request that is shed.
	raiseAfter    = 2 * time.Second
	maxRaiseAfter = 16 * time.Second
	// raiseShare is the part of the announced slots in one step, so that also a backend server with many slots returns
	// to all of them within about half a minute.
	raiseShare = 1.0 / 16
	// idleShedFor is the time for which a shed request while the backend server was nearly idle makes others no
	// evidence of overload. Gray failures last for seconds.
	idleShedFor = 5 * time.Second
	// shedScore is the evidence score at which a limit counts as too high, and the highest score. Three requests that are
	// shed in a row reach it; after a step that was too early, one does.
	shedScore = 3
	// shedKeep is the least part of the limit that one reduction because of shedding leaves.
	shedKeep = 0.75
	// fewShare and manyShare divide the range between one running request and the limit: up to fewShare few requests
	// run, from manyShare on many do.
	fewShare  = 1.0 / 3
	manyShare = 2.0 / 3
	// roundsFor is the age up to which a round counts, and maxRounds the number that are kept.
	roundsFor = 20 * time.Second
	maxRounds = 16
	// minRounds is the least number of rounds for a decision. A slow episode of a backend server, which also makes many
	// requests run at once, is a single round.
	minRounds = 5
	// minSlowdown is the least ratio of the times with many and with few requests in flight that indicates overload.
	minSlowdown = 1.3
	// slowdownErrors is the number of standard errors by which the ratio must exceed minSlowdown.
	slowdownErrors = 2
)

// adaptiveLimit starts at the announced slots and falls on evidence of overload. It handles a load of one to some tens of
// requests per second of widely different work, at a backend server that may have fewer free slots than it announced, or
// be slow or shed requests by a fault.
//
// There are two kinds of evidence. If the backend server sheds most requests that start beside a number of others, and not
// those that start beside few, it cannot run as many at once. Requests that take longer than their expected cost while many run, and not while few
// run, show the same. The comparison is between neighbours in time (see round), because a backend server that is slow
// at any load also has many requests in flight for as long as it is slow; fewer slots would only make it slower.
type adaptiveLimit struct {
	pace
	slots int
	// epoch counts the reductions. Requests that started before the last reduction cannot cause another one.
	epoch uint32
	now   time.Duration
	// occupancy is the integral of the number of running requests up to now, in request-nanoseconds.
	occupancy float64
	// quietSince is the time of the last evidence or step, and raiseWait the time from it to the next step.
	quietSince time.Duration
	raiseWait  time.Duration
	// lastRaise is when the limit last rose, and everRaised whether it did.
	lastRaise  time.Duration
	everRaised bool
	// idleShed is when the backend server last shed a request while nearly idle, and everIdleShed whether it did.
	idleShed     time.Duration
	everIdleShed bool
	// shedScores holds, at index n-1, the evidence that n requests in flight are too many: each request that is shed adds 1
	// for its own number and all higher ones, and each that is accepted takes 1 from its own number and all lower ones. The
	// scores stay between 0 and shedScore.
	shedScores []int8
	// loweredByShed is true if shedding caused the last reduction.
	loweredByShed bool
	// before, during and after hold the results of the round that is being measured.
	before, during, after logMean
	rounds                []round
	// manyEndedAt and fewEndedAt are the ends of the last requests in during and after. A request that began before the end of
	// the part before its own belongs to neither: at the edge of a slow episode, requests that began in it and after it end in
	// turn, and would pass as many rounds.
	manyEndedAt, fewEndedAt time.Duration
	changes                 []LimitChange
}

// logMean is a moving average of the logarithms of the last few ratios.
type logMean struct {
	mean float64
	n    int
}

// logMeanSize is the number of ratios that a logMean covers. It is small because only neighbours in time compare.
const logMeanSize = 6

// round compares requests that ran with many others to those that ran with few right before and right after.
type round struct {
	at time.Duration
	// slowdown is the logarithm of the ratio between both.
	slowdown float64
}

func newAdaptiveLimit(cfg Config) *adaptiveLimit {
	return &adaptiveLimit{pace: pace{effective: cfg.Slots}, slots: cfg.Slots, raiseWait: raiseAfter, shedScores: make([]int8, cfg.Slots)}
}

// configure implements concurrencyLimit. Additional slots are available at once; a lowered limit keeps its distance.
func (l *adaptiveLimit) configure(cfg Config) {
	lowered := l.slots - l.effective
	l.slots = cfg.Slots
	l.effective = max(l.slots-lowered, 1)
	if len(l.shedScores) != l.slots {
		l.shedScores = make([]int8, l.slots)
	}
}

func (l *adaptiveLimit) reset(keepBaseline bool) {
	l.effective = l.slots
	l.epoch++
	l.raiseWait = raiseAfter
	l.everRaised, l.everIdleShed = false, false
	clear(l.shedScores)
	l.clearRounds()
	if !keepBaseline {
		l.meanLatency = 0
	}
}

func (l *adaptiveLimit) follow(previous concurrencyLimit) {
	l.epoch = previous.currentEpoch() + 1
	l.meanLatency = previous.latency()
}

func (l *adaptiveLimit) advance(now time.Duration, running int) {
	if now > l.now {
		l.occupancy += float64(running) * float64(now-l.now)
		l.now = now
	}
	if l.effective >= l.slots || now-l.quietSince < l.raiseWait {
		return
	}
	step := max(int(raiseShare*float64(l.slots)), 1)
	l.change(LimitChange{
		Cause: LimitQuiet, To: min(l.effective+step, l.slots), Running: running, Evidence: now - l.quietSince,
	})
	l.quietSince, l.lastRaise, l.everRaised = now, now, true
	// The few and the many of before the step mean other numbers after it.
	l.clearRounds()
}

func (l *adaptiveLimit) currentEpoch() uint32 { return l.epoch }

func (l *adaptiveLimit) started(expectedCost time.Duration, running int) startMark {
	return startMark{epoch: l.epoch, occupancy: l.occupancy, expectedCost: expectedCost, at: l.now, running: running}
}

func (l *adaptiveLimit) ended(now time.Duration, start startMark, latency time.Duration, result Result) {
	if result == Cancelled {
		return
	}
	l.record(latency, result)
	if result == Overloaded {
		l.shed(now, start)
		return
	}
	for i := range min(start.running, l.slots) {
		l.shedScores[i] = max(l.shedScores[i]-1, 0)
	}
	if result == Succeeded {
		l.answered(now, start, latency)
	}
}

// shed handles a request that the backend server shed.
func (l *adaptiveLimit) shed(now time.Duration, start startMark) {
	if 2*start.running <= l.slots {
		// A backend server with half of its slots free has no reason to shed, so it sheds because of a fault.
		l.idleShed, l.everIdleShed = now, true
		clear(l.shedScores)
		if l.loweredByShed && l.effective < l.slots {
			l.loweredByShed = false
			l.change(LimitChange{Cause: LimitFault, To: l.slots, Running: start.running, Evidence: now - l.quietSince})
		}
		return
	}
	if l.everIdleShed && now-l.idleShed < idleShedFor || start.epoch != l.epoch {
		return
	}
	for i := start.running - 1; i < l.slots; i++ {
		l.shedScores[i] = min(l.shedScores[i]+1, shedScore)
	}
	for i, score := range l.shedScores[:l.effective] {
		if score >= shedScore {
			to := max(i, int(shedKeep*float64(l.effective)))
			l.lower(now, LimitChange{Cause: LimitShed, To: to, Running: start.running})
			l.loweredByShed = true
			return
		}
	}
}

// answered handles a successful request.
func (l *adaptiveLimit) answered(now time.Duration, start startMark, latency time.Duration) {
	held := now - start.at
	if start.epoch != l.epoch || start.expectedCost <= 0 || latency <= 0 || held <= 0 || l.effective < 2 {
		return
	}
	others := (l.occupancy-start.occupancy)/float64(held) - 1
	share := others / float64(l.effective-1)
	sample := math.Log(float64(latency) / float64(start.expectedCost))
	switch {
	case share >= manyShare:
		if l.after.n > 0 && start.at < l.fewEndedAt {
			return
		}
		if l.after.n > 0 {
			l.endRound(now)
		}
		if l.before.n > 0 {
			l.during.add(sample)
			l.manyEndedAt = now
		}
	case share <= fewShare && l.during.n == 0:
		l.before.add(sample)
	case share <= fewShare && start.at >= l.manyEndedAt:
		l.after.add(sample)
		l.fewEndedAt = now
	}
	if len(l.rounds) >= minRounds {
		l.judgeRounds(now, start)
	}
}

// endRound stores the comparison of the round. The requests after it are also those before the next one.
func (l *adaptiveLimit) endRound(now time.Duration) {
	// The slower neighbour counts, so that a change of speed at an edge of the round is no evidence.
	few := max(l.before.mean, l.after.mean)
	l.rounds = append(l.rounds, round{at: now, slowdown: l.during.mean - few})
	if len(l.rounds) > maxRounds {
		l.rounds = l.rounds[1:]
	}
	l.before, l.during, l.after = l.after, logMean{}, logMean{}
}

// judgeRounds lowers the limit by one if the rounds show clearly that requests slow each other down.
func (l *adaptiveLimit) judgeRounds(now time.Duration, start startMark) {
	for len(l.rounds) > 0 && now-l.rounds[0].at > roundsFor {
		l.rounds = l.rounds[1:]
	}
	n := float64(len(l.rounds))
	if n < minRounds || start.epoch != l.epoch {
		return
	}
	var sum, squares float64
	for _, r := range l.rounds {
		sum += r.slowdown
		squares += r.slowdown * r.slowdown
	}
	mean := sum / n
	standardError := math.Sqrt(max(squares-n*mean*mean, 0) / (n - 1) / n)
	if mean-slowdownErrors*standardError < math.Log(minSlowdown) {
		return
	}
	l.lower(now, LimitChange{
		Cause: LimitSlow, To: l.effective - 1, Running: int(math.Round(l.effectiveLoad(now, start))),
		Slowdown: math.Exp(mean), Evidence: now - l.rounds[0].at,
	})
}

// effectiveLoad returns the mean number of requests in flight since a request started.
func (l *adaptiveLimit) effectiveLoad(now time.Duration, start startMark) float64 {
	return (l.occupancy - start.occupancy) / float64(max(now-start.at, 1))
}

// lower applies a reduction, to at least 1.
func (l *adaptiveLimit) lower(now time.Duration, c LimitChange) {
	if l.everRaised && now-l.lastRaise < l.raiseWait {
		l.raiseWait = min(2*l.raiseWait, maxRaiseAfter)
	} else {
		l.raiseWait = raiseAfter
	}
	l.quietSince = now
	l.clearRounds()
	c.To = min(max(c.To, 1), l.effective)
	if c.To == l.effective {
		return
	}
	l.epoch++
	l.loweredByShed = false
	l.change(c)
}

// maxLimitChanges limits the changes that wait for takeChanges.
const maxLimitChanges = 16

func (l *adaptiveLimit) change(c LimitChange) {
	c.From = l.effective
	l.effective = c.To
	if len(l.changes) < maxLimitChanges {
		l.changes = append(l.changes, c)
	}
}

func (l *adaptiveLimit) clearRounds() {
	l.before, l.during, l.after = logMean{}, logMean{}, logMean{}
	l.rounds = nil
}

func (l *adaptiveLimit) takeChanges() []LimitChange {
	changes := l.changes
	l.changes = nil
	return changes
}

func (m *logMean) add(sample float64) {
	m.n = min(m.n+1, logMeanSize)
	m.mean += (sample - m.mean) / float64(m.n)
}
