package rollout

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// load describes the responses of the servers of one version in a case of the verdict.
type load struct {
	vms, slices, perSlice int
	// failed and broken are shares of the responses of all servers, and slow that of responses that take four times as long.
	failed, broken, slow float64
	// gray servers fail nine of ten requests in slices from grayFrom on.
	gray, grayFrom int
	// badFrom is the first slice of failed, broken and slow, and route their only route.
	badFrom int
	route   string
	// atLoad makes half of the samples loaded, and the faults only occur in them.
	atLoad bool
	// burst is a slice in which half of the responses fail.
	burst int
	// lost servers send nothing after the first slice, in which half of their responses broke.
	lost int
	// cold servers have no latencies.
	cold bool
}

func (l load) samples(random *rand.Rand, isNew bool) (samples []Sample) {
	for vm := range l.vms {
		for slice := range l.slices {
			if vm < l.lost && slice > 0 {
				continue
			}
			s := Sample{VM: fmt.Sprint(isNew, vm), New: isNew, Slice: slice, Loaded: l.atLoad && slice%2 == 1, Routes: map[string]RouteCounts{}}
			for range l.perSlice {
				route := []string{"/a/", "/a/", "/b/"}[random.IntN(3)]
				c := s.Routes[route]
				c.Started++
				x := random.Float64()
				faulty := slice >= l.badFrom && (l.route == "" || route == l.route) && (!l.atLoad || s.Loaded)
				took := 100 * time.Millisecond
				switch {
				case vm < l.gray && slice >= l.grayFrom && x < 0.9, vm < l.lost && x < 0.5:
					c.Broken++
				case l.burst > 0 && slice == l.burst && x < 0.5, x < 0.01, faulty && x < l.failed:
					c.Failed++
				case faulty && x < l.broken:
					c.Broken++
				default:
					if faulty && x < l.slow {
						took *= 4
					}
					c.Succeeded++
					if !l.cold {
						c.Latency[LatencyBucket(took)]++
					}
				}
				s.Routes[route] = c
			}
			samples = append(samples, s)
		}
	}
	return samples
}

// Each case guards against a wrong verdict: a bad version that passes, or a good one that is rolled back for what single
// servers, a burst or a lost failure domain did.
func TestVerdict(t *testing.T) {
	old := load{vms: 40, slices: 5, perSlice: 6, gray: 8, grayFrom: 2}
	for _, c := range []struct {
		name     string
		old, new load
		want     []Judgement
	}{
		{"good", old, load{vms: 12, slices: 5, perSlice: 3, atLoad: true}, []Judgement{Good}},
		{"good, gray old server", load{vms: 40, slices: 5, perSlice: 6, gray: 1}, load{vms: 12, slices: 5, perSlice: 3, atLoad: true}, []Judgement{Good}},
		{"good, gray new servers", old, load{vms: 12, slices: 5, perSlice: 3, gray: 3, atLoad: true}, []Judgement{Good, Undecided}},
		{"good, cold", old, load{vms: 12, slices: 5, perSlice: 3, cold: true}, []Judgement{Undecided}},
		{"good, burst", load{vms: 40, slices: 5, perSlice: 6, burst: 2}, load{vms: 12, slices: 5, perSlice: 3, burst: 2, atLoad: true}, []Judgement{Good, Undecided}},
		{"good, lost failure domain", load{vms: 39, slices: 5, perSlice: 6, lost: 13}, load{vms: 12, slices: 5, perSlice: 3, lost: 4, atLoad: true}, []Judgement{Good, Undecided}},
		{"few samples", old, load{vms: 2, slices: 1, perSlice: 1}, []Judgement{Undecided}},
		{"no old samples", load{}, load{vms: 12, slices: 5, perSlice: 3, failed: 0.7}, []Judgement{Undecided}},
		{"fails 30%, same kind as gray", old, load{vms: 20, slices: 5, perSlice: 3, broken: 0.3}, []Judgement{Bad}},
		{"fails 30%, another kind", old, load{vms: 12, slices: 4, perSlice: 3, failed: 0.3}, []Judgement{Bad}},
		{"fails 70%", old, load{vms: 12, slices: 2, perSlice: 2, broken: 0.7}, []Judgement{Bad}},
		{"fails 60% at three servers", old, load{vms: 3, slices: 4, perSlice: 6, failed: 0.6}, []Judgement{Bad}},
		{"fails 60% at four servers", old, load{vms: 4, slices: 4, perSlice: 6, failed: 0.6}, []Judgement{Bad}},
		{"good, one of three servers gray", old, load{vms: 3, slices: 4, perSlice: 6, gray: 1}, []Judgement{Good, Undecided}},
		{"fails late", old, load{vms: 12, slices: 5, perSlice: 4, failed: 0.5, badFrom: 3}, []Judgement{Bad}},
		{"fails at load", old, load{vms: 12, slices: 5, perSlice: 3, failed: 0.5, atLoad: true}, []Judgement{Bad}},
		{"fails on a route", old, load{vms: 20, slices: 5, perSlice: 4, failed: 0.5, route: "/b/"}, []Judgement{Bad}},
		{"slow", old, load{vms: 12, slices: 4, perSlice: 3, slow: 0.5}, []Judgement{Bad}},
		{"slow late", old, load{vms: 12, slices: 5, perSlice: 4, slow: 0.5, badFrom: 3}, []Judgement{Bad}},
		{"slow on a route", old, load{vms: 20, slices: 5, perSlice: 4, slow: 0.5, route: "/b/"}, []Judgement{Bad}},
		{"slow at load", old, load{vms: 12, slices: 5, perSlice: 4, slow: 0.5, atLoad: true}, []Judgement{Bad}},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(20) {
				random := rand.New(rand.NewPCG(seed, 1))
				verdict := Judge(append(c.old.samples(random, false), c.new.samples(random, true)...))
				found := false
				for _, want := range c.want {
					found = found || verdict.Judgement == want
				}
				assert.Check(t, found, "seed %d: %+v", seed, verdict)
			}
		})
	}
}
