package node

import (
	"context"
	"fmt"
	"net"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemaryline.dev/fleet/config"
	"rosemaryline.dev/fleet/state"
	"rosemaryline.dev/raft"
	"rosemaryline.dev/rpc"
)

// holder holds the bytes that one process sends to another, and delivers them later: a path that was cut and healed.
type holder struct {
	mu   sync.Mutex
	held map[string]bool // by sending process
	late map[string][]func()
}

func newHolder() *holder { return &holder{held: map[string]bool{}, late: map[string][]func(){}} }

func (h *holder) hold(from string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.held[from] = true
}

// release delivers the held bytes of a process in order.
func (h *holder) release(from string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.held[from] = false
	for _, deliver := range h.late[from] {
		deliver()
	}
	h.late[from] = nil
}

func (h *holder) dialer(from string) func(ctx context.Context, kind, address string) (net.Conn, error) {
	return func(ctx context.Context, kind, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, kind, address)
		return &heldConn{Conn: conn, holder: h, from: from}, err
	}
}

type heldConn struct {
	net.Conn
	holder *holder
	from   string
}

func (c *heldConn) Write(p []byte) (int, error) {
	c.holder.mu.Lock()
	defer c.holder.mu.Unlock()
	if !c.holder.held[c.from] {
		return c.Conn.Write(p)
	}
	data := append([]byte(nil), p...)
	c.holder.late[c.from] = append(c.holder.late[c.from], func() { _, _ = c.Conn.Write(data) })
	return len(p), nil
}

// Close keeps the connection for bytes that are still to be delivered.
func (c *heldConn) Close() error {
	c.holder.mu.Lock()
	defer c.holder.mu.Unlock()
	if !c.holder.held[c.from] {
		return c.Conn.Close()
	}
	c.holder.late[c.from] = append(c.holder.late[c.from], func() { _ = c.Conn.Close() })
	return nil
}

// orderFleet is three control VMs in one test process.
type orderFleet struct {
	t      *testing.T
	holder *holder
	nodes  []*Node
}

func startOrderFleet(t *testing.T, options ...func(*Options)) *orderFleet {
	t.Helper()
	f := &orderFleet{t: t, holder: newHolder()}
	for i := range 3 {
		o := Options{
			Name: fmt.Sprint("control-", i), Domain: "dom", PeerListen: "127.0.0.1:0", AutoMembers: true, NoRecords: true,
			DataDir: filepath.Join(t.TempDir(), "data"), Bootstrap: i == 0,
		}
		o.Dial = f.holder.dialer(o.Name)
		if i > 0 {
			o.Join = []string{f.nodes[0].PeerAddress()}
		}
		for _, set := range options {
			set(&o)
		}
		n, err := Start(o)
		assert.NilError(t, err)
		t.Cleanup(n.Kill)
		f.nodes = append(f.nodes, n)
	}
	for _, n := range f.nodes {
		eventually(t, "vote of "+n.opts.Name, func() error {
			status := n.control.groups[groupControl].Status()
			if !status.Membership.IsVoter(n.control.controlID) || status.Leader == 0 {
				return fmt.Errorf("members %v, leader %v", status.Membership, status.Leader)
			}
			return nil
		})
	}
	change := config.Change{}
	change.Domains.Set = map[string]config.Domain{"dom": {Region: "region"}, "other": {Region: "region"}}
	change.SetDefaults()
	f.propose(state.Command{Apply: &state.ApplyChange{Change: change, ContentHash: change.Hash()}})
	return f
}

func (f *orderFleet) propose(command state.Command) {
	f.t.Helper()
	command.Operator = "test"
	eventually(f.t, "change", func() error {
		ctx, cancel := context.WithTimeout(f.t.Context(), 5*time.Second)
		defer cancel()
		command.ChangeID = string(newClaimID())
		command.BaseVersion = f.leader().stateVersion()
		_, err := f.leader().Propose(ctx, command)
		return err
	})
}

func (f *orderFleet) leader() *Node {
	f.t.Helper()
	var leader *Node
	eventually(f.t, "leader", func() error {
		for _, n := range f.nodes {
			if n.control.isLeader(groupControl) {
				leader = n
				return nil
			}
		}
		return fmt.Errorf("none")
	})
	return leader
}

// followers returns the control VMs that do not lead.
func (f *orderFleet) followers() (list []*Node) {
	leader := f.leader()
	for _, n := range f.nodes {
		if n != leader {
			list = append(list, n)
		}
	}
	return list
}

// order sends an order until it is acknowledged, as an operator does.
func (f *orderFleet) order(n *Node, out bool) {
	f.t.Helper()
	eventually(f.t, "order", func() error {
		ctx, cancel := context.WithTimeout(f.t.Context(), time.Second)
		defer cancel()
		return n.SetDomain(ctx, "operator", "dom", out)
	})
}

// checkStaysOut checks that the failure domain stays out of service.
func (f *orderFleet) checkStaysOut() {
	f.t.Helper()
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		out := true
		f.leader().viewState(func(s *state.State) { out = s.DomainOut("dom") })
		assert.Assert(f.t, out, "the failure domain is back in service although it was taken out last")
	}
}

// Guards against an order that undoes a later one: it reached a control VM whose path to the leader was cut, the operator
// gave up on that VM, and the leader gets it when the path is healed.
func TestHeldUpOrderDoesNotUndoALaterOne(t *testing.T) {
	for _, test := range []struct {
		desc string
		// sentElsewhere is set if the operator sends the held up order again through another control VM.
		sentElsewhere bool
	}{{"sent again elsewhere", true}, {"given up", false}} {
		for _, heldAfter := range []time.Duration{0, callerCheckWait / 2, callerCheckWait - time.Millisecond} {
			t.Run(fmt.Sprint(test.desc, ", held up after ", heldAfter), func(t *testing.T) {
				f := startOrderFleet(t)
				slow, other := f.followers()[0], f.followers()[1]
				f.order(slow, true)
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				defer cancel()
				ended := make(chan error, 1)
				time.AfterFunc(heldAfter, func() { f.holder.hold(slow.opts.Name) })
				if heldAfter == 0 {
					f.holder.hold(slow.opts.Name)
				}
				go func() { ended <- slow.SetDomain(ctx, "operator", "dom", false) }()
				time.Sleep(2 * callerCheckWait)
				cancel() // the operator leaves
				if test.sentElsewhere {
					f.order(other, false)
				}
				f.order(other, true)
				f.holder.release(slow.opts.Name)
				f.checkStaysOut()
				t.Log("the held up order ended with: ", <-ended)
			})
		}
	}
}

// Guards against an order that its caller gave up before the process read it, for example because the process was frozen.
func TestOrderOfACallerThatLeftIsNotCarriedOut(t *testing.T) {
	f := startOrderFleet(t)
	f.order(f.nodes[0], true)
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(callerCheckWait/4, cancel)
	assert.ErrorIs(t, f.nodes[1].SetDomain(ctx, "operator", "dom", false), ErrCallerGone)
	f.checkStaysOut()
}

// Guards against an order that is lost while the leader is of an earlier build, which issues no tokens, and against one that
// undoes a later one there.
func TestOrdersThroughALeaderOfAnEarlierBuild(t *testing.T) {
	f := startOrderFleet(t)
	leader, slow, other := f.leader(), f.followers()[0], f.followers()[1]
	rpc.Register(leader.rpc, methodOrder, func(context.Context, string, proposal) (proposalResult, error) {
		return proposalResult{}, &rpc.RemoteError{Code: rpc.CodeNoMethod, Message: "no method"}
	})
	f.order(slow, true)
	f.order(other, false)
	f.checkStays(false)
	f.order(slow, true)
	version := slow.stateVersion()
	f.order(other, false)
	f.order(other, true)
	err := slow.orderByVersion(t.Context(), domainCommand("operator", "dom", false), version)
	assert.ErrorIs(t, err, errOvertaken)
	f.checkStaysOut()
	// Changes of anything else do not get in the way of an order.
	version = slow.stateVersion()
	change := config.Change{}
	change.Services.Set = map[string]config.Service{"svc": {Slots: 1, Connections: 1, FloorPercent: 50}}
	change.SetDefaults()
	f.propose(state.Command{Apply: &state.ApplyChange{Change: change, ContentHash: change.Hash()}})
	assert.NilError(t, slow.orderByVersion(t.Context(), domainCommand("operator", "dom", false), version))
	f.checkStays(false)
}

// checkStays checks the status of the failure domain.
func (f *orderFleet) checkStays(out bool) {
	f.t.Helper()
	f.leader().viewState(func(s *state.State) { assert.Equal(f.t, s.DomainOut("dom"), out) })
}

// Guards against a token that admits an order after a later one, in another term or after a restart of the sequence.
func TestOrderSequence(t *testing.T) {
	s := &orderSequence{}
	first := s.token(5, "dom")
	assert.NilError(t, s.take(5, "dom", "a", first))
	assert.NilError(t, s.take(5, "dom", "a", first)) // sent again
	assert.ErrorIs(t, s.take(5, "dom", "b", first), errOvertaken)
	assert.NilError(t, s.take(5, "other", "c", s.token(5, "other")))
	second := s.token(5, "dom")
	s.takeAny(5, "dom", "d")
	assert.ErrorIs(t, s.take(5, "dom", "a", first), errOvertaken)
	assert.ErrorIs(t, s.take(5, "dom", "e", second), errOvertaken)
	third := s.token(5, "dom")
	for i := range 2 * maxOrderedDomains {
		s.takeAny(5, fmt.Sprint("dom-", i), "x")
	}
	assert.ErrorIs(t, s.take(5, "dom", "f", third), errOvertaken)
	assert.Assert(t, len(s.last) <= maxOrderedDomains)
	assert.NilError(t, s.take(5, "dom", "g", s.token(5, "dom")))
	old := s.token(5, "dom")
	assert.ErrorIs(t, s.take(6, "dom", "h", old), errOvertaken)
	assert.Equal(t, s.token(6, "dom"), orderToken{Term: 6})
}

// Guards against an order that is taken by a process that does not lead any more.
func TestOrderNeedsTheLeader(t *testing.T) {
	f := startOrderFleet(t)
	_, err := f.followers()[0].control.order(t.Context(), domainOrder{Domain: "dom"})
	assert.Assert(t, hasCode(err, rpc.CodeNotLeader), "%v", err)
	token := orderToken{Term: f.leader().control.groups[groupControl].Status().Term - 1}
	data, err := f.leader().control.order(t.Context(), domainOrder{Domain: "dom", Token: &token, Out: true, ChangeID: "late", Operator: "operator"})
	assert.NilError(t, err)
	assert.Equal(t, string(data), `{"overtaken":true}`)
	f.checkStays(false)
	assert.Equal(t, f.leader().control.groups[groupControl].Status().Role, raft.Leader)
}
