package main

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// homeEntries is the number of entries that a team prefers, and homeShare the share of its requests to them.
	homeEntries = 3
	homeShare   = 0.5
	// writeShare is the share of POST on routes that take them, keyedShare the share of those with an idempotency key.
	writeShare = 0.5
	keyedShare = 0.25
	// nestedShare is the share of requests with a nested call on routes that make them.
	nestedShare = 0.25
	// floodFactor is what a team over its rate sends, as a multiple of its rate.
	floodFactor = 5
)

// arrival is one request of the schedule.
type arrival struct {
	at     time.Duration // since the start of the traffic
	team   string
	route  *openRoute
	vm     int // where the caller sends it
	write  bool
	keyed  bool
	nested bool
	// inside is true where a token bucket with the team's rate and burst grants the request.
	inside bool
}

// plan is the traffic of a scenario. Flood lies in the time from floodFrom to floodTo.
type plan struct {
	user               *user
	rate               float64 // requests a second over all teams, without the flood
	length             time.Duration
	flood              bool
	floodFrom, floodTo time.Duration
	seed               uint64
}

// schedule draws a Poisson process for each team. The same plan gives the same schedule.
func (p *plan) schedule() []arrival {
	var all []arrival
	for i, team := range p.user.teams {
		rnd := rand.New(rand.NewPCG(p.seed, uint64(1000+i)))
		source := newSource(p.user, team, rnd)
		rate := p.user.doc.Teams[team].Rate
		usual := rate * p.rate / p.user.totalTeamRate
		list := source.draw(usual, 0, p.length)
		if p.flood && team == p.user.floodTeam {
			list = append(list, source.draw(floodFactor*rate-usual, p.floodFrom, p.floodTo)...)
			sortArrivals(list)
		}
		markInside(list, newBucket(rate, float64(p.user.doc.Teams[team].Burst)))
		all = append(all, list...)
	}
	sortArrivals(all)
	return all
}

func sortArrivals(list []arrival) {
	slices.SortStableFunc(list, func(a, b arrival) int { return int(a.at - b.at) })
}

// markInside marks what the bucket grants. list is sorted by time.
func markInside(list []arrival, b *bucket) {
	for i := range list {
		list[i].inside = b.take(list[i].at)
	}
}

// source draws the requests of one team.
type source struct {
	team   string
	rnd    *rand.Rand
	vms    int
	homes  []int
	routes []*openRoute
	// weights are the routes' shares of the requests: the number of backend servers of the route's service.
	weights []int
	total   int
}

func newSource(u *user, team string, rnd *rand.Rand) *source {
	s := &source{team: team, rnd: rnd, vms: u.servers()}
	s.homes = rnd.Perm(s.vms)[:homeEntries]
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

func (s *source) draw(rate float64, from, to time.Duration) []arrival {
	var list []arrival
	for at := from; ; {
		at += time.Duration(s.rnd.ExpFloat64() / rate * float64(time.Second))
		if at >= to {
			return list
		}
		list = append(list, s.arrival(at))
	}
}

func (s *source) arrival(at time.Duration) arrival {
	a := arrival{at: at, team: s.team, route: s.route(), vm: s.rnd.IntN(s.vms)}
	if s.rnd.Float64() < homeShare {
		a.vm = s.homes[s.rnd.IntN(homeEntries)]
	}
	a.write = a.route.write && s.rnd.Float64() < writeShare
	a.keyed = a.write && s.rnd.Float64() < keyedShare
	a.nested = a.route.nested != "" && s.rnd.Float64() < nestedShare
	return a
}

func (s *source) route() *openRoute {
	n := s.rnd.IntN(s.total)
	for i, w := range s.weights {
		if n < w {
			return s.routes[i]
		}
		n -= w
	}
	return s.routes[0]
}
