package outlier

import (
	"math"
	"time"
)

// ArbiterConfig holds the settings of the arbiter of one service.
type ArbiterConfig struct {
	Service string
	// FloorPercent is the percentage of the announced capacity that ejections must leave in service.
	FloorPercent int
	// Start is the time at which this process became the arbiter, on its clock. Nothing is granted until PermitLifetime
	// and PermitMargin have passed since then, because permits of a former arbiter may still be in use.
	Start time.Duration
}

// Capacity is what one VM has announced for the service.
type Capacity struct {
	VM string
	// Slots is the whole announced capacity, in slots.
	Slots int
	// Out is the part of Slots that is out of service: lost, draining or ejected.
	Out int
}

// Arbiter grants the ejection permits of one service. At the time of a grant the remaining capacity is at or above the
// floor.
type Arbiter struct {
	cfg      ArbiterConfig
	capacity map[string]Capacity
	permits  map[permitKey]*permit
}

type permitKey struct{ vm, server string }

// permit is a granted permit, or a released one, which is kept so that outdated requests do not revive it.
type permit struct {
	slots          int
	run            uint64
	number         uint64
	expires        time.Duration
	renewalRefused bool // the permit is left to expire
	released       bool
}

// NewArbiter returns an arbiter without known capacity.
func NewArbiter(cfg ArbiterConfig) *Arbiter {
	return &Arbiter{
		cfg:      cfg,
		capacity: make(map[string]Capacity),
		permits:  make(map[permitKey]*permit),
	}
}

// SetFloor sets the percentage of the announced capacity that ejections must leave in service.
func (a *Arbiter) SetFloor(percent int) { a.cfg.FloorPercent = percent }

// SetCapacity replaces the announced capacity of the service.
func (a *Arbiter) SetCapacity(rows []Capacity) {
	a.capacity = make(map[string]Capacity, len(rows))
	for _, row := range rows {
		a.capacity[row.VM] = row
	}
}

// Request decides a permit request and returns the reply. A repeated request gets the same reply as long as nothing has
// changed.
func (a *Arbiter) Request(now time.Duration, r PermitRequest) PermitReply {
	a.dropExpired(now)
	reply := PermitReply{VM: r.VM, Service: r.Service, Server: r.Server, Run: r.Run, Number: r.Number}
	// Negative slots would count as capacity in service, and a sum that overflows too.
	r.Slots = min(max(r.Slots, 0), math.MaxInt32)
	reply.Reason = a.decide(now, &r)
	reply.Granted = reply.Reason == ReasonGranted
	return reply
}

func (a *Arbiter) decide(now time.Duration, r *PermitRequest) PermitReason {
	key := permitKey{r.VM, r.Server}
	existing := a.permits[key]
	if existing != nil && existing.newerThan(r) {
		return ReasonOutdated
	}
	if r.Release {
		if existing != nil {
			existing.run, existing.number, existing.released = r.Run, r.Number, true
		}
		return ReasonReleased
	}
	if now < a.cfg.Start+PermitLifetime+PermitMargin {
		return ReasonStarting
	}
	if _, ok := a.capacity[r.VM]; !ok {
		return ReasonUnknownVM
	}
	if existing != nil && !existing.released {
		return a.renew(now, existing, r)
	}
	return a.grant(now, key, r)
}

func (a *Arbiter) grant(now time.Duration, key permitKey, r *PermitRequest) PermitReason {
	a.permits[key] = &permit{slots: r.Slots, run: r.Run, number: r.Number, expires: expiry(now)}
	if a.remaining(false) < a.floor() {
		delete(a.permits, key)
		return ReasonFloor
	}
	return ReasonGranted
}

// renew extends a permit while the remaining capacity is at or above the floor. Below it, no more renewals are refused
// than needed, because permits whose renewal was refused count as ended already.
func (a *Arbiter) renew(now time.Duration, existing *permit, r *PermitRequest) PermitReason {
	existing.run, existing.number = r.Run, r.Number
	if existing.renewalRefused || a.remaining(true) < a.floor() {
		existing.renewalRefused = true
		return ReasonFloor
	}
	existing.slots = max(existing.slots, r.Slots)
	existing.expires = expiry(now)
	return ReasonGranted
}

func expiry(now time.Duration) time.Duration {
	return now + PermitLifetime + PermitMargin
}

// newerThan reports whether the last request for the permit is newer than r. A request equal to the last one is a
// duplicate and gets a reply again.
func (p *permit) newerThan(r *PermitRequest) bool {
	if p.run != r.Run {
		return p.run > r.Run
	}
	return p.number > r.Number
}

// dropExpired removes permits that have expired. A released one is kept until then too, which covers requests that are
// late by less than its lifetime. A request that arrives even later makes the arbiter count a permit that nobody uses.
func (a *Arbiter) dropExpired(now time.Duration) {
	for key, p := range a.permits {
		if now >= p.expires {
			delete(a.permits, key)
		}
	}
}

// floor returns the number of slots that ejections must leave in service, rounded up. It is at least 1, so that
// ejections never take a whole service out.
func (a *Arbiter) floor() int {
	total := 0
	for _, c := range a.capacity {
		total += c.Slots
	}
	return max(1, (total*a.cfg.FloorPercent+99)/100)
}

// remaining returns the slots that are in service: neither announced as out of service nor covered by a permit.
// Capacity that is both counts once. With excludeRefused, permits whose renewal was refused count as ended.
func (a *Arbiter) remaining(excludeRefused bool) int {
	permitted := make(map[string]int)
	for key, p := range a.permits {
		if !p.released && !(excludeRefused && p.renewalRefused) {
			permitted[key.vm] += p.slots
		}
	}
	rest := 0
	for vm, c := range a.capacity {
		rest += max(0, c.Slots-c.Out-permitted[vm])
	}
	return rest
}
