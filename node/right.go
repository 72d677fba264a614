package node

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"rosemaryline.dev/membership"
	"rosemaryline.dev/proxy"
)

// rightLifetime is how long a look at the right to admit holds. It is short because a process that was frozen must not
// go on with what it knew before.
const rightLifetime = 4 * gossipTick

// right keeps this process's right to admit requests on open routes, and to act for shards, where requests read it
// without a lock.
type right struct {
	clock  proxy.Clock
	gossip *gossip
	fleet  *proxy.Fleet
	log    *log.Logger
	// until is the time until which the last look holds, on the process's clock; 0 where the right is lost.
	until atomic.Int64

	mu   sync.Mutex // guards held
	held bool
}

// MayAdmit tells whether the process has the right. When the last look is too old, because the process was held up, it
// looks again.
func (r *right) MayAdmit() bool {
	if r.fresh() {
		return true
	}
	r.refresh()
	return r.fresh()
}

func (r *right) fresh() bool { return r.clock() < time.Duration(r.until.Load()) }

// refresh looks at the right.
func (r *right) refresh() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock()
	denial := r.gossip.denial(r.fleet.Version())
	held := denial == membership.DenialNone
	until := time.Duration(0)
	if held {
		until = now + rightLifetime
	}
	r.until.Store(int64(until))
	if held != r.held {
		r.log.Warn().Bool("admit", held).Str("reason", string(denial)).Msg("membership: right to admit changed.")
	}
	r.held = held
}
