package outlier

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// ejectorRig runs one ejector and its holder. Permit requests are granted while granting is set; otherwise they get no
// reply.
type ejectorRig struct {
	now        time.Duration
	holder     *Holder
	ejector    *Ejector
	granting   bool
	faulty     bool
	ejected    []time.Duration // times of ejections
	readmitted []time.Duration // times of readmissions
	backoffs   []time.Duration
	probes     int
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
		if r.faulty && !r.ejector.Ejected("b", r.now) {
			v.Health, v.Cause = Faulty, CauseSlow
		}
		for _, a := range r.ejector.Step(r.now, []Verdict{v}) {
			switch a.Kind {
			case ActionEject:
				r.ejected = append(r.ejected, r.now)
				r.backoffs = append(r.backoffs, a.Backoff)
			case ActionReadmit:
				r.readmitted = append(r.readmitted, r.now)
			case ActionProbe:
				r.probes++
				r.ejector.ProbeResult("b", !r.faulty, r.now)
			}
		}
		for _, q := range r.holder.Poll(r.now) {
			if r.granting {
				r.holder.Receive(r.now, PermitReply{VM: q.VM, Server: q.Server, Run: q.Run, Number: q.Number, Granted: true})
			}
		}
	}
}

// TestReadmissionNeedsProbes guards against a server that is readmitted while its probes still fail, and against one
// that is not readmitted after it has recovered.
func TestReadmissionNeedsProbes(t *testing.T) {
	r := newEjectorRig()
	r.faulty = true
	r.run(20 * time.Second)
	assert.Equal(t, len(r.ejected), 1)
	assert.Equal(t, len(r.readmitted), 0)
	probeTime := time.Duration(r.probes) * ProbeCost
	assert.Assert(t, r.probes > 0 && probeTime <= time.Second+ProbeCost, "%d probes in 20 s", r.probes)
	r.faulty = false
	r.run(3 * time.Second)
	assert.Equal(t, len(r.readmitted), 1)
}

// TestBackoffDoublesAndIsForgiven guards against a flapping server that is ejected and readmitted at a constant rate.
func TestBackoffDoublesAndIsForgiven(t *testing.T) {
	r := newEjectorRig()
	for range 4 {
		r.faulty = true
		r.run(time.Second)
		r.faulty = false
		for r.ejector.Phase("b") != PhaseServing {
			r.run(time.Second)
		}
	}
	second := time.Second
	assert.DeepEqual(t, r.backoffs, []time.Duration{5 * second, 10 * second, 20 * second, 40 * second})
	r.run(10 * time.Minute)
	r.faulty = true
	r.run(second)
	assert.Equal(t, r.backoffs[4], 5*second)
}

// TestNoEjectionWithoutPermit guards against ejection without a permit, both before the grant and after renewals stop.
func TestNoEjectionWithoutPermit(t *testing.T) {
	r := newEjectorRig()
	r.granting = false
	r.faulty = true
	r.run(10 * time.Second)
	assert.Equal(t, len(r.ejected), 0)
	r.granting = true
	r.run(time.Second)
	assert.Equal(t, len(r.ejected), 1)
	r.granting = false
	stopped := r.now
	r.run(20 * time.Second)
	assert.Equal(t, len(r.readmitted), 1)
	assert.Assert(t, r.readmitted[0]-stopped <= PermitLifetime+100*time.Millisecond)
}

// TestPermitIsDroppedWithoutFault guards against a permit that is kept after the evidence has become weak, so that it
// blocks the ejection of other servers.
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
