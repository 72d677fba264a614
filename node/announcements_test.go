package node

import (
	"context"
	"fmt"
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"rosemaryline.dev/fleet/state"
	"rosemaryline.dev/proxy"
)

// announceNumbered announces a backend server with numbered announcements at a process, until ctx ends.
func announceNumbered(t *testing.T, n *Node, sequence uint64, draining bool) error {
	ctx, cancel := context.WithTimeout(t.Context(), departureStoreTimeout)
	defer cancel()
	return n.Announcements().Announce(ctx, proxy.Announcement{
		Name: "numbered", Service: "svc", Address: "127.0.0.1:1", Instance: "i-1", StartedMs: 1000, Sequence: sequence, Draining: draining,
	})
}

func hasNumbered(n *Node) bool {
	_, ok := n.gate.Newest("numbered")
	return ok
}

// Guards against a departure that is acknowledged before the control group has stored it: the process could not learn of it
// after a restart. The gate stops using the backend server at once all the same.
func TestDepartureIsAcknowledgedWhenStored(t *testing.T) {
	f := startIsolationFleet(t)
	n := f.proxies[0]
	f.waitServing(n)
	assert.NilError(t, announceNumbered(t, n, 1, false))
	f.isolate(n, false)
	err := n.Announcements().WithdrawInstance(t.Context(), "i-1", 1000)
	assert.ErrorContains(t, err, "store that the instance is leaving")
	assert.Assert(t, !hasNumbered(n))
	for _, other := range append([]*Node{f.control}, f.proxies...) {
		f.network.setCut(n.opts.Name, other.PeerAddress(), false)
		f.network.setCut(other.opts.Name, n.PeerAddress(), false)
	}
	eventually(t, "departure", func() error { return n.Announcements().WithdrawInstance(t.Context(), "i-1", 1000) })
	assert.Equal(t, len(departuresOf(f.control, n.opts.Name)), 1)
	assert.NilError(t, announceNumbered(t, n, 2, false))
	assert.Assert(t, !hasNumbered(n))
}

func departuresOf(control *Node, vm string) (list []state.Departure) {
	control.control.machine.View(func(s *state.State) { list = s.Departures(vm) })
	return list
}

// Guards against a departure that is forgotten while the leader is unknown: a process that restarts asks until the leader
// has replied.
func TestDeparturesAreRestoredFromTheLeader(t *testing.T) {
	f := startIsolationFleet(t)
	n := f.proxies[0]
	f.waitServing(n)
	assert.NilError(t, announceNumbered(t, n, 1, false))
	assert.NilError(t, announceNumbered(t, n, 2, true))
	assert.NilError(t, n.Announcements().WithdrawInstance(t.Context(), "i-1", 1000))
	n.Kill()
	f.network.setCut("restarted", f.control.PeerAddress(), true)
	o := Options{Name: n.opts.Name, Domain: "dom", CallerListen: "127.0.0.1:0", PeerListen: "127.0.0.1:0", LocalListen: "127.0.0.1:0",
		Join: []string{f.control.PeerAddress(), f.proxies[1].PeerAddress()}, Dial: f.network.dialer("restarted")}
	restarted, err := Start(o)
	assert.NilError(t, err)
	t.Cleanup(restarted.Kill)
	eventually(t, "state from a peer", func() error {
		if restarted.Version() == 0 {
			return fmt.Errorf("no state")
		}
		return nil
	})
	assert.NilError(t, announceNumbered(t, restarted, 1, false))
	assert.Assert(t, hasNumbered(restarted), "without control the backend server is used")
	f.network.setCut("restarted", f.control.PeerAddress(), false)
	eventually(t, "departure", func() error {
		if hasNumbered(restarted) {
			return fmt.Errorf("the backend server is in use")
		}
		return nil
	})
	assert.NilError(t, announceNumbered(t, restarted, 3, false))
	assert.Assert(t, !hasNumbered(restarted))
}

// Guards against a command for each announcement of a draining backend server, and against one that drains again and whose
// second departure is not stored.
func TestDrainingIsStoredOnce(t *testing.T) {
	f := startIsolationFleet(t)
	n := f.proxies[0]
	f.waitServing(n)
	through := func() uint64 {
		list := departuresOf(f.control, n.opts.Name)
		if len(list) != 1 {
			return 0
		}
		return list[0].Through
	}
	for sequence := uint64(1); sequence <= 3; sequence++ {
		assert.NilError(t, announceNumbered(t, n, sequence, true))
		assert.Equal(t, through(), uint64(1))
	}
	assert.NilError(t, announceNumbered(t, n, 1, false)) // late
	assert.NilError(t, announceNumbered(t, n, 4, true))
	assert.Equal(t, through(), uint64(1))
	assert.NilError(t, announceNumbered(t, n, 5, false))
	assert.NilError(t, announceNumbered(t, n, 6, true))
	assert.Equal(t, through(), uint64(6))
	assert.NilError(t, n.Announcements().Withdraw(t.Context(), "numbered"))
	assert.NilError(t, announceNumbered(t, n, 5, false))
	assert.Assert(t, !hasNumbered(n), "an announcement from before the withdrawal came late")
	assert.NilError(t, announceNumbered(t, n, 7, false))
	assert.Assert(t, hasNumbered(n))
}

// Guards against an instance that is held down again at each restart of the process, because the control group does not learn
// that it started again after a departure without a known start.
func TestReturnOfAnInstanceIsStored(t *testing.T) {
	f := startIsolationFleet(t)
	n := f.proxies[0]
	f.waitServing(n)
	assert.NilError(t, n.Announcements().WithdrawInstance(t.Context(), "i-1", 0))
	list := departuresOf(f.control, n.opts.Name)
	assert.Equal(t, len(list), 1)
	assert.Assert(t, list[0].ID != "" && list[0].StartedMs == 0 && list[0].Before == 0, "%+v", list)
	assert.NilError(t, announceNumbered(t, n, 1, false))
	assert.Assert(t, !hasNumbered(n), "the start may be the one that left")
	n.gate.Depart(proxy.Departure{Instance: "i-1", Through: math.MaxUint64, ID: list[0].ID, Before: 1000}) // as after the hold-down
	assert.NilError(t, announceNumbered(t, n, 2, false))
	assert.Assert(t, hasNumbered(n))
	assert.Equal(t, departuresOf(f.control, n.opts.Name)[0].Before, int64(1000))
	assert.NilError(t, n.Announcements().WithdrawInstance(t.Context(), "i-1", 0))
	assert.Assert(t, !hasNumbered(n))
	assert.Equal(t, len(departuresOf(f.control, n.opts.Name)), 2, "the second departure is of the start that returned")
}
