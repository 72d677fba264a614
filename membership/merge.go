package membership

import (
	"slices"
	"time"
)

// merge applies an update if it is newer than the local state of the member.
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

// mergeSelf handles an update about this process. If it contradicts the state of this process, it is refuted with a
// higher incarnation. An update with a higher incarnation or metadata version than this process has used comes from a
// previous run under its name.
func (n *Node) mergeSelf(u *Update) {
	formerRun := u.Incarnation > n.self.Incarnation || u.MetaVersion > n.self.MetaVersion
	contradicts := u.Incarnation == n.self.Incarnation && u.Status != StatusAlive && u.Status != n.self.Status
	if !formerRun && !contradicts {
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

// mergeNew adds an unknown member. Updates about unknown dead members are dropped; otherwise they could circulate
// forever between processes that remove the member at different times.
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
	n.addToRound(r)
	n.addEvent(EventJoined, r)
	n.announceJoin(r, u.HasMeta)
	if u.Status != StatusAlive {
		n.setStatus(r, u, now)
	}
}

// addToRound inserts a new member at a random position of the current round of pings.
func (n *Node) addToRound(r *record) {
	round := &n.prober.round
	if n.isNear(r) {
		round = &n.prober.nearRound
	}
	i := n.rnd.IntN(len(*round) + 1)
	*round = slices.Insert(*round, i, r.Name)
}

// mergeStatus applies a newer status. If the member is a suspect already, an accusation adds its accuser.
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
		n.addEvent(EventJoined, r)
	case changed:
		n.addEvent(EventStatus, r)
	}
	n.announce(r)
}

// mergeMeta applies newer metadata.
func (n *Node) mergeMeta(r *record, u *Update) {
	if !u.HasMeta || u.MetaVersion <= r.MetaVersion {
		return
	}
	r.Meta, r.MetaVersion = u.Meta, u.MetaVersion
	n.addEvent(EventMeta, r)
	n.announceMeta(r)
}

// requestMeta asks the sender of a packet for the metadata that this process lacks, at most once a second for each
// member.
func (n *Node) requestMeta(now time.Duration, from string, p *Packet) []Outgoing {
	const minInterval = time.Second
	request := Packet{Kind: KindUpdates}
	for _, k := range p.unsentMeta() {
		r := n.members[k.Name]
		switch {
		case r == n.self:
			n.mergeSelf(&Update{Member: Member{Incarnation: k.Incarnation, MetaVersion: k.MetaVersion}})
		case r != nil && k.MetaVersion > r.MetaVersion && now-r.metaRequestedAt >= minInterval:
			r.metaRequestedAt = now
			request.Digest = append(request.Digest, MemberSummary{Name: k.Name})
		}
	}
	if len(request.Digest) == 0 {
		return nil
	}
	return []Outgoing{n.packet(from, n.members[p.From], now, request)}
}

// unsentMeta returns the members whose metadata version is in the packet without the metadata itself.
func (p *Packet) unsentMeta() []MemberSummary {
	known := slices.Clone(p.Notices)
	for i := range p.Updates {
		if u := &p.Updates[i]; !u.HasMeta {
			known = append(known, MemberSummary{Name: u.Name, Incarnation: u.Incarnation, MetaVersion: u.MetaVersion})
		}
	}
	return known
}

// sendRefutations replies to accusations that the accused member has already refuted. Otherwise an accuser that the
// refutation did not reach would declare a healthy member dead.
func (n *Node) sendRefutations(now time.Duration, from string, p *Packet) []Outgoing {
	reply := Packet{Kind: KindUpdates}
	for i := range p.Updates {
		u := &p.Updates[i]
		accuses := u.Status == StatusSuspect || u.Status == StatusDead
		if r := n.members[u.Name]; accuses && r != nil && r.Incarnation > u.Incarnation {
			reply.Updates = append(reply.Updates, Update{Member: r.withoutMeta()})
		}
	}
	if len(reply.Updates) == 0 {
		return nil
	}
	return []Outgoing{n.packet(from, n.members[p.From], now, reply)}
}
