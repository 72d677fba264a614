package replica

import (
	"time"

	"github.com/pkg/errors"

	"rosemaryline.dev/raft"
	"rosemaryline.dev/storage"
)

const (
	// maxTurn bounds the proposals, reads and messages that share one sync.
	maxTurn = 512
	// maxTurnBytes bounds the data of proposals that share one sync, except that one larger proposal is taken alone.
	maxTurnBytes = 4 << 20
)

// loop owns the node and the store.
type loop struct {
	*Group
	node  *raft.Node
	store *storage.Store

	lastTick time.Time
	// turnBytes is the data of the proposals taken in this turn.
	turnBytes int
	// asking are reads of this turn; they share one confirmation round.
	asking []*read
	// confirming holds the reads of each unanswered round by its context.
	confirming map[uint64][]*read
	context    uint64
	// stepError is the last error of Step that was logged.
	stepError string
}

func newLoop(g *Group, node *raft.Node) *loop {
	l := &loop{Group: g, node: node, store: g.opts.Store, confirming: map[uint64][]*read{}}
	status := node.Status()
	g.status.Store(&status)
	return l
}

func (l *loop) run() error {
	defer l.waiters.failAll(&UnknownError{Err: ErrStopped})
	l.lastTick = time.Now()
	ticker := time.NewTicker(l.opts.TickInterval)
	defer ticker.Stop()
	for {
		// The first turn applies what was committed before a restart.
		l.ask()
		if err := l.advance(); err != nil {
			l.logger.Error().Err(err).Msg("replica: stopped by an error")
			return err
		}
		l.publishStatus()
		l.turnBytes = 0
		select {
		case <-l.tomb.Dying():
			return nil
		case <-ticker.C:
			l.tick(time.Now())
		case m := <-l.messages:
			l.step(m)
		case p := <-l.openProposals():
			l.propose(p)
		case r := <-l.reads:
			l.asking = append(l.asking, r)
		case f := <-l.calls:
			f()
		}
		l.drain()
	}
}

// tick counts the ticks since the last one. A leader makes up for missed ticks, so that a pause of its process ends its
// lease; a follower does not, so that a pause does not make it campaign before it has read what arrived meanwhile.
func (l *loop) tick(now time.Time) {
	passed := int(now.Sub(l.lastTick) / l.opts.TickInterval)
	if passed < 1 {
		return
	}
	l.lastTick = l.lastTick.Add(time.Duration(passed) * l.opts.TickInterval)
	l.node.Tick()
	for range min(passed-1, maxTurn) {
		if l.node.Status().Role != raft.Leader {
			return
		}
		l.node.Tick()
	}
}

func (l *loop) step(m raft.Message) {
	err := l.node.Step(m)
	if err == nil || err.Error() == l.stepError {
		return
	}
	l.stepError = err.Error()
	l.logger.Warn().Err(err).Msg("replica: message refused")
}

// openProposals is nil, which takes no proposals, while the state machine is far behind and when the turn is full.
func (l *loop) openProposals() chan *proposal {
	if l.turnBytes >= maxTurnBytes || l.applier.isBehind() {
		return nil
	}
	return l.proposals
}

// drain takes what else has arrived, so that it shares the next sync.
func (l *loop) drain() {
	for range maxTurn {
		select {
		case m := <-l.messages:
			l.step(m)
		case p := <-l.openProposals():
			l.propose(p)
		case r := <-l.reads:
			l.asking = append(l.asking, r)
		default:
			return
		}
	}
}

// advance does the node's outstanding work.
func (l *loop) advance() error {
	for {
		ready, ok := l.node.Ready()
		if !ok {
			return nil
		}
		if err := l.persist(ready); err != nil {
			return errors.WithMessage(err, "persist")
		}
		for _, m := range ready.Messages {
			l.opts.Transport.Send(m.To, m)
		}
		l.failReads(ready.FailedReads)
		l.applier.add(task{
			snapshot:  ready.Snapshot,
			committed: ready.Committed,
			reads:     l.confirmed(ready.Reads),
		})
		l.node.Advance()
	}
}

// persist syncs the hard state before the snapshot, whose term it must cover after a crash between the two.
func (l *loop) persist(ready raft.Ready) error {
	if err := l.store.Save(ready.HardState, ready.Entries); err != nil {
		return err
	}
	if ready.Snapshot == nil {
		return nil
	}
	return l.store.SaveSnapshot(*ready.Snapshot)
}

func (l *loop) publishStatus() {
	old := l.status.Load()
	status := l.node.Status()
	l.status.Store(&status)
	if old.Role == status.Role && old.Leader == status.Leader && old.Term == status.Term {
		return
	}
	l.logger.Info().Uint64("term", status.Term).Str("member", formatID(status.ID)).Str("leader", formatID(status.Leader)).
		Bool("leading", status.Role == raft.Leader).Msg("replica: leadership changed")
}
