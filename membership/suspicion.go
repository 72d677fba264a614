package membership

import (
	"math"
	"time"
)

// probeFailed handles a ping that neither the member nor a helper answered. A leaving member that stops answering has
// stopped as it said.
func (n *Node) probeFailed(r *record, p *probe, now time.Duration) {
	if r.answeredAt >= p.sent {
		return
	}
	switch r.Status {
	case StatusAlive:
		n.suspect(r, n.self.Name, now)
	case StatusSuspect:
		n.accuse(r, n.self.Name)
	case StatusLeaving:
		n.declareDead(r, now)
	}
}

func (n *Node) suspect(r *record, accuser string, now time.Duration) {
	r.Status = StatusSuspect
	r.suspectedAt = now
	r.repeated = false
	r.accusers = make(map[string]bool)
	n.event(EventStatus, r)
	n.accuse(r, accuser)
}

// accuse adds an accuser and passes the accusation on while it can still help to confirm the suspicion.
func (n *Node) accuse(r *record, accuser string) {
	if accuser == "" || r.accusers[accuser] || len(r.accusers) >= n.accusersNeeded() {
		return
	}
	r.accusers[accuser] = true
	n.announceAccuser(r, accuser)
}

// accusersNeeded is the number of processes that must have failed to reach a member before it counts as dead.
func (n *Node) accusersNeeded() int {
	witnesses := 0
	for _, name := range n.names {
		if s := n.members[name].Status; s == StatusAlive || s == StatusLeaving {
			witnesses++
		}
	}
	return max(1, min(1+n.cfg.Confirmations, witnesses))
}

// suspicionTimeout grows with the logarithm of the fleet size, as the time that gossip needs for an accusation to reach
// the accused and for the refutation to come back.
func (n *Node) suspicionTimeout() time.Duration {
	scale := max(1, math.Log10(float64(len(n.names))))
	return time.Duration(scale * float64(n.cfg.SuspicionPeriods) * float64(n.cfg.Period))
}

// tickStatus looks at all members a few times a second; each look costs time in proportion to the fleet.
func (n *Node) tickStatus(now time.Duration) {
	const interval = 200 * time.Millisecond
	if now < n.statusAt {
		return
	}
	n.statusAt = now + interval
	n.tickSuspicions(now)
	n.forgetDead(now)
}

// tickSuspicions declares suspects dead. A process that is itself cut off from control and from the majority of the
// roster cannot tell who failed, and declares nobody dead.
func (n *Node) tickSuspicions(now time.Duration) {
	if len(n.evidence.roster) > 0 && !n.evidence.fresh(now) {
		return
	}
	timeout := n.suspicionTimeout()
	for _, name := range n.names {
		r := n.members[name]
		if r.Status != StatusSuspect {
			continue
		}
		if !r.repeated && now-r.suspectedAt >= timeout/2 {
			// Whoever knows of a refutation answers with it.
			r.repeated = true
			n.announce(r)
		}
		if now-r.suspectedAt < timeout {
			continue
		}
		if len(r.accusers) >= n.accusersNeeded() {
			n.declareDead(r, now)
		}
	}
}

func (n *Node) declareDead(r *record, now time.Duration) {
	r.Status = StatusDead
	r.deadAt = now
	r.accusers = nil
	n.event(EventStatus, r)
	n.announce(r)
}

func (n *Node) forgetDead(now time.Duration) {
	for i := 0; i < len(n.names); i++ {
		r := n.members[n.names[i]]
		if r.Status == StatusDead && now-r.deadAt >= n.cfg.DeadRetention {
			n.event(EventRemoved, r)
			n.remove(r.Name)
			i--
		}
	}
}
