package proxy

import (
	"time"

	"rosemaryline.dev/fleet/config"
	"rosemaryline.dev/routing"
)

// maxTrialsPerRequest is the number of tripped circuit breakers that one request tests. Each test that the gate refuses, because
// another entry's request tests the backend server already, costs a hop. Load pattern: 30% of the backend servers of a service
// fail at a time and a hundred entries look for the ones that have recovered: requests took up to 17 hops.
const maxTrialsPerRequest = 2

// mayTest reports whether a request may test another tripped circuit breaker. Services without the adaptive concurrency limit
// keep their former behaviour.
func (r *router) mayTest(req *Request) bool {
	return req.MayFail && (req.trials < maxTrialsPerRequest || !r.isAdaptive(req.Service))
}

// isAdaptive reports whether a service has the adaptive concurrency limit.
func (r *router) isAdaptive(service string) bool {
	settings, ok := r.opts.Fleet.Service(service)
	return ok && settings.Concurrency == config.ConcurrencyAdaptive
}

// avoidUntilTrial makes requests that may not be repeated avoid a target until its gate admits one of them as a trial, as it said
// with its refusal, if that is later than they would anyway. The gate notifies the entries that it refused when the backend
// server recovers earlier. The caller holds mu.
func (r *router) avoidUntilTrial(target routing.Target, trialIn, now time.Duration) {
	if r.isAdaptive(target.Service) {
		r.trippedBreakers.Extend(target, now+trialIn+routing.PressedTrialTime)
	}
}

// firstTrialHost returns the index of the host from which a trial is looked for. Entries that share their reports know of the same
// due trials, and must not all choose the first one.
func (r *router) firstTrialHost(service string, hosts int) int {
	if hosts == 0 || !r.opts.Reports.uses(service) {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.IntN(hosts)
}
