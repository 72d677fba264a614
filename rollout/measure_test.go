package rollout

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"text/tabwriter"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var (
	measureSeeds = flag.Int("rollout.seeds", 0, "seeds of each kind of version for TestMeasure, 0 to skip it")
	measureVMs   = flag.Int("rollout.vms", 0, "fleet size for TestMeasure, 0 for 90")
	measureGray  = flag.Bool("rollout.gray", false, "let TestMeasure have 30% gray servers at any time")
	runKnownRed  = flag.Bool("rollout.red", false, "run the cases of TestTargets that are listed in KNOWN-RED.txt")
	measureFirst = flag.Int("rollout.first", 1, "first seed of TestMeasure")
	measureKind  = flag.String("rollout.kind", "", "run TestMeasure only for kinds that contain this")
	measureTrace = flag.String("rollout.trace", "", "print the decisions of TestMeasure for kinds that contain this")
)

func measuredCase(seed, vms int, kind badness, alwaysGray bool) modelConfig {
	return modelConfig{seed: uint64(seed), vms: vms, kind: kind, duration: 16 * time.Second, alwaysGray: alwaysGray,
		sameKind: seed%2 == 0, exchange: seed%5 == 0, restarts: seed%3 == 0}
}

// knownRed holds the cases of TestTargets that fail, as in KNOWN-RED.txt.
var knownRed = map[string]bool{}

// TestTargets guards against a good version that is not completed, and a bad one that is not rolled back or gets more requests
// than the bound. The fleet is the typical one of 90 VMs.
func TestTargets(t *testing.T) {
	for _, kind := range modelKinds {
		for seed := 1; seed <= 5; seed++ {
			t.Run(fmt.Sprintf("%s/%d", kind.name, seed), func(t *testing.T) {
				if name := fmt.Sprintf("%s/%d", kind.name, seed); knownRed[name] && !*runKnownRed {
					t.Skip("listed in KNOWN-RED.txt")
				}
				r := runModel(measuredCase(seed, 90, kind, false))
				want := Completed
				if kind.bad() {
					want = RolledBack
					assert.Check(t, float64(r.exposed) <= r.bound(), "%d requests, bound %.0f", r.exposed, r.bound())
					assert.Check(t, r.toRollBack <= modelSettings.RollbackAfter)
				}
				assert.Check(t, r.phase == want, "%s: %s", r.phase, r.reason)
				assert.Equal(t, r.late, 0)
			})
		}
	}
}

// TestMeasure prints what the model shows for each kind of version: the share with the right end, the requests that a bad
// version got before it was rolled back, relative to the bound, and the time to the roll-back.
func TestMeasure(t *testing.T) {
	if *measureSeeds == 0 {
		t.Skip("needs -rollout.seeds")
	}
	vms := *measureVMs
	if vms == 0 {
		vms = 90
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "version\tseeds\tright\tend: median\tworst\trequests: median\tworst\tof bound: worst\tover bound\troll-back: worst\tlate\tmissed seeds")
	for _, kind := range modelKinds {
		if !strings.Contains(kind.name, *measureKind) {
			continue
		}
		results := make([]modelResult, *measureSeeds)
		var group sync.WaitGroup
		limit := make(chan struct{}, min(3, runtime.GOMAXPROCS(0)))
		for i := range results {
			group.Add(1)
			limit <- struct{}{}
			go func() {
				defer func() { <-limit; group.Done() }()
				results[i] = runModel(measuredCase(*measureFirst+i, vms, kind, *measureGray))
			}()
		}
		group.Wait()
		right, over, late := 0, 0, 0
		var missed []string
		var requests []int
		var ends []time.Duration
		worst, slowest := 0.0, time.Duration(0)
		for i, r := range results {
			want := Completed
			if kind.bad() {
				want = RolledBack
				if float64(r.exposed) > r.bound() {
					over++
				}
				slowest = max(slowest, r.toRollBack)
				worst = max(worst, float64(r.exposed)/r.bound())
			}
			if r.phase == want {
				right++
			}
			if r.phase != want || kind.bad() && float64(r.exposed) > r.bound() {
				missed = append(missed, fmt.Sprint(*measureFirst+i))
			}
			if *measureTrace != "" && strings.Contains(kind.name, *measureTrace) {
				fmt.Printf("%s seed %d: %s exposed %d of %.0f\n  %s\n", kind.name, *measureFirst+i, r.phase, r.exposed, r.bound(), strings.Join(r.steps, "\n  "))
			}
			late += r.late
			requests = append(requests, r.exposed)
			ends = append(ends, r.elapsed)
		}
		slices.Sort(requests)
		slices.Sort(ends)
		n := len(results)
		fmt.Fprintf(w, "%s\t%d\t%.1f%%\t%.1f s\t%.1f s\t%d\t%d\t%.2f\t%d\t%.1f s\t%d\t%s\n", kind.name, n, 100*float64(right)/float64(n),
			ends[n/2].Seconds(), ends[n-1].Seconds(), requests[n/2], requests[n-1], worst, over, slowest.Seconds(), late, strings.Join(missed, " "))
	}
	w.Flush()
}

// The rules that hold for each run, whatever the verdict: what a bad version gets before cutover stays within the bound, it gets
// nothing later than RollbackAfter after its 50th bad response, the rollout has ended at the deadline, and no old server starts
// a request after completed.
func TestModelRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := modelConfig{
			seed:       rapid.Uint64Range(1, 1<<20).Draw(t, "seed"),
			vms:        rapid.SampledFrom([]int{6, 6, 6, 30, 30, 90}).Draw(t, "vms"),
			kind:       rapid.SampledFrom(modelKinds).Draw(t, "kind"),
			duration:   time.Duration(rapid.IntRange(12, 20).Draw(t, "seconds")) * time.Second,
			sameKind:   rapid.Bool().Draw(t, "same kind"),
			exchange:   rapid.Bool().Draw(t, "exchange"),
			restarts:   rapid.Bool().Draw(t, "restarts"),
			alwaysGray: rapid.Bool().Draw(t, "always gray"),
			// Gates of earlier builds.
			earlierGates: rapid.Bool().Draw(t, "earlier gates"),
		}
		checkRules(t, c, runModel(c))
	})
}

// The same rules on the largest fleet.
func TestModelRulesLarge(t *testing.T) {
	for seed := range uint64(2) {
		for _, kind := range []badness{modelKinds[0], modelKinds[4]} {
			c := modelConfig{seed: seed + 1, vms: 355, kind: kind, duration: 16 * time.Second, exchange: seed == 1, restarts: seed == 1}
			checkRules(t, c, runModel(c))
		}
	}
}

func checkRules(t assert.TestingT, c modelConfig, r modelResult) {
	if c.kind.bad() {
		assert.Assert(t, float64(r.exposedBefore) <= r.bound(), "%d requests, bound %.0f", r.exposedBefore, r.bound())
		if r.phase == RolledBack {
			assert.Assert(t, r.toRollBack <= modelSettings.RollbackAfter, "%v", r.toRollBack)
		}
	}
	assert.Assert(t, r.phase.Final(), "%s: %s", r.phase, strings.Join(r.steps, "\n"))
	assert.Equal(t, r.late, 0)
}
