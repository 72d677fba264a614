package membership

import (
	"slices"
	"time"
)

// syncState runs the exchange of digests, which repairs what gossip lost. Each exchange covers a range of names that
// fits into one packet; the next one goes on from there.
type syncState struct {
	next   time.Duration
	cursor string
}

func (n *Node) tickSync(now time.Duration) []Outgoing {
	if now < n.sync.next {
		return nil
	}
	n.sync.next = now + n.cfg.SyncInterval
	if now < n.youngUntil {
		n.sync.next = now + n.cfg.Period
	}
	out := n.reconnect(now)
	for _, r := range n.pick(1, func(r *record) bool { return r.Status != StatusDead }) {
		p := n.digest(n.sync.cursor)
		n.sync.cursor = p.RangeTo
		out = append(out, n.packetTo(r, now, p))
	}
	return out
}

// reconnect contacts the seeds while no other member is known, and one listed process that is unknown or counted as
// dead, so that the two sides of a healed partition find each other again.
func (n *Node) reconnect(now time.Duration) []Outgoing {
	if now < n.youngUntil && len(n.seeds) > 0 {
		// The first contact may have come before the seed listened.
		seed := n.seeds[n.rnd.IntN(len(n.seeds))]
		if seed != n.self.Address {
			return []Outgoing{n.packet(seed, nil, now, n.introduction())}
		}
	}
	if len(n.names) == 1 {
		n.sync.next = now + n.cfg.Period
		if out := n.joinSeeds(now); len(out) > 0 {
			return out
		}
	}
	var lost []string
	for _, name := range n.evidence.roster {
		if r := n.members[name]; r == nil || r.Status == StatusDead {
			lost = append(lost, name)
		}
	}
	if len(lost) == 0 {
		return nil
	}
	name := lost[n.rnd.IntN(len(lost))]
	return []Outgoing{n.packet(n.rosterAddress[name], n.members[name], now, n.digest(n.sync.cursor))}
}

func (n *Node) joinSeeds(now time.Duration) []Outgoing {
	var out []Outgoing
	for _, address := range n.seeds {
		if address != n.self.Address {
			out = append(out, n.packet(address, nil, now, n.introduction()))
		}
	}
	return out
}

// introduction is a digest that brings the own metadata along.
func (n *Node) introduction() Packet {
	p := n.digest("")
	if len(n.self.Meta) > 0 {
		p.Updates = []Update{{Member: n.self.Member, HasMeta: true}}
	}
	return p
}

// digest returns a KindSync packet for the names from the cursor on, as many as fit into half a packet. An empty RangeTo
// means that the range goes to the last name.
func (n *Node) digest(cursor string) Packet {
	p := Packet{Kind: KindSync, RangeFrom: cursor, Updates: []Update{{Member: n.self.withoutMeta()}}}
	room := n.cfg.MaxPacketBytes / 2
	start, _ := slices.BinarySearch(n.names, cursor)
	for _, name := range n.names[start:] {
		k := n.members[name].known()
		room -= knownBytes(&k)
		if room < 0 {
			p.RangeTo = name
			break
		}
		p.Digest = append(p.Digest, k)
	}
	return p
}

// answerSync sends what is known better here, and the digest of what the sender knows better. RangeTo of the answer is
// the name at which the room ended, or empty.
func (n *Node) answerSync(now time.Duration, from string, p *Packet) []Outgoing {
	theirs := make(map[string]Known, len(p.Digest))
	answer := Packet{Kind: KindUpdates}
	for _, k := range p.Digest {
		theirs[k.Name] = k
		if r := n.members[k.Name]; r != nil && k.newerThan(r) || r == nil && k.Status != StatusDead {
			answer.Digest = append(answer.Digest, Known{Name: k.Name})
		}
	}
	room := n.cfg.MaxPacketBytes - packetBytes(&answer)
	start, _ := slices.BinarySearch(n.names, p.RangeFrom)
	for _, name := range n.names[start:] {
		if p.RangeTo != "" && name >= p.RangeTo {
			break
		}
		k, listed := theirs[name]
		u, better := n.members[name].betterThan(k, listed)
		if !better {
			continue
		}
		room -= updateBytes(&u)
		if room < 0 {
			answer.RangeTo = name
			break
		}
		answer.Updates = append(answer.Updates, u)
	}
	if len(answer.Updates) == 0 && len(answer.Digest) == 0 {
		return nil
	}
	return []Outgoing{n.packet(from, n.members[p.From], now, answer)}
}

// continueSync sends the entries that the peer asked for, and asks for the rest of a range that did not fit.
func (n *Node) continueSync(now time.Duration, from string, p *Packet) []Outgoing {
	var out []Outgoing
	if len(p.Digest) > 0 {
		out = append(out, n.packet(from, n.members[p.From], now, n.requested(p.Digest)))
	}
	if p.RangeTo != "" {
		out = append(out, n.packet(from, n.members[p.From], now, n.digest(p.RangeTo)))
	}
	return out
}

func (n *Node) requested(wanted []Known) Packet {
	p := Packet{Kind: KindUpdates}
	room := n.cfg.MaxPacketBytes
	for _, k := range wanted {
		r := n.members[k.Name]
		if r == nil {
			continue
		}
		u := Update{Member: r.Member, HasMeta: r.MetaVersion > 0}
		room -= updateBytes(&u)
		if room < 0 {
			break
		}
		p.Updates = append(p.Updates, u)
	}
	return p
}

func (k *Known) newerThan(r *record) bool {
	if k.MetaVersion > r.MetaVersion || k.Incarnation > r.Incarnation {
		return true
	}
	return k.Incarnation == r.Incarnation && k.Status > r.Status
}

// betterThan returns the update for a peer that knows k, or knows nothing of the member when it is not listed.
func (r *record) betterThan(k Known, listed bool) (Update, bool) {
	if !listed {
		return Update{Member: r.Member, HasMeta: r.MetaVersion > 0}, r.Status != StatusDead
	}
	newMeta := r.MetaVersion > k.MetaVersion
	newStatus := r.Incarnation > k.Incarnation || r.Incarnation == k.Incarnation && r.Status > k.Status
	u := Update{Member: r.Member, HasMeta: newMeta}
	if !newMeta {
		u.Member = r.withoutMeta()
	}
	return u, newMeta || newStatus
}
