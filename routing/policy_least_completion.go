package routing

import "math/rand/v2"

// LeastCompletion chooses the candidate at which the request is expected to end first, of two random ones. Both come from
// the nearest tier in which a candidate is expected to start the request at once, or else from all eligible candidates. A
// candidate of another failure domain is chosen only if the request ends clearly sooner there, because bytes between failure
// domains are scarce. It handles requests whose costs differ by a factor of ten and backend servers of different speed,
// where the numbers of requests say little about the work. The random pair keeps entries with the same reports from choosing
// the same candidate. Where nothing is known of the cost, it chooses as TwoChoices.
type LeastCompletion struct{}

const (
	// startsAtOnceShare is the share of the request's own cost below which a wait counts as none.
	startsAtOnceShare = 0.25
	// crossingShare is the share of the request's own cost that it must gain by going to another failure domain.
	crossingShare = 0.25
	// slowSpeed is the speed below which the own VM has no precedence over other VMs of its failure domain.
	slowSpeed = 0.5
)

// Choose implements Policy. It makes one pass over the candidates.
func (LeastCompletion) Choose(cands []Candidate, local Locality, exclude map[string]bool, rnd *rand.Rand) (int, Reason) {
	var atOnce [len(tierReasons)]samplePair
	var all, near samplePair
	own := -1
	for i := range cands {
		c := &cands[i]
		if !eligible(c, exclude) {
			continue
		}
		if c.VM == local.VM && c.Work.Cost > 0 {
			own = i
		}
		all.sample(i, rnd)
		if c.Domain == local.Domain && c.Work.Cost > 0 && c.PathPenalty < usablePath {
			near.sample(i, rnd)
		}
		if startsAtOnce(c) {
			atOnce[completionTier(c, &local)].sample(i, rnd)
		}
	}
	if all.seen == 0 {
		return -1, ReasonNone
	}
	chosen, reason := -1, ReasonLeastCompletion
	for t := range atOnce {
		if atOnce[t].seen > 0 {
			chosen = atOnce[t].sooner(cands, rnd)
			reason = tierReasons[tier(&cands[chosen], &local)]
			break
		}
	}
	if chosen < 0 {
		chosen = all.sooner(cands, rnd)
	}
	if near.seen > 0 && cands[chosen].Domain != local.Domain {
		i := near.sooner(cands, rnd)
		gain := cands[i].ExpectedCompletion() - cands[chosen].ExpectedCompletion()
		if float64(gain) < crossingShare*float64(cands[i].Work.Cost) {
			chosen, reason = i, ReasonLeastCompletion
		}
	}
	if own >= 0 && cands[own].ExpectedCompletion() < cands[chosen].ExpectedCompletion() {
		// The wait at the own VM is known exactly, and a request there needs no network.
		chosen, reason = own, ReasonLeastCompletion
		if startsAtOnce(&cands[own]) {
			reason = ReasonOwnVM
		}
	}
	return chosen, reason
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
