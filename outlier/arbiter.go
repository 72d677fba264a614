package outlier

import "time"

// ArbiterConfig sets the arbiter of one service.
type ArbiterConfig struct {
	Service string
	// FloorPercent is the share of announced capacity that ejection must leave in service.
	FloorPercent int
	// Start is the time at which this process became the arbiter. Nothing is granted for one permit lifetime and
	// margin after it, since permits of a former arbiter may still be in use.
	Start time.Duration
}

// Capacity is what one VM announced for the service.
type Capacity struct {
	VM string
	// Slots is all announced capacity.
	Slots int
	// Out is the part of Slots that is lost, draining or taken out.
	Out int
}

// Arbiter grants the ejection permits of one service so that the capacity that remains is never below the floor at the
// time of a grant.
type Arbiter struct {
	cfg      ArbiterConfig
	capacity map[string]Capacity
	permits  map[permitKey]*permit
}

type permitKey struct{ vm, server string }

// permit is a granted permit, or the memory of a released one that outdated requests must not revive.
type permit struct {
	slots   int
	run     uint64
	number  uint64
	expires time.Duration
	ending  bool // a renewal was refused
	free    bool // released
}

// NewArbiter returns an arbiter without known capacity.
func NewArbiter(cfg ArbiterConfig) *Arbiter {
	return &Arbiter{
		cfg:      cfg,
		capacity: make(map[string]Capacity),
		permits:  make(map[permitKey]*permit),
	}
}

// SetFloor changes the floor.
func (a *Arbiter) SetFloor(percent int) { a.cfg.FloorPercent = percent }

// SetCapacity replaces the announced capacity of the service.
func (a *Arbiter) SetCapacity(rows []Capacity) {
	a.capacity = make(map[string]Capacity, len(rows))
	for _, row := range rows {
		a.capacity[row.VM] = row
	}
}

// Request answers a permit request. A repeated request gets the same answer as long as nothing changed.
func (a *Arbiter) Request(now time.Duration, r PermitRequest) PermitReply {
	a.expire(now)
	reply := PermitReply{VM: r.VM, Service: r.Service, Server: r.Server, Run: r.Run, Number: r.Number}
	reply.Reason = a.decide(now, &r)
	reply.Granted = reply.Reason == ReasonGranted
	return reply
}

func (a *Arbiter) decide(now time.Duration, r *PermitRequest) PermitReason {
	key := permitKey{r.VM, r.Server}
	held := a.permits[key]
	if held != nil && held.newerThan(r) {
		return ReasonOutdated
	}
	if r.Release {
		if held != nil {
			held.run, held.number, held.free = r.Run, r.Number, true
		}
		return ReasonReleased
	}
	if now < a.cfg.Start+PermitLifetime+PermitMargin {
		return ReasonStarting
	}
	if _, ok := a.capacity[r.VM]; !ok {
		return ReasonUnknownVM
	}
	if held != nil && !held.free {
		return a.renew(now, held, r)
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

// renew extends a permit while the rest is at or above the floor. Below it, just enough permits end: the rest is
// counted as if the permits that are ending had ended.
func (a *Arbiter) renew(now time.Duration, held *permit, r *PermitRequest) PermitReason {
	held.run, held.number = r.Run, r.Number
	if held.ending || a.remaining(true) < a.floor() {
		held.ending = true
		return ReasonFloor
	}
	held.slots = max(held.slots, r.Slots)
	held.expires = expiry(now)
	return ReasonGranted
}

func expiry(now time.Duration) time.Duration {
	return now + PermitLifetime + PermitMargin
}

// newerThan tells whether a request was overtaken. A request equal to the last one is a duplicate and is answered
// again.
func (p *permit) newerThan(r *PermitRequest) bool {
	if p.run != r.Run {
		return p.run > r.Run
	}
	return p.number > r.Number
}

// expire drops permits whose time is over. The memory of a release is kept as long, which covers messages that are
// late by less than a lifetime; a later one makes the arbiter count a permit that nobody uses.
func (a *Arbiter) expire(now time.Duration) {
	for key, p := range a.permits {
		if now >= p.expires {
			delete(a.permits, key)
		}
	}
}

// floor returns the least number of slots that ejection must leave, rounded up. Ejection never leaves nothing.
func (a *Arbiter) floor() int {
	total := 0
	for _, c := range a.capacity {
		total += c.Slots
	}
	return max(1, (total*a.cfg.FloorPercent+99)/100)
}

// remaining returns the slots that are in service: neither out by the announcements nor permitted. Capacity that is
// both counts once. With ended, permits that are ending count as ended.
func (a *Arbiter) remaining(ended bool) int {
	permitted := make(map[string]int)
	for key, p := range a.permits {
		if !p.free && !(ended && p.ending) {
			permitted[key.vm] += p.slots
		}
	}
	rest := 0
	for vm, c := range a.capacity {
		rest += max(0, c.Slots-c.Out-permitted[vm])
	}
	return rest
}
