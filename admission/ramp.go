package admission

import "time"

const (
	// slowFactor is the multiple of the baseline latency above which a response is slow. With a lower factor, the
	// ordinary variance between requests would halve the slots.
	slowFactor = 3
	// normalFactor is the multiple of the baseline latency up to which a response is normal. Responses between it and
	// slowFactor neither add nor halve slots, because a backend server at its limit becomes only a little slower at
	// first.
	normalFactor = 1.5
	// minSlowExcess is the least difference from the baseline latency for a slow response, in addition to slowFactor.
	// Below it, process scheduling occasionally makes requests of a fast service several times slower.
	minSlowExcess = 10 * time.Millisecond
	// coldFactor is the multiple of the baseline latency above which a slow response indicates a cold backend server.
	coldFactor = 8
	// windowSize is the number of results that are evaluated together, so that a single slow request has no effect.
	windowSize = 8
	// baselineRiseWeight and baselineFallWeight are the weights of a latency sample above and below the baseline. The
	// baseline falls faster than it rises, because the first samples of a cold backend server are too high.
	baselineRiseWeight = 1.0 / 64
	baselineFallWeight = 1.0 / 4
)

// ramp sets the number of requests that one backend server may have in flight. It starts with the slots for a cold
// server, adds a slot after a number of successes at normal latency, halves the slots on slow or overloaded results
// and restarts when the results indicate a cold server.
type ramp struct {
	initial, slots, successesPerSlot int

	// fixed makes all slots available at all times, because Config.ColdRate limits a cold backend server instead.
	fixed bool
	pace
	// successes counts the normal results since the last change of the slots.
	successes int
	// baseline is the usual latency in nanoseconds, a moving average of successful requests; 0 before the first one.
	baseline float64
	window   resultWindow
	// epoch counts the reductions of the slots. Results of requests that started before the last reduction cannot
	// cause another one.
	epoch uint32
}

// resultWindow counts the results since the last evaluation.
type resultWindow struct {
	results, slow, cold int
}

func newRamp(cfg Config) ramp {
	r := ramp{
		initial:          cfg.InitialSlots,
		slots:            cfg.Slots,
		successesPerSlot: cfg.SuccessesPerSlot,
		pace:             pace{effective: cfg.InitialSlots},
		fixed:            cfg.ColdRate > 0,
	}
	if r.fixed {
		r.effective = r.slots
	}
	return r
}

// configure applies new settings. A higher number of slots is reached step by step.
func (r *ramp) configure(cfg Config) {
	r.initial = cfg.InitialSlots
	r.slots = cfg.Slots
	r.successesPerSlot = cfg.SuccessesPerSlot
	r.fixed = cfg.ColdRate > 0
	r.effective = min(r.effective, r.slots)
	if r.fixed {
		r.effective = r.slots
	}
}

// reset returns to the cold state. keepBaseline keeps the baseline latency; use it when the backend server is still the
// same instance.
func (r *ramp) reset(keepBaseline bool) {
	r.effective = r.initial
	if r.fixed {
		r.effective = r.slots
	}
	r.successes = 0
	r.window = resultWindow{}
	r.epoch++
	if !keepBaseline {
		r.baseline = 0
	}
}

// observe records the result of a request that started in the given epoch.
func (r *ramp) observe(epoch uint32, latency time.Duration, result Result) {
	if result == Cancelled {
		return
	}
	r.record(latency, result)
	if epoch != r.epoch {
		return
	}
	if result == Overloaded {
		r.halve()
		return
	}
	normal, slow, cold := r.classify(latency, result)
	r.window.add(slow, cold)
	if normal {
		r.grow()
	}
	if r.window.results < windowSize {
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

// classify compares a result with the baseline latency and updates the baseline. A failure counts as cold and slow.
func (r *ramp) classify(latency time.Duration, result Result) (normal, slow, cold bool) {
	if result == Failed {
		return false, true, true
	}
	sample := float64(latency)
	if r.baseline == 0 {
		r.baseline = sample
		return true, false, false
	}
	normal = sample <= normalFactor*r.baseline
	slow = sample > slowFactor*r.baseline && sample-r.baseline > float64(minSlowExcess)
	cold = slow && sample > coldFactor*r.baseline
	weight := baselineRiseWeight
	if sample < r.baseline {
		weight = baselineFallWeight
	}
	r.baseline += weight * (sample - r.baseline)
	return normal, slow, cold
}

// grow counts a normal result and adds a slot after every successesPerSlot of them.
func (r *ramp) grow() {
	r.successes++
	if r.successes < r.successesPerSlot {
		return
	}
	r.successes = 0
	r.effective = min(r.effective+1, r.slots)
}

// halve halves the slots, down to at least 1.
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
