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
const permissionLifetime = 4 * gossipTick

// right keeps this process's right to admit requests on open routes, and to act for shards, where requests read it
// without a lock.
type admitPermission struct {
	clock  proxy.Clock
	gossip *gossip
	fleet  *proxy.Fleet
	log    *log.Logger
	// until is the time until which the last look holds, on the process's clock; 0 where the right is lost.
	validUntil atomic.Int64

	mu      sync.Mutex // guards held
	granted bool
}

// MayAdmit tells whether the process has the right. When the last look is too old, because the process was held up, it
// looks again.
func (r *admitPermission) MayAdmit() bool {
	if r.valid() {
		return true
	}
	r.refresh()
	return r.valid()
}

func (r *admitPermission) valid() bool { return r.clock() < time.Duration(r.validUntil.Load()) }

// refresh looks at the right.
func (r *admitPermission) refresh() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock()
	denial := r.gossip.denial(r.fleet.Version())
	granted := denial == membership.DenialNone
	validUntil := time.Duration(0)
	if granted {
		validUntil = now + permissionLifetime
	}
	r.validUntil.Store(int64(validUntil))
	if granted != r.granted {
		r.log.Warn().Bool("admit", granted).Str("reason", string(denial)).Msg("membership: right to admit changed.")
	}
	r.granted = granted
}
