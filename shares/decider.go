package shares

import (
	"cmp"
	"slices"
	"time"
)

const (
	// reportLifetime is the age at which a report no longer counts: four report intervals.
	reportLifetime = 2 * time.Second
	// forgetAfter is the age of its last report at which nothing is known of a process any more.
	forgetAfter = 10 * time.Second
	// demandWindow is the time over which demand and calls are averaged. Unlike an exponential mean, it gives the right demand
	// once a new load has lasted that long; the admitted work would be half too high then.
	demandWindow = time.Second
	// minDecisionInterval is the least time between two decisions, so that "two consecutive decisions" are not a matter of
	// a few milliseconds in a large fleet.
	minDecisionInterval = 100 * time.Millisecond
	// queueTarget is the work that may be queued for each slot: about one request of a few hundred milliseconds. With less, slots
	// idle where the work of requests varies widely.
	queueTarget = 300 * time.Millisecond
	// queueCorrection is the time in which the queue returns to its target.
	queueCorrection = time.Second
	// idleShare is the share of busy slots below which a service that is short, with less queued than the target, has idle slots:
	// the expected slot times are too high then. gainRate is the change of the gain per second, maxGain its limit.
	idleShare = 0.95
	gainRate  = 0.3
	maxGain   = 3
	// minLimitShare is the least limit for new work relative to the capacity. With a limit of 0 the floors would be 0 too.
	minLimitShare = 0.05
	// shortDecisions is the number of consecutive decisions with too much demand after which the service is short.
	shortDecisions = 2
	// settleTime is the time after Config.Start in which the service does not count as short, because only some processes
	// have reported to a new owner.
	settleTime = time.Second
	// recoveredShare and recoveredTime end a shortage: demand below this share of the limit for this time.
	recoveredShare = 0.9
	recoveredTime  = time.Second
	// maxReporters, maxDemands and maxRanks limit the memory that reports may take.
	maxReporters = 4096
	maxDemands   = 1024
	maxRanks     = 64
	// maxPeriods limits the reports that are kept of one process. Processes sample every 100 ms, so ten of them cover demandWindow.
	maxPeriods = 16
)

// demandKey identifies the requests of one team with one priority.
type demandKey struct {
	priority int
	team     string
}

func (k demandKey) compare(other demandKey) int {
	return cmp.Or(cmp.Compare(k.priority, other.priority), cmp.Compare(k.team, other.team))
}

// demandRate is a demand in slots, that is, slot seconds per second.
type demandRate struct {
	slots, weight float64
}

// period is what one report says of the work that arrived in its period.
type period struct {
	length, calls time.Duration
	demand        []Demand
}

// reporter is what is known of one process.
type reporter struct {
	incarnation, sequence uint64
	at                    time.Duration
	slots, busy, queued   float64 // queued is in slot seconds
	// periods are the latest reports, oldest first, that together cover demandWindow.
	periods []period
	// toldShort is true if the reply to the last report said that the service is short. Such a process keeps reporting, so
	// its silence means that it is cut off or gone.
	toldShort bool
}

// Decider decides about the shares of one service. It handles the load patterns in which one team sends several times its
// usual load, in which a service loses part of its backend servers for seconds, and in which requests arrive in bursts.
type Decider struct {
	cfg       Config
	began     bool
	reporters map[string]*reporter
	announced map[string]float64
	decidedAt time.Duration
	decision  Decision
	status    Status
	// gain is the expected slot time relative to the true one, as far as idle slots show it; at least 1.
	gain   float64
	excess int // consecutive decisions with too much demand
	// easySince is when the demand was first below recoveredShare of the limit; negative if it is not.
	easySince time.Duration
	returns   returns
}

// Status is what the last decision was made of. Rates are in slots.
type Status struct {
	Short bool
	// Capacity is the number of slots, Limit the new work that may be admitted, Demand the new work that arrives, Calls the
	// work that must not be refused.
	Capacity, Limit, Demand, Calls, Busy float64
	// Queued is the slot time of the queued requests.
	Queued time.Duration
	// Reports is the number of reports that count, OldestReport the age of the oldest one.
	Reports      int
	OldestReport time.Duration
}

// NewDecider returns a Decider without reports.
func NewDecider(cfg Config) *Decider {
	cfg = cfg.withDefaults()
	return &Decider{
		cfg: cfg, reporters: map[string]*reporter{}, easySince: -1, gain: 1,
		decision: Decision{Service: cfg.Service, Sequence: cfg.FirstSequence},
	}
}

// Announce sets the slots that VMs announce by other means. They count for a VM that does not report because it is not under
// pressure. Without them, the capacity of VMs without queues would be missing.
func (d *Decider) Announce(slots map[string]float64) { d.announced = slots }

// Receive stores a report. Reports that are older than the last one of the process are ignored.
func (d *Decider) Receive(now time.Duration, r Report) {
	d.begin(now)
	p, ok := d.reporters[r.VM]
	if ok && (r.Incarnation < p.incarnation || r.Incarnation == p.incarnation && r.Sequence <= p.sequence) {
		return
	}
	if !ok {
		if len(d.reporters) >= maxReporters {
			return
		}
		p = &reporter{}
		d.reporters[r.VM] = p
	}
	if now-p.at > reportLifetime {
		p.periods = nil
	}
	p.incarnation, p.sequence, p.at = r.Incarnation, r.Sequence, now
	p.slots, p.busy = finite(r.Slots), finite(r.Busy)
	p.queued = millis(r.QueuedMs).Seconds()
	p.toldShort = d.decision.Short
	p.periods = append(p.periods, period{length: millis(max(r.PeriodMs, 1)), calls: millis(r.CallsMs), demand: r.Demand[:min(len(r.Demand), maxDemands)]})
	covered := time.Duration(0)
	for i := len(p.periods) - 1; i >= 0; i-- {
		if covered >= demandWindow || len(p.periods)-i > maxPeriods {
			p.periods = slices.Delete(p.periods, 0, i+1)
			break
		}
		covered += p.periods[i].length
	}
}

// addDemand adds the demand of the process to total and returns its calls in slots.
func (p *reporter) addDemand(total map[demandKey]demandRate) (calls float64) {
	covered := time.Duration(0)
	for i := range p.periods {
		covered += p.periods[i].length
	}
	for i := range p.periods {
		calls += p.periods[i].calls.Seconds() / covered.Seconds()
		for _, r := range p.periods[i].demand {
			key := demandKey{r.Priority, r.Team}
			sum, known := total[key]
			if !known && len(total) >= maxDemands {
				continue
			}
			sum.slots += millis(r.WorkMs).Seconds() / covered.Seconds()
			sum.weight = max(sum.weight, weightOf(r.Weight))
			total[key] = sum
		}
	}
	return calls
}

// weightOf returns a weight that is safe to divide by.
func weightOf(w float64) float64 {
	if w = finite(w); w > 0 {
		return max(w, minWeight)
	}
	return 1
}

// millis converts milliseconds from a report. The limit keeps sums from overflowing.
func millis(ms int64) time.Duration {
	const largest = int64(time.Hour / time.Millisecond)
	return time.Duration(min(max(ms, 0), largest)) * time.Millisecond
}

// minWeight is the least weight of a team; a rate of 0 requests has the weight 1.
const minWeight = 1e-3

// finite returns v, or 0 if it is negative or not a number that may be added up.
func finite(v float64) float64 {
	const largest = 1e9
	if !(v >= 0 && v <= largest) {
		return 0
	}
	return v
}

func (d *Decider) begin(now time.Duration) {
	if !d.began {
		d.began, d.decidedAt = true, now-minDecisionInterval
	}
}

// Idle reports whether nothing has been heard of the service for forgetAfter.
func (d *Decider) Idle(now time.Duration) bool {
	d.forget(now)
	return d.began && len(d.reporters) == 0
}

func (d *Decider) forget(now time.Duration) {
	for vm, p := range d.reporters {
		if now-p.at > forgetAfter {
			delete(d.reporters, vm)
		}
	}
}

// Status returns what the last decision was made of.
func (d *Decider) Status() Status { return d.status }

// Decide returns the decision for the reports until now. Calls within minDecisionInterval return the same one.
func (d *Decider) Decide(now time.Duration) Decision {
	d.begin(now)
	if now-d.decidedAt < minDecisionInterval {
		return d.decision
	}
	elapsed := now - d.decidedAt
	d.decidedAt = now
	d.forget(now)
	if d.status.Short && d.cutOff(now, elapsed) {
		d.restart(now)
	}
	demand := d.sum(now, elapsed)
	d.updateShort(now)
	next := Decision{Service: d.cfg.Service, Sequence: d.decision.Sequence + 1, Short: d.status.Short}
	refused := 0.0
	if next.Short {
		next.Ranks, refused = divide(demand, d.status.Limit)
	}
	retryAfter := d.returns.decide(now, elapsed, refused, d.status.Demand, d.status.Limit)
	if next.Short {
		next.RetryAfterMs = retryAfter.Milliseconds()
	}
	d.decision = next
	return next
}

// sum adds up the reports and sets the status. It returns the demand sorted by priority and team.
func (d *Decider) sum(now, elapsed time.Duration) []demandEntry {
	s := Status{Short: d.status.Short}
	total := map[demandKey]demandRate{}
	// The order of the sums is fixed, because sums of floats depend on it.
	for _, vm := range sortedKeys(d.reporters) {
		p := d.reporters[vm]
		age := now - p.at
		if age > reportLifetime {
			continue
		}
		s.Reports++
		s.OldestReport = max(s.OldestReport, age)
		s.Capacity += p.slots
		s.Busy += p.busy
		s.Calls += p.addDemand(total)
		s.Queued += time.Duration(p.queued * float64(time.Second))
	}
	for _, vm := range sortedKeys(d.announced) {
		p, reports := d.reporters[vm]
		if !reports || now-p.at > reportLifetime && !p.toldShort {
			s.Capacity += finite(d.announced[vm])
		}
	}
	list := make([]demandEntry, 0, len(total))
	for key, rate := range total {
		list = append(list, demandEntry{key, rate})
	}
	slices.SortFunc(list, func(a, b demandEntry) int { return a.compare(b.demandKey) })
	for _, e := range list {
		s.Demand += e.slots
	}
	target := s.Capacity * queueTarget.Seconds()
	d.updateGain(&s, target, elapsed)
	s.Limit = d.gain*s.Capacity + (target-s.Queued.Seconds())/queueCorrection.Seconds() - s.Calls
	s.Limit = max(s.Limit, minLimitShare*s.Capacity)
	d.status = s
	return list
}

// updateGain raises the gain while a service that is short has idle slots, and lowers it while more than the target is queued. It
// handles the load pattern in which slot times were learned while backend servers were slow.
func (d *Decider) updateGain(s *Status, target float64, elapsed time.Duration) {
	change := gainRate * min(elapsed, time.Second).Seconds()
	switch queued := s.Queued.Seconds(); {
	case !s.Short:
		d.gain = 1
	case s.Busy < idleShare*s.Capacity && queued < target:
		d.gain = min(d.gain*(1+change), maxGain)
	case queued > target:
		d.gain = max(d.gain*(1-change), 1)
	}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// updateShort decides whether the service is short of capacity.
func (d *Decider) updateShort(now time.Duration) {
	s := &d.status
	if s.Demand > s.Limit {
		d.excess++
	} else {
		d.excess = 0
	}
	if !s.Short {
		s.Short = d.excess >= shortDecisions && now-d.cfg.Start >= settleTime
		d.easySince = -1
		return
	}
	switch {
	case s.Demand >= recoveredShare*s.Limit && s.Reports > 0:
		d.easySince = -1
	case d.easySince < 0:
		d.easySince = now
	case now-d.easySince >= recoveredTime:
		s.Short = false
		d.easySince = -1
		d.excess = 0
	}
}
