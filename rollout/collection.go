package rollout

import (
	"sort"
	"time"
)

// Sample is what the servers of one version on one VM answered within one slice of the rollout's time.
type Sample struct {
	VM    string
	New   bool
	Slice int
	// Loaded reports whether the servers ran at the load that the loaded phase aims at. A slice has a sample for each load.
	Loaded bool
	// ByArrival reports that the gate told by the load at the arrival of a request whether its result belongs to a loaded sample.
	// Otherwise the load between two reports decides.
	ByArrival bool
	Routes    map[string]RouteCounts
	// Unended holds, for each route, requests without a result. Only the newest samples of a gate have it.
	Unended map[string]Unended
}

// Unended describes the requests of a route that have no result yet, or had none when others of the same time had.
type Unended struct {
	// Running is the number of requests without a result. A failure may come at once while successful responses take a second,
	// so just after the traffic moved the results alone would show mostly failures.
	Running int
	// Overdue is the number of running requests that already take longer than a slow response.
	Overdue int
	// Young is the number of responses to requests that arrived so lately that slow ones of the same time still run.
	// Counting them would make a version look faster than it is.
	Young int
	// Due is the number of requests that arrived early enough for slow responses to come in the last recentSlices, and so late that
	// none came before. Slow responses of that time relate to them, and not to the faster responses of the same time, which
	// requests that arrived later got. It is negative if it is not known.
	Due int
}

type gateKey struct {
	vm  string
	new bool
}

// gateRecord holds what one VM reported for the servers of one version.
type gateRecord struct {
	last Report
	at   time.Duration
	// before counts the arrivals of earlier incarnations.
	before uint64
	// coldRunning is the number of requests of each route and load that ran when the servers were last cold. They may take longer.
	coldRunning map[routeLoad]int
	history     []arrival
	slices      []Sample
	grant       grant
}

// arrival is what a gate had reported at a time.
type arrival struct {
	at     time.Duration
	report Report
}

// arrivalLoad selects counts by the load at the arrival of their requests.
type arrivalLoad int

const (
	anyLoad arrivalLoad = iota
	belowLoad
	atLoad
)

// loadsByArrival are those of gates that tell the load at arrival.
var (
	loadsByArrival = []arrivalLoad{belowLoad, atLoad}
	loadsUnknown   = []arrivalLoad{anyLoad}
)

type routeLoad struct {
	route string
	load  arrivalLoad
}

// loads returns the loads that the report distinguishes.
func (r *Report) loads() []arrivalLoad {
	if r.AtLoad == nil {
		return loadsUnknown
	}
	return loadsByArrival
}

// counts returns the counts of a route for a load.
func (r *Report) counts(route string, l arrivalLoad) RouteCounts {
	switch l {
	case atLoad:
		return r.AtLoad[route]
	case belowLoad:
		below, _ := since(r.Routes[route], r.AtLoad[route])
		return below
	default:
		return r.Routes[route]
	}
}

// overdueHistory bounds the arrivals that are kept to recognise overdue requests.
const overdueHistory = 128

// collection holds the newest report of each gate and the samples made from them. The load pattern is reports that are lost,
// late or duplicated, and gates that restart: counts are cumulative, the newest sequence of the newest incarnation wins, and
// the counts of earlier incarnations remain.
type collection struct {
	plan  Plan
	slice time.Duration
	gates map[gateKey]*gateRecord
}

// minSlice is twice the report interval of gates with servers of the old version.
const (
	minSlice      = 2 * time.Second
	slicesPerPlan = 8
)

func newCollection(plan Plan) *collection {
	return &collection{plan: plan, slice: max(minSlice, plan.Duration/slicesPerPlan), gates: map[gateKey]*gateRecord{}}
}

// add takes a report and returns the gate's record, or nil if the report is of another rollout or not newer than the last one.
// The elapsed time decides the slice to which the new counts belong.
func (c *collection) add(elapsed time.Duration, r Report, loadedAt float64) *gateRecord {
	if r.Rollout != c.plan.ID || r.Service != c.plan.Service || r.VM == "" {
		return nil
	}
	key := gateKey{r.VM, r.Version == c.plan.NewVersion}
	g := c.gates[key]
	var previous Report
	switch {
	case g == nil:
		g = &gateRecord{}
		c.gates[key] = g
	case r.Incarnation < g.last.Incarnation, r.Incarnation == g.last.Incarnation && r.Sequence <= g.last.Sequence:
		return nil
	case r.Incarnation > g.last.Incarnation:
		g.before += g.last.Arrived
		g.history = g.history[:0]
		g.grant.restart()
		g.coldRunning = nil
	default:
		previous = g.last
	}
	// Requests that do not fill half of the slots are at load in comparison with the others, which gates do not know.
	loads := loadsUnknown
	if loadedAt >= loadedFrom {
		loads = r.loads()
	}
	filled := func(r *Report) bool { return r.Slots > 0 && float64(r.Running) > loadedAt*float64(r.Slots) }
	for _, l := range loads {
		current := g.current(r.VM, key.new, int(elapsed/c.slice), l == atLoad || l == anyLoad && (filled(&r) || filled(&previous)), l != anyLoad)
		for route := range r.Routes {
			delta, grew := since(r.counts(route, l), previous.counts(route, l))
			if grew {
				total := current.Routes[route]
				sum(&total, &delta)
				current.Routes[route] = total
			}
		}
	}
	if r.Slots == 0 || previous.Sequence > 0 && previous.Slots == 0 {
		g.coldRunning = map[routeLoad]int{}
		for route := range r.Routes {
			for _, l := range r.loads() {
				counts := r.counts(route, l)
				g.coldRunning[routeLoad{route, l}] = counts.unended()
			}
		}
	}
	g.last, g.at = r, elapsed
	if len(g.history) == overdueHistory {
		g.history = append(g.history[:0], g.history[1:]...)
	}
	g.history = append(g.history, arrival{elapsed, r})
	return g
}

// current returns the sample of the slice and load. Samples are in the order of their slices.
func (g *gateRecord) current(vm string, isNew bool, slice int, loaded, byArrival bool) *Sample {
	if n := len(g.slices); n > 0 {
		slice = max(slice, g.slices[n-1].Slice)
	}
	for i := len(g.slices) - 1; i >= 0 && g.slices[i].Slice == slice; i-- {
		if g.slices[i].Loaded == loaded && g.slices[i].ByArrival == byArrival {
			return &g.slices[i]
		}
	}
	g.slices = append(g.slices, Sample{VM: vm, New: isNew, Slice: slice, Loaded: loaded, ByArrival: byArrival, Routes: map[string]RouteCounts{}})
	return &g.slices[len(g.slices)-1]
}

func (c *RouteCounts) ended() int { return int(c.Succeeded) + int(c.Failed) + int(c.Broken) }

// settled returns the requests that no longer run.
func (c *RouteCounts) settled() int { return c.ended() + int(c.Shed) }

func (c *RouteCounts) unended() int { return max(0, int(c.Started)-c.settled()) }

// unended returns the requests of a route without a result. Those that surely have run for longer than limit are overdue:
// they arrived before and have no result yet. Without them, a version of which half of the requests do not end within the
// rollout would look like one without faults.
func (g *gateRecord) unended(route string, l arrivalLoad, limit time.Duration) (u Unended) {
	counts := g.last.counts(route, l)
	u.Running = min(counts.unended(), g.last.Running)
	if limit <= 0 {
		return u
	}
	started := 0
	for i := len(g.history) - 1; i >= 0; i-- {
		if a := g.history[i]; a.at <= g.at-limit {
			before := a.report.counts(route, l)
			started = int(before.Started)
			break
		}
	}
	u.Young = max(0, counts.settled()-started)
	if g.last.Slots > 0 {
		u.Overdue = max(0, min(started-counts.settled(), u.Running)-g.coldRunning[routeLoad{route, l}])
	}
	return u
}

// samples returns all samples in a fixed order. Overdue requests count for the newest sample of their gate, or its newest
// sample at load if it had one. limits has the least time of a slow response for each route.
func (c *collection) samples(limits map[string]time.Duration) []Sample {
	var all []Sample
	newest := 0
	for _, g := range c.gates {
		if n := len(g.slices); n > 0 {
			newest = max(newest, g.slices[n-1].Slice)
		}
	}
	from := time.Duration(newest-recentSlices+1) * c.slice
	for _, key := range c.keys() {
		g := c.gates[key]
		first := len(all)
		all = append(all, g.slices...)
		own := all[first:]
		if len(own) == 0 {
			continue
		}
		for i := range own {
			own[i].Unended = map[string]Unended{}
		}
		for route := range g.last.Routes {
			for _, l := range g.last.loads() {
				g.addUnended(own, route, l, limits[route])
			}
			last := own[len(own)-1].Unended[route]
			last.Due = g.due(route, from, limits[route])
			own[len(own)-1].Unended[route] = last
		}
	}
	return all
}

// due returns Unended.Due for the time that begins at from.
func (g *gateRecord) due(route string, from, limit time.Duration) int {
	first := g.history[0]
	known := first.at - time.Duration(first.report.KnownMs)*time.Millisecond
	if limit <= 0 || from-limit > known+minSlice && from-limit < first.at {
		return -1
	}
	begin, end := uint32(0), uint32(0)
	for i := range g.history {
		counts := g.history[i].report.Routes[route]
		started := counts.Started - min(counts.Shed, counts.Started)
		if g.history[i].at <= from-limit {
			begin = started
		}
		if g.history[i].at <= g.at-limit {
			end = started
		}
	}
	return int(end - min(begin, end))
}

// addUnended adds the requests of a route and load without a result to the newest of the gate's samples with that load.
func (g *gateRecord) addUnended(own []Sample, route string, l arrivalLoad, limit time.Duration) {
	u := g.unended(route, l, limit)
	newest, newestLoaded := -1, -1
	for i := range own {
		if l == anyLoad || !own[i].ByArrival || own[i].Loaded == (l == atLoad) {
			newest = i
			if own[i].Loaded {
				newestLoaded = i
			}
		}
	}
	if newest < 0 {
		return
	}
	if newestLoaded < 0 {
		newestLoaded = newest
	}
	for i := newest; i >= 0; i-- {
		if l != anyLoad && own[i].ByArrival && own[i].Loaded != (l == atLoad) {
			continue
		}
		counts := own[i].Routes[route]
		part := own[i].Unended[route]
		young := min(u.Young, counts.ended()-part.Young)
		part.Young += young
		u.Young -= young
		if i == newest {
			part.Running += u.Running
		}
		if i == newestLoaded {
			part.Overdue += u.Overdue
		}
		own[i].Unended[route] = part
	}
}

func (c *collection) keys() []gateKey {
	keys := make([]gateKey, 0, len(c.gates))
	for key := range c.gates {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool {
		return keys[i].vm < keys[j].vm || keys[i].vm == keys[j].vm && !keys[i].new && keys[j].new
	})
	return keys
}

// Totals are the counts of the servers of one version.
type Totals struct {
	// Gates is the number of VMs that reported, and Slots that of the slots of those that reported lately.
	Gates   int
	Slots   int
	Running int
	// Arrived includes the requests of earlier incarnations of the gates.
	Arrived uint64
	Routes  map[string]RouteCounts
}

// Bad returns the number of responses that failed or broke.
func (t Totals) Bad() (n uint64) {
	for _, counts := range t.Routes {
		n += uint64(counts.Failed) + uint64(counts.Broken)
	}
	return n
}

// reportsLostAfter is three report intervals of a gate with servers of the old version: what it reported then no longer counts
// as its present state.
const reportsLostAfter = 3 * time.Second

func (c *collection) totals(elapsed time.Duration, isNew bool) Totals {
	t := Totals{Routes: map[string]RouteCounts{}}
	for key, g := range c.gates {
		if key.new != isNew {
			continue
		}
		t.Gates++
		t.Arrived += g.before + g.last.Arrived
		if elapsed-g.at <= reportsLostAfter {
			t.Slots += g.last.Slots
			t.Running += g.last.Running
		}
		for i := range g.slices {
			for route, counts := range g.slices[i].Routes {
				total := t.Routes[route]
				sum(&total, &counts)
				t.Routes[route] = total
			}
		}
	}
	return t
}

// arrived returns the arrivals at the servers of both versions.
func (c *collection) arrived() (n uint64) {
	for _, g := range c.gates {
		n += g.before + g.last.Arrived
	}
	return n
}

// rate returns the requests per second at both versions, from the last seconds of each gate that reports. Reports of old
// gates are a second apart, so the sum of counts is behind by half of that.
func (c *collection) rate(elapsed time.Duration) (rate float64) {
	for _, g := range c.gates {
		if elapsed-g.at > reportsLostAfter {
			continue
		}
		first, span := uint64(0), time.Duration(g.last.KnownMs)*time.Millisecond
		for _, a := range g.history {
			if g.at-a.at >= reportsLostAfter {
				first, span = a.report.Arrived, g.at-a.at
			}
		}
		rate += float64(g.last.Arrived-min(first, g.last.Arrived)) / max(0.5, span.Seconds())
	}
	return rate
}

func sum(total, more *RouteCounts) {
	total.Started += more.Started
	total.Succeeded += more.Succeeded
	total.Failed += more.Failed
	total.Broken += more.Broken
	total.Shed += more.Shed
	for i, n := range more.Latency {
		total.Latency[i] += n
	}
}

// since returns the counts that were added between two reports of an incarnation.
func since(now, before RouteCounts) (delta RouteCounts, grew bool) {
	sub := func(a, b uint32) uint32 {
		if a <= b {
			return 0
		}
		grew = true
		return a - b
	}
	delta.Started = sub(now.Started, before.Started)
	delta.Succeeded = sub(now.Succeeded, before.Succeeded)
	delta.Failed = sub(now.Failed, before.Failed)
	delta.Broken = sub(now.Broken, before.Broken)
	delta.Shed = sub(now.Shed, before.Shed)
	for i := range now.Latency {
		delta.Latency[i] = sub(now.Latency[i], before.Latency[i])
	}
	return delta, grew
}
