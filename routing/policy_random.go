package routing

import "math/rand/v2"

// Random chooses uniformly among the eligible candidates. It is the baseline for measurements.
type Random struct{}

// Choose implements Policy.
func (Random) Choose(cands []Candidate, _ Locality, exclude map[string]bool, rnd *rand.Rand) (int, Reason) {
	chosen, seen := -1, 0
	for i := range cands {
		if !eligible(&cands[i], exclude) {
			continue
		}
		seen++
		if rnd.IntN(seen) == 0 {
			chosen = i
		}
	}
	if chosen < 0 {
		return -1, ReasonNone
	}
	return chosen, ReasonRandom
}
