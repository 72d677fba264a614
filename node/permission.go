package node

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"rosemaryline.dev/membership"
	"rosemaryline.dev/proxy"
)

// permissionLifetime is how long the result of a check may be used. It is short because a process that was suspended
// must not rely on what it knew before.
const permissionLifetime = 100 * time.Millisecond

// permissionLogInterval is the time between two checks of an idle process, which only log that the permission changed:
// MayAdmit checks on its own.
const permissionLogInterval = time.Second

// admitPermission caches whether this process has permission to admit requests on open routes, so that requests can
// read it without a lock. The same permission is needed to act as the owner of a shard.
type admitPermission struct {
	clock  proxy.Clock
	gossip *gossip
	fleet  *proxy.Fleet
	log    *log.Logger
	// validUntil is when the result of the last check expires, on the process's clock; 0 without permission.
	validUntil atomic.Int64

	mu      sync.Mutex // guards granted
	granted bool
}

// MayAdmit reports whether the process has the permission. It checks again if the last check has expired, as after a
// suspension of the process.
func (p *admitPermission) MayAdmit() bool {
	if p.valid() {
		return true
	}
	p.refresh()
	return p.valid()
}

func (p *admitPermission) valid() bool { return p.clock() < time.Duration(p.validUntil.Load()) }

// refresh checks whether the process has the permission.
func (p *admitPermission) refresh() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock()
	denial := p.gossip.denial(p.fleet.Version())
	granted := denial == membership.DenialNone
	validUntil := time.Duration(0)
	if granted {
		validUntil = now + permissionLifetime
	}
	p.validUntil.Store(int64(validUntil))
	if granted != p.granted {
		p.log.Warn().Bool("admit", granted).Str("reason", string(denial)).Msg("membership: permission to admit requests changed.")
	}
	p.granted = granted
}
