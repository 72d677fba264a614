package quota

import (
	"time"
)

const (
	// sweepInterval is the time between two looks at all active teams, which renew, return and resend.
	sweepInterval = 25 * time.Millisecond
	// forgetAfter is the time without a request after which a team without tokens is forgotten.
	forgetAfter = time.Second
	// minRetry keeps callers from retrying in a busy loop where the owner is in the same process.
	minRetry = time.Millisecond
	// firstRoundTrip is the assumed time of an answer before one was measured.
	firstRoundTrip = 5 * time.Millisecond
)

// Holder spends the tokens that this process was granted.
type Holder struct {
	cfg    Config
	teams  map[string]*holding
	lastID uint64
	// order holds the teams in the order of their first request, so that a run is repeatable without sorting.
	order []*holding
	// low lists the teams that need a request before the next sweep.
	low   []*holding
	swept time.Duration
	// roundTrip is a moving mean of the answer times.
	roundTrip time.Duration
}

// holding is the state of one active team at a Holder.
type holding struct {
	team    string
	tokens  int
	expires time.Duration
	demand  demand
	// short counts the requests that found no token since the last grant request.
	short int
	// listed is true while the team is in Holder.low.
	listed bool
	// tight is true while the owner wants spent tokens reported at once; unreported counts those.
	tight      bool
	unreported int
	// blockedUntil is when the owner expects to have tokens again.
	blockedUntil time.Duration

	// pending is the request in flight; id 0 means none.
	pending pendingRequest
	asked   time.Duration
	sent    time.Duration
}

// NewHolder returns a Holder without tokens.
func NewHolder(cfg Config) *Holder {
	return &Holder{
		cfg:       cfg.withDefaults(),
		teams:     make(map[string]*holding),
		roundTrip: firstRoundTrip,
	}
}

// Take spends one token for a new request. Where it has none, retryAfter is the time until a Retry is worthwhile: about
// one round trip when a grant is on its way or may be asked for, else the owner's estimate.
func (h *Holder) Take(now time.Duration, team string) (ok bool, retryAfter time.Duration) {
	t := h.teams[team]
	if t == nil {
		t = &holding{team: team, demand: demand{window: h.cfg.DemandWindow, updated: now}}
		h.teams[team] = t
		h.order = append(h.order, t)
	}
	t.demand.add(now)
	if h.spend(now, t) {
		return true, 0
	}
	return false, h.miss(now, t)
}

// Spend spends one token that the holder has, and asks for none otherwise.
func (h *Holder) Spend(now time.Duration, team string) bool {
	t := h.teams[team]
	return t != nil && h.spend(now, t)
}

// Blocked tells whether the owner had no token at the last request for one.
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
	return false, h.miss(now, t)
}

// miss counts a request without a token towards the next grant request, unless the owner has none for now.
func (h *Holder) miss(now time.Duration, t *holding) time.Duration {
	if now >= t.blockedUntil {
		t.short++
		h.list(t)
	}
	return h.retryAfter(now, t)
}

func (h *Holder) spend(now time.Duration, t *holding) bool {
	t.expire(now)
	if t.tokens == 0 {
		return false
	}
	t.tokens--
	t.unreported++
	if t.pending.id == 0 && (t.tokens < h.target(t)/2 || t.reportDue()) {
		h.list(t)
	}
	return true
}

func (h *Holder) retryAfter(now time.Duration, t *holding) time.Duration {
	if wait := t.blockedUntil - now; wait > 0 {
		return wait
	}
	wait := h.roundTrip
	if t.pending.id != 0 {
		wait = t.sent + h.roundTrip - now
	}
	return max(wait, minRetry)
}

// Poll returns the requests to send now. Call it after every Take, Retry and Receive, where it costs little when nothing
// is due, and at least every 25ms.
func (h *Holder) Poll(now time.Duration) []GrantRequest {
	var requests []GrantRequest
	for _, t := range h.low {
		t.listed = false
		requests = h.ask(now, t, requests)
	}
	h.low = h.low[:0]
	if now < h.swept+sweepInterval {
		return requests
	}
	h.swept = now
	return h.sweep(now, requests)
}

// list marks a team for the next Poll.
func (h *Holder) list(t *holding) {
	if t.listed {
		return
	}
	t.listed = true
	h.low = append(h.low, t)
}

// target is the number of tokens to keep for the observed demand.
func (h *Holder) target(t *holding) int {
	return int(t.demand.perSecond*h.cfg.Spare.Seconds() + 0.5)
}

func (t *holding) expire(now time.Duration) {
	if now >= t.expires {
		t.tokens = 0
	}
}

// reportDue is true when the owner waits to hear that all tokens are spent.
func (t *holding) reportDue() bool {
	return t.tight && t.tokens == 0 && t.unreported > 0
}
