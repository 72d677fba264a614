package shares

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// aloneModel is a service that has lost half of its backend servers when a team begins to send part of the capacity through
// one entry without backend servers, which serves nobody else. Gates queue up to 3 s of work for each slot.
func aloneModel(vms int, part float64) *model {
	m := loadPatterns(vms)["half of the backend servers"]
	m.alone, m.waits, m.queue, m.length = true, true, 3, burstTo
	load, slots := m.load, m.slots
	m.slots = func(at time.Duration, vm int) float64 {
		if vm == 0 {
			return 0
		}
		return slots(at, vm)
	}
	capacity := 0.0
	for vm := range vms {
		capacity += m.slots(burstFrom, vm)
	}
	m.load = func(at time.Duration, team int) (float64, int) {
		switch {
		case team > 0:
			return load(at, team)
		case at >= burstFrom+3*time.Second && at < burstTo:
			return part * capacity, 0
		default:
			return 0, 0
		}
	}
	return m
}

// Guards against a division that does not count a team whose requests all enter at one VM that sees no refusal: gates queue as long
// as the owner corrects the rest, and the other teams get what is left, less than a quarter of the mean.
func TestTeamAtOneEntry(t *testing.T) {
	for _, vms := range []int{6, 30} {
		for _, part := range []float64{0.2, 0.6, 0.9, 1.2} {
			t.Run(fmt.Sprintf("%d VMs, %.2f of the capacity", vms, part), func(t *testing.T) {
				m := aloneModel(vms, part)
				m.run()
				from, to := burstFrom+5*time.Second, burstTo
				demand, admitted := m.work(from, to)
				own, ownAdmitted := m.work(from, to, 0)
				capacity := m.sum(from, to, func(t modelTick) float64 { return t.capacity })
				team, others, mean := ownAdmitted/own, (admitted-ownAdmitted)/(demand-own), admitted/demand
				t.Logf("team %.2f, others %.2f, mean %.2f of the demand; admitted %.2f of the capacity", team, others, mean, admitted/capacity)
				assert.Assert(t, min(team, others) >= mean/4)
				assert.Assert(t, admitted <= 1.1*capacity && admitted >= 0.9*capacity)
			})
		}
	}
}
