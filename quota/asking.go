package quota

import "time"

// ask appends a new request for a team that is low on tokens, unless one is in flight or the owner has none.
func (h *Holder) ask(now time.Duration, t *holding, requests []GrantRequest) []GrantRequest {
	t.expire(now)
	if t.pending.id != 0 && !t.pending.isReport() {
		return requests
	}
	t.demand.decay(now)
	spare := max(h.target(t)-t.tokens, 0)
	if (t.short == 0 && spare == 0) || now < t.blockedUntil {
		return h.report(now, t, requests)
	}
	return append(requests, h.request(now, t, pendingRequest{
		need:  int32(t.short),
		spare: int32(spare),
		brief: spare == 0 && t.tokens == 0,
	}))
}

// report tells a tight owner that all tokens are spent.
func (h *Holder) report(now time.Duration, t *holding, requests []GrantRequest) []GrantRequest {
	if t.pending.id != 0 || !t.reportDue() {
		return requests
	}
	return append(requests, h.request(now, t, pendingRequest{brief: true}))
}

// pendingRequest is what a Holder keeps of a GrantRequest to send it again. Its size counts for every active team.
type pendingRequest struct {
	id                          uint64
	need, spare, held, returned int32
	brief                       bool
}

// isReport is true for a request whose answer carries nothing, so that another one may replace it.
func (p pendingRequest) isReport() bool {
	return p.need == 0 && p.spare == 0 && p.held == 0
}

// message is the request as it is sent.
func (h *Holder) message(t *holding) GrantRequest {
	return GrantRequest{
		Process:     h.cfg.Process,
		Incarnation: h.cfg.Incarnation,
		Team:        t.team,
		ID:          t.pending.id,
		Need:        int(t.pending.need),
		Spare:       int(t.pending.spare),
		Held:        int(t.pending.held),
		Brief:       t.pending.brief,
		Returned:    int(t.pending.returned),
	}
}

// request makes a new request the one in flight. Returned tokens are gone even if the request is lost.
func (h *Holder) request(now time.Duration, t *holding, r pendingRequest) GrantRequest {
	t.tokens -= int(r.returned)
	h.lastID++
	r.id = h.lastID
	r.held = int32(t.tokens)
	t.pending = r
	t.asked = now
	t.sent = now
	t.short = 0
	t.unreported = 0
	return h.message(t)
}

// sweep looks at all active teams and forgets the idle ones.
func (h *Holder) sweep(now time.Duration, requests []GrantRequest) []GrantRequest {
	kept := h.order[:0]
	for _, t := range h.order {
		if t.idle(now) {
			delete(h.teams, t.team)
			continue
		}
		kept = append(kept, t)
		if t.tokens > 0 || t.pending.id != 0 {
			requests = h.maintain(now, t, requests)
		}
	}
	clear(h.order[len(kept):])
	h.order = kept
	return requests
}

// idle is true for a team that costs memory for nothing.
func (t *holding) idle(now time.Duration) bool {
	return t.tokens == 0 && t.pending.id == 0 && !t.listed && now >= t.blockedUntil && now-t.demand.updated >= forgetAfter
}

// maintain sends an unanswered request again, returns tokens that the demand does not need, renews tokens that are half
// way to their expiry.
func (h *Holder) maintain(now time.Duration, t *holding, requests []GrantRequest) []GrantRequest {
	t.expire(now)
	t.demand.decay(now)
	if t.pending.id != 0 {
		return h.resend(now, t, requests)
	}
	target := h.target(t)
	if t.tokens > 2*target+1 || (t.tokens > 0 && target == 0) {
		return append(requests, h.request(now, t, pendingRequest{returned: int32(t.tokens - target)}))
	}
	if t.tokens > 0 && t.expires-now < h.cfg.Lifetime/2 {
		return append(requests, h.request(now, t, pendingRequest{}))
	}
	return requests
}

// resend repeats the request in flight. After a lifetime its grant would be of no use, so it is given up.
func (h *Holder) resend(now time.Duration, t *holding, requests []GrantRequest) []GrantRequest {
	if now >= t.asked+h.cfg.lifetime(t.pending.brief) {
		t.pending = pendingRequest{}
		return requests
	}
	if now < t.sent+h.cfg.Resend {
		return requests
	}
	t.sent = now
	return append(requests, h.message(t))
}

// Receive takes a reply. Replies to any request but the one in flight are ignored.
func (h *Holder) Receive(now time.Duration, r GrantReply) {
	if r.Process != h.cfg.Process || r.Incarnation != h.cfg.Incarnation || r.Stale {
		return
	}
	t := h.teams[r.Team]
	if t == nil || t.pending.id == 0 || r.ID != t.pending.id {
		return
	}
	if t.sent == t.asked {
		h.roundTrip += (now - t.sent - h.roundTrip) / 8
	}
	answered := t.pending
	expires := t.asked + h.cfg.lifetime(answered.brief)
	t.pending = pendingRequest{}
	t.expire(now)
	t.tokens = min(t.tokens, r.Confirmed)
	if now < expires {
		t.tokens += r.Granted
		t.expires = expires
	}
	// A brief grant expires at the owner sooner than a report would save.
	t.tight = r.Tight && !answered.brief
	if answered.isReport() {
		return
	}
	t.blockedUntil = 0
	if r.RetryAfter > 0 {
		t.blockedUntil = now + r.RetryAfter
	}
	// The waiting requests call Retry and are counted again.
	t.short = 0
}

// Release returns all tokens, for a process that stops. The Holder gets no new ones unless Take is called again.
func (h *Holder) Release(now time.Duration) []GrantRequest {
	var requests []GrantRequest
	for _, t := range h.order {
		t.expire(now)
		if t.tokens == 0 {
			continue
		}
		requests = append(requests, h.request(now, t, pendingRequest{returned: int32(t.tokens)}))
	}
	return requests
}
