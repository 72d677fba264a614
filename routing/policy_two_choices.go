package routing

import "math/rand/v2"

// TwoChoices takes the better of two random candidates of the nearest tier that has room. The tiers are the own VM,
// the own failure domain, the own region and all other regions. When no tier has room, it takes the better of two
// random candidates of all.
type TwoChoices struct{}

var tierReasons = [...]Reason{ReasonOwnVM, ReasonOwnDomain, ReasonOwnRegion, ReasonFarRegion}

// Choose implements Policy.
func (TwoChoices) Choose(cands []Candidate, local Local, exclude map[string]bool, rnd *rand.Rand) (int, Reason) {
	for t, reason := range tierReasons {
		inTier := func(c *Candidate) bool { return tier(c, &local) == t }
		if i := betterOfTwo(cands, exclude, rnd, inTier); i >= 0 && hasRoom(&cands[i]) {
			return i, reason
		}
	}
	all := func(*Candidate) bool { return true }
	if i := betterOfTwo(cands, exclude, rnd, all); i >= 0 {
		return i, ReasonLeastLoaded
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

// betterOfTwo samples two different candidates evenly in one pass and returns the one with the lower rank, or -1.
func betterOfTwo(cands []Candidate, exclude map[string]bool, rnd *rand.Rand, accept func(*Candidate) bool) int {
	first, second, seen := -1, -1, 0
	for i := range cands {
		if !eligible(&cands[i], exclude) || !accept(&cands[i]) {
			continue
		}
		seen++
		switch {
		case first < 0:
			first = i
		case second < 0:
			second = i
		default:
			if j := rnd.IntN(seen); j == 0 {
				first = i
			} else if j == 1 {
				second = i
			}
		}
	}
	if second >= 0 && better(&cands[second], &cands[first], rnd) {
		return second
	}
	return first
}

func better(a, b *Candidate, rnd *rand.Rand) bool {
	ra, rb := rank(a), rank(b)
	if ra == rb {
		return rnd.IntN(2) == 0
	}
	return ra < rb
}
