package membership

import (
	"math"
	"time"
)

// probeFailed handles a ping that got a reply neither from the member nor through a helper. A leaving member that does
// not reply has stopped, and is declared dead without a suspicion.
func (n *Node) probeFailed(r *record, p *probe, now time.Duration) {
	if r.repliedAt >= p.sent {
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

// suspect makes a member a suspect with its first accuser.
func (n *Node) suspect(r *record, accuser string, now time.Duration) {
	r.Status = StatusSuspect
	r.suspectedAt = now
	r.reannounced = false
	r.accusers = make(map[string]bool)
	n.nextStatusCheck = min(n.nextStatusCheck, now+suspectCheckInterval)
	n.addEvent(EventStatus, r)
	n.accuse(r, accuser)
}

// accuse adds an accuser and queues the accusation for gossip, unless the suspicion has enough accusers already.
func (n *Node) accuse(r *record, accuser string) {
	if accuser == "" || r.accusers[accuser] || len(r.accusers) >= n.accusersNeeded() {
		return
	}
	r.accusers[accuser] = true
	n.announceAccuser(r, accuser)
}

// accusersNeeded returns the number of processes that must have failed to reach a member before it is declared dead.
func (n *Node) accusersNeeded() int {
	witnesses := 0
	for _, name := range n.names {
		if s := n.members[name].Status; s == StatusAlive || s == StatusLeaving {
			witnesses++
		}
	}
	return max(1, min(1+n.cfg.Confirmations, witnesses))
}

// suspicionTimeout returns the time from suspicion to death. It grows with the logarithm of the fleet size, like the
// time that gossip needs to carry an accusation to the accused and the refutation back.
func (n *Node) suspicionTimeout() time.Duration {
	scale := max(1, math.Log10(float64(len(n.names))))
	return time.Duration(scale * float64(n.cfg.SuspicionPeriods) * float64(n.cfg.Period))
}

const (
	// suspectCheckInterval is the time between two checks of all members while there are suspects.
	suspectCheckInterval = 200 * time.Millisecond
	// deadCheckInterval is the time between two checks while there are none. It only delays the removal of dead members.
	deadCheckInterval = 5 * time.Second
)

// tickStatus checks all members, and not on each Tick, because the cost grows with the fleet size.
func (n *Node) tickStatus(now time.Duration) {
	if now < n.nextStatusCheck {
		return
	}
	n.tickSuspicions(now)
	n.forgetDead(now)
	n.nextStatusCheck = now + deadCheckInterval
	if n.hasSuspects() {
		n.nextStatusCheck = now + suspectCheckInterval
	}
}

func (n *Node) hasSuspects() bool {
	for _, r := range n.members {
		if r.Status == StatusSuspect {
			return true
		}
	}
	return false
}

// tickSuspicions declares suspects dead when their timeout is over and enough processes confirmed the suspicion. A
// process that is itself cut off from control and from a majority of the roster cannot determine which side failed, and
// declares no member dead.
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
		if !r.reannounced && now-r.suspectedAt >= timeout/2 {
			// A process that has the refutation replies to this update with it; see sendRefutations.
			r.reannounced = true
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
	n.addEvent(EventStatus, r)
	n.announce(r)
}

// forgetDead removes members that have been dead for Config.DeadRetention.
func (n *Node) forgetDead(now time.Duration) {
	for i := 0; i < len(n.names); i++ {
		r := n.members[n.names[i]]
		if r.Status == StatusDead && now-r.deadAt >= n.cfg.DeadRetention {
			n.addEvent(EventRemoved, r)
			n.remove(r.Name)
			i--
		}
	}
}
