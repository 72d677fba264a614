package routing

import "math/rand/v2"

// Policy chooses one of the candidates of a service.
type Policy interface {
	// Choose returns the index of the chosen candidate and the reason, or -1 and ReasonNone if no candidate is
	// eligible. A candidate is eligible if its state is StateServing and its VM is not in exclude, which holds the
	// names of the VMs that the request has already tried.
	Choose(cands []Candidate, local Locality, exclude map[string]bool, rnd *rand.Rand) (int, Reason)
}

// eligible reports whether a candidate may receive the request.
func eligible(c *Candidate, exclude map[string]bool) bool {
	return c.State == StateServing && !exclude[c.VM]
}
