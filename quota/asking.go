package quota

import (
	"slices"
	"time"
)

// ask appends a new request for a team that is low on tokens, unless one is in flight or the owner has none.
func (h *Holder) ask(now time.Duration, team string, t *holding, requests []GrantRequest) []GrantRequest {
	t.expire(now)
	if t.pending.ID != 0 && !t.pending.isReport() {
		return requests
	}
	t.demand.decay(now)
	spare := max(h.target(t)-t.tokens, 0)
	if (t.short == 0 && spare == 0) || now < t.blockedUntil {
		return h.report(now, team, t, requests)
	}
	return append(requests, h.request(now, team, t, GrantRequest{
		Need:  t.short,
		Spare: spare,
		Brief: spare == 0 && t.tokens == 0,
	}))
}

// report tells a tight owner that all tokens are spent.
func (h *Holder) report(now time.Duration, team string, t *holding, requests []GrantRequest) []GrantRequest {
	if t.pending.ID != 0 || !t.reportDue() {
		return requests
	}
	return append(requests, h.request(now, team, t, GrantRequest{Brief: true}))
}

// isReport is true for a request whose answer carries nothing, so that another one may replace it.
func (r GrantRequest) isReport() bool {
	return r.Need == 0 && r.Spare == 0 && r.Held == 0
}

// request makes a new request the one in flight. Returned tokens are gone even if the request is lost.
func (h *Holder) request(now time.Duration, team string, t *holding, r GrantRequest) GrantRequest {
	t.tokens -= r.Returned
	h.lastID++
	r.Process = h.cfg.Process
	r.Incarnation = h.cfg.Incarnation
	r.Team = team
	r.ID = h.lastID
	r.Held = t.tokens
	t.pending = r
	t.asked = now
	t.sent = now
	t.short = 0
	t.unreported = 0
	return r
}

// sweep looks at all active teams in name order.
func (h *Holder) sweep(now time.Duration, requests []GrantRequest) []GrantRequest {
	teams := make([]string, 0, len(h.teams))
	for team := range h.teams {
		teams = append(teams, team)
	}
	slices.Sort(teams)
	for _, team := range teams {
		requests = h.maintain(now, team, h.teams[team], requests)
	}
	return requests
}

// maintain sends an unanswered request again, returns tokens that the demand does not need, renews tokens that are half
// way to their expiry, and forgets idle teams.
func (h *Holder) maintain(now time.Duration, team string, t *holding, requests []GrantRequest) []GrantRequest {
	t.expire(now)
	t.demand.decay(now)
	if t.pending.ID != 0 {
		return h.resend(now, t, requests)
	}
	target := h.target(t)
	if t.tokens > 2*target+1 || (t.tokens > 0 && target == 0) {
		return append(requests, h.request(now, team, t, GrantRequest{Returned: t.tokens - target}))
	}
	if t.tokens > 0 && t.expires-now < h.cfg.Lifetime/2 {
		return append(requests, h.request(now, team, t, GrantRequest{}))
	}
	if t.tokens == 0 && t.short == 0 && t.demand.perSecond < idleDemand && now >= t.blockedUntil {
		delete(h.teams, team)
	}
	return requests
}

// resend repeats the request in flight. After a lifetime its grant would be of no use, so it is given up.
func (h *Holder) resend(now time.Duration, t *holding, requests []GrantRequest) []GrantRequest {
	if now >= t.asked+h.cfg.lifetime(t.pending) {
		t.pending = GrantRequest{}
		return requests
	}
	if now < t.sent+h.cfg.Resend {
		return requests
	}
	t.sent = now
	return append(requests, t.pending)
}

// Receive takes a reply. Replies to any request but the one in flight are ignored.
func (h *Holder) Receive(now time.Duration, r GrantReply) {
	if r.Process != h.cfg.Process || r.Incarnation != h.cfg.Incarnation || r.Stale {
		return
	}
	t := h.teams[r.Team]
	if t == nil || t.pending.ID == 0 || r.ID != t.pending.ID {
		return
	}
	if t.sent == t.asked {
		h.roundTrip += (now - t.sent - h.roundTrip) / 8
	}
	answered := t.pending
	expires := t.asked + h.cfg.lifetime(answered)
	t.pending = GrantRequest{}
	t.expire(now)
	t.tokens = min(t.tokens, r.Confirmed)
	if now < expires {
		t.tokens += r.Granted
		t.expires = expires
	}
	t.tight = r.Tight
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
	teams := make([]string, 0, len(h.teams))
	for team := range h.teams {
		teams = append(teams, team)
	}
	slices.Sort(teams)
	var requests []GrantRequest
	for _, team := range teams {
		t := h.teams[team]
		t.expire(now)
		if t.tokens == 0 {
			continue
		}
		requests = append(requests, h.request(now, team, t, GrantRequest{Returned: t.tokens}))
	}
	return requests
}
