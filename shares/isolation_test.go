package shares

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an owner that was frozen or cut off and then compares the first reports with the slots of the few VMs that
// sent them: an entry without slots would be told to refuse everything.
func TestInterruptedOwnerBeginsAnew(t *testing.T) {
	const lost, back = 5 * time.Second, 8 * time.Second
	for desc, frozen := range map[string]bool{"frozen": true, "cut off": false} {
		t.Run(desc, func(t *testing.T) {
			d := NewDecider(Config{Start: -settleTime})
			d.Announce(map[string]float64{"a": 4, "b": 4, "c": 4})
			sequence, vms := uint64(0), []string{"entry", "a", "b", "c"}
			for at := time.Duration(0); at < back+4*time.Second; at += 500 * time.Millisecond {
				for i, vm := range vms {
					if at >= lost && at < back && (frozen || vm != "entry") {
						continue // the owner's own entry reports while the owner is cut off
					}
					now, slots := at+time.Duration(i)*100*time.Millisecond, 4.0
					if vm == "entry" {
						slots = 0
					}
					sequence++
					d.Receive(now, Report{VM: vm, Sequence: sequence, PeriodMs: 500, Slots: slots, Demand: []Demand{{Team: "t", WorkMs: 3000}}})
					short := d.Decide(now).Short
					if now >= back {
						assert.Assert(t, !short || d.Status().Capacity == 12, "short at %s, capacity %v", now, d.Status().Capacity)
						assert.Assert(t, !short || !frozen || now >= back+settleTime, "short at %s", now)
					}
				}
				assert.Assert(t, at < settleTime || at >= lost && at < back+2*settleTime || d.Status().Short, "not short at %s", at)
			}
		})
	}
}

// Guards against a decision that binds an entry for longer than 1.5 s after its owner could make it, because the reply was
// delayed, and against one of a former owner, whose clock may be ahead, that arrives after one of the next owner.
func TestDelayedDecisionsExpireInTime(t *testing.T) {
	a := NewAdmitter(Config{})
	refuseAll := Decision{Sequence: 9, Short: true, Ranks: []Rank{{Share: 0}}}
	a.Receive(0, refuseAll)
	assert.Assert(t, a.Short(DefaultValidFor) && !a.Short(DefaultValidFor+1))
	a.Receive(2*time.Second, Decision{Sequence: 1})
	refuseAll.Sequence++
	a.Receive(time.Second, refuseAll)
	assert.Assert(t, !a.Short(2*time.Second+1), "a late decision of the former owner is used")
}
