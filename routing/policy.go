package routing

import "math/rand/v2"

// Policy chooses one of the candidates of a service.
type Policy interface {
	// Choose returns the index of the chosen candidate, or -1 and ReasonNone when none accepts new work. It never
	// chooses a candidate in exclude (by VM name; the VMs that this request already tried) or one whose state is not
	// StateServing.
	Choose(cands []Candidate, local Local, exclude map[string]bool, rnd *rand.Rand) (int, Reason)
}

// eligible tells whether a candidate may receive the request at all.
func eligible(c *Candidate, exclude map[string]bool) bool {
	return c.State == StateServing && !exclude[c.VM]
}
