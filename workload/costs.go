package workload

import "time"

const (
	// CostHalfLife is the age at which a recorded cost has half its weight. At one request per second an estimate then
	// rests on about 90 requests, and follows a new version of a backend server within a minute or two.
	CostHalfLife = time.Minute
	// priorSamples is the number of samples of a route at which they count as much as the distribution of its service.
	priorSamples = 4
	// maxRoutes limits the routes of one service whose costs are kept. Each takes less than 1 KiB.
	maxRoutes = 256
	// maxServices limits the services whose costs are kept.
	maxServices = 64
)

// Costs learns the costs of requests: the time that a request holds a slot of a backend server of nominal speed. It
// handles routes whose costs spread by their own mean and have a heavy tail, at one to three requests per second.
type Costs struct {
	services map[string]*serviceCosts
}

type serviceCosts struct {
	all    histogram
	routes map[string]*histogram
}

// Estimate is what is known of the cost of a request.
type Estimate struct {
	Mean, Median time.Duration
}

// NewCosts returns Costs without samples.
func NewCosts() *Costs { return &Costs{services: map[string]*serviceCosts{}} }

// Record adds the cost of one request.
func (c *Costs) Record(now time.Duration, service, route string, cost time.Duration) {
	s, ok := c.services[service]
	if !ok {
		if len(c.services) >= maxServices {
			clear(c.services)
		}
		s = &serviceCosts{all: histogram{halfLife: CostHalfLife}, routes: map[string]*histogram{}}
		c.services[service] = s
	}
	s.all.record(now, cost)
	r, ok := s.routes[route]
	if !ok {
		if len(s.routes) >= maxRoutes {
			clear(s.routes)
		}
		r = &histogram{halfLife: CostHalfLife}
		s.routes[route] = r
	}
	r.record(now, cost)
}

// Forget drops the costs of a service.
func (c *Costs) Forget(service string) { delete(c.services, service) }

// Expect returns the expected cost of a request on a route. A route with few samples is mixed with the distribution of
// its service. ok is false if nothing is known of the service.
func (c *Costs) Expect(now time.Duration, service, route string) (e Estimate, ok bool) {
	s, ok := c.services[service]
	if !ok {
		return Estimate{}, false
	}
	e = Estimate{Mean: s.all.mean(), Median: s.all.quantile(0.5)}
	r, known := s.routes[route]
	if !known {
		return e, true
	}
	own := routeWeight(r.samples(now))
	e.Mean = mix(own, r.mean(), e.Mean)
	e.Median = mix(own, r.quantile(0.5), e.Median)
	return e, true
}

// Quantile returns the cost that the share q, 0 to 1, of the requests on a route does not exceed.
func (c *Costs) Quantile(now time.Duration, service, route string, q float64) (time.Duration, bool) {
	s, ok := c.services[service]
	if !ok {
		return 0, false
	}
	r, known := s.routes[route]
	if !known {
		return s.all.quantile(q), true
	}
	return mix(routeWeight(r.samples(now)), r.quantile(q), s.all.quantile(q)), true
}

// Remaining returns the expected remaining cost of a request on a route of which elapsed is done. With a heavy tail it
// grows with elapsed. A request that is longer than all samples is expected to need as long again.
func (c *Costs) Remaining(now time.Duration, service, route string, elapsed time.Duration) (time.Duration, bool) {
	s, ok := c.services[service]
	if !ok {
		return 0, false
	}
	rest, share := s.all.remaining(elapsed)
	if r, known := s.routes[route]; known {
		own := routeWeight(r.samples(now))
		ownRest, ownShare := r.remaining(elapsed)
		// Bayes: a request that runs this long is more likely of the distribution in which more requests do.
		fromRoute, fromService := own*ownShare, (1-own)*share
		if fromRoute+fromService > 0 {
			rest = mix(fromRoute/(fromRoute+fromService), ownRest, rest)
			share = fromRoute + fromService
		} else {
			share = 0
		}
	}
	if share <= 0 {
		return elapsed, true
	}
	return rest, true
}

// routeWeight returns the weight of a route's own distribution, by the number of its samples.
func routeWeight(samples float64) float64 { return samples / (samples + priorSamples) }

func mix(weight float64, a, b time.Duration) time.Duration {
	return time.Duration(weight*float64(a) + (1-weight)*float64(b))
}
