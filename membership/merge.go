package membership

import (
	"slices"
	"time"
)

// merge takes up a claim about a member when it is newer than what is known.
func (n *Node) merge(u *Update, now time.Duration) {
	if u.Name == n.self.Name {
		n.mergeSelf(u)
		return
	}
	r := n.members[u.Name]
	if r == nil {
		n.mergeNew(u, now)
		return
	}
	n.mergeStatus(r, u, now)
	n.mergeMeta(r, u)
}

// mergeSelf refutes claims that contradict this process, with a higher incarnation. A claim with a higher incarnation
// or metadata version than this process ever used is about a former run under its name.
func (n *Node) mergeSelf(u *Update) {
	formerRun := u.Incarnation > n.self.Incarnation || u.MetaVersion > n.self.MetaVersion
	wrong := u.Incarnation == n.self.Incarnation && u.Status != StatusAlive && u.Status != n.self.Status
	if !formerRun && !wrong {
		return
	}
	n.self.Incarnation = max(n.self.Incarnation, u.Incarnation) + 1
	if u.MetaVersion > n.self.MetaVersion {
		n.self.MetaVersion = u.MetaVersion + 1
	}
	n.announce(n.self, formerRun)
}

// mergeNew adds an unknown member. Claims about unknown dead members are dropped, since they could otherwise circulate
// forever between processes that forget them at different times.
func (n *Node) mergeNew(u *Update, now time.Duration) {
	if u.Status == StatusDead {
		return
	}
	r := &record{Member: u.Member, answeredAt: never}
	if !u.HasMeta {
		r.Meta, r.MetaVersion = nil, 0
	}
	r.Status = StatusAlive
	n.insert(r)
	n.admitToRound(r.Name)
	n.event(EventJoined, r)
	n.announce(r, u.HasMeta)
	if u.Status != StatusAlive {
		n.setStatus(r, u, now)
	}
}

// admitToRound puts a new member at a random place of the current round of pings.
func (n *Node) admitToRound(name string) {
	i := n.rnd.IntN(len(n.prober.round) + 1)
	n.prober.round = slices.Insert(n.prober.round, i, name)
}

func (n *Node) mergeStatus(r *record, u *Update, now time.Duration) {
	newer := u.Incarnation > r.Incarnation || u.Incarnation == r.Incarnation && u.Status > r.Status
	if newer {
		n.setStatus(r, u, now)
		return
	}
	if u.Incarnation == r.Incarnation && u.Status == StatusSuspect && r.Status == StatusSuspect {
		n.accuse(r, u.Accuser)
	}
}

func (n *Node) setStatus(r *record, u *Update, now time.Duration) {
	wasDead := r.Status == StatusDead
	changed := r.Status != u.Status
	r.Incarnation = u.Incarnation
	r.Address, r.Domain = u.Address, u.Domain
	if u.Status == StatusSuspect {
		n.suspect(r, u.Accuser, now)
		return
	}
	r.Status = u.Status
	r.accusers = nil
	if r.Status == StatusDead {
		r.deadAt = now
	}
	switch {
	case wasDead:
		n.event(EventJoined, r)
	case changed:
		n.event(EventStatus, r)
	}
	n.announce(r, false)
}

func (n *Node) mergeMeta(r *record, u *Update) {
	if !u.HasMeta || u.MetaVersion <= r.MetaVersion {
		return
	}
	r.Meta, r.MetaVersion = u.Meta, u.MetaVersion
	n.event(EventMeta, r)
	n.announce(r, true)
}
