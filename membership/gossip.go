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
	notice   int      // times left to tell that there is new metadata
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

// noticeSends is the number of times a notice of new metadata is passed on. A few processes miss it; syncs repair that.
const noticeSends = 5

// sends is the number of times a status is passed on from here; with it, a status reaches nearly all processes.
func (n *Node) sends() int {
	return 4 + 4*int(math.Ceil(math.Log10(float64(len(n.names)+1))))
}

func (n *Node) announce(r *record) {
	item := n.gossip.item(r.Name)
	item.accusers = nil
	item.status = n.sends()
}

func (n *Node) announceMeta(r *record) {
	n.gossip.item(r.Name).notice = noticeSends
}

func (n *Node) announceAccuser(r *record, accuser string) {
	item := n.gossip.item(r.Name)
	item.accusers = append(item.accusers, accuser)
	item.status = n.sends()
}

// piggyback adds the updates and notices that fit into the room, least sent first. When the receiver itself is under
// suspicion or counted as dead, the claim comes first, so that it can refute it.
func (n *Node) piggyback(p *Packet, receiver *record, room int) {
	if receiver != nil && (receiver.Status == StatusSuspect || receiver.Status == StatusDead) {
		u := Update{Member: receiver.withoutMeta()}
		p.Updates = append(p.Updates, u)
		room -= updateBytes(&u)
	}
	for _, item := range n.gossip.sorted() {
		r := n.members[item.name]
		room -= item.addStatus(p, r, room)
		room -= item.addNotice(p, r, room)
		if item.left() <= 0 {
			n.gossip.drop(item.name)
		}
	}
}

// addStatus adds one update, or one for each accusation to pass on, and returns the bytes that it took.
func (i *gossipItem) addStatus(p *Packet, r *record, room int) int {
	if i.status <= 0 {
		return 0
	}
	updates := i.updates(r)
	size := 0
	for u := range updates {
		size += updateBytes(&updates[u])
	}
	if size > room {
		return 0
	}
	i.status--
	p.Updates = append(p.Updates, updates...)
	return size
}

func (i *gossipItem) addNotice(p *Packet, r *record, room int) int {
	if i.notice <= 0 {
		return 0
	}
	k := r.known()
	size := knownBytes(&k)
	if size > room {
		return 0
	}
	i.notice--
	p.Notices = append(p.Notices, k)
	return size
}

func (r *record) known() Known {
	return Known{Name: r.Name, Incarnation: r.Incarnation, Status: r.Status, MetaVersion: r.MetaVersion}
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

func (i *gossipItem) left() int { return max(i.status, i.notice) }

func (i *gossipItem) updates(r *record) []Update {
	if r.Status != StatusSuspect || len(i.accusers) == 0 {
		return []Update{{Member: r.withoutMeta()}}
	}
	var all []Update
	for _, accuser := range i.accusers {
		all = append(all, Update{Member: r.withoutMeta(), Accuser: accuser})
	}
	return all
}

func (m Member) withoutMeta() Member {
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
	for i := range p.Notices {
		size += knownBytes(&p.Notices[i])
	}
	return size
}

func knownBytes(k *Known) int {
	const fields = 70
	return fields + len(k.Name)
}
