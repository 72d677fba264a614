package node

import (
	"slices"
	"time"

	"rosemaryline.dev/quota"
)

// tokenWaiter is a request that waits for a token of its team. Tokens of a grant go to the waiting requests in the order of
// their arrival. A request that arrives later cannot take them first, so that none waits in vain while others are served.
type tokenWaiter struct {
	team  string
	parts []string // the parts that were asked
	// served is true once the request has a token.
	served bool
	// counted is true while the next grant request already counts this one. retryAfter is then the time until a retry is
	// worthwhile.
	counted    bool
	retryAfter time.Duration
	// wake receives a value at each grant to the team.
	wake chan struct{}
}

// tokenWaiters holds the waiting requests of each team in the order of their arrival. While a team has any, the holder has no
// token of it: each grant goes to them first.
type tokenWaiters map[string][]*tokenWaiter

func (ws tokenWaiters) add(team string) *tokenWaiter {
	w := &tokenWaiter{team: team, wake: make(chan struct{}, 1)}
	ws[team] = append(ws[team], w)
	return w
}

func (ws tokenWaiters) remove(w *tokenWaiter) {
	if i := slices.Index(ws[w.team], w); i >= 0 {
		ws.set(w.team, slices.Delete(ws[w.team], i, i+1))
	}
}

func (ws tokenWaiters) set(team string, list []*tokenWaiter) {
	if len(list) == 0 {
		delete(ws, team)
		return
	}
	ws[team] = list
}

// serve gives the tokens that holder has of a part of a team's rate to the team's waiting requests and wakes them. Those that get
// none count in the next grant request, which would otherwise ask only for the one that sends it.
func (ws tokenWaiters) serve(now time.Duration, holder *quota.Holder, team, part string) {
	waiting := ws[team]
	kept := waiting[:0]
	for _, w := range waiting {
		if w.served = holder.Spend(now, part); !w.served {
			w.count(now, holder)
			kept = append(kept, w)
		}
		select {
		case w.wake <- struct{}{}:
		default:
		}
	}
	clear(waiting[len(kept):])
	ws.set(team, kept)
}

// count records the request's shortage with the parts that it has asked.
func (w *tokenWaiter) count(now time.Duration, holder *quota.Holder) {
	for i, part := range w.parts {
		_, retryAfter := holder.Retry(now, part)
		if i == 0 || retryAfter < w.retryAfter {
			w.retryAfter = retryAfter
		}
	}
	w.counted = true
}
