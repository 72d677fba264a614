package rollout

import (
	"math"
	"slices"
	"time"
)

// Allowance is the gate's side of the bound on exposure: how many requests it may send to its servers of the new version
// while the phase is Canary or Loaded. The load pattern is replies that are lost, late or doubled while the leader takes
// allowances back: only a reply to a newer report than the last applied one counts, so that the leader knows from
// Report.GrantedBy which of its replies can still take effect.
type Allowance struct {
	allowed  uint64
	sequence uint64
	refused  uint64
}

// Admit reports whether a request may be sent to the servers after arrived others, and counts it as refused if not.
func (a *Allowance) Admit(arrived uint64) bool {
	if arrived < a.allowed {
		return true
	}
	a.refused++
	return false
}

// Replied takes the reply to the report with this sequence.
func (a *Allowance) Replied(sequence uint64, reply Reply) {
	if sequence > a.sequence {
		a.allowed, a.sequence = reply.Allowed, sequence
	}
}

// Fill sets the fields of a report that concern the allowance.
func (a *Allowance) Fill(r *Report) {
	r.Granted, r.GrantedBy, r.Refused = a.allowed, a.sequence, a.refused
}

// grant is what the leader knows of the allowance of a gate.
type grant struct {
	// sent holds the replies that can still take effect, by the sequence of their report, in order of sending.
	sent []sentGrant
	// dead counts the allowances of earlier incarnations, all of which count as spent.
	dead uint64
	// first is the sequence of the first report of this incarnation that this leader got.
	first uint64
	// committed is the highest number of arrivals that the gate can reach with what it has or may get.
	committed uint64
}

type sentGrant struct{ sequence, allowed uint64 }

func (g *grant) restart() { *g = grant{dead: g.dead + g.committed} }

// reported updates the record with the gate's newest report.
func (g *grant) reported(r *Report) {
	if g.first == 0 {
		g.first = r.Sequence
	}
	kept := g.sent[:0]
	g.committed = max(r.Granted, r.Arrived)
	for _, s := range g.sent {
		if s.sequence > r.GrantedBy {
			kept = append(kept, s)
			g.committed = max(g.committed, s.allowed)
		}
	}
	g.sent = kept
}

// reply records a reply and returns it.
func (g *grant) reply(sequence, allowed uint64) Reply {
	g.sent = append(g.sent, sentGrant{sequence, allowed})
	g.committed = max(g.committed, allowed)
	return Reply{Allowed: allowed}
}

// confirmed reports whether replies of an earlier leader can no longer take effect at the gate.
func (g *grant) confirmed(r *Report) bool { return r.GrantedBy >= g.first }

const (
	// allowedShare of the bound on exposure is given out. The rest covers requests that arrive twice because they are retried.
	allowedShare = 0.8
	// refusedAhead is the most that a gate gets for the requests that it refused: those of a report interval of a server
	// to which the requests of the loaded phase go.
	refusedAhead = 6
	// allowanceTime is two report intervals of a gate of the new version: one report or reply may be lost.
	allowanceTime = 500 * time.Millisecond
)

// allow decides the allowance of a gate of the new version. The load pattern is a few requests per second for the new version,
// spread over so many gates that one request held by each would use up the bound: a gate gets what it needs until its next
// report, and what it does not use is taken back.
func (d *Decider) allow(elapsed time.Duration, g *gateRecord, arrived, refused uint64) uint64 {
	r := &g.last
	keep := max(r.Granted, r.Arrived)
	if d.plan.Phase != Canary && d.plan.Phase != Loaded {
		return keep
	}
	if d.plan.Decision == 0 || d.takeover && (elapsed < d.readyAt || !g.grant.confirmed(r)) {
		return keep
	}
	limit, used := d.exposureLimit(), d.committed()
	if used >= limit {
		return r.Arrived
	}
	room := limit - used + g.grant.committed - r.Arrived
	ahead := max(2*arrived+min(refused, refusedAhead), d.expected(g))
	if ahead == 0 && d.plan.Phase == Canary && 2*used < limit {
		ahead = 1
	}
	return r.Arrived + min(ahead, room)
}

// expected returns the requests that a gate of the loaded phase gets until its next allowance. Without it, a server would begin
// with refusals and an allowance for one report interval, and the requests of half a group would pass before it is at load.
func (d *Decider) expected(g *gateRecord) uint64 {
	if d.plan.Phase != Loaded || d.plan.Servers == 0 || !slices.Contains(d.participants(), g.last.VM) {
		return 0
	}
	perServer := d.reports.rate(g.at) * float64(d.plan.Percent) / 100 / float64(d.plan.Servers)
	return 1 + uint64(math.Ceil(perServer*allowanceTime.Seconds()))
}

// participants returns the VMs that take part in the loaded phase, as entries choose them if they know the same VMs.
func (d *Decider) participants() []string {
	var names []string
	for _, key := range d.reports.keys() {
		if key.new {
			names = append(names, key.vm)
		}
	}
	return NewView(nil, &d.plan).Participants(names)
}

// exposureLimit is the number of requests that all gates of the new version together may have been allowed by now.
func (d *Decider) exposureLimit() uint64 {
	return uint64(allowedShare * (d.settings.ExposureShare*float64(d.reports.arrived()) + float64(d.settings.ExposureSlack)))
}

// carry sets what a leader that took over counts as spent beyond what the gates report. The load pattern is gates that
// restarted, and so lost their counts, or that are cut off while the leader is exchanged. At the percentage of the record, from
// the order on, entries have offered no more than implied; of this, twice the share of such gates is taken as spent by them, a
// tenth of the gates but at least one being cut off.
func (d *Decider) carry() {
	implied := min(d.exposureLimit(), uint64(float64(d.plan.Percent)/100*float64(d.reports.arrived())))
	gates, lost := 0, 0
	var longest int64
	for _, g := range d.reports.gates {
		longest = max(longest, g.last.KnownMs)
	}
	for key, g := range d.reports.gates {
		if key.new {
			gates++
			if g.last.KnownMs < longest-takeoverRound.Milliseconds() {
				lost++
			}
		}
	}
	lost += max(1, gates/10)
	known := d.committed()
	share := min(1, 2*float64(lost)/float64(max(1, gates)))
	d.carried, d.isCarried = min(uint64(share*float64(implied)), implied-min(implied, known)), true
}

// committed is the number of requests that the new version may get with what its gates were allowed.
func (d *Decider) committed() (n uint64) {
	n = d.carried
	for key, g := range d.reports.gates {
		if key.new {
			n += g.grant.committed + g.grant.dead
		}
	}
	return n
}
