package routing

import "math/rand/v2"

// LeastCompletion chooses the candidate at which the request is expected to end first, of two random ones. Both come from
// the nearest tier in which a candidate is expected to start the request at once, or else from all eligible candidates.
// It handles requests whose costs differ by a factor of ten and backend servers of different speed, where the numbers of
// requests say little about the work. The random pair keeps entries with the same reports from choosing the same
// candidate. Where nothing is known of the cost, it chooses as TwoChoices.
type LeastCompletion struct{}

const (
	// startsAtOnceShare is the share of the request's own cost below which a wait counts as none. A shorter wait does not
	// justify the bytes of a request to another failure domain.
	startsAtOnceShare = 0.25
	// slowSpeed is the speed below which the own VM has no precedence over other VMs of its failure domain.
	slowSpeed = 0.5
)

// Choose implements Policy. It makes one pass over the candidates.
func (LeastCompletion) Choose(cands []Candidate, local Locality, exclude map[string]bool, rnd *rand.Rand) (int, Reason) {
	var atOnce [len(tierReasons)]samplePair
	var all samplePair
	for i := range cands {
		c := &cands[i]
		if !eligible(c, exclude) {
			continue
		}
		all.sample(i, rnd)
		if startsAtOnce(c) {
			atOnce[completionTier(c, &local)].sample(i, rnd)
		}
	}
	for t := range atOnce {
		if atOnce[t].seen > 0 {
			i := atOnce[t].sooner(cands, rnd)
			return i, tierReasons[tier(&cands[i], &local)]
		}
	}
	if all.seen > 0 {
		return all.sooner(cands, rnd), ReasonLeastCompletion
	}
	return -1, ReasonNone
}

// startsAtOnce reports whether the request is expected to start without a noticeable wait, over a usable path.
func startsAtOnce(c *Candidate) bool {
	if c.Work.Cost <= 0 {
		return hasFreeSlot(c)
	}
	return c.Capacity >= 1 && c.PathPenalty < usablePath &&
		float64(c.ExpectedStart()) <= startsAtOnceShare*float64(c.Work.Cost)
}

// completionTier returns the tier of a candidate. A slow own VM is in the tier of its failure domain.
func completionTier(c *Candidate, local *Locality) int {
	t := tier(c, local)
	if t == 0 && c.ExpectedSpeed() < slowSpeed {
		return 1
	}
	return t
}

// sooner returns the index of the sampled candidate with the earlier completion; a tie is broken at random. If one of them
// is not known, the counts decide.
func (p *samplePair) sooner(cands []Candidate, rnd *rand.Rand) int {
	if p.seen == 1 {
		return p.first
	}
	a, b := cands[p.first].ExpectedCompletion(), cands[p.second].ExpectedCompletion()
	if a == 0 || b == 0 {
		return p.better(cands, rnd)
	}
	if b < a || a == b && rnd.IntN(2) == 1 {
		return p.second
	}
	return p.first
}
