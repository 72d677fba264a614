package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"rosemaryline.dev/fleet/state"
	"rosemaryline.dev/membership"
	"rosemaryline.dev/rpc"
)

const (
	methodFetch = "state.fetch"
	// fetchWait is how long a source holds a question before it answers that nothing is new. It stays well below
	// membership.ContactWindow, because a beat in the answer is dated by the question.
	fetchWait = time.Second
	// fetchTimeout bounds one question.
	fetchTimeout = fetchWait + time.Second
	// fetchRetry is the pause after a question that failed.
	fetchRetry = 100 * time.Millisecond
	// maxFetchDeltas bounds the deltas of one answer.
	maxFetchDeltas = 512
)

// fetchRequest asks for fleet state after a version and confirms that the process runs that version.
type fetchRequest struct {
	Process     string        `json:"process"`
	Incarnation uint64        `json:"incarnation"`
	Version     uint64        `json:"version"`
	Wait        time.Duration `json:"wait"`
}

// fetchReply carries deltas, or a snapshot where they do not reach back far enough.
type fetchReply struct {
	Deltas   []state.Delta `json:"deltas,omitempty"`
	Snapshot []byte        `json:"snapshot,omitempty"`
	// Beat and InForce are set by the control leader.
	Beat    *membership.Beat `json:"beat,omitempty"`
	InForce uint64           `json:"inForce,omitempty"`
	// Leader is the control leader's address where the source knows it.
	Leader string `json:"leader,omitempty"`
}

// stateSource is a copy of the fleet state that can be waited on.
type stateSource interface {
	Read(read func(s *state.State))
}

// follower keeps the process's copy of the fleet state current: from the control leader, and from peers where control
// cannot be reached.
type follower struct {
	node *Node

	mu     sync.Mutex // guards the fields below
	leader string
}

func newFollower(n *Node) *follower { return &follower{node: n} }

func (f *follower) start() { f.node.tomb.Go(f.run) }

func (f *follower) run() error {
	for f.node.tomb.Alive() {
		if f.fetchControl() || f.fetchPeer() {
			continue
		}
		select {
		case <-time.After(fetchRetry):
		case <-f.node.tomb.Dying():
		}
	}
	return nil
}

// fetchControl asks the control leader, or a control VM that may know it.
func (f *follower) fetchControl() bool {
	for _, address := range f.controlAddresses() {
		reply, err := f.ask(address, fetchWait)
		if err != nil {
			f.setLeader("")
			continue
		}
		f.setLeader(reply.Leader)
		if reply.Beat != nil {
			return true
		}
		if reply.Leader != "" && reply.Leader != address {
			// The next question goes to the leader at once.
			return true
		}
	}
	return false
}

// fetchPeer asks a random peer while control gives no answer. The wait is short, so that control is tried again soon.
func (f *follower) fetchPeer() bool {
	members := f.node.gossip.list()
	if len(members) == 0 {
		return false
	}
	peer := members[rand.IntN(len(members))]
	if peer.Name == f.node.opts.Name {
		return false
	}
	before := f.node.fleet.Version()
	_, err := f.ask(peer.Address, 0)
	return err == nil && f.node.fleet.Version() > before
}

func (f *follower) controlAddresses() []string {
	f.mu.Lock()
	leader := f.leader
	f.mu.Unlock()
	var list []string
	if leader != "" {
		list = append(list, leader)
	}
	for _, m := range f.node.gossip.list() {
		if m.meta.Control != 0 && m.Address != leader {
			list = append(list, m.Address)
		}
	}
	return list
}

func (f *follower) setLeader(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leader = address
}

// ask sends one question and applies the answer.
func (f *follower) ask(address string, wait time.Duration) (fetchReply, error) {
	n := f.node
	ctx, cancel := context.WithTimeout(n.tomb.Context(context.Background()), fetchTimeout)
	defer cancel()
	request := fetchRequest{
		Process:     n.opts.Name,
		Incarnation: n.incarnation,
		Version:     n.fleet.Version(),
		Wait:        wait,
	}
	asked := n.clock()
	var reply fetchReply
	if err := n.client.Call(ctx, address, methodFetch, request, &reply); err != nil {
		return reply, err
	}
	if err := f.apply(&reply); err != nil {
		n.opts.Log.Error().Err(err).Str("peer", address).Msg("state: answer cannot be applied.")
		return reply, err
	}
	if reply.Beat != nil {
		n.gossip.observeBeat(*reply.Beat, asked)
		n.shards.setInForce(reply.InForce)
	}
	return reply, nil
}

// apply takes over an answer. The version is announced before the next question confirms it.
func (f *follower) apply(reply *fetchReply) error {
	fleet := f.node.fleet
	before := fleet.Version()
	if len(reply.Snapshot) > 0 {
		if err := fleet.Restore(reply.Snapshot); err != nil {
			return err
		}
	}
	if err := fleet.Apply(reply.Deltas); err != nil {
		return err
	}
	if fleet.Version() != before {
		f.node.takeState()
		f.node.opts.Log.Info().Uint64("version", fleet.Version()).Msg("state: version in use.")
	}
	return nil
}

// serve answers a question of another process, on every process.
func (f *follower) serve(ctx context.Context, _ string, r fetchRequest) (fetchReply, error) {
	if f.node.control != nil {
		return f.node.control.serveFetch(ctx, r)
	}
	return answerFrom(f.node.fleet, r.Version)
}

// serveFetch answers from the control group's state and waits for news.
func (c *controlRole) serveFetch(ctx context.Context, r fetchRequest) (fetchReply, error) {
	asked := c.node.clock()
	c.beats.confirmations.Confirm(r.Process, r.Incarnation, r.Version)
	version, changed := c.machine.next()
	if version <= r.Version {
		waitForChange(ctx, changed, min(r.Wait, fetchWait))
	}
	reply, err := answerFrom(c.machine, r.Version)
	if err != nil {
		return reply, err
	}
	beat, inForce, leading := c.beats.answer(asked)
	if leading {
		reply.Beat = &beat
		reply.InForce = inForce
		reply.Leader = c.node.opts.PeerAddress
		return reply, nil
	}
	leader := c.groups[groupControl].Status().Leader
	reply.Leader, _ = c.node.memberAddress(groupControl, leader)
	return reply, nil
}

func waitForChange(ctx context.Context, changed <-chan struct{}, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// answerFrom returns what follows a version in a copy.
func answerFrom(source stateSource, version uint64) (reply fetchReply, err error) {
	source.Read(func(s *state.State) {
		deltas, ok := s.Since(version)
		if ok {
			reply.Deltas = deltas[:min(len(deltas), maxFetchDeltas)]
			return
		}
		reply.Snapshot, err = s.Snapshot()
	})
	if err != nil {
		err = &rpc.RemoteError{Code: rpc.CodeInternal, Message: err.Error()}
	}
	return reply, err
}
