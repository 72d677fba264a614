package proxy

import (
	"time"

	"rosemaryline.dev/admission"
	"rosemaryline.dev/routing"
)

const (
	// maxMoves is the number of gates without a free slot that pass a request on before it waits in a queue. At half of the
	// load that a service bears, three full VMs in a row are rare; above it, further hops only cost time and bytes.
	maxMoves = 3
	// maxBlindMoves is the number of such gates where the entry expects no free slot.
	maxBlindMoves = 2
	// minMoveRemaining is the least time before the deadline for a request that may still be moved.
	minMoveRemaining = 200 * time.Millisecond
)

// moves records the gates that passed one request on, because they had no free slot. Load pattern: hundreds of entries see a
// request or two a second each, so their load reports are seconds old, and requests queue at some backend servers while
// others have free slots.
type moves struct {
	// full holds the VMs that passed the request on, with the load that they reported.
	full []fullVM
	// settled is true when the request waits where it is sent next.
	settled bool
}

type fullVM struct {
	vm   string
	load Load
}

// add records a VM that passed the request on.
func (m *moves) add(vm string, load *Load) {
	full := fullVM{vm: vm}
	if load != nil {
		full.load = *load
	}
	m.full = append(m.full, full)
}

// shortestQueue returns the VM with the fewest requests for each slot among those that passed the request on and that may
// still get it; empty if there is none.
func (m *moves) shortestQueue(eligible func(vm string) bool) string {
	best, bestLoad := "", 0.0
	for _, f := range m.full {
		load := float64(f.load.InFlight+f.load.Queued) / float64(max(f.load.Slots, 1))
		if eligible(f.vm) && (best == "" || load < bestLoad) {
			best, bestLoad = f.vm, load
		}
	}
	return best
}

// mayMove reports whether the gate that gets the request next should pass it on rather than let it wait.
func (r *router) mayMove(req *Request, chosen choice, history *attemptHistory) bool {
	if history.moves.settled || len(history.moves.full) >= maxMoves || req.Forced || req.LastResort || time.Until(req.Deadline) < minMoveRemaining {
		return false
	}
	switch chosen.reason {
	case routing.ReasonOwnVM, routing.ReasonOwnDomain, routing.ReasonOwnRegion, routing.ReasonFarRegion:
		// A free slot is expected there, and may be elsewhere if it is taken.
	case routing.ReasonLeastCompletion:
		// No free slot is known. Where the report is old, the refusal brings a new one.
		if chosen.work.isFresh() {
			return false
		}
		return len(history.moves.full) < maxBlindMoves
	default:
		return false
	}
	return r.isAdaptive(req.Service)
}

// chooseNext returns the VM for the next attempt. A request that was passed on as often as allowed, or that can expect no free
// slot anywhere else, waits where it saw the shortest queue.
func (r *router) chooseNext(req *Request, history *attemptHistory) (choice, bool) {
	if len(history.moves.full) >= maxMoves {
		if settled, ok := r.settle(req, history); ok {
			return settled, true
		}
	}
	chosen, ok := r.choose(req, history.tried)
	noneFree := chosen.reason == routing.ReasonLeastLoaded ||
		chosen.reason == routing.ReasonLeastCompletion && len(history.moves.full) >= maxBlindMoves
	if !ok || noneFree {
		if settled, found := r.settle(req, history); found {
			return settled, true
		}
	}
	return chosen, ok
}

// settle chooses the VM with the shortest queue among those that passed the request on, once for each request. The others
// may then be tried again, because they have not refused to queue it. ok is false if there is none.
func (r *router) settle(req *Request, history *attemptHistory) (choice, bool) {
	if len(history.moves.full) == 0 || history.moves.settled {
		return choice{}, false
	}
	history.moves.settled = true
	for _, f := range history.moves.full {
		delete(history.tried, f.vm)
	}
	hosts := r.hosts(req)
	avoid := r.withTrippedBreakers(req, hosts, history.tried)
	out := r.opts.Fleet.OutDomains()
	peers := map[string]Peer{}
	for i := range hosts {
		if h := &hosts[i]; h.State == routing.StateServing && !avoid[h.VM] && !out[h.Domain] {
			peers[h.VM] = *h
		}
	}
	vm := history.moves.shortestQueue(func(vm string) bool { _, ok := peers[vm]; return ok })
	return choice{peer: peers[vm], reason: routing.ReasonShortestQueue}, vm != ""
}

// isFull reports whether a gate passed a request on because it had no free slot.
func isFull(refusal *Refusal) bool { return refusal.Reason == Reason(admission.ReasonFull) }
