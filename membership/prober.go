package membership

import "time"

// prober runs the pings: one per period in a shuffled round over all members, and more while no beat is fresh.
type prober struct {
	seq    uint64
	next   time.Duration
	pull   time.Duration // next ping for contact only
	round  []string      // members still to be pinged in this round
	probes []*probe      // pings without an answer, oldest first
	relays []*relay
}

type probe struct {
	seq      uint64
	target   string
	sent     time.Duration
	helped   time.Duration // when helpers are asked
	fails    time.Duration
	indirect bool
	pull     bool // for contact only: no helpers and no suspicion
}

// relay is a ping on behalf of another process.
type relay struct {
	seq      uint64 // of the ping sent from here
	origin   string // address
	originAt uint64 // the origin's sequence number
	expires  time.Duration
}

func (p *prober) begin(now time.Duration, n *Node) {
	p.next = now + jitter(n.cfg.Period, n.rnd)
	p.pull = now + jitter(n.cfg.ContactInterval, n.rnd)
}

func (p *prober) shift(gap time.Duration) {
	p.next += gap
	for _, probe := range p.probes {
		probe.helped += gap
		probe.fails += gap
	}
}

func (p *prober) nextSeq() uint64 {
	p.seq++
	return p.seq
}

func (n *Node) tickProbes(now time.Duration) []Outgoing {
	out := n.checkProbes(now)
	n.dropRelays(now)
	if now >= n.prober.next {
		n.prober.next = now + n.cfg.Period
		if r := n.nextTarget(); r != nil {
			out = append(out, n.ping(r, now, false))
		}
	}
	if now >= n.prober.pull {
		n.prober.pull = now + n.contactInterval(now)
		if n.evidence.stale(now) {
			for _, r := range n.pick(1, func(r *record) bool { return r.Status != StatusDead }) {
				out = append(out, n.ping(r, now, true))
			}
		}
	}
	return out
}

func (n *Node) contactInterval(now time.Duration) time.Duration {
	if n.evidence.lagging(now) {
		return n.cfg.ContactInterval / 2
	}
	return n.cfg.ContactInterval
}

// nextTarget goes through all members in random order, so that the time to the next ping of a member is bounded.
func (n *Node) nextTarget() *record {
	for {
		if len(n.prober.round) == 0 {
			n.prober.round = n.shuffledPeers()
			if len(n.prober.round) == 0 {
				return nil
			}
		}
		name := n.prober.round[0]
		n.prober.round = n.prober.round[1:]
		if r := n.members[name]; r != nil && r.Status != StatusDead {
			return r
		}
	}
}

func (n *Node) shuffledPeers() []string {
	var peers []string
	for _, name := range n.names {
		if r := n.members[name]; r != n.self && r.Status != StatusDead {
			peers = append(peers, name)
		}
	}
	n.rnd.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers
}

func (n *Node) ping(r *record, now time.Duration, pull bool) Outgoing {
	p := &probe{
		seq:    n.prober.nextSeq(),
		target: r.Name,
		sent:   now,
		helped: now + n.cfg.PingTimeout,
		fails:  now + n.cfg.Period,
		pull:   pull,
	}
	n.prober.probes = append(n.prober.probes, p)
	return n.packetTo(r, now, Packet{Kind: KindPing, Seq: p.seq})
}

func (n *Node) checkProbes(now time.Duration) []Outgoing {
	var out []Outgoing
	var waiting []*probe
	for _, p := range n.prober.probes {
		r := n.members[p.target]
		switch {
		case r == nil || now >= p.fails && p.pull:
		case now >= p.fails:
			n.probeFailed(r, p, now)
		case now >= p.helped && !p.indirect && !p.pull:
			p.indirect = true
			out = append(out, n.askHelpers(r, p, now)...)
			waiting = append(waiting, p)
		default:
			waiting = append(waiting, p)
		}
	}
	n.prober.probes = waiting
	return out
}

func (n *Node) askHelpers(target *record, p *probe, now time.Duration) []Outgoing {
	usable := func(r *record) bool { return r != target && r.Status == StatusAlive }
	var out []Outgoing
	for _, helper := range n.pick(n.cfg.Helpers, usable) {
		out = append(out, n.packetTo(helper, now, Packet{
			Kind:           KindPingRequest,
			Seq:            p.seq,
			Subject:        target.Name,
			SubjectAddress: target.Address,
		}))
	}
	return out
}

func (n *Node) answerPing(now time.Duration, from string, p *Packet) []Outgoing {
	answer := Packet{Kind: KindAck, Seq: p.Seq, Subject: n.self.Name, Contacts: n.evidence.contacts(now)}
	return []Outgoing{n.packet(from, n.members[p.From], now, answer)}
}

func (n *Node) relayPing(now time.Duration, from string, p *Packet) []Outgoing {
	r := n.members[p.Subject]
	address := p.SubjectAddress
	if r != nil {
		address = r.Address
	}
	const maxRelays = 1000 // bounds the memory when many peers ask at once
	if address == "" || len(n.prober.relays) >= maxRelays {
		return nil
	}
	seq := n.prober.nextSeq()
	n.prober.relays = append(n.prober.relays, &relay{
		seq:      seq,
		origin:   from,
		originAt: p.Seq,
		expires:  now + n.cfg.Period,
	})
	return []Outgoing{n.packet(address, r, now, Packet{Kind: KindPing, Seq: seq})}
}

func (n *Node) dropRelays(now time.Duration) {
	kept := n.prober.relays[:0]
	for _, r := range n.prober.relays {
		if now < r.expires {
			kept = append(kept, r)
		}
	}
	n.prober.relays = kept
}

// receiveAck settles the probe that the answer belongs to. The answer of a helper dates the helper's knowledge, since
// the helper sent it after this process asked.
func (n *Node) receiveAck(now time.Duration, p *Packet) []Outgoing {
	for i, r := range n.prober.relays {
		if r.seq == p.Seq {
			n.prober.relays = append(n.prober.relays[:i:i], n.prober.relays[i+1:]...)
			answer := Packet{Kind: KindAck, Seq: r.originAt, Subject: p.From}
			return []Outgoing{n.packet(r.origin, nil, now, answer)}
		}
	}
	for i, probe := range n.prober.probes {
		if probe.seq != p.Seq || probe.target != p.Subject {
			continue
		}
		n.evidence.answer(p, probe.sent, now)
		if r := n.members[p.From]; r != nil && p.From == p.Subject {
			r.answeredAt = max(r.answeredAt, probe.sent)
		}
		n.prober.probes = append(n.prober.probes[:i:i], n.prober.probes[i+1:]...)
		return nil
	}
	return nil
}
