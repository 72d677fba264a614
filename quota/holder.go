package quota

import (
	"math"
	"time"
)

const (
	// forgetAfter is the time without a request after which a team without tokens is removed.
	forgetAfter = time.Second
	// minRetryAfter is the minimum time until a retry. It prevents a busy loop where the owner is in the same process.
	minRetryAfter = time.Millisecond
	// initialRoundTrip is the assumed time from a request to its reply before one was measured.
	initialRoundTrip = 5 * time.Millisecond
)

// Holder requests and spends the tokens of one process.
type Holder struct {
	cfg    Config
	teams  map[string]*teamTokens
	lastID uint64
	// order holds the teams in the order of their first request, so that runs are deterministic without sorting.
	order []*teamTokens
	// low holds the teams that need a request to the owner before the next sweep.
	low       []*teamTokens
	lastSweep time.Duration
	// roundTrip is a moving average of the time from a request to its reply.
	roundTrip time.Duration
}

// teamTokens is the state of one active team at a Holder.
type teamTokens struct {
	team    string
	tokens  int
	expires time.Duration
	demand  demand
	// unserved is the number of requests that found no token since the last grant request.
	unserved int
	// inLow is true while the team is in Holder.low.
	inLow bool
	// tight is true while the owner wants a report as soon as all tokens are spent; unreported is the number of spent
	// tokens that were not reported yet.
	tight      bool
	unreported int
	// blockedUntil is the time at which the owner expects to have tokens again.
	blockedUntil time.Duration

	// pending is the request in flight; its id is 0 if there is none. firstSent and lastSent are the times at which it
	// was sent.
	pending   pendingRequest
	firstSent time.Duration
	lastSent  time.Duration
}

// NewHolder returns a Holder without tokens.
func NewHolder(cfg Config) *Holder {
	return &Holder{
		cfg:       cfg.withDefaults(),
		teams:     make(map[string]*teamTokens),
		roundTrip: initialRoundTrip,
	}
}

// Take spends one token for a new request. If there is none, retryAfter is the time until a Retry is worthwhile: about
// one round trip when a grant is pending or can be requested, else the estimate of the owner.
func (h *Holder) Take(now time.Duration, team string) (ok bool, retryAfter time.Duration) {
	t := h.teams[team]
	if t == nil {
		t = &teamTokens{team: team, demand: demand{window: h.cfg.DemandWindow, updated: now}}
		h.teams[team] = t
		h.order = append(h.order, t)
	}
	t.demand.add(now)
	if h.spend(now, t) {
		return true, 0
	}
	return false, h.recordShortage(now, t)
}

// Spend spends one token if the holder has one. Otherwise it returns false and requests none from the owner.
func (h *Holder) Spend(now time.Duration, team string) bool {
	t := h.teams[team]
	return t != nil && h.spend(now, t)
}

// Blocked reports whether the owner could not grant a token at the last request and expects none yet.
func (h *Holder) Blocked(now time.Duration, team string) bool {
	t := h.teams[team]
	return t != nil && t.blockedUntil > now
}

// Retry spends one token for a request whose Take or Retry failed. It does not count as new demand. Call it for every
// waiting request after Receive, and when retryAfter has passed.
func (h *Holder) Retry(now time.Duration, team string) (ok bool, retryAfter time.Duration) {
	t := h.teams[team]
	if t == nil {
		return h.Take(now, team)
	}
	if h.spend(now, t) {
		return true, 0
	}
	if t.pending.id != 0 {
		return false, h.retryAfter(now, t)
	}
	return false, h.recordShortage(now, t)
}

// recordShortage adds a request that found no token to the next grant request, unless the owner has no tokens for now.
func (h *Holder) recordShortage(now time.Duration, t *teamTokens) time.Duration {
	if now >= t.blockedUntil {
		t.unserved++
		h.addToLow(t)
	}
	return h.retryAfter(now, t)
}

func (h *Holder) spend(now time.Duration, t *teamTokens) bool {
	t.expire(now)
	if t.tokens == 0 {
		return false
	}
	t.tokens--
	t.unreported++
	if t.pending.id == 0 && (t.tokens < h.targetTokens(t)/2 || t.reportDue()) {
		h.addToLow(t)
	}
	return true
}

func (h *Holder) retryAfter(now time.Duration, t *teamTokens) time.Duration {
	if wait := t.blockedUntil - now; wait > 0 {
		return wait
	}
	wait := h.roundTrip
	if t.pending.id != 0 {
		wait = t.lastSent + h.roundTrip - now
	}
	return max(wait, minRetryAfter)
}

// NextPoll returns the time by which Poll has work to do; never (math.MaxInt64) without active teams. Every Take, Spend,
// Retry and Receive can make it earlier.
func (h *Holder) NextPoll() time.Duration {
	switch {
	case len(h.low) > 0:
		return 0
	case len(h.order) > 0:
		return h.lastSweep + h.cfg.ResendAfter
	default:
		return math.MaxInt64
	}
}

// Poll returns the requests to send now. Call it after every Take, Retry and Receive, where it is cheap if nothing is
// due, and at the time of NextPoll.
func (h *Holder) Poll(now time.Duration) []GrantRequest {
	var requests []GrantRequest
	for _, t := range h.low {
		t.inLow = false
		requests = h.requestIfLow(now, t, requests)
	}
	h.low = h.low[:0]
	if now < h.lastSweep+h.cfg.ResendAfter {
		return requests
	}
	h.lastSweep = now
	return h.sweep(now, requests)
}

// addToLow marks a team for the next Poll.
func (h *Holder) addToLow(t *teamTokens) {
	if t.inLow {
		return
	}
	t.inLow = true
	h.low = append(h.low, t)
}

// targetTokens returns the number of tokens to keep for the observed demand.
func (h *Holder) targetTokens(t *teamTokens) int {
	return int(t.demand.perSecond*h.cfg.Spare.Seconds() + 0.5)
}

func (t *teamTokens) expire(now time.Duration) {
	if now >= t.expires {
		t.tokens = 0
	}
}

// reportDue reports whether the owner waits for the report that all tokens are spent.
func (t *teamTokens) reportDue() bool {
	return t.tight && t.tokens == 0 && t.unreported > 0
}
