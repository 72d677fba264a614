package admission

import (
	"math"
	"time"
)

const (
	// slowFactor times the normal latency is slow. Below it, ordinary variance between requests would halve the slots.
	slowFactor = 3
	// growFactor times the normal latency is still normal. Successes between it and slowFactor neither grow nor halve,
	// because a backend server at its limit first answers a little slower.
	growFactor = 1.5
	// slowExcess is the least excess over the normal latency that is slow. Below it the scheduling of processes makes
	// requests of a fast service several times slower now and then.
	slowExcess = 10 * time.Millisecond
	// coldFactor times the normal latency is a sign of a cold backend server.
	coldFactor = 8
	// windowResults is the number of results that are judged together, so that one slow request changes nothing.
	windowResults = 8
	// normalRise and normalFall weigh a new latency sample above or below the normal latency. Falling is faster, because
	// the first samples of a cold backend server are too high.
	normalRise = 1.0 / 64
	normalFall = 1.0 / 4
)

// ramp sets the effective concurrency of one backend server. It starts cold, grows with successes at normal latency,
// halves on slowness and starts again when behaviour shows coldness.
type ramp struct {
	initial, slots, perSlot int

	// fixed keeps all slots in use: a rate bounds a cold backend server instead.
	fixed     bool
	effective int
	successes int
	// normal is the latency of requests that were not slow, in nanoseconds; 0 before the first one.
	normal float64
	// recent is a moving mean of all latencies, in nanoseconds.
	recent float64
	window resultWindow
	// epoch counts the reductions. Results of requests that started before the last one do not reduce again.
	epoch uint32
}

// resultWindow counts recent results since the last judgement.
type resultWindow struct {
	results, slow, cold int
}

func newRamp(cfg Config) ramp {
	r := ramp{
		initial:   cfg.InitialSlots,
		slots:     cfg.Slots,
		perSlot:   cfg.SuccessesPerSlot,
		effective: cfg.InitialSlots,
		fixed:     cfg.ColdRate > 0,
	}
	if r.fixed {
		r.effective = r.slots
	}
	return r
}

// configure changes the bounds. More slots are reached by growth.
func (r *ramp) configure(cfg Config) {
	r.initial = cfg.InitialSlots
	r.slots = cfg.Slots
	r.perSlot = cfg.SuccessesPerSlot
	r.fixed = cfg.ColdRate > 0
	r.effective = min(r.effective, r.slots)
	if r.fixed {
		r.effective = r.slots
	}
}

// reset returns to the cold state. The normal latency stays known where the backend server is the same instance.
func (r *ramp) reset(keepNormal bool) {
	r.effective = r.initial
	if r.fixed {
		r.effective = r.slots
	}
	r.successes = 0
	r.window = resultWindow{}
	r.epoch++
	if !keepNormal {
		r.normal = 0
	}
}

// observe records the end of a request that started in the given epoch.
func (r *ramp) observe(epoch uint32, latency time.Duration, result Result) {
	if result == Cancelled {
		return
	}
	r.recent += (float64(latency) - r.recent) / 8
	if epoch != r.epoch {
		return
	}
	if result == Overloaded {
		r.halve()
		return
	}
	normal, slow, cold := r.judge(latency, result)
	r.window.add(slow, cold)
	if normal {
		r.grow()
	}
	if r.window.results < windowResults {
		return
	}
	window := r.window
	r.window = resultWindow{}
	switch {
	case 4*window.cold >= 3*window.results:
		r.reset(true)
	case 2*window.slow >= window.results:
		r.halve()
	}
}

// judge compares one result with the normal latency and updates it. A failure counts as cold and slow.
func (r *ramp) judge(latency time.Duration, result Result) (normal, slow, cold bool) {
	if result == Failed {
		return false, true, true
	}
	sample := float64(latency)
	if r.normal == 0 {
		r.normal = sample
		return true, false, false
	}
	normal = sample <= growFactor*r.normal
	slow = sample > slowFactor*r.normal && sample-r.normal > float64(slowExcess)
	cold = slow && sample > coldFactor*r.normal
	weight := normalRise
	if sample < r.normal {
		weight = normalFall
	}
	r.normal += weight * (sample - r.normal)
	return normal, slow, cold
}

// wait estimates how long the last of n queued requests waits for its slot.
func (r *ramp) wait(n int) time.Duration {
	return time.Duration(float64(n) * r.recent / float64(r.effective))
}

// rate estimates how many requests a second can start while all slots are in use.
func (r *ramp) rate() float64 {
	if r.recent <= 0 {
		return math.Inf(1)
	}
	return float64(r.effective) / (r.recent / float64(time.Second))
}

func (r *ramp) grow() {
	r.successes++
	if r.successes < r.perSlot {
		return
	}
	r.successes = 0
	r.effective = min(r.effective+1, r.slots)
}

func (r *ramp) halve() {
	if r.fixed {
		return
	}
	r.effective = max(r.effective/2, 1)
	r.successes = 0
	r.window = resultWindow{}
	r.epoch++
}

func (w *resultWindow) add(slow, cold bool) {
	w.results++
	if slow {
		w.slow++
	}
	if cold {
		w.cold++
	}
}
