package membership

import (
	"math"
	"slices"
)

// gossip is the queue of updates to pass on. Each is sent a limited number of times.
type gossip struct {
	items map[string]*gossipItem // by member name
}

type gossipItem struct {
	name       string
	accusers   []string // processes whose accusations are passed on
	statusLeft int      // remaining transmissions of the member's status
	noticeLeft int      // remaining transmissions of the notice of new metadata
}

func (g *gossip) drop(name string) { delete(g.items, name) }

// item returns the queue entry of a member, which it adds if there is none.
func (g *gossip) item(name string) *gossipItem {
	item := g.items[name]
	if item == nil {
		item = &gossipItem{name: name}
		g.items[name] = item
	}
	return item
}

// noticeTransmits is the number of times that this process sends a notice of new metadata. With 5, a few processes miss
// the notice and get the metadata by a sync.
const noticeTransmits = 5

// statusTransmits returns the number of times that this process sends a status. It grows with the logarithm of the
// fleet size, so that a status reaches nearly all processes.
func (n *Node) statusTransmits() int {
	return 4 + 4*int(math.Ceil(math.Log10(float64(len(n.names)+1))))
}

// announce queues the status of a member for gossip.
func (n *Node) announce(r *record) {
	item := n.gossip.item(r.Name)
	item.accusers = nil
	item.statusLeft = n.statusTransmits()
}

const (
	// joinBacklog is the number of queued updates from which a newly learned member is passed on only joinTransmits times.
	// When hundreds of processes start at the same time, each learns of all others from a few syncs, as its peers do at
	// the same time. Passed on like a single join, they would fill every packet of every process for many seconds.
	joinBacklog = 32
	// joinTransmits is enough to reach the processes that no sync has reached yet.
	joinTransmits = 2
)

// announceJoin queues a newly learned member for gossip.
func (n *Node) announceJoin(r *record, hasMeta bool) {
	bulk := len(n.gossip.items) >= joinBacklog
	n.announce(r)
	if hasMeta {
		n.announceMeta(r)
	}
	if item := n.gossip.item(r.Name); bulk {
		item.statusLeft = min(item.statusLeft, joinTransmits)
		item.noticeLeft = min(item.noticeLeft, joinTransmits)
	}
}

// announceMeta queues a notice of new metadata for gossip.
func (n *Node) announceMeta(r *record) {
	n.gossip.item(r.Name).noticeLeft = noticeTransmits
}

// announceAccuser queues an accusation by accuser for gossip.
func (n *Node) announceAccuser(r *record, accuser string) {
	item := n.gossip.item(r.Name)
	item.accusers = append(item.accusers, accuser)
	item.statusLeft = n.statusTransmits()
}

// piggyback adds the updates and notices that fit into room bytes, those with the most transmissions left first. When
// the receiver itself is a suspect or dead, that update precedes all others, so that the receiver can refute it.
func (n *Node) piggyback(p *Packet, receiver *record, room int) {
	if receiver != nil && (receiver.Status == StatusSuspect || receiver.Status == StatusDead) {
		u := Update{Member: receiver.withoutMeta()}
		p.Updates = append(p.Updates, u)
		room -= updateBytes(&u)
	}
	for _, item := range n.gossip.mostTransmitsLeft() {
		r := n.members[item.name]
		room -= item.addStatus(p, r, room)
		room -= item.addNotice(p, r, room)
		if item.transmitsLeft() <= 0 {
			n.gossip.drop(item.name)
		}
	}
}

// addStatus adds one update, or one for each accusation to pass on, if they fit into room bytes. It returns the bytes
// used.
func (i *gossipItem) addStatus(p *Packet, r *record, room int) int {
	if i.statusLeft <= 0 {
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
	i.statusLeft--
	p.Updates = append(p.Updates, updates...)
	return size
}

// addNotice adds a notice of new metadata if it fits into room bytes. It returns the bytes used.
func (i *gossipItem) addNotice(p *Packet, r *record, room int) int {
	if i.noticeLeft <= 0 {
		return 0
	}
	k := r.summary()
	size := summaryBytes(&k)
	if size > room {
		return 0
	}
	i.noticeLeft--
	p.Notices = append(p.Notices, k)
	return size
}

func (r *record) summary() MemberSummary {
	return MemberSummary{Name: r.Name, Incarnation: r.Incarnation, Status: r.Status, MetaVersion: r.MetaVersion}
}

// mostTransmitsLeft returns the items in descending order of their remaining transmissions, then by name.
func (g *gossip) mostTransmitsLeft() []*gossipItem {
	all := make([]*gossipItem, 0, len(g.items))
	for _, item := range g.items {
		all = append(all, item)
	}
	slices.SortFunc(all, func(a, b *gossipItem) int {
		if a.transmitsLeft() != b.transmitsLeft() {
			return b.transmitsLeft() - a.transmitsLeft()
		}
		if a.name < b.name {
			return -1
		}
		return 1
	})
	return all
}

func (i *gossipItem) transmitsLeft() int { return max(i.statusLeft, i.noticeLeft) }

// updates returns one update of the member, or one for each accuser of a suspect.
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
	const fields = 150 // field names, numbers and punctuation
	return fields + len(u.Name) + len(u.Address) + len(u.Domain) + len(u.Accuser) + len(u.Meta)*4/3
}

// packetBytes estimates the JSON size of the variable-size parts of a packet.
func packetBytes(p *Packet) int {
	size := 0
	if p.Contacts != nil {
		size += len(p.Contacts.Ages) * 4 / 3
	}
	for i := range p.Updates {
		size += updateBytes(&p.Updates[i])
	}
	for i := range p.Digest {
		size += summaryBytes(&p.Digest[i])
	}
	for i := range p.Notices {
		size += summaryBytes(&p.Notices[i])
	}
	return size
}

// summaryBytes estimates the JSON size of a summary.
func summaryBytes(k *MemberSummary) int {
	const fields = 70 // field names, numbers and punctuation
	return fields + len(k.Name)
}
