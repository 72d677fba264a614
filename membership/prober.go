package membership

import "time"

// prober schedules the pings: one per Config.Period in shuffled rounds over all members, and additional ones while the
// newest heartbeat is older than Config.StaleHeartbeatAge.
type prober struct {
	seq         uint64
	nextPing    time.Duration
	nextContact time.Duration // time of the next additional ping, which only collects contacts
	round       []string      // members of other failure domains that are still to be pinged in this round
	nearRound   []string      // the same for members of the own failure domain
	probes      []*probe      // pings without a reply yet, oldest first
	relays      []*relay
}

// probe is a ping that has no reply yet.
type probe struct {
	seq          uint64
	target       string
	sent         time.Duration
	indirectAt   time.Duration // when helpers are asked for an indirect ping
	failsAt      time.Duration
	indirectSent bool
	contactOnly  bool // only collects contacts: no helpers are asked and no suspicion is raised
}

// relay is a ping that this process sent for another process.
type relay struct {
	seq       uint64 // sequence number of the ping from this process
	origin    string // address of the process that asked for the ping
	originSeq uint64 // sequence number of the request
	expires   time.Duration
}

func (p *prober) begin(now time.Duration, n *Node) {
	p.nextPing = now + jitter(n.cfg.Period, n.rnd)
	p.nextContact = now + jitter(n.cfg.ContactInterval, n.rnd)
}

// next returns the time at which the prober has work to do.
func (p *prober) next(e *evidence) time.Duration {
	next := p.nextPing
	for _, probe := range p.probes {
		due := probe.failsAt
		if !probe.indirectSent && !probe.contactOnly {
			due = probe.indirectAt
		}
		next = min(next, due)
	}
	return min(next, max(p.nextContact, e.staleAt()))
}

// shift delays all timers of pings by gap.
func (p *prober) shift(gap time.Duration) {
	p.nextPing += gap
	for _, probe := range p.probes {
		probe.indirectAt += gap
		probe.failsAt += gap
	}
}

func (p *prober) nextSeq() uint64 {
	p.seq++
	return p.seq
}

func (n *Node) tickProbes(now time.Duration) []Outgoing {
	out := n.checkProbes(now)
	n.removeExpiredRelays(now)
	if now >= n.prober.nextPing {
		n.prober.nextPing = now + n.cfg.Period
		if r := n.nextTarget(); r != nil {
			out = append(out, n.ping(r, now, false))
		}
	}
	if now >= n.prober.nextContact {
		n.prober.nextContact = now + n.contactInterval(now)
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

// farShare is the share of pings and syncs that go to members of other failure domains: 1 in 4. Packets between failure domains
// cost more. What is new spreads within a domain, and reaches the others by a few of its members.
const farShare = 4

// nextTarget returns the next member to ping, or nil. Each round covers all members in random order, so that the time
// between two pings of a member is bounded.
func (n *Node) nextTarget() *record {
	near := n.preferNear()
	if r := n.nextOf(near); r != nil {
		return r
	}
	return n.nextOf(!near)
}

// preferNear reports whether the next ping or sync should go to the own failure domain.
func (n *Node) preferNear() bool { return n.rnd.IntN(farShare) != 0 }

// nextOf returns the next member to ping inside or outside of the own failure domain, or nil.
func (n *Node) nextOf(near bool) *record {
	round := &n.prober.round
	if near {
		round = &n.prober.nearRound
	}
	for {
		if len(*round) == 0 {
			*round = n.shuffledPeers(near)
			if len(*round) == 0 {
				return nil
			}
		}
		name := (*round)[0]
		*round = (*round)[1:]
		if r := n.members[name]; r != nil && r.Status != StatusDead && n.isNear(r) == near {
			return r
		}
	}
}

// isNear reports whether a member is in the own failure domain.
func (n *Node) isNear(r *record) bool { return r.Domain == n.self.Domain }

func (n *Node) shuffledPeers(near bool) []string {
	var peers []string
	for _, name := range n.names {
		if r := n.members[name]; r != n.self && r.Status != StatusDead && n.isNear(r) == near {
			peers = append(peers, name)
		}
	}
	n.rnd.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers
}

func (n *Node) ping(r *record, now time.Duration, contactOnly bool) Outgoing {
	p := &probe{
		seq:         n.prober.nextSeq(),
		target:      r.Name,
		sent:        now,
		indirectAt:  now + n.cfg.PingTimeout,
		failsAt:     now + n.cfg.Period,
		contactOnly: contactOnly,
	}
	n.prober.probes = append(n.prober.probes, p)
	return n.packetTo(r, now, Packet{Kind: KindPing, Seq: p.seq})
}

// checkProbes asks helpers for indirect pings, and handles pings that have failed.
func (n *Node) checkProbes(now time.Duration) []Outgoing {
	var out []Outgoing
	var waiting []*probe
	for _, p := range n.prober.probes {
		r := n.members[p.target]
		switch {
		case r == nil || now >= p.failsAt && p.contactOnly:
		case now >= p.failsAt:
			n.probeFailed(r, p, now)
		case now >= p.indirectAt && !p.indirectSent && !p.contactOnly:
			p.indirectSent = true
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

func (n *Node) replyToPing(now time.Duration, from string, p *Packet) []Outgoing {
	reply := Packet{Kind: KindAck, Seq: p.Seq, Subject: n.self.Name, Contacts: n.evidence.contactsForAck(now)}
	return []Outgoing{n.packet(from, n.members[p.From], now, reply)}
}

// relayPing pings the subject of a KindPingRequest.
func (n *Node) relayPing(now time.Duration, from string, p *Packet) []Outgoing {
	r := n.members[p.Subject]
	address := p.SubjectAddress
	if r != nil {
		address = r.Address
	}
	const maxRelays = 1000 // limits memory when many peers send requests at once
	if address == "" || len(n.prober.relays) >= maxRelays {
		return nil
	}
	seq := n.prober.nextSeq()
	n.prober.relays = append(n.prober.relays, &relay{
		seq:       seq,
		origin:    from,
		originSeq: p.Seq,
		expires:   now + n.cfg.Period,
	})
	return []Outgoing{n.packet(address, r, now, Packet{Kind: KindPing, Seq: seq})}
}

func (n *Node) removeExpiredRelays(now time.Duration) {
	kept := n.prober.relays[:0]
	for _, r := range n.prober.relays {
		if now < r.expires {
			kept = append(kept, r)
		}
	}
	n.prober.relays = kept
}

// receiveAck forwards the reply to a relayed ping, or completes the probe that the reply belongs to. A reply that a
// helper forwards carries the helper's own evidence. It is dated by the send time of this process's ping, because the
// helper sent the reply after that.
func (n *Node) receiveAck(now time.Duration, p *Packet) []Outgoing {
	for i, r := range n.prober.relays {
		if r.seq == p.Seq {
			n.prober.relays = append(n.prober.relays[:i:i], n.prober.relays[i+1:]...)
			reply := Packet{Kind: KindAck, Seq: r.originSeq, Subject: p.From}
			return []Outgoing{n.packet(r.origin, nil, now, reply)}
		}
	}
	for i, probe := range n.prober.probes {
		if probe.seq != p.Seq || probe.target != p.Subject {
			continue
		}
		n.evidence.observeReply(p, probe.sent, now)
		if r := n.members[p.From]; r != nil && p.From == p.Subject {
			r.repliedAt = max(r.repliedAt, probe.sent)
		}
		n.prober.probes = append(n.prober.probes[:i:i], n.prober.probes[i+1:]...)
		return nil
	}
	return nil
}
