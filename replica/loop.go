package replica

import (
	"time"

	"github.com/pkg/errors"

	"rosemaryline.dev/raft"
	"rosemaryline.dev/storage"
)

const (
	// maxBatch is the maximum number of proposals, reads and messages that share one sync. It also limits the missed ticks
	// that a leader makes up for at once.
	maxBatch = 512
	// maxBatchBytes limits the data of the proposals that share one sync. A batch accepts no further proposals once it has
	// reached this size.
	maxBatchBytes = 4 << 20
	// firstElectionsEnd is the time after the start in which a member tries elections between ticks, after pauses from
	// minFirstElectionPause to maxFirstElectionPause. The group has a leader soon if all members were restarted.
	firstElectionsEnd     = 500 * time.Millisecond
	minFirstElectionPause = 20 * time.Millisecond
	maxFirstElectionPause = 100 * time.Millisecond
)

// loop is the goroutine that owns the node and the store.
type loop struct {
	*Group
	node  *raft.Node
	store *storage.Store

	lastTick time.Time
	// started is when the loop started.
	started time.Time
	// batchBytes is the data size of the proposals in the current batch, in bytes.
	batchBytes int
	// newReads holds the reads of the current batch. They share one call of raft.Node.Read.
	newReads []*read
	// readsByContext holds the reads that wait for confirmation, by the context of their raft.Node.Read call.
	readsByContext  map[uint64][]*read
	lastReadContext uint64
	// lastStepError is the text of the last logged error of raft.Node.Step.
	lastStepError string
}

func newLoop(g *Group, node *raft.Node) *loop {
	l := &loop{Group: g, node: node, store: g.opts.Store, readsByContext: map[uint64][]*read{}}
	status := node.Status()
	g.status.Store(&status)
	return l
}

func (l *loop) run() error {
	defer l.waiters.failAll(&UnknownError{Err: ErrStopped})
	l.lastTick = time.Now()
	l.started = l.lastTick
	ticker := time.NewTicker(l.opts.TickInterval)
	defer ticker.Stop()
	firstElections := time.NewTimer(l.firstElectionPause())
	defer firstElections.Stop()
	for {
		// The first iteration applies the entries that were committed before a restart.
		l.startReadRound()
		if err := l.advance(); err != nil {
			l.logger.Error().Err(err).Msg("replica: stopped because the log or a snapshot could not be saved.")
			return err
		}
		l.publishStatus()
		l.batchBytes = 0
		select {
		case <-l.tomb.Dying():
			return nil
		case <-ticker.C:
			l.tick(time.Now())
		case <-firstElections.C:
			l.node.CampaignAfterRestart()
			if time.Since(l.started) < firstElectionsEnd {
				firstElections.Reset(l.firstElectionPause())
			}
		case m := <-l.messages:
			l.step(m)
		case p := <-l.acceptableProposals():
			l.propose(p)
		case r := <-l.reads:
			l.newReads = append(l.newReads, r)
		case f := <-l.loopCalls:
			f()
		}
		l.drainQueues()
	}
}

// firstElectionPause returns the random pause before a member without a leader tries an election, in its first moments.
func (l *loop) firstElectionPause() time.Duration {
	return minFirstElectionPause + time.Duration(l.opts.Rand.Int64N(int64(maxFirstElectionPause-minFirstElectionPause)))
}

// tick ticks the node if a tick interval has passed. A leader also makes up for missed ticks, so that a pause of its
// process ends its lease. A follower does not, so that it does not campaign after a pause before it has processed the
// messages that arrived meanwhile.
func (l *loop) tick(now time.Time) {
	passed := int(now.Sub(l.lastTick) / l.opts.TickInterval)
	if passed < 1 {
		return
	}
	l.lastTick = l.lastTick.Add(time.Duration(passed) * l.opts.TickInterval)
	l.node.Tick()
	for range min(passed-1, maxBatch) {
		if l.node.Status().Role != raft.Leader {
			return
		}
		l.node.Tick()
	}
}

func (l *loop) step(m raft.Message) {
	err := l.node.Step(m)
	if err == nil || err.Error() == l.lastStepError {
		return
	}
	l.lastStepError = err.Error()
	l.logger.Warn().Err(err).Msg("replica: rejected a message from another member.")
}

// acceptableProposals returns the proposal queue, or nil, which blocks a receive, if the state machine is too far behind
// or the proposals of the current batch have reached maxBatchBytes.
func (l *loop) acceptableProposals() chan *proposal {
	if l.batchBytes >= maxBatchBytes || l.applier.isBacklogged() {
		return nil
	}
	return l.proposals
}

// drainQueues processes the messages, proposals and reads that are already queued, so that they share the next sync.
func (l *loop) drainQueues() {
	for range maxBatch {
		select {
		case m := <-l.messages:
			l.step(m)
		case p := <-l.acceptableProposals():
			l.propose(p)
		case r := <-l.reads:
			l.newReads = append(l.newReads, r)
		default:
			return
		}
	}
}

// advance completes the node's outstanding work: it persists, sends and queues entries for the applier.
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
		l.applier.enqueue(task{
			snapshot:  ready.Snapshot,
			committed: ready.Committed,
			reads:     l.takeConfirmed(ready.Reads),
		})
		l.node.Advance()
	}
}

// persist saves a Ready. The hard state is synced before the snapshot, so that after a crash between the two its term is
// not older than the snapshot's.
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
		Bool("leading", status.Role == raft.Leader).Msg("replica: leadership changed.")
}
