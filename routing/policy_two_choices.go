package routing

import "math/rand/v2"

// TwoChoices chooses the candidate with the lower cost of two random ones (power of two choices). Both come from the
// nearest tier in which a candidate has a free slot. The tiers are the own VM, the own failure domain, the own region
// and all other regions. If no candidate has a free slot, both come from all eligible candidates.
type TwoChoices struct{}

// tierReasons holds the reason for a choice from each tier, the nearest tier first.
var tierReasons = [...]Reason{ReasonOwnVM, ReasonOwnDomain, ReasonOwnRegion, ReasonFarRegion}

// Choose implements Policy. It makes one pass over the candidates.
func (TwoChoices) Choose(cands []Candidate, local Locality, exclude map[string]bool, rnd *rand.Rand) (int, Reason) {
	var withFreeSlot [len(tierReasons)]samplePair
	var all samplePair
	for i := range cands {
		c := &cands[i]
		if !eligible(c, exclude) {
			continue
		}
		all.sample(i, rnd)
		if hasFreeSlot(c) {
			withFreeSlot[tier(c, &local)].sample(i, rnd)
		}
	}
	for t := range withFreeSlot {
		if withFreeSlot[t].seen > 0 {
			return withFreeSlot[t].better(cands, rnd), tierReasons[t]
		}
	}
	if all.seen > 0 {
		return all.better(cands, rnd), ReasonLeastLoaded
	}
	return -1, ReasonNone
}

// tier returns the tier of a candidate, an index into tierReasons.
func tier(c *Candidate, local *Locality) int {
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

// samplePair is a uniform random sample of up to two different candidates (reservoir sampling).
type samplePair struct {
	first, second int
	seen          int
}

// sample offers the candidate with index i to the sample.
func (p *samplePair) sample(i int, rnd *rand.Rand) {
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

// better returns the index of the sampled candidate with the lower cost; a tie is broken at random.
func (p *samplePair) better(cands []Candidate, rnd *rand.Rand) int {
	if p.seen == 1 {
		return p.first
	}
	a, b := cost(&cands[p.first]), cost(&cands[p.second])
	if b < a || a == b && rnd.IntN(2) == 1 {
		return p.second
	}
	return p.first
}
