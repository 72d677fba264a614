package proxy

import (
	"fmt"
	"time"

	"rosemaryline.dev/routing"
)

// ExplainQuery describes a request whose choice of a VM is to be explained.
type ExplainQuery struct {
	Service, Route string
	// Repeatable is true if the request may run more than once. Only such a request may test a backend server whose circuit
	// breaker has tripped.
	Repeatable bool
}

// Explained is a candidate for a request and why it would or would not be chosen.
type Explained struct {
	routing.Candidate
	Chosen bool
	Reason string
}

// ExplainRequest returns the candidates for a request as this entry sees them now, and after them the VMs whose version keeps
// them from being candidates. It sends nothing, and it takes no trial of a circuit breaker.
func (e *Entry) ExplainRequest(q ExplainQuery) []Explained {
	all := e.opts.Directory.Hosts(q.Service)
	hosts, excluded := e.router.explainHosts(q.Service, all)
	req := &Request{Service: q.Service, Route: q.Route, Repeatable: q.Repeatable, MayFail: q.Repeatable}
	avoid := e.router.withTrippedBreakers(req, hosts, nil)
	candidates, chosen, reason := e.router.rank(hosts, q.Service, q.Route, avoid)
	list := make([]Explained, len(candidates))
	for i := range candidates {
		list[i] = Explained{Candidate: candidates[i], Chosen: i == chosen}
		switch {
		case i == chosen:
			list[i].Reason = "chosen: " + string(reason)
		case candidates[i].State != routing.StateServing:
			list[i].Reason = candidates[i].State.String()
		case avoid[candidates[i].VM]:
			list[i].Reason = "circuit breaker tripped"
		case chosen < 0:
			list[i].Reason = "not chosen"
		default:
			list[i].Reason = notChosen(&candidates[i], &candidates[chosen], reason, e.opts.Domain)
		}
	}
	for _, h := range all {
		if reason, ok := excluded[h.VM]; ok {
			list = append(list, Explained{Candidate: routing.Candidate{VM: h.VM, Domain: h.Domain, State: h.State}, Reason: reason})
		}
	}
	return list
}

// notChosen returns why a serving candidate was not chosen.
func notChosen(c, chosen *routing.Candidate, reason routing.Reason, ownDomain string) string {
	near := reason == routing.ReasonOwnVM || reason == routing.ReasonOwnDomain
	end, chosenEnd := c.ExpectedCompletion(), chosen.ExpectedCompletion()
	switch {
	case near && c.Domain != ownDomain:
		return "not chosen: a candidate of the own failure domain can start the request"
	case end == 0 || chosenEnd == 0:
		return "not chosen: higher load, or not one of the two random candidates"
	case end > chosenEnd:
		return fmt.Sprintf("not chosen: expected to end %s later", (end - chosenEnd).Round(time.Millisecond))
	default:
		return "not chosen: not one of the two random candidates"
	}
}
