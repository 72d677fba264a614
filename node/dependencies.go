package node

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"rosemaryline.dev/proxy"
)

// maxLostDependencies limits the lost dependencies that are remembered. The loss of further ones is not logged.
const maxLostDependencies = 4096

// dependencies logs when another process stops responding in a role and when it responds again. Most messages between
// processes are repeated after a failure, so a line for each failure would be noise.
type dependencies struct {
	clock proxy.Clock
	log   *log.Logger

	mu   sync.Mutex // guards lost
	lost map[dependency]*loss
}

// dependency is a process in one of its roles.
type dependency struct{ role, peer string }

// loss describes a dependency that does not respond.
type loss struct {
	since    time.Duration
	failures int
}

func newDependencies(clock proxy.Clock, logger *log.Logger) *dependencies {
	return &dependencies{clock: clock, log: logger, lost: map[dependency]*loss{}}
}

// recordResult records the result of one message to a peer in a role. A message that this process cancelled says
// nothing about the peer and is ignored. A nil receiver ignores every result.
func (d *dependencies) recordResult(role, peer string, err error) {
	if d == nil || errors.Is(err, context.Canceled) {
		return
	}
	key := dependency{role, peer}
	d.mu.Lock()
	defer d.mu.Unlock()
	l, known := d.lost[key]
	switch {
	case err == nil && known:
		delete(d.lost, key)
		d.log.Info().Str("role", role).Str("peer", peer).Dur("lost", d.clock()-l.since).Int("failures", l.failures).
			Msg("node: dependency replies again.")
	case err == nil:
	case known:
		l.failures++
	case len(d.lost) < maxLostDependencies:
		d.lost[key] = &loss{since: d.clock(), failures: 1}
		d.log.Warn().Str("role", role).Str("peer", peer).Err(err).Msg("node: dependency does not reply.")
	}
}

// Roles of other processes in the log lines.
const (
	roleControl     = "control"
	roleRateOwner   = "owner of a rate"
	roleMember      = "member"
	roleGroupMember = "member of a group"
	roleLeader      = "control leader"
	roleEntry       = "entry"
	roleSharesOwner = "owner of shares"
)
