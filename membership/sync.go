package membership

import (
	"slices"
	"time"
)

// syncState schedules the exchanges of digests, which repair what gossip lost. Each exchange covers a range of names
// whose digest fits into one packet; the next exchange continues where it ended.
type syncState struct {
	nextSync time.Duration
	cursor   string
}

func (n *Node) tickSync(now time.Duration) []Outgoing {
	if now < n.sync.nextSync {
		return nil
	}
	n.sync.nextSync = now + n.cfg.SyncInterval
	if now < n.startupUntil {
		n.sync.nextSync = now + n.cfg.Period
	}
	out := n.reconnect(now)
	for _, r := range n.pickNear() {
		p := n.digest(n.sync.cursor)
		n.sync.cursor = p.RangeTo
		out = append(out, n.packetTo(r, now, p))
	}
	return out
}

// reconnect contacts a seed during the startup period, or all seeds while no other member is known. Otherwise it
// contacts one process of the roster that is unknown or dead, so that the two sides of a healed partition find each
// other again.
func (n *Node) reconnect(now time.Duration) []Outgoing {
	if now < n.startupUntil && len(n.seeds) > 0 {
		// The seed may not have been listening yet at the first contact.
		seed := n.seeds[n.rnd.IntN(len(n.seeds))]
		if seed != n.self.Address {
			return []Outgoing{n.packet(seed, nil, now, n.joinPacket())}
		}
	}
	if len(n.names) == 1 {
		n.sync.nextSync = now + n.cfg.Period
		if out := n.joinSeeds(now); len(out) > 0 {
			return out
		}
	}
	var missing []string
	for _, name := range n.evidence.roster {
		if r := n.members[name]; r == nil || r.Status == StatusDead {
			missing = append(missing, name)
		}
	}
	if len(missing) == 0 {
		return nil
	}
	name := missing[n.rnd.IntN(len(missing))]
	return []Outgoing{n.packet(n.rosterAddress[name], n.members[name], now, n.digest(n.sync.cursor))}
}

// joinSeeds contacts all seeds.
func (n *Node) joinSeeds(now time.Duration) []Outgoing {
	var out []Outgoing
	for _, address := range n.seeds {
		if address != n.self.Address {
			out = append(out, n.packet(address, nil, now, n.joinPacket()))
		}
	}
	return out
}

// joinPacket returns a digest from the first name on, with the metadata of this process.
func (n *Node) joinPacket() Packet {
	p := n.digest("")
	if len(n.self.Meta) > 0 {
		p.Updates = []Update{{Member: n.self.Member, HasMeta: true}}
	}
	return p
}

// digest returns a KindSync packet with as many names, from cursor on, as fit into half a packet. RangeTo is empty if
// they include the last name.
func (n *Node) digest(cursor string) Packet {
	p := Packet{Kind: KindSync, RangeFrom: cursor, Updates: []Update{{Member: n.self.withoutMeta()}}}
	room := n.cfg.MaxPacketBytes / 2
	start, _ := slices.BinarySearch(n.names, cursor)
	for _, name := range n.names[start:] {
		k := n.members[name].summary()
		room -= summaryBytes(&k)
		if room < 0 {
			p.RangeTo = name
			break
		}
		p.Digest = append(p.Digest, k)
	}
	return p
}

// replyToSync sends the updates that are newer than the digest, and the names of members that are newer in the digest.
// RangeTo of the reply is the first name whose update did not fit into the packet, or empty.
func (n *Node) replyToSync(now time.Duration, from string, p *Packet) []Outgoing {
	peerEntries := make(map[string]MemberSummary, len(p.Digest))
	reply := Packet{Kind: KindUpdates}
	for _, k := range p.Digest {
		peerEntries[k.Name] = k
		if r := n.members[k.Name]; r != nil && k.newerThan(r) || r == nil && k.Status != StatusDead {
			reply.Digest = append(reply.Digest, MemberSummary{Name: k.Name})
		}
	}
	room := n.cfg.MaxPacketBytes - packetBytes(&reply)
	start, _ := slices.BinarySearch(n.names, p.RangeFrom)
	for _, name := range n.names[start:] {
		if p.RangeTo != "" && name >= p.RangeTo {
			break
		}
		k, listed := peerEntries[name]
		u, newer := n.members[name].updateFor(k, listed)
		if !newer {
			continue
		}
		room -= updateBytes(&u)
		if room < 0 {
			reply.RangeTo = name
			break
		}
		reply.Updates = append(reply.Updates, u)
	}
	if len(reply.Updates) == 0 && len(reply.Digest) == 0 {
		return nil
	}
	return []Outgoing{n.packet(from, n.members[p.From], now, reply)}
}

// continueSync sends the updates that the peer asked for, and syncs the rest of a range that did not fit into its
// packet.
func (n *Node) continueSync(now time.Duration, from string, p *Packet) []Outgoing {
	var out []Outgoing
	if len(p.Digest) > 0 {
		out = append(out, n.packet(from, n.members[p.From], now, n.requestedUpdates(p.Digest)))
	}
	if p.RangeTo != "" {
		out = append(out, n.packet(from, n.members[p.From], now, n.digest(p.RangeTo)))
	}
	return out
}

// requestedUpdates returns the updates of the wanted members that fit into a packet.
func (n *Node) requestedUpdates(wanted []MemberSummary) Packet {
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

// newerThan reports whether the summary has a newer status or newer metadata than r.
func (k *MemberSummary) newerThan(r *record) bool {
	if k.MetaVersion > r.MetaVersion || k.Incarnation > r.Incarnation {
		return true
	}
	return k.Incarnation == r.Incarnation && k.Status > r.Status
}

// updateFor returns the update for a peer whose digest has the summary k, or does not have the member if listed is
// false. The second result is false if the peer needs no update.
func (r *record) updateFor(k MemberSummary, listed bool) (Update, bool) {
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
