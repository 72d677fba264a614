package outlier

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// fixedLimits is the baseline: it ejects a server when there were at least 5 requests within 3 s and more than half of
// them failed or their mean time exceeded a fixed limit of five times the usual service time.
type fixedLimits struct {
	name    string
	limit   time.Duration
	starts  map[uint64]time.Duration
	samples []sample
}

func (f *fixedLimits) Start(_ string, id uint64, now time.Duration) { f.starts[id] = now }

func (f *fixedLimits) Finish(_ string, id uint64, now time.Duration, failed bool) {
	f.samples = append(f.samples, sample{at: now, latency: now - f.starts[id], failed: failed})
	delete(f.starts, id)
}

func (f *fixedLimits) Evaluate(now time.Duration) []Verdict {
	f.samples = slices.DeleteFunc(f.samples, func(s sample) bool { return now-s.at > 3*time.Second })
	v := Verdict{Server: f.name, Service: "s"}
	var sum time.Duration
	for _, s := range f.samples {
		sum += s.latency
	}
	if n := len(f.samples); n >= 5 && (2*failures(f.samples) > n || sum/time.Duration(n) > f.limit) {
		v.Health, v.Cause, v.Score = Faulty, CauseFailing, 1
	}
	return []Verdict{v}
}

func newFixedLimits(name string, c detectCase) detector {
	return &fixedLimits{name: name, limit: 5 * c.medianTime, starts: make(map[uint64]time.Duration)}
}

func newPeerDetector(name string, _ detectCase) detector {
	d := NewDetector(Config{})
	d.AddServer(name, "s", false)
	return d
}

func faultActive(s *detectSim) bool { return s.now >= faultAt }

func slowBy(factor float64) func(*detectSim, *simGate) float64 {
	return func(s *detectSim, g *simGate) float64 {
		if g.index == 0 && faultActive(s) {
			return factor
		}
		return 1
	}
}

// overload makes all servers about eight times slower within two seconds, each with its own start and strength.
func overload(s *detectSim, g *simGate) float64 {
	since := (s.now - faultAt).Seconds() - g.variation
	return 1 + 7*g.variation*math.Max(0, math.Min(1, since/2))
}

// cold makes a server slower after its start, until it has served some requests.
func cold(s *detectSim, g *simGate) float64 {
	if g.index == 0 && faultActive(s) && g.served >= 1000 {
		g.served = 0
	}
	return 1 + 5*math.Exp(-float64(g.served)/60)
}

// coldStart is cold with the start announced: the server counts as warming until it has served 100 requests.
func coldStart(s *detectSim, g *simGate) float64 {
	factor := cold(s, g)
	if d, ok := g.detect.(*Detector); ok {
		d.SetWarming(g.name, g.served < 100)
	}
	return factor
}

func detectCases() []detectCase {
	const ms = time.Millisecond
	one := func(p float64, hang bool) func(*detectSim, *simGate) (bool, bool) {
		return func(s *detectSim, g *simGate) (bool, bool) {
			hit := g.index == 0 && faultActive(s) && s.rnd.Float64() < p
			return hit && !hang, hit && hang
		}
	}
	all := func(p float64) func(*detectSim, *simGate) (bool, bool) {
		return func(s *detectSim, _ *simGate) (bool, bool) { return faultActive(s) && s.rnd.Float64() < p, false }
	}
	flapping := func(s *detectSim, g *simGate) float64 {
		if g.index == 0 && faultActive(s) && (s.now-faultAt)%(8*time.Second) < 4*time.Second {
			return 10
		}
		return 1
	}
	pauses := func(s *detectSim, g *simGate) bool {
		return (s.now+time.Duration(g.index)*700*ms)%(7*time.Second) < time.Duration(g.variation*float64(time.Second))
	}
	// Only one gate pauses here, so that the latencies of its peers are normal.
	onePauses := func(s *detectSim, g *simGate) bool { return g.index == 0 && s.now%(3*time.Second) < 1500*ms }
	longPauses := func(s *detectSim, g *simGate) bool {
		return g.index == 0 &&
			(s.now+time.Duration(g.index)*1300*ms)%(6*time.Second) < time.Duration(g.variation*3*float64(time.Second))
	}
	oneWay := func(from, to *simGate) bool { return from.index%3 == 0 || to.index%3 != 0 }
	const slowName = "10 times slower"
	many := detectCase{servers: 12, rate: 20, medianTime: 20 * ms, logStdDev: 0.5}
	few := detectCase{servers: 6, rate: 1, medianTime: 20 * ms, logStdDev: 0.5}
	with := func(c detectCase, desc string, set func(c *detectCase)) detectCase {
		c.desc = desc
		set(&c)
		return c
	}
	fault := func(c *detectCase) { c.faulty, c.maxDelay = true, 3*time.Second }
	return []detectCase{
		with(many, "calm", func(c *detectCase) { c.noFalseEjections = true }),
		with(many, slowName, func(c *detectCase) { fault(c); c.factor = slowBy(10) }),
		with(many, slowName+", 100 ms", func(c *detectCase) { fault(c); c.factor, c.medianTime = slowBy(10), 100*ms }),
		with(many, "one in five hangs", func(c *detectCase) { fault(c); c.outcome = one(0.2, true) }),
		with(many, "all errors, fast", func(c *detectCase) { fault(c); c.outcome = one(1, false) }),
		with(many, "half errors, fast", func(c *detectCase) { fault(c); c.outcome = one(0.5, false) }),
		with(many, "flapping", func(c *detectCase) { c.faulty, c.factor = true, flapping }),
		with(many, "one-way partition", func(c *detectCase) { c.noFalseEjections, c.reaches = true, oneWay }),
		with(many, "one-way partition, slower", func(c *detectCase) { fault(c); c.factor, c.reaches = slowBy(10), oneWay }),
		with(many, "overload", func(c *detectCase) { c.noFalseEjections, c.factor = true, overload }),
		with(many, "overload, one-way", func(c *detectCase) {
			c.noFalseEjections, c.factor, c.reaches = true, overload, oneWay
		}),
		with(many, "errors everywhere", func(c *detectCase) { c.noFalseEjections, c.outcome = true, all(0.5) }),
		with(many, "cold start", func(c *detectCase) { c.noFalseEjections, c.factor = true, coldStart }),
		with(many, "cold without notice", func(c *detectCase) { c.noFalseEjections, c.factor = true, cold }),
		with(few, "6 servers, 1 req/s", func(c *detectCase) { c.noFalseEjections = true }),
		with(few, "6 servers, slower", func(c *detectCase) { c.faulty, c.factor = true, slowBy(10) }),
		with(few, "6 servers, errors", func(c *detectCase) { c.faulty, c.outcome = true, one(1, false) }),
		with(few, "6 servers, wide times", func(c *detectCase) { c.noFalseEjections, c.logStdDev = true, 1.2 }),
		with(few, "6 servers, long pauses", func(c *detectCase) { c.noFalseEjections, c.paused = true, longPauses }),
		with(many, "own pauses", func(c *detectCase) { c.noFalseEjections, c.paused = true, pauses }),
		with(many, "own pauses, one gate", func(c *detectCase) { c.noFalseEjections, c.paused = true, onePauses }),
		with(many, "own pauses, slower", func(c *detectCase) { c.faulty, c.factor, c.paused = true, slowBy(10), pauses }),
	}
}

// detectResult summarizes the runs of a scenario.
type detectResult struct {
	delays         []float64 // seconds from the fault to the ejection
	missed         int
	falseEjections int
}

// measure runs a scenario with the seeds from 1 to seeds, four runs at a time.
func measure(c detectCase, seeds int, newDetector func(string, detectCase) detector) detectResult {
	results := make([]detectResult, seeds)
	var wg sync.WaitGroup
	limit := make(chan struct{}, 4)
	for seed := range seeds {
		limit <- struct{}{}
		wg.Go(func() {
			s := newDetectSim(c, uint64(seed+1), newDetector)
			s.run()
			results[seed] = s.result()
			<-limit
		})
	}
	wg.Wait()
	var sum detectResult
	for _, r := range results {
		sum.delays = append(sum.delays, r.delays...)
		sum.missed += r.missed
		sum.falseEjections += r.falseEjections
	}
	slices.Sort(sum.delays)
	return sum
}

// result counts each ejection as false, except those of server 0 after it became faulty.
func (s *detectSim) result() detectResult {
	var r detectResult
	for _, g := range s.gates {
		if !s.c.faulty || g.index != 0 {
			r.falseEjections += len(g.ejections)
			continue
		}
		i := slices.IndexFunc(g.ejections, func(at time.Duration) bool { return at >= faultAt })
		if i < 0 {
			r.missed++
			r.falseEjections += len(g.ejections)
			continue
		}
		r.delays = append(r.delays, (g.ejections[i] - faultAt).Seconds())
		r.falseEjections += i
	}
	return r
}

func (r detectResult) String() string {
	delay := "             "
	if n := len(r.delays); n > 0 {
		delay = fmt.Sprintf("%5.2f %6.2f ", r.delays[n/2], r.delays[n-1])
	}
	return fmt.Sprintf("%s %6d %6d", delay, r.missed, r.falseEjections)
}

// BenchmarkDetection prints detection times and false ejections next to those of the baseline. Run it with -benchtime
// 1x. Times are simulated.
func BenchmarkDetection(b *testing.B) {
	const seeds = 20
	for b.Loop() {
		var table strings.Builder
		fmt.Fprintf(&table, "%d runs of %v for each case, seeds 1 to %d; times in s\n", seeds, runTime, seeds)
		fmt.Fprintf(&table, "%-26s | detector                    | fixed limits\n", "")
		fmt.Fprintf(&table, "%-26s | median    max missed  false | median    max missed  false\n", "")
		for _, c := range detectCases() {
			got, baseline := measure(c, seeds, newPeerDetector), measure(c, seeds, newFixedLimits)
			fmt.Fprintf(&table, "%-26s | %s | %s\n", c.desc, got, baseline)
		}
		fmt.Print(table.String()) // b.Log cuts long output
	}
}

// TestDetectionTargets guards against detection times and false ejections beyond the targets of the design: a server
// that is 10 times slower, hangs or fails at 20 requests per second is ejected within 3 s, and nothing is ejected
// during an overload, a cold start or pauses of the gates' own processes. Times are simulated.
func TestDetectionTargets(t *testing.T) {
	const seeds = 4
	for _, c := range detectCases() {
		if c.maxDelay > 0 || c.noFalseEjections {
			checkTargets(t, c, measure(c, seeds, newPeerDetector))
		}
	}
}

func checkTargets(t *testing.T, c detectCase, r detectResult) {
	if c.maxDelay > 0 {
		late := r.missed > 0 || r.delays[len(r.delays)-1] > c.maxDelay.Seconds()
		assert.Check(t, !late, "%s: %d missed, delays %v", c.desc, r.missed, r.delays)
	}
	if c.noFalseEjections {
		assert.Check(t, r.falseEjections == 0, "%s: %d false ejections", c.desc, r.falseEjections)
	}
}
