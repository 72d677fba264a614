package routing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against new work for a VM after its last row said draining or lapsed, after its failure domain was taken out,
// or after it was removed, in any order of late rows and reports. The oracle keeps the newest statement of each kind.
func TestDirectoryNeverOffersLeavingVMs(t *testing.T) {
	vms := []string{"vm0", "vm1", "vm2", "vm3"}
	domainOf := map[string]string{"vm0": "d0", "vm1": "d0", "vm2": "d1", "vm3": "d2"}
	rapid.Check(t, func(t *rapid.T) {
		d, paths := NewDirectory(), NewPathHealth()
		states, out := map[string]State{}, map[string]bool{}
		rnd := newRand(rapid.Uint64().Draw(t, "seed"))
		now := time.Minute
		vm := func(t *rapid.T) string { return rapid.SampledFrom(vms).Draw(t, "vm") }
		at := func(t *rapid.T) time.Duration {
			return now - time.Duration(rapid.IntRange(0, 9).Draw(t, "late"))*time.Second
		}
		t.Repeat(map[string]func(*rapid.T){
			"row": func(t *rapid.T) {
				name, state := vm(t), State(rapid.IntRange(0, int(StateTakenOut)).Draw(t, "state"))
				d.SetRow("s", name, domainOf[name], Row{Capacity: 5, State: state}, at(t))
				states[name] = state
			},
			"report": func(t *rapid.T) { d.Report("s", vm(t), 5, 1, 0, at(t)) },
			"start":  func(t *rapid.T) { d.Started("s", vm(t)) },
			"fail":   func(t *rapid.T) { paths.Failure(vm(t), now) },
			"remove": func(t *rapid.T) {
				name := vm(t)
				d.RemoveVM(name)
				delete(states, name)
			},
			"domain": func(t *rapid.T) {
				domain := rapid.SampledFrom([]string{"d0", "d1", "d2"}).Draw(t, "domain")
				out[domain] = rapid.Bool().Draw(t, "out")
				d.SetDomainOut(domain, out[domain])
			},
			"wait": func(t *rapid.T) { now += time.Second },
			"": func(t *rapid.T) {
				allowed := 0
				for name, state := range states {
					if state == StateServing && !out[domainOf[name]] {
						allowed++
					}
				}
				cands := d.Candidates(nil, "s", now, paths)
				i, _ := TwoChoices{}.Choose(cands, testLocal, nil, rnd)
				assert.Equal(t, i >= 0, allowed > 0)
				if i >= 0 {
					state, known := states[cands[i].VM]
					assert.Assert(t, known && state == StateServing && !out[cands[i].Domain], "chose %+v", cands[i])
				}
			},
		})
	})
}

// Guards against many requests to one VM between two of its reports.
func TestDirectoryCountsOwnRequestsUntilReport(t *testing.T) {
	d := NewDirectory()
	d.SetRow("s", "vm1", "d0", Row{Capacity: 5}, 0)
	d.Started("s", "vm1")
	d.Started("s", "vm1")
	inFlight := func() float64 { return d.Candidates(nil, "s", time.Second, NewPathHealth())[0].InFlight }
	assert.Equal(t, inFlight(), 2.0)
	d.Report("s", "vm1", 5, 1, 0, time.Second)
	assert.Equal(t, inFlight(), 1.0)
}
