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
	n.announce(n.self)
	if formerRun {
		n.announceMeta(n.self)
	}
}

// mergeNew adds an unknown member. Claims about unknown dead members are dropped, since they could otherwise circulate
// forever between processes that forget them at different times.
func (n *Node) mergeNew(u *Update, now time.Duration) {
	if u.Status == StatusDead {
		return
	}
	r := newRecord(u.Member)
	if !u.HasMeta {
		r.Meta, r.MetaVersion = nil, 0
	}
	r.Status = StatusAlive
	n.insert(r)
	n.admitToRound(r.Name)
	n.event(EventJoined, r)
	n.announce(r)
	if u.HasMeta {
		n.announceMeta(r)
	}
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
	n.announce(r)
}

func (n *Node) mergeMeta(r *record, u *Update) {
	if !u.HasMeta || u.MetaVersion <= r.MetaVersion {
		return
	}
	r.Meta, r.MetaVersion = u.Meta, u.MetaVersion
	n.event(EventMeta, r)
	n.announceMeta(r)
}

// askForMeta asks the sender for metadata that it has and this process lacks, about each member at most once a second.
func (n *Node) askForMeta(now time.Duration, from string, p *Packet) []Outgoing {
	const askInterval = time.Second
	ask := Packet{Kind: KindUpdates}
	for _, k := range p.newerMeta() {
		r := n.members[k.Name]
		switch {
		case r == n.self:
			n.mergeSelf(&Update{Member: Member{Incarnation: k.Incarnation, MetaVersion: k.MetaVersion}})
		case r != nil && k.MetaVersion > r.MetaVersion && now-r.askedAt >= askInterval:
			r.askedAt = now
			ask.Digest = append(ask.Digest, Known{Name: k.Name})
		}
	}
	if len(ask.Digest) == 0 {
		return nil
	}
	return []Outgoing{n.packet(from, n.members[p.From], now, ask)}
}

// newerMeta lists the metadata versions that the sender has and did not send along.
func (p *Packet) newerMeta() []Known {
	known := slices.Clone(p.Notices)
	for i := range p.Updates {
		if u := &p.Updates[i]; !u.HasMeta {
			known = append(known, Known{Name: u.Name, Incarnation: u.Incarnation, MetaVersion: u.MetaVersion})
		}
	}
	return known
}

// correct answers accusations that were refuted already. Otherwise an accuser that the refutation did not reach would
// declare a healthy member dead.
func (n *Node) correct(now time.Duration, from string, p *Packet) []Outgoing {
	answer := Packet{Kind: KindUpdates}
	for i := range p.Updates {
		u := &p.Updates[i]
		accuses := u.Status == StatusSuspect || u.Status == StatusDead
		if r := n.members[u.Name]; accuses && r != nil && r.Incarnation > u.Incarnation {
			answer.Updates = append(answer.Updates, Update{Member: r.withoutMeta()})
		}
	}
	if len(answer.Updates) == 0 {
		return nil
	}
	return []Outgoing{n.packet(from, n.members[p.From], now, answer)}
}
