package outlier

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// ejectorRig runs one ejector with a holder whose requests are granted as long as granting is set.
type ejectorRig struct {
	now      time.Duration
	holder   *Holder
	ejector  *Ejector
	granting bool
	sick     bool
	ejected  []time.Duration // times of ejections
	returned []time.Duration
	backoffs []time.Duration
	probes   int
}

func newEjectorRig() *ejectorRig {
	r := &ejectorRig{holder: NewHolder("vm", 1), granting: true}
	r.ejector = NewEjector(EjectorConfig{}, r.holder)
	r.ejector.AddServer("b", "s", 5, 0)
	return r
}

func (r *ejectorRig) run(d time.Duration) {
	for end := r.now + d; r.now < end; r.now += 100 * time.Millisecond {
		v := Verdict{Server: "b", Service: "s"}
		if r.sick && !r.ejector.Ejected("b", r.now) {
			v.Health, v.Cause = Faulty, CauseSlow
		}
		for _, a := range r.ejector.Step(r.now, []Verdict{v}) {
			switch a.Kind {
			case ActionEject:
				r.ejected = append(r.ejected, r.now)
				r.backoffs = append(r.backoffs, a.Backoff)
			case ActionReadmit:
				r.returned = append(r.returned, r.now)
			case ActionProbe:
				r.probes++
				r.ejector.ProbeResult("b", !r.sick, r.now)
			}
		}
		for _, q := range r.holder.Poll(r.now) {
			if r.granting {
				r.holder.Receive(r.now, PermitReply{VM: q.VM, Server: q.Server, Run: q.Run, Number: q.Number, Granted: true})
			}
		}
	}
}

// Guards against a server that comes back while probes still fail, and against one that stays out after it recovered.
func TestReadmissionNeedsProbes(t *testing.T) {
	r := newEjectorRig()
	r.sick = true
	r.run(20 * time.Second)
	assert.Equal(t, len(r.ejected), 1)
	assert.Equal(t, len(r.returned), 0)
	probeTime := time.Duration(r.probes) * ProbeCost
	assert.Assert(t, r.probes > 0 && probeTime <= time.Second+ProbeCost, "%d probes in 20 s", r.probes)
	r.sick = false
	r.run(3 * time.Second)
	assert.Equal(t, len(r.returned), 1)
}

// Guards against a flapping server that is ejected and readmitted at a constant pace.
func TestBackoffDoublesAndIsForgiven(t *testing.T) {
	r := newEjectorRig()
	for range 4 {
		r.sick = true
		r.run(time.Second)
		r.sick = false
		for r.ejector.Phase("b") != PhaseServing {
			r.run(time.Second)
		}
	}
	second := time.Second
	assert.DeepEqual(t, r.backoffs, []time.Duration{5 * second, 10 * second, 20 * second, 40 * second})
	r.run(10 * time.Minute)
	r.sick = true
	r.run(second)
	assert.Equal(t, r.backoffs[4], 5*second)
}

// Guards against ejection without a permit: before the grant, and after renewals stop.
func TestNoEjectionWithoutPermit(t *testing.T) {
	r := newEjectorRig()
	r.granting = false
	r.sick = true
	r.run(10 * time.Second)
	assert.Equal(t, len(r.ejected), 0)
	r.granting = true
	r.run(time.Second)
	assert.Equal(t, len(r.ejected), 1)
	r.granting = false
	stopped := r.now
	r.run(20 * time.Second)
	assert.Equal(t, len(r.returned), 1)
	assert.Assert(t, r.returned[0]-stopped <= PermitLifetime+100*time.Millisecond)
}

// Guards against a permit that is kept, and takes capacity from other ejections, after the evidence became weak.
func TestPermitIsDroppedWithoutFault(t *testing.T) {
	h := NewHolder("vm", 1)
	e := NewEjector(EjectorConfig{}, h)
	e.AddServer("b", "s", 5, 0)
	e.Step(0, []Verdict{{Server: "b", Health: Faulty}})
	assert.Equal(t, e.Phase("b"), PhaseAsking)
	assert.Equal(t, len(h.Poll(0)), 1)
	e.Step(2*time.Second, []Verdict{{Server: "b", Health: Suspect}})
	assert.Equal(t, e.Phase("b"), PhaseServing)
	released := h.Poll(2 * time.Second)
	assert.Assert(t, len(released) == 1 && released[0].Release)
}
