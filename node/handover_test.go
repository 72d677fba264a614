package node

import (
	"fmt"
	"path/filepath"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"rosemaryline.dev/raft"
)

// replacementFleet is a control group of three voters whose VMs are replaced.
type replacementFleet struct {
	t     *testing.T
	count int
	nodes []*Node
}

// add starts a control VM. The first one creates the group.
func (f *replacementFleet) add() *Node {
	f.t.Helper()
	o := Options{
		Name: fmt.Sprint("control-", f.count), Domain: "dom", PeerListen: "127.0.0.1:0", AutoMembers: true, NoRecords: true,
		MinQuorum: 2, DataDir: filepath.Join(f.t.TempDir(), "data"), Bootstrap: f.count == 0,
	}
	for _, n := range f.nodes {
		o.Join = append(o.Join, n.PeerAddress())
	}
	n, err := Start(o)
	assert.NilError(f.t, err)
	f.t.Cleanup(n.Kill)
	f.count++
	f.nodes = append(f.nodes, n)
	return n
}

// waitMembers waits until the voters of the group are the given processes and all others are learners.
func (f *replacementFleet) waitMembers(voters ...*Node) {
	f.t.Helper()
	eventually(f.t, "members", func() error {
		for _, n := range f.nodes {
			m := n.control.groups[groupControl].Status().Membership
			if len(m.Voters) != len(voters) || len(m.Members()) != len(f.nodes) {
				return fmt.Errorf("%s has members %v", n.opts.Name, m)
			}
			for _, voter := range voters {
				if !m.IsVoter(voter.control.controlID) {
					return fmt.Errorf("%s has members %v", n.opts.Name, m)
				}
			}
		}
		return nil
	})
}

// Guards against a group that keeps the members of VMs that were replaced in a planned way, and against a time without a
// leader when the leader's VM is one of them.
func TestPlannedReplacementOfAllControlVMs(t *testing.T) {
	f := &replacementFleet{t: t}
	for range 3 {
		f.add()
	}
	f.waitMembers(f.nodes...)
	for round := range 6 {
		next := f.add()
		f.waitMembers(f.nodes[:3]...) // the new VM waits as a learner
		old := f.nodes[round%3]
		if round < 3 {
			eventually(t, "leader", func() error {
				for _, n := range f.nodes {
					if n.control.isLeader(groupControl) {
						old = n
						return nil
					}
				}
				return fmt.Errorf("none")
			})
		}
		led := old.control.isLeader(groupControl)
		old.Leave()
		assert.Assert(t, !old.control.isLeader(groupControl), "the leader did not hand over")
		if led {
			eventually(t, "another leader", func() error {
				if !slices.ContainsFunc(f.nodes, func(n *Node) bool { return n.control.isLeader(groupControl) }) {
					return fmt.Errorf("none")
				}
				return nil
			})
		}
		assert.NilError(t, old.Stop())
		f.nodes = slices.DeleteFunc(f.nodes, func(n *Node) bool { return n == old })
		assert.Assert(t, slices.Contains(f.nodes, next))
		f.waitMembers(f.nodes...)
	}
}

// Guards against a member that is replaced because its process only restarted: the notice that it is stopping belongs to one
// run of the process.
func TestLeavingNoticeEndsWithTheRun(t *testing.T) {
	f := &replacementFleet{t: t}
	n := f.add()
	f.waitMembers(n)
	c := n.control
	_, err := c.receiveLeaving(t.Context(), "", leavingNotice{Member: c.controlID, Incarnation: 7})
	assert.NilError(t, err)
	_, err = c.receiveLeaving(t.Context(), "", leavingNotice{Member: 99, Incarnation: 7})
	assert.NilError(t, err)
	assert.DeepEqual(t, c.leavingMembers, map[raft.ID]uint64{c.controlID: 7})
	run := func(incarnation uint64) peerInfo {
		info := peerInfo{meta: metadata{Control: c.controlID}}
		info.Incarnation = incarnation
		return info
	}
	assert.Assert(t, c.isLeaving(run(7)))
	assert.Assert(t, !c.isLeaving(run(8)))
}
