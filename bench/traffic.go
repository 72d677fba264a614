package main

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// preferredEntries is the number of entries that a team prefers. preferredShare is the share of its requests that it sends
	// only to these; it sends the others to all entries.
	preferredEntries = 3
	preferredShare   = 0.5
	// writeShare is the share of POST requests on routes that accept them. keyedShare is the share of these POST requests
	// that have an idempotency key.
	writeShare = 0.5
	keyedShare = 0.25
	// nestedShare is the share of requests that cause a nested call, on routes that have one.
	nestedShare = 0.25
	// floodFactor is the traffic of the flooding team, as a multiple of its rate.
	floodFactor = 5
)

// arrival is one request of the schedule.
type arrival struct {
	at     time.Duration // since the start of the traffic
	team   string
	route  *openRoute
	vm     int // index of the VM to which the caller sends it
	write  bool
	keyed  bool
	nested bool
	// insideRate is true if a token bucket with the team's rate and burst grants the request.
	insideRate bool
}

// plan describes the traffic of a scenario. With flood, one team sends floodFactor times its rate from floodStart to
// floodEnd.
type plan struct {
	user                 *user
	rate                 float64 // requests per second of all teams together, without the flood
	totalTime            time.Duration
	flood                bool
	floodStart, floodEnd time.Duration
	seed                 uint64
}

// schedule draws the requests of each team from a Poisson process. The same plan always gives the same schedule.
func (p *plan) schedule() []arrival {
	var all []arrival
	for i, team := range p.user.teams {
		rnd := rand.New(rand.NewPCG(p.seed, uint64(1000+i)))
		traffic := newTeamTraffic(p.user, team, rnd)
		rate := p.user.doc.Teams[team].Rate
		baseRate := rate * p.rate / p.user.totalTeamRate
		list := traffic.draw(baseRate, 0, p.totalTime)
		if p.flood && team == p.user.floodTeam {
			list = append(list, traffic.draw(floodFactor*rate-baseRate, p.floodStart, p.floodEnd)...)
			sortArrivals(list)
		}
		markInsideRate(list, newTokenBucket(rate, float64(p.user.doc.Teams[team].Burst)))
		all = append(all, list...)
	}
	sortArrivals(all)
	return all
}

func sortArrivals(list []arrival) {
	slices.SortStableFunc(list, func(a, b arrival) int { return int(a.at - b.at) })
}

// markInsideRate sets insideRate of each request that the bucket grants. list is sorted by time.
func markInsideRate(list []arrival, b *tokenBucket) {
	for i := range list {
		list[i].insideRate = b.takeToken(list[i].at)
	}
}

// teamTraffic draws the requests of one team.
type teamTraffic struct {
	team      string
	rnd       *rand.Rand
	vms       int
	preferred []int // indexes of VMs
	routes    []*openRoute
	// weights has the weight of each route: the number of backend servers of its service. total is their sum.
	weights []int
	total   int
}

func newTeamTraffic(u *user, team string, rnd *rand.Rand) *teamTraffic {
	s := &teamTraffic{team: team, rnd: rnd, vms: u.servers()}
	s.preferred = rnd.Perm(s.vms)[:preferredEntries]
	for i := range u.routes {
		r := &u.routes[i]
		if !slices.Contains(r.teams, team) {
			continue
		}
		s.routes = append(s.routes, r)
		for _, service := range u.services {
			if service.name == r.service {
				s.weights = append(s.weights, service.servers)
				s.total += service.servers
			}
		}
	}
	return s
}

// draw returns random requests between the two times, sorted by time. rate is their mean number per second.
func (s *teamTraffic) draw(rate float64, from, to time.Duration) []arrival {
	var list []arrival
	for at := from; ; {
		at += time.Duration(s.rnd.ExpFloat64() / rate * float64(time.Second))
		if at >= to {
			return list
		}
		list = append(list, s.arrival(at))
	}
}

func (s *teamTraffic) arrival(at time.Duration) arrival {
	a := arrival{at: at, team: s.team, route: s.route(), vm: s.rnd.IntN(s.vms)}
	if s.rnd.Float64() < preferredShare {
		a.vm = s.preferred[s.rnd.IntN(preferredEntries)]
	}
	a.write = a.route.write && s.rnd.Float64() < writeShare
	a.keyed = a.write && s.rnd.Float64() < keyedShare
	a.nested = a.route.nested != "" && s.rnd.Float64() < nestedShare
	return a
}

// route returns a random route, chosen by weight.
func (s *teamTraffic) route() *openRoute {
	n := s.rnd.IntN(s.total)
	for i, w := range s.weights {
		if n < w {
			return s.routes[i]
		}
		n -= w
	}
	return s.routes[0]
}
