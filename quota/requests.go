package quota

import (
	"math"
	"time"
)

// maxOwnerRetryAfter is the longest delay that an owner asks for: that of a team without a rate.
const maxOwnerRetryAfter = time.Hour

// requestIfLow appends a new request for a team that is low on tokens, unless one is in flight or the owner has no
// tokens.
func (h *Holder) requestIfLow(now time.Duration, t *teamTokens, requests []GrantRequest) []GrantRequest {
	t.expire(now)
	if t.pending.id != 0 && !t.pending.isReport() {
		return requests
	}
	t.demand.decay(now)
	spare := max(h.targetTokens(t)-t.tokens, 0)
	if (t.unserved == 0 && spare == 0) || now < t.blockedUntil {
		return h.reportSpent(now, t, requests)
	}
	return append(requests, h.newRequest(now, t, pendingRequest{
		need:  int32(t.unserved),
		spare: int32(spare),
		brief: spare == 0 && t.tokens == 0,
	}))
}

// reportSpent reports to an owner that has set GrantReply.Tight that all tokens are spent.
func (h *Holder) reportSpent(now time.Duration, t *teamTokens, requests []GrantRequest) []GrantRequest {
	if t.pending.id != 0 || !t.reportDue() {
		return requests
	}
	return append(requests, h.newRequest(now, t, pendingRequest{brief: true}))
}

// pendingRequest is the part of a GrantRequest that a Holder keeps to send it again. It is small, because there is one
// for every active team.
type pendingRequest struct {
	id                          uint64
	need, spare, held, returned int32
	brief                       bool
}

// isReport reports whether the reply will carry no information, so that another request may replace this one.
func (p pendingRequest) isReport() bool {
	return p.need == 0 && p.spare == 0 && p.held == 0
}

// pendingMessage returns the request in flight as a message.
func (h *Holder) pendingMessage(t *teamTokens) GrantRequest {
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

// newRequest makes r the request in flight and returns its message. Returned tokens are lost to the holder even if the
// message is lost.
func (h *Holder) newRequest(now time.Duration, t *teamTokens, r pendingRequest) GrantRequest {
	t.tokens -= int(r.returned)
	h.lastID++
	r.id = h.lastID
	r.held = int32(t.tokens)
	t.pending = r
	t.firstSent = now
	t.lastSent = now
	t.unserved = 0
	t.unreported = 0
	return h.pendingMessage(t)
}

// sweep maintains all active teams and removes the idle ones.
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

// idle reports whether the team needs no state.
func (t *teamTokens) idle(now time.Duration) bool {
	return t.tokens == 0 && t.pending.id == 0 && !t.inLow && now >= t.blockedUntil && now-t.demand.updated >= forgetAfter
}

// maintain resends a request that has no reply yet, returns tokens that exceed the demand, and renews tokens when half
// of their lifetime has passed.
func (h *Holder) maintain(now time.Duration, t *teamTokens, requests []GrantRequest) []GrantRequest {
	t.expire(now)
	t.demand.decay(now)
	if t.pending.id != 0 {
		return h.resend(now, t, requests)
	}
	targetTokens := h.targetTokens(t)
	if t.tokens > 2*targetTokens+1 || (t.tokens > 0 && targetTokens == 0) {
		return append(requests, h.newRequest(now, t, pendingRequest{returned: int32(t.tokens - targetTokens)}))
	}
	if t.tokens > 0 && t.expires-now < h.cfg.Lifetime/2 {
		return append(requests, h.newRequest(now, t, pendingRequest{}))
	}
	return requests
}

// resend repeats the request in flight. After a lifetime the grant would be useless, so the request is abandoned.
func (h *Holder) resend(now time.Duration, t *teamTokens, requests []GrantRequest) []GrantRequest {
	if now >= t.firstSent+h.cfg.lifetime(t.pending.brief) {
		t.pending = pendingRequest{}
		return requests
	}
	if now < t.lastSent+h.cfg.ResendAfter {
		return requests
	}
	t.lastSent = now
	return append(requests, h.pendingMessage(t))
}

// Receive handles a reply. Replies to any request but the one in flight are ignored.
func (h *Holder) Receive(now time.Duration, r GrantReply) {
	if r.Process != h.cfg.Process || r.Incarnation != h.cfg.Incarnation || r.Stale {
		return
	}
	t := h.teams[r.Team]
	if t == nil || t.pending.id == 0 || r.ID != t.pending.id {
		return
	}
	if t.lastSent == t.firstSent {
		h.roundTrip += (now - t.lastSent - h.roundTrip) / 8
	}
	request := t.pending
	expires := t.firstSent + h.cfg.lifetime(request.brief)
	t.pending = pendingRequest{}
	t.expire(now)
	// A negative number of tokens would never reach 0.
	t.tokens = min(t.tokens, max(r.Confirmed, 0))
	if now < expires {
		t.tokens = min(t.tokens+min(max(r.Granted, 0), math.MaxInt32), math.MaxInt32)
		t.expires = expires
	}
	// The tokens of a brief grant expire at the owner so soon that a report would bring nothing.
	t.tight = r.Tight && !request.brief
	if request.isReport() {
		return
	}
	t.blockedUntil = 0
	if r.RetryAfter > 0 {
		t.blockedUntil = now + min(r.RetryAfter, maxOwnerRetryAfter)
	}
	// The caller calls Retry for the waiting requests, which counts them again.
	t.unserved = 0
}

// Release returns all tokens, for a process that stops. The Holder gets no new ones unless Take is called again.
func (h *Holder) Release(now time.Duration) []GrantRequest {
	var requests []GrantRequest
	for _, t := range h.order {
		t.expire(now)
		if t.tokens == 0 {
			continue
		}
		requests = append(requests, h.newRequest(now, t, pendingRequest{returned: int32(t.tokens)}))
	}
	return requests
}
