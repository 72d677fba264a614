package routing

import "math/rand/v2"

// TwoChoices takes the better of two random candidates of the nearest tier that has room. The tiers are the own VM,
// the own failure domain, the own region and all other regions. When no tier has room, it takes the better of two
// random candidates of all.
type TwoChoices struct{}

var tierReasons = [...]Reason{ReasonOwnVM, ReasonOwnDomain, ReasonOwnRegion, ReasonFarRegion}

// Choose implements Policy in one pass over the candidates.
func (TwoChoices) Choose(cands []Candidate, local Local, exclude map[string]bool, rnd *rand.Rand) (int, Reason) {
	var withRoom [len(tierReasons)]pair
	var all pair
	for i := range cands {
		c := &cands[i]
		if !eligible(c, exclude) {
			continue
		}
		all.sample(i, rnd)
		if hasRoom(c) {
			withRoom[tier(c, &local)].sample(i, rnd)
		}
	}
	for t := range withRoom {
		if withRoom[t].seen > 0 {
			return withRoom[t].better(cands, rnd), tierReasons[t]
		}
	}
	if all.seen > 0 {
		return all.better(cands, rnd), ReasonLeastLoaded
	}
	return -1, ReasonNone
}

// tier returns the distance class of a candidate, an index into tierReasons.
func tier(c *Candidate, local *Local) int {
	switch {
	case c.VM == local.VM:
		return 0
	case c.Domain == local.Domain:
		return 1
	case local.Region != "" && local.Regions[c.Domain] == local.Region:
		return 2
	}
	return 3
}

// pair is an even random sample of up to two different candidates of a stream.
type pair struct {
	first, second int
	seen          int
}

func (p *pair) sample(i int, rnd *rand.Rand) {
	p.seen++
	switch p.seen {
	case 1:
		p.first = i
	case 2:
		p.second = i
	default:
		switch rnd.IntN(p.seen) {
		case 0:
			p.first = i
		case 1:
			p.second = i
		}
	}
}

// better returns the index with the lower rank; equal ranks are decided at random.
func (p *pair) better(cands []Candidate, rnd *rand.Rand) int {
	if p.seen == 1 {
		return p.first
	}
	a, b := rank(&cands[p.first]), rank(&cands[p.second])
	if b < a || a == b && rnd.IntN(2) == 1 {
		return p.second
	}
	return p.first
}
