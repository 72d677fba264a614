package membership

import (
	"math"
	"slices"
)

// gossip holds the updates that are still to be passed on, each a bounded number of times.
type gossip struct {
	items map[string]*gossipItem // by member name
}

type gossipItem struct {
	name     string
	accusers []string // accusations to pass on
	status   int      // times left to send the member's status
	meta     int      // times left to send the member's metadata
}

func (g *gossip) drop(name string) { delete(g.items, name) }

func (g *gossip) item(name string) *gossipItem {
	item := g.items[name]
	if item == nil {
		item = &gossipItem{name: name}
		g.items[name] = item
	}
	return item
}

// sends is the number of times an update is passed on from here; with it, an update reaches all processes with high
// probability.
func (n *Node) sends() int {
	return 3 * int(math.Ceil(math.Log2(float64(len(n.names)+1))))
}

func (n *Node) announce(r *record, withMeta bool) {
	item := n.gossip.item(r.Name)
	item.accusers = nil
	item.status = n.sends()
	if withMeta {
		item.meta = n.sends()
	}
}

func (n *Node) announceAccuser(r *record, accuser string) {
	item := n.gossip.item(r.Name)
	item.accusers = append(item.accusers, accuser)
	item.status = n.sends()
}

// piggyback returns the updates for a packet to the receiver, least sent first, within the size. When the receiver
// itself is under suspicion or counted as dead, the claim comes first, so that it can refute it.
func (n *Node) piggyback(receiver *record, room int) []Update {
	var updates []Update
	if receiver != nil && (receiver.Status == StatusSuspect || receiver.Status == StatusDead) {
		updates = append(updates, Update{Member: receiver.withoutMeta()})
		room -= updateBytes(&updates[0])
	}
	for _, item := range n.gossip.sorted() {
		r := n.members[item.name]
		for _, u := range item.updates(r) {
			size := updateBytes(&u)
			if size > room {
				continue
			}
			room -= size
			updates = append(updates, u)
			if u.HasMeta {
				item.meta--
			}
		}
		item.status--
		if item.status <= 0 && item.meta <= 0 {
			n.gossip.drop(item.name)
		}
	}
	return updates
}

func (g *gossip) sorted() []*gossipItem {
	all := make([]*gossipItem, 0, len(g.items))
	for _, item := range g.items {
		all = append(all, item)
	}
	slices.SortFunc(all, func(a, b *gossipItem) int {
		if a.left() != b.left() {
			return b.left() - a.left()
		}
		if a.name < b.name {
			return -1
		}
		return 1
	})
	return all
}

func (i *gossipItem) left() int { return max(i.status, i.meta) }

// updates returns one update for the member, or one for each accusation to pass on.
func (i *gossipItem) updates(r *record) []Update {
	first := Update{Member: r.Member, HasMeta: i.meta > 0}
	if !first.HasMeta {
		first.Member = r.withoutMeta()
	}
	if r.Status != StatusSuspect || len(i.accusers) == 0 {
		return []Update{first}
	}
	var all []Update
	for _, accuser := range i.accusers {
		first.Accuser = accuser
		all = append(all, first)
		first = Update{Member: r.withoutMeta()}
	}
	return all
}

func (r *record) withoutMeta() Member {
	m := r.Member
	m.Meta = nil
	return m
}

// updateBytes estimates the JSON size of an update.
func updateBytes(u *Update) int {
	const fields = 150
	return fields + len(u.Name) + len(u.Address) + len(u.Domain) + len(u.Accuser) + len(u.Meta)*4/3
}

// packetBytes estimates the JSON size of the parts of a packet whose size varies.
func packetBytes(p *Packet) int {
	size := 0
	if p.Contacts != nil {
		size += len(p.Contacts.Ages) * 4 / 3
	}
	for i := range p.Updates {
		size += updateBytes(&p.Updates[i])
	}
	for i := range p.Digest {
		size += knownBytes(&p.Digest[i])
	}
	return size
}

func knownBytes(k *Known) int {
	const fields = 70
	return fields + len(k.Name)
}
