package rollout

import (
	"fmt"
	"math"
	"sort"
	"time"
)

// Judgement is the outcome of a comparison of two versions.
type Judgement int

// Judgements. Undecided means that more samples are needed.
const (
	Undecided Judgement = iota
	Good
	Bad
)

// Verdict is a judgement with its evidence.
type Verdict struct {
	Judgement Judgement
	// Likely reports whether the samples favour a good version in each comparison, though not enough for Good.
	Likely bool
	// Missing states what is missing for Likely.
	Missing string
	// Likelihood is the logarithm of how much better the samples fit the most suspicious kind of bad version than a good one.
	Likelihood float64
	Reason     string
}

const (
	// badLikelihood is ln(1000): a good version reaches it in about one of a thousand rollouts.
	badLikelihood = 6.9
	// minDifference is the least difference of the shares of bad responses that callers notice, and that a verdict may be based on.
	minDifference = 0.08
	// suspect is the share of additional bad responses that Good must exclude: the least that a bad version has.
	suspect = 0.3
	// minLoaded responses of servers at load are needed to exclude a version that is bad only there.
	minLoaded = 10
	// minLoadedVMs keeps one server from standing for all.
	minLoadedVMs = 2
	// minOldSamples are needed to know the spread between old servers.
	minOldSamples = 20
	// minOldRoute are needed on a route, since those on all routes also show the spread.
	minOldRoute = 5
	// A unit of more responses is scaled down: the distribution is known only at the points of shares.
	maxUnit = 40
	// independentVMs is the least number of servers from which the evidence of a bad version must come, if there are more,
	// since single servers of a good one also fail.
	independentVMs = 4
	// recentSlices is the number of slices that show a version that turns bad late.
	recentSlices = 2
	// rareRoute is the share of the requests below which a route needs no evidence of its own.
	rareRoute = 0.05
	// A slice in which the old servers have disturbedBy more bad responses than usual shows a fault that is common to both versions.
	disturbedBy = 0.15
)

// shares are the shares of bad responses that a server can have in a slice, and effects those that a bad version adds.
var (
	shares  = [...]float64{0.004, 0.02, 0.05, 0.1, 0.2, 0.35, 0.5, 0.65, 0.8, 0.9, 0.97}
	effects = [...]float64{0.1, 0.2, 0.35, 0.5, 0.7}
)

type measure int

const (
	anyFailure measure = iota
	onlyFailed
	onlyBroken
	slow
	measures
)

func (m measure) String() string {
	return [...]string{"failed or broken", "failed", "broken", "slow"}[m]
}

// slowBuckets above the median bucket of the old version's responses on the route, a response is slow: it takes two to three
// times as long as the median. Of a version that takes three times as long, more than half of the responses do.
const slowBuckets = 3

// unit counts the responses of a server in a slice, and the bad ones among them.
type unit struct{ n, bad int }

func (u unit) scaled() unit {
	if u.n <= maxUnit {
		return u
	}
	return unit{maxUnit, (u.bad*maxUnit + u.n/2) / u.n}
}

func (u unit) likelihood(share float64) float64 {
	return math.Pow(share, float64(u.bad)) * math.Pow(1-share, float64(u.n-u.bad))
}

// spread is the distribution of the share of bad responses between servers and slices.
type spread [len(shares)]float64

// fitSpread estimates the spread by expectation maximisation. Each server counts once for each slice, however many requests
// it got, since circuit breakers take requests away from servers that fail.
func fitSpread(units map[unit]float64, prior spread) spread {
	// One pseudo-sample keeps shares possible that no server had yet.
	const pseudo, rounds = 1.0, 30
	w := prior
	type weighted struct {
		likelihood spread
		weight     float64
	}
	fitted := make([]weighted, 0, len(units))
	for u, weight := range units {
		f := weighted{weight: weight}
		for j, share := range shares {
			f.likelihood[j] = u.likelihood(share)
		}
		fitted = append(fitted, f)
	}
	for range rounds {
		var next spread
		total := pseudo
		for j := range next {
			next[j] = pseudo * prior[j]
		}
		for i := range fitted {
			f := &fitted[i]
			var part spread
			var all float64
			for j := range part {
				part[j] = w[j] * f.likelihood[j]
				all += part[j]
			}
			if all == 0 {
				continue
			}
			for j := range part {
				next[j] += f.weight * part[j] / all
			}
			total += f.weight
		}
		for j := range next {
			w[j] = next[j] / total
		}
	}
	return w
}

// evenSpread is the prior of the spread of all routes.
func evenSpread() (w spread) {
	for j := range w {
		w[j] = 1 / float64(len(w))
	}
	return w
}

// ratio returns the logarithm of how much likelier the unit is at a version that adds bad responses than at a good one.
func (w *spread) ratio(u unit, effect float64) float64 {
	var good, bad float64
	for j, share := range shares {
		good += w[j] * u.likelihood(share)
		bad += w[j] * u.likelihood(1-(1-share)*(1-effect))
	}
	return math.Log(max(bad, math.SmallestNonzeroFloat64) / max(good, math.SmallestNonzeroFloat64))
}

// comparison has the units of both versions for a measure and a route (empty: all).
type comparison struct {
	measure  measure
	route    string
	old      spread
	oldShare float64
	oldCount int
	ratios   map[unit]ratios
}

// ratios holds spread.ratio for each of the effects, and for suspect.
type ratios struct {
	effects [len(effects)]float64
	suspect float64
}

func (c *comparison) ratiosOf(u unit) ratios {
	r, ok := c.ratios[u]
	if !ok {
		for j, effect := range effects {
			r.effects[j] = c.old.ratio(u, effect)
		}
		r.suspect = c.old.ratio(u, suspect)
		c.ratios[u] = r
	}
	return r
}

// slowBucket returns the first bucket of slow responses for each route, from the old version.
func slowBucketByRoute(samples []Sample) map[string]int {
	latencies := map[string]*Latencies{}
	for i := range samples {
		if samples[i].New {
			continue
		}
		for route, counts := range samples[i].Routes {
			if latencies[route] == nil {
				latencies[route] = &Latencies{}
			}
			latencies[route].Merge(&counts.Latency)
		}
	}
	first := map[string]int{}
	for route, l := range latencies {
		if l.Count() > 0 {
			median, _ := l.quantileBucket(0.5)
			first[route] = median + slowBuckets
		}
	}
	return first
}

// slowLimits returns the least time of a slow response for each route.
func slowLimits(samples []Sample) map[string]time.Duration {
	limits := map[string]time.Duration{}
	for route, from := range slowBucketByRoute(samples) {
		limits[route] = LatencyBound(min(from, LatencyBuckets-1) - 1)
	}
	return limits
}

// counting selects how requests without a result count.
type counting int

const (
	// plain counts results, and for slow also overdue requests.
	plain counting = iota
	// withRunning takes running requests as good ones.
	withRunning
	// aged leaves out responses that are younger than a slow one.
	aged
)

// unit returns the responses of a sample on a route, or on all if it is empty.
func (s *Sample) unit(m measure, route string, slowFrom map[string]int, how counting) (u unit) {
	if route != "" {
		counts, ok := s.Routes[route]
		if !ok && s.Unended[route] == (Unended{}) {
			return u
		}
		return routeUnit(m, &counts, s.Unended[route], slowFrom, route, how)
	}
	for name, counts := range s.Routes {
		one := routeUnit(m, &counts, s.Unended[name], slowFrom, name, how)
		u.n, u.bad = u.n+one.n, u.bad+one.bad
	}
	for name, unended := range s.Unended {
		if _, ok := s.Routes[name]; !ok {
			one := routeUnit(m, &RouteCounts{}, unended, slowFrom, name, how)
			u.n, u.bad = u.n+one.n, u.bad+one.bad
		}
	}
	return u
}

// due returns the requests of a sample that may have had a slow response in the last seconds, and false if that is not known.
func (s *Sample) due(route string, slowFrom map[string]int) (n int, known bool) {
	if s.Unended == nil {
		return 0, false
	}
	for name, u := range s.Unended {
		if _, ok := slowFrom[name]; !ok || route != "" && route != name {
			continue
		}
		if u.Due < 0 {
			return 0, false
		}
		n += u.Due
	}
	return n, true
}

func routeUnit(m measure, counts *RouteCounts, unended Unended, slowFrom map[string]int, route string, how counting) (u unit) {
	if m == slow {
		from, known := slowFrom[route]
		if !known {
			return u
		}
		for i, n := range counts.Latency {
			u.n += int(n)
			if i >= from {
				u.bad += int(n)
			}
		}
		if how == aged {
			// Young includes failures, which have no latency.
			u.n = max(u.bad, u.n-int(math.Round(float64(unended.Young*u.n)/float64(max(1, counts.ended())))))
		}
		return unit{u.n + unended.Overdue, u.bad + unended.Overdue}
	}
	u.n = counts.ended()
	if m != onlyBroken {
		u.bad += int(counts.Failed)
	}
	if m != onlyFailed {
		u.bad += int(counts.Broken)
	}
	if how == withRunning {
		u.n += unended.Running
	}
	return u
}

// disturbed returns the slices in which many old servers had more bad responses than usual. The load pattern is a burst or the
// loss of a shared dependency, which must not count against the new version.
func disturbed(samples []Sample, m measure, slowFrom map[string]int) map[int]bool {
	sums, counts := map[int]float64{}, map[int]int{}
	for i := range samples {
		if u := samples[i].unit(m, "", slowFrom, plain); !samples[i].New && u.n > 0 {
			sums[samples[i].Slice] += float64(u.bad) / float64(u.n)
			counts[samples[i].Slice]++
		}
	}
	var means []float64
	for slice, n := range counts {
		means = append(means, sums[slice]/float64(n))
	}
	out := map[int]bool{}
	if len(means) < 3 {
		return out
	}
	sort.Float64s(means)
	usual := means[(len(means)-1)/2]
	for slice, n := range counts {
		if n >= independentVMs && sums[slice]/float64(n) > usual+disturbedBy {
			out[slice] = true
		}
	}
	return out
}

// window selects samples of the new version.
type window int

const (
	whole window = iota
	recent
	loaded
	windows
)

func (w window) String() string { return [...]string{"whole time", "last seconds", "at load"}[w] }

// Judge compares the new version with the old one. The load pattern is single servers of every version that fail nine of ten
// requests for seconds (gray failures), of which 30% of the servers may be affected at a time, against a version whose servers
// all fail 30 to 70% of their requests, or take three times as long, at once, late, at load, or on one route. The spread
// between the old servers is the model of a good version; evidence is the likelihood ratio of that spread and of the same
// spread with additional bad responses, and no server may contribute more than a part of what a verdict needs.
func Judge(samples []Sample) Verdict {
	slowFrom := slowBucketByRoute(samples)
	newest := 0
	oldByRoute, newByRoute := map[string]int{}, map[string]int{}
	oldTotal, newVMs := 0, map[string]bool{}
	for i := range samples {
		newest = max(newest, samples[i].Slice)
		for route := range samples[i].Routes {
			n := samples[i].unit(anyFailure, route, nil, plain).n
			if samples[i].New {
				newByRoute[route] += n
				newVMs[samples[i].VM] = newVMs[samples[i].VM] || n > 0
			} else {
				oldByRoute[route] += n
				oldTotal += n
			}
		}
	}
	if oldTotal < minOldSamples {
		return Verdict{Reason: fmt.Sprintf("%d responses of the old version, %d needed", oldTotal, minOldSamples)}
	}
	routes := []string{""}
	for route, n := range newByRoute {
		if n > 0 && oldByRoute[route] >= minOldRoute {
			routes = append(routes, route)
		}
	}
	sort.Strings(routes)
	threshold := badLikelihood + math.Log(float64(len(routes)))
	limit := threshold / float64(supportingVMs(len(newVMs)))
	verdict := Verdict{Judgement: Good, Likely: true, Likelihood: math.Inf(-1)}
	var good string
	for m := range measures {
		skip := disturbed(samples, m, slowFrom)
		prior := evenSpread()
		for _, route := range routes {
			c := compare(samples, m, route, slowFrom, skip, prior)
			if route == "" {
				prior = c.old
			}
			for w := range windows {
				e := c.evidence(samples, w, newest, limit, slowFrom, skip)
				if e.difference >= minDifference && e.likelihood > verdict.Likelihood {
					verdict.Likelihood = e.likelihood
					verdict.Reason = fmt.Sprintf("%s %s %s: %.0f%% of %d at %d new servers, %.0f%% of %d at old ones", m, routeName(route), w,
						100*e.share, e.count, e.vms, 100*c.oldShare, c.oldCount)
				}
				if route != "" && float64(oldByRoute[route]) < rareRoute*float64(oldTotal) {
					continue
				}
				need, likely, matters := goodNeeds(m, route, w, len(newVMs) < independentVMs)
				few := w == loaded && (e.count < minLoaded || e.vms < min(minLoadedVMs, len(newVMs)))
				if matters && (e.excluded > need || few) && verdict.Judgement == Good {
					verdict.Judgement = Undecided
					good = fmt.Sprintf("not excluded: %s %s %s (%d responses at %d servers, %.1f)", m, routeName(route), w, e.count, e.vms, e.excluded)
				}
				if matters && (e.excluded > likely || few) && verdict.Likely {
					verdict.Likely = false
					verdict.Missing = fmt.Sprintf("not excluded: %s %s %s (%d responses at %d servers, %.1f)", m, routeName(route), w, e.count, e.vms, e.excluded)
				}
			}
		}
	}
	switch {
	case verdict.Likelihood >= threshold:
		verdict.Judgement, verdict.Likely = Bad, false
	case verdict.Judgement == Undecided:
		verdict.Reason = good
	default:
		verdict.Reason = fmt.Sprintf("no more bad responses than the old version in %d", totalOf(newByRoute))
	}
	return verdict
}

// supportingVMs returns how many servers a verdict needs of those with responses. Of three or four it needs all but one: the mean
// over the effects is below the sum of the limits, so limits that reach the threshold only with all servers never reach it.
func supportingVMs(vms int) int {
	if vms > 2 {
		vms--
	}
	return max(1, min(independentVMs, vms))
}

func totalOf(byRoute map[string]int) (n int) {
	for _, c := range byRoute {
		n += c
	}
	return n
}

func routeName(route string) string {
	if route == "" {
		return "on all routes"
	}
	return "on " + route
}

// goodNeeds returns the evidence against a bad version that Good and Likely require of a comparison. Failures need a wider range
// than slow responses, since gray servers fail and are not slow: with 80 responses of which a quarter fail, a good version
// reaches -8 with a deviation of 4, and one that fails 30% more reaches 8. Few servers need more evidence, since one of them with
// a gray failure is a large part of it.
func goodNeeds(m measure, route string, w window, few bool) (good, likely float64, matters bool) {
	switch {
	case m == onlyFailed || m == onlyBroken:
		return 0, 0, false
	case route != "" && m == slow:
		return -2.5, 0, w == whole
	case route != "":
		return -1.5, 1, w == whole
	case few && w == whole && m == slow:
		return -2.5, -2, true
	case few && w == whole:
		return -2.5, -0.5, true
	case few && w == loaded && m == slow:
		return -4.5, -3, true
	case few && m == slow:
		return -1.5, -1, true
	case few && w == recent:
		return -1, 1, true
	case w == whole && m == slow:
		return -2.5, -2, true
	case w == whole:
		return -2.5, 1, true
	case w == loaded && m == slow:
		return -3, -1, true
	case m == slow:
		return -1, 0.3, true
	case w == recent:
		return -1, 2.5, true
	}
	return -2, -1, true
}

func compare(samples []Sample, m measure, route string, slowFrom map[string]int, skip map[int]bool, prior spread) *comparison {
	c := &comparison{measure: m, route: route, ratios: map[unit]ratios{}}
	units := map[unit]float64{}
	bad := 0
	for i := range samples {
		s := &samples[i]
		if u := s.unit(m, route, slowFrom, plain); !s.New && u.n > 0 && !skip[s.Slice] {
			units[u.scaled()]++
			c.oldCount += u.n
			bad += u.bad
		}
	}
	c.old = fitSpread(units, prior)
	c.oldShare = float64(bad) / float64(max(1, c.oldCount))
	return c
}

type evidence struct {
	// likelihood is the logarithm of the mean likelihood ratio over the effects, excluded that of the effect suspect.
	likelihood, excluded float64
	// difference is that of the mean shares of the servers; share is that of the responses.
	difference, share float64
	count, vms        int
}

func (c *comparison) evidence(samples []Sample, w window, newest int, limit float64, slowFrom map[string]int, skip map[int]bool) (e evidence) {
	type server struct {
		ratio    [len(effects)]float64
		against  [len(effects)]float64
		excluded float64
		unit
	}
	// The slow responses of the last seconds relate to Unended.Due.
	var dueVMs []string
	dueAt, byDue := map[string]unit{}, c.measure == slow && w == recent
	for i := range samples {
		if !byDue {
			break
		}
		if s := &samples[i]; s.New {
			due, known := s.due(c.route, slowFrom)
			if _, ok := dueAt[s.VM]; !ok {
				dueVMs = append(dueVMs, s.VM)
			}
			dueAt[s.VM] = unit{n: dueAt[s.VM].n + due}
			byDue = known
		}
	}
	var servers []server
	index, wasLoaded := map[string]int{}, map[string]bool{}
	for i := range samples {
		s := &samples[i]
		if !s.New || skip[s.Slice] || w == recent && s.Slice <= newest-recentSlices {
			continue
		}
		// Slow responses to requests that arrived at load come when the load may be over.
		if w == loaded && !s.Loaded && (c.measure != slow || !wasLoaded[s.VM] || s.ByArrival) {
			continue
		}
		wasLoaded[s.VM] = wasLoaded[s.VM] || s.Loaded
		u := s.unit(c.measure, c.route, slowFrom, plain)
		if u.n == 0 {
			continue
		}
		at, ok := index[s.VM]
		if !ok {
			at = len(servers)
			index[s.VM] = at
			servers = append(servers, server{})
		}
		v := &servers[at]
		v.n, v.bad = v.n+u.n, v.bad+u.bad
		r := c.ratiosOf(s.unit(c.measure, c.route, slowFrom, withRunning).scaled())
		// A gray failure lasts for several slices, so what speaks against the version counts once for each server.
		for j, ratio := range r.effects {
			v.ratio[j] += min(ratio, 0)
			v.against[j] = max(v.against[j], ratio)
		}
		r.suspect = c.ratiosOf(u.scaled()).suspect
		if c.measure == slow && w != recent {
			r.suspect = c.ratiosOf(s.unit(c.measure, c.route, slowFrom, aged).scaled()).suspect
		}
		if !byDue {
			v.excluded += r.suspect
		}
		dueAt[s.VM] = unit{dueAt[s.VM].n, dueAt[s.VM].bad + u.bad}
	}
	if byDue {
		for _, vm := range dueVMs {
			u := dueAt[vm]
			u.n = max(u.n, u.bad)
			e.excluded += min(limit, c.ratiosOf(u.scaled()).suspect)
		}
	}
	if len(servers) == 0 {
		return e
	}
	var sums [len(effects)]float64
	bad, mean := 0, 0.0
	for _, v := range servers {
		for j := range sums {
			sums[j] += min(limit, v.ratio[j]+v.against[j])
		}
		e.excluded += min(limit, v.excluded)
		e.count += v.n
		bad += v.bad
		mean += float64(v.bad) / float64(v.n)
	}
	top := sums[0]
	for _, s := range sums {
		top = max(top, s)
	}
	var total float64
	for _, s := range sums {
		total += math.Exp(s - top)
	}
	var oldMean float64
	for j, share := range shares {
		oldMean += c.old[j] * share
	}
	e.likelihood = top + math.Log(total/float64(len(sums)))
	e.vms = len(servers)
	e.share = float64(bad) / float64(e.count)
	e.difference = mean/float64(e.vms) - oldMean
	return e
}
