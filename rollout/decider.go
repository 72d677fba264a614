package rollout

import (
	"fmt"
	"math"
	"time"
)

// Settings are the bounds of rollouts.
type Settings struct {
	// ExposureShare of the requests that reach the service, plus ExposureSlack requests, may go to a bad version.
	ExposureShare float64
	ExposureSlack int
	// RollbackAfter is the time from the 50th bad response of a bad version to its last request.
	RollbackAfter time.Duration
	// FloorPercent is the share of the slots of the old servers that the new ones must have before cutover.
	FloorPercent int
}

const (
	// settleBefore the deadline the rollout is decided, so that the result is known at the deadline.
	settleBefore = time.Second
	// takeoverRound is the time in which all gates report to a new leader: the longest report interval and a retry.
	takeoverRound = 1500 * time.Millisecond
	// repeatAfter a decision was returned and not applied, it is returned again.
	repeatAfter = 500 * time.Millisecond
	// firstPercent is offered before the rate of requests is known.
	firstPercent = 5
	// maxPercent leaves the old version enough requests for a comparison.
	maxPercent = 50
	// canaryEnd is the sixteenth of the duration at which the loaded phase begins.
	canaryEnd = 3
	// canaryPart of what may be sent to the new version before cutover is offered in the canary phase.
	canaryPart = 0.4
	// loadedSlots is the share of its slots that a server of the loaded phase is offered. Bad versions show above a half, and
	// circuit breakers and allowances keep a part away.
	loadedSlots = 1.0
	// minGroupTime fills a server with requests of a second, and leaves as long to see their results.
	minGroupTime  = 1500 * time.Millisecond
	groupsPerPlan = 10
	// loadedFrom is the share of its slots from which a server counts as loaded.
	loadedFrom = 0.5
	// overfill of the slots of the loaded servers is offered, so that they are filled at once.
	overfill = 1.5
	// maxLoadedPercent may go to the servers at load: with 8 requests per second, half of them never fill half of a server. The old
	// version gets what the allowances refuse, and all requests before the loaded phase.
	maxLoadedPercent = 100.0
	// groupRequests for each slot end a group: one fills the slot, and one runs at load.
	groupRequests = 2.0
	// maxFillTime bounds the time that a group gets to fill its servers, so that others have a turn.
	maxFillTime = 1500 * time.Millisecond
	// minGroup is the share of a server's slots that the requests left must fill; fewer never arrive at load.
	minGroup = 0.6
	// fillable is the share of its slots that the requests must fill at one server, so that half of them arrive at load.
	fillable = 0.6
	// urgentBad bad responses start the time of RollbackAfter, and urgentLikelihood, ln(150), suffices once half of it has passed.
	urgentBad        = 50
	urgentLikelihood = 5.0
	// judgeEvery limits the work of the leader; reports of new gates come every 250 ms.
	judgeEvery = 300 * time.Millisecond
)

// Decider decides the steps of one rollout. The control leader runs it: it hands over the reports, proposes each Decision and
// calls Apply when a newer plan is committed. The load pattern of the whole is a service with a hundred requests per second
// at 43 servers, whose traffic has to move within 16 s: 115 requests may show whether the version is bad before all of them
// go there.
type Decider struct {
	settings Settings
	plan     Plan
	// start is the time of the order on the leader's clock, as far as it is known.
	start    time.Duration
	reports  *collection
	takeover bool
	// readyAt is the elapsed time at which a leader that took over has heard of all gates.
	readyAt time.Duration
	// carried is what earlier leaders may have allowed beyond what the gates report.
	carried   uint64
	isCarried bool

	proposed   Decision
	proposedAt time.Duration
	hasPending bool

	verdict  Verdict
	judgedAt time.Duration
	urgentAt time.Duration
	loadedAt float64
	// phaseAt is the elapsed time at which the phase began, and groupAt that at which the servers of the loaded phase were chosen.
	phaseAt, groupAt time.Duration
	oldSlots         int
	// groupArrived is the number of requests of the new version when the servers of the loaded phase were chosen.
	groupArrived uint64
	// fillTime is the time in which the requests of the loaded phase fill the servers.
	fillTime time.Duration
}

// New returns a decider for a plan as the leader finds it. Pass a plan without decisions only if no leader ran it before.
func New(settings Settings, plan Plan, now time.Duration) *Decider {
	d := &Decider{settings: settings, plan: plan, start: now - plan.Elapsed, reports: newCollection(plan), loadedAt: loadedFrom,
		takeover: plan.Decision > 0, phaseAt: plan.Elapsed, groupAt: plan.Elapsed, judgedAt: -judgeEvery}
	if d.takeover {
		d.readyAt = plan.Elapsed + takeoverRound
	}
	return d
}

// Report takes the report of a gate and returns the reply.
func (d *Decider) Report(now time.Duration, r Report) Reply {
	d.knownFor(now, r)
	elapsed := now - d.start
	key := gateKey{r.VM, r.Version == d.plan.NewVersion}
	var arrived, refused uint64
	if g := d.reports.gates[key]; g != nil && g.last.Incarnation == r.Incarnation {
		arrived, refused = r.Arrived-min(r.Arrived, g.last.Arrived), r.Refused-min(r.Refused, g.last.Refused)
	} else {
		arrived, refused = r.Arrived, r.Refused
	}
	g := d.reports.add(elapsed, r, d.loadedAt)
	if g == nil {
		if g = d.reports.gates[key]; g != nil && key.new && g.last.Incarnation == r.Incarnation && r.Rollout == d.plan.ID {
			return g.grant.reply(r.Sequence, r.Granted)
		}
		return Reply{Allowed: r.Granted}
	}
	if !key.new {
		return Reply{}
	}
	g.grant.reported(&r)
	if d.takeover && !d.isCarried && elapsed >= d.readyAt {
		d.carry()
	}
	return g.grant.reply(r.Sequence, d.allow(elapsed, g, arrived, refused))
}

// knownFor moves the start back if a gate has known of the rollout for longer than the leader. The load pattern is a leader that
// is lost seconds after its last decision.
func (d *Decider) knownFor(now time.Duration, r Report) {
	known := time.Duration(r.KnownMs) * time.Millisecond
	if r.Rollout != d.plan.ID || known <= now-d.start || known > 2*d.plan.Duration {
		return
	}
	ready := d.readyAt + d.start
	d.start = now - known
	if d.takeover {
		d.readyAt = ready - d.start
	}
}

// Apply takes a plan that was committed.
func (d *Decider) Apply(now time.Duration, plan Plan) {
	if plan.ID != d.plan.ID || plan.Decision <= d.plan.Decision {
		return
	}
	if plan.Phase != d.plan.Phase {
		d.phaseAt = now - d.start
	}
	if plan.Phase == Loaded {
		d.groupAt = now - d.start
		d.groupArrived = d.reports.totals(d.groupAt, true).Arrived
	}
	d.plan, d.hasPending = plan, false
}

// Plan returns the newest plan that the decider knows.
func (d *Decider) Plan() Plan { return d.plan }

// Verdict returns the last verdict.
func (d *Decider) Verdict() Verdict { return d.verdict }

// Counts returns the counts of the servers of the old versions and of the new one.
func (d *Decider) Counts(now time.Duration) (old, new Totals) {
	return d.reports.totals(now-d.start, false), d.reports.totals(now-d.start, true)
}

// Step returns the next decision, if there is one. It is to be called several times a second.
func (d *Decider) Step(now time.Duration) (Decision, bool) {
	if d.plan.Phase.Final() {
		return Decision{}, false
	}
	elapsed := now - d.start
	next, ok := d.next(elapsed)
	if !ok {
		return Decision{}, false
	}
	if d.hasPending && now-d.proposedAt < repeatAfter && (d.proposed.Phase == next.Phase || !next.Phase.Final()) {
		return Decision{}, false
	}
	next.Previous, next.Elapsed = d.plan.Decision, elapsed
	d.proposed, d.proposedAt, d.hasPending = next, now, true
	return next, true
}

func (d *Decider) next(elapsed time.Duration) (Decision, bool) {
	old, new := d.reports.totals(elapsed, false), d.reports.totals(elapsed, true)
	d.judge(elapsed, new)
	ready := !d.takeover || elapsed >= d.readyAt
	rollBack := func(format string, args ...any) (Decision, bool) {
		return Decision{Phase: RolledBack, Reason: fmt.Sprintf(format, args...)}, true
	}
	last := elapsed >= d.plan.Duration-settleBefore
	switch {
	case d.verdict.Judgement == Bad:
		return rollBack("%s", d.verdict.Reason)
	case d.plan.Phase != Cutover && d.urgentAt > 0 && elapsed-d.urgentAt >= d.settings.RollbackAfter/2 && d.verdict.Likelihood >= urgentLikelihood:
		return rollBack("%d bad responses, %s", new.Bad(), d.verdict.Reason)
	case d.plan.Phase == Cutover:
		return d.finish(elapsed, new, last)
	case last:
		return rollBack("the deadline is near and the phase is still %s", d.plan.Phase)
	case elapsed >= d.evidenceBy() && ready:
		if reason, can := d.canCutOver(old, new, true); !can {
			return rollBack("insufficient evidence: %s", reason)
		}
	case !ready:
		return Decision{}, false
	}
	if elapsed >= d.plan.Duration/2 {
		if _, can := d.canCutOver(old, new, elapsed >= d.evidenceBy()); can {
			d.oldSlots = old.Slots
			return Decision{Phase: Cutover, Percent: 100, Reason: d.verdict.Reason}, true
		}
	}
	return d.offer(elapsed, old, new)
}

// evidenceBy is the time at which insufficient evidence rolls back. A leader that took over late gets as long as the loaded phase
// needs, since it knows the counts of before but not under which load they came.
func (d *Decider) evidenceBy() time.Duration {
	by := d.plan.Duration * 2 / 3
	if d.takeover {
		by = max(by, min(d.plan.Duration*13/16, d.readyAt+d.plan.Duration/4))
	}
	return by
}

// judge updates the verdict. A leader that took over waits until all gates have reported.
func (d *Decider) judge(elapsed time.Duration, new Totals) {
	if d.urgentAt == 0 && new.Bad() >= urgentBad {
		d.urgentAt = elapsed
	}
	if d.takeover && elapsed < d.readyAt || elapsed-d.judgedAt < judgeEvery {
		return
	}
	d.judgedAt = elapsed
	d.verdict = Judge(d.reports.samples(slowLimits(d.reports.samples(nil))))
}

// canCutOver reports whether the evidence and the slots suffice. At the last moment, less evidence does.
func (d *Decider) canCutOver(old, new Totals, last bool) (reason string, can bool) {
	if new.Slots*100 < old.Slots*d.settings.FloorPercent || new.Slots == 0 {
		return fmt.Sprintf("new servers have %d slots, old ones %d, and the floor is %d%%", new.Slots, old.Slots, d.settings.FloorPercent), false
	}
	if last && d.verdict.Missing != "" {
		return d.verdict.Missing, false
	}
	return d.verdict.Reason, d.verdict.Judgement == Good || last && d.verdict.Likely
}

// finish decides the end of the cutover phase. The old version is released when it runs nothing and the new one had all
// requests for some time, since a version may fail only then.
func (d *Decider) finish(elapsed time.Duration, new Totals, last bool) (Decision, bool) {
	if (!d.takeover || elapsed >= d.readyAt) && (new.Slots == 0 || new.Slots*200 < d.oldSlots*d.settings.FloorPercent) {
		return Decision{Phase: RolledBack, Reason: fmt.Sprintf("new servers have %d slots left, old ones had %d", new.Slots, d.oldSlots)}, true
	}
	observed := elapsed-d.phaseAt >= d.plan.Duration/6 && (!d.takeover || elapsed >= d.readyAt)
	if last || observed && d.drained(elapsed) {
		return Decision{Phase: Completed, Percent: 100, Reason: d.verdict.Reason}, true
	}
	return Decision{}, false
}

// drained reports whether no request runs at old servers: all their gates act on the cutover and report no running requests.
// A gate that is lost is not waited for.
func (d *Decider) drained(elapsed time.Duration) bool {
	for key, g := range d.reports.gates {
		if !key.new && elapsed-g.at <= reportsLostAfter && (g.last.Applied < d.plan.Decision || g.last.Running > 0) {
			return false
		}
	}
	return true
}

// offer decides how many requests the new version gets, and at how many servers. In the loaded phase it changes the servers after
// each slice: one of them may have a gray failure, and its circuit breaker keeps the load away.
func (d *Decider) offer(elapsed time.Duration, old, new Totals) (Decision, bool) {
	duration := d.plan.Duration
	if d.plan.Decision == 0 {
		return Decision{Phase: Canary, Percent: firstPercent, Reason: "first requests"}, true
	}
	rate := d.reports.rate(elapsed)
	if rate == 0 || elapsed < duration/16 || elapsed < settleBefore {
		return Decision{}, false
	}
	if elapsed < duration*canaryEnd/16 {
		if d.plan.Percent != firstPercent || d.plan.Decision > 1 || new.Slots*100 < old.Slots*d.settings.FloorPercent {
			// Responses of cold servers show nothing about their speed, so the requests are kept for later.
			return Decision{}, false
		}
		percent := d.percent(elapsed, duration*canaryEnd/16, rate, canaryPart, new)
		return Decision{Phase: Canary, Percent: percent, Reason: fmt.Sprintf("%.1f requests per second", rate)}, percent != d.plan.Percent
	}
	if d.plan.Phase == Loaded && elapsed-d.groupAt < max(d.fillTime+minGroupTime/2, minGroupTime, duration/groupsPerPlan) && !d.groupServed(new) {
		return Decision{}, false
	}
	percent := d.percent(elapsed, max(duration/2, elapsed+d.reports.slice), rate, 1, new)
	servers, percent := d.loadedServers(percent, rate, old, new)
	return Decision{Phase: Loaded, Percent: percent, Servers: servers,
		Reason: fmt.Sprintf("%.1f requests per second for %d servers; %s", float64(percent)/100*rate, servers, d.verdict.Reason)}, true
}

// groupServed reports whether the servers of the loaded phase had what the evidence of one server may take of the limit.
func (d *Decider) groupServed(new Totals) bool {
	if new.Gates == 0 {
		return false
	}
	perServer := float64(new.Slots) / float64(new.Gates)
	return float64(new.Arrived-min(d.groupArrived, new.Arrived)) >= groupRequests*perServer*float64(max(1, d.plan.Servers))
}

// percent spreads what part of the limit at the time until leaves over the time to it.
func (d *Decider) percent(elapsed, until time.Duration, rate, part float64, new Totals) int {
	seconds := max((until - elapsed).Seconds(), 0.5)
	limit := float64(d.exposureLimit()) + allowedShare*d.settings.ExposureShare*rate*seconds
	left := part*limit - float64(new.Arrived+d.carried)
	percent := int(math.Ceil(100 * left / (rate * seconds)))
	return max(firstPercent, min(maxPercent, percent))
}

// loadedServers returns among how many servers the percentage of the rate fills the share loadedSlots of their slots, and the
// percentage that fills one if it does not. What is left of the limit is then used up sooner: a server at half of its slots
// costs as many requests and shows less. It sets the load from which a server counts as loaded: less than loadedFrom if the
// rate does not suffice for one server.
func (d *Decider) loadedServers(percent int, rate float64, old, new Totals) (int, int) {
	if new.Gates == 0 || new.Slots == 0 || old.Arrived == 0 {
		return 1, percent
	}
	perServer := float64(new.Slots) / float64(new.Gates)
	latency := d.meanLatency(old).Seconds()
	servers := max(1, min(new.Gates, int(float64(percent)/100*rate*latency/(loadedSlots*perServer))))
	left := float64(d.exposureLimit()) - float64(new.Arrived+d.carried)
	if left >= minGroup*perServer {
		percent = max(percent, min(int(maxLoadedPercent), int(math.Ceil(100*overfill*float64(servers)*perServer/(latency*rate)))))
	}
	running := maxLoadedPercent / 100 * rate * latency
	d.fillTime = min(maxFillTime, time.Duration(float64(servers)*perServer/(float64(percent)/100*rate)*float64(time.Second)))
	d.loadedAt = loadedFrom
	if running < fillable*perServer {
		d.loadedAt = loadedFrom * running / perServer
	}
	return servers, percent
}

func (d *Decider) meanLatency(t Totals) time.Duration {
	var l Latencies
	for _, counts := range t.Routes {
		l.Merge(&counts.Latency)
	}
	var total float64
	for i, n := range l {
		low := LatencyBound(i - 1)
		high := LatencyBound(i)
		if i == LatencyBuckets-1 {
			high = low
		}
		total += float64(n) * float64(low+high) / 2
	}
	return time.Duration(total / float64(max(1, l.Count())))
}
