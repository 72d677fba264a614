package admission

import (
	"math"
	"time"
)

// concurrencyLimit decides how many requests one backend server may have in flight.
type concurrencyLimit interface {
	// slotsInUse returns the number of requests that may be in flight now.
	slotsInUse() int
	// configure applies new settings.
	configure(cfg Config)
	// reset starts again for a backend server that returns to service, or for a new instance of it. keepBaseline is
	// true if the instance is the same.
	reset(keepBaseline bool)
	// follow takes over from another limit. Results of requests that started under that one cause no reduction.
	follow(previous concurrencyLimit)
	currentEpoch() uint32
	// advance applies what depends on the time only. running is the number of requests in flight since the last call.
	advance(now time.Duration, running int)
	// started returns what ended needs to know about a request that starts now. running is the number of requests in
	// flight, with this one.
	started(expectedCost time.Duration, running int) startMark
	// ended records the result of a request.
	ended(now time.Duration, start startMark, latency time.Duration, result Result)
	// takeChanges returns the changes of the limit since the last call, oldest first.
	takeChanges() []LimitChange
	// estimateWait estimates how long the last of n queued requests waits for its slot.
	estimateWait(n int) time.Duration
	// throughput estimates how many requests per second can start while all allowed slots are in use; +Inf before the
	// first result.
	throughput() float64
	// latency returns a moving average of the time for which a request holds its slot, in nanoseconds.
	latency() float64
}

// startMark is what a limit knew when a request started.
type startMark struct {
	epoch uint32
	// occupancy is the integral of the number of running requests over time, in request-nanoseconds.
	occupancy float64
	// expectedCost is the expected time from the start to the response; 0 means unknown.
	expectedCost time.Duration
	at           time.Duration
	// running is the number of requests in flight at the start, with this one. A request that is shed a moment later
	// may end when others have ended already.
	running int
}

// newLimit returns the limit that the settings select.
func newLimit(cfg Config) concurrencyLimit {
	if cfg.Adaptive {
		return newAdaptiveLimit(cfg)
	}
	r := newRamp(cfg)
	return &r
}

// reconfigured returns the limit after a change of settings. Another kind of limit starts from its own beginning, and
// results of requests that started before are of an epoch that it ignores.
func reconfigured(limit concurrencyLimit, previous, cfg Config) concurrencyLimit {
	if previous.Adaptive == cfg.Adaptive {
		limit.configure(cfg)
		return limit
	}
	next := newLimit(cfg)
	next.follow(limit)
	return next
}

// LimitCause is why the limit of a backend server changed. Its text appears in logs and metrics.
type LimitCause string

// Causes of changes.
const (
	// LimitShed means that the backend server sheds most requests that start beside so many others.
	LimitShed LimitCause = "shed"
	// LimitSlow means that requests took longer than expected while many ran, and not while few ran.
	LimitSlow LimitCause = "slow-under-load"
	// LimitFault means that the backend server also shed while it was nearly idle, so that an earlier reduction because
	// of shedding was wrong.
	LimitFault LimitCause = "shed-while-idle"
	// LimitQuiet means that there was no evidence of overload for some time.
	LimitQuiet LimitCause = "quiet"
)

// LimitChange is one change of the limit of a backend server, with its inputs.
type LimitChange struct {
	Cause    LimitCause
	From, To int
	// Running is the number of requests in flight at the decision.
	Running int
	// Slowdown is, for LimitSlow, the measured ratio between the times of requests with many and with few others.
	Slowdown float64
	// Evidence is the age of the oldest evidence; for LimitQuiet, the time without any.
	Evidence time.Duration
}

// pace is the number of requests that may be in flight together with the time that each takes.
type pace struct {
	// effective is the number of requests that may be in flight.
	effective int
	// meanLatency is a moving average of the latency of all requests but cancelled and shed ones, in nanoseconds.
	meanLatency float64
}

// record adds the latency of a request that was not cancelled.
func (p *pace) record(latency time.Duration, result Result) {
	if result != Overloaded {
		// A backend server sheds in a moment; that tells nothing about the time for which a request holds its slot.
		p.meanLatency += (float64(latency) - p.meanLatency) / 8
	}
}

func (p *pace) slotsInUse() int { return p.effective }

func (p *pace) latency() float64 { return p.meanLatency }

func (p *pace) estimateWait(n int) time.Duration {
	return time.Duration(float64(n) * p.meanLatency / float64(p.effective))
}

func (p *pace) throughput() float64 {
	if p.meanLatency <= 0 {
		return math.Inf(1)
	}
	return float64(p.effective) / (p.meanLatency / float64(time.Second))
}

// advance implements concurrencyLimit. The ramp changes only with results.
func (r *ramp) advance(time.Duration, int) {}

func (r *ramp) started(time.Duration, int) startMark { return startMark{epoch: r.epoch} }

func (r *ramp) ended(_ time.Duration, start startMark, latency time.Duration, result Result) {
	r.observe(start.epoch, latency, result)
}

func (r *ramp) follow(previous concurrencyLimit) {
	r.epoch = previous.currentEpoch() + 1
	r.meanLatency = previous.latency()
}

func (r *ramp) currentEpoch() uint32 { return r.epoch }

func (r *ramp) takeChanges() []LimitChange { return nil }
