package proxy

import (
	"net/http"
	"sync"

	"rosemaryline.dev/routing"
)

// Repeat states whether a request was sent to another backend server before.
type Repeat string

const (
	// RepeatNone is a first attempt.
	RepeatNone Repeat = ""
	// RepeatRefused is a repeat of a request that did not run and whose caller can send it again.
	RepeatRefused Repeat = "refused"
	// RepeatFailed is any other repeat.
	RepeatFailed Repeat = "failed"
)

// parseRepeat returns the Repeat with the given text. A text of a later version counts as RepeatFailed.
func parseRepeat(text string) Repeat {
	switch r := Repeat(text); r {
	case RepeatNone, RepeatRefused:
		return r
	default:
		return RepeatFailed
	}
}

// gateBudgets holds the retry budgets of the services on a VM. The gates together keep the budget of a fleet: each admits the
// repeats that its own first attempts allow. Load pattern: the calls of one service's backend servers to another one come from a
// part of the VMs. Divided among all entries, most of the budget lies where no call is made; at the gates, where the load is
// even, it is used.
type gateBudgets struct {
	ratio   float64
	reserve func(service string) float64

	mu        sync.Mutex // guards the field below
	byService map[string]*routing.RetryBudget
}

// reserveRepeat asks for the admission of a repeat and returns a refusal if the budget has no room. A first attempt is always
// admitted. Otherwise the result of done must be called, with whether the request reached a backend server.
func (g *Gate) reserveRepeat(req *Request) (done func(reached bool), refusal *Refusal) {
	b := &g.budgets
	if b.ratio <= 0 {
		return func(bool) {}, nil
	}
	now := g.opts.Clock()
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.budget(req.Service)
	switch {
	case req.Repeat == RepeatNone:
		return func(reached bool) {
			if reached {
				b.mu.Lock()
				defer b.mu.Unlock()
				budget.RecordRequest(g.opts.Clock())
			}
		}, nil
	case req.Repeat == RepeatRefused && !budget.ReserveRefused(now), req.Repeat != RepeatRefused && !budget.Reserve(now):
		return nil, notRunRefusal(http.StatusServiceUnavailable, ReasonRetryBudget, "gate")
	}
	return func(reached bool) {
		b.mu.Lock()
		defer b.mu.Unlock()
		if reached {
			budget.UseReserved(g.opts.Clock())
			return
		}
		budget.Release()
	}, nil
}

// budget returns the budget of a service. The caller holds mu.
func (b *gateBudgets) budget(service string) *routing.RetryBudget {
	budget, ok := b.byService[service]
	if !ok {
		budget = routing.NewRetryBudgetWith(b.ratio, b.reserve(service))
		b.byService[service] = budget
	}
	return budget
}

// UpdateRetryReserves applies the present shares of the fleet's retry reserve.
func (g *Gate) UpdateRetryReserves() { g.budgets.update() }

// update applies the present shares of the fleet's reserve.
func (b *gateBudgets) update() {
	if b.ratio <= 0 {
		return
	}
	b.mu.Lock()
	services := make([]string, 0, len(b.byService))
	for service := range b.byService {
		services = append(services, service)
	}
	b.mu.Unlock()
	for _, service := range services {
		reserve := b.reserve(service)
		b.mu.Lock()
		b.budget(service).SetReserve(reserve)
		b.mu.Unlock()
	}
}
