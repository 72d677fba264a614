package rollout

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// What all gates may start together must stay within the share of the bound, whatever is lost, late or doubled: the entries
// cannot keep it, since each of hundreds sees two requests per second.
func TestAllowances(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := modelSettings
		plan := Plan{ID: "1", Service: "s", NewVersion: "v2", Duration: 16 * time.Second, Phase: Canary}
		d := New(settings, plan, 0)
		plan.Decision, plan.Percent = 1, 10
		d.Apply(0, plan)
		type gate struct {
			allowance         Allowance
			arrived, sequence uint64
			incarnation       uint64
		}
		type message struct {
			vm    int
			r     Report
			reply Reply
			sent  bool
		}
		gates := make([]gate, rapid.IntRange(1, 8).Draw(t, "gates"))
		for i := range gates {
			gates[i].incarnation = 1
		}
		var waiting []message
		old, spent := uint64(0), uint64(0)
		now := time.Duration(0)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now += 10 * time.Millisecond
			i := rapid.IntRange(0, len(gates)-1).Draw(t, "gate")
			g := &gates[i]
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0, 1:
				for range rapid.IntRange(1, 5).Draw(t, "requests") {
					if g.allowance.Admit(g.arrived) {
						g.arrived++
						spent++
					}
				}
			case 2, 3:
				g.sequence++
				r := Report{VM: string(rune('a' + i)), Incarnation: g.incarnation, Sequence: g.sequence, Rollout: "1", Service: "s",
					Version: "v2", Arrived: g.arrived, Slots: 10}
				g.allowance.Fill(&r)
				waiting = append(waiting, message{vm: i, r: r})
			case 4:
				old += 10
				d.Report(now, Report{VM: "old", Incarnation: 1, Sequence: old, Rollout: "1", Service: "s", Version: "v1", Arrived: old, Slots: 10})
			case 5:
				for range min(len(waiting), 3) {
					// Any message in flight arrives; a report may arrive again, and its reply be lost.
					n := rapid.IntRange(0, len(waiting)-1).Draw(t, "message")
					m := &waiting[n]
					if !m.sent {
						waiting = append(waiting, message{vm: m.vm, r: m.r, reply: d.Report(now, m.r), sent: true})
						continue
					}
					if gates[m.vm].incarnation == m.r.Incarnation {
						gates[m.vm].allowance.Replied(m.r.Sequence, m.reply)
					}
					waiting = append(waiting[:n], waiting[n+1:]...)
				}
			case 6:
				if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
					*g = gate{incarnation: g.incarnation + 1}
				}
			}
			bound := allowedShare * (settings.ExposureShare*float64(old+spent) + float64(settings.ExposureSlack))
			assert.Assert(t, float64(spent) <= bound, "%d requests, %.0f allowed", spent, bound)
		}
	})
}

// drive runs a decider with steady reports of two old and two new servers and returns its decisions.
func drive(t *testing.T, d *Decider, plan Plan, from, to time.Duration, change func(now time.Duration, r *Report)) []Decision {
	t.Helper()
	var decisions []Decision
	for now := from; now <= to; now += 100 * time.Millisecond {
		n := uint32(now/(100*time.Millisecond)) + 1
		for _, vm := range []string{"o1", "o2", "n1", "n2"} {
			r := Report{VM: vm, Incarnation: 1, Sequence: uint64(n), Rollout: plan.ID, Service: plan.Service, Version: "v1", Applied: d.Plan().Decision,
				Slots: 10, Running: 0, KnownMs: now.Milliseconds()}
			counts := RouteCounts{Started: n, Succeeded: n}
			counts.Latency[10] = n
			if vm[0] == 'n' {
				r.Version, r.Running = "v2", 7
			}
			r.Arrived, r.Routes = uint64(n), map[string]RouteCounts{"/": counts}
			if change != nil {
				change(now, &r)
			}
			d.Report(now, r)
		}
		if decision, ok := d.Step(now); ok {
			decisions = append(decisions, decision)
			plan.Decision++
			plan.Phase, plan.Percent, plan.Servers, plan.Elapsed = decision.Phase, decision.Percent, decision.Servers, decision.Elapsed
			d.Apply(now, plan)
		}
	}
	return decisions
}

func TestDeciderTimeline(t *testing.T) {
	plan := Plan{ID: "1", Service: "s", NewVersion: "v2", Duration: 16 * time.Second, Phase: Canary}
	last := func(decisions []Decision) Decision {
		assert.Assert(t, len(decisions) > 0)
		return decisions[len(decisions)-1]
	}
	settings := modelSettings

	decisions := drive(t, New(settings, plan, 0), plan, 0, plan.Duration, nil)
	assert.Equal(t, last(decisions).Phase, Completed)
	for _, d := range decisions {
		assert.Assert(t, d.Phase != Cutover || d.Elapsed >= plan.Duration/2 && d.Elapsed < plan.Duration*2/3, "%+v", d)
	}
	// Too few slots of the new servers.
	d := last(drive(t, New(settings, plan, 0), plan, 0, plan.Duration, func(_ time.Duration, r *Report) {
		if r.Version == "v2" {
			r.Slots = 3
		}
	}))
	assert.Equal(t, d.Phase, RolledBack)
	// An old gate that is behind holds up completion until the deadline.
	d = last(drive(t, New(settings, plan, 0), plan, 0, plan.Duration, func(_ time.Duration, r *Report) {
		if r.VM == "o2" {
			r.Applied = 1
		}
	}))
	assert.Equal(t, d.Phase, Completed)
	assert.Assert(t, d.Elapsed >= plan.Duration-settleBefore)
	// The new servers are lost in cutover.
	d = last(drive(t, New(settings, plan, 0), plan, 0, plan.Duration, func(now time.Duration, r *Report) {
		if r.Version == "v2" && now > 9*time.Second {
			r.Slots = 0
		}
	}))
	assert.Equal(t, d.Phase, RolledBack)
	// A leader that takes over knows the time since the order from the gates, and does not miss the deadline.
	taken := plan
	taken.Decision, taken.Percent, taken.Elapsed = 2, 8, time.Second
	decisions = drive(t, New(settings, taken, 6*time.Second), taken, 6*time.Second, plan.Duration, nil)
	assert.Assert(t, decisions[0].Elapsed >= 6*time.Second+takeoverRound, "%+v", decisions[0])
	assert.Assert(t, last(decisions).Phase.Final())
}
