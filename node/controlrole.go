package node

import (
	"context"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"rosemaryline.dev/control"
	"rosemaryline.dev/idempotency"
	"rosemaryline.dev/raft"
	"rosemaryline.dev/replica"
	"rosemaryline.dev/rpc"
	"rosemaryline.dev/storage"
)

// controlRole is what a process with a data folder runs in addition.
type controlRole struct {
	node *Node
	// machine is the state machine of the control group.
	machine *controlMachine
	groups  map[groupName]*replica.Group
	// transports send the groups' messages.
	transports map[groupName]*raftTransport
	parts      *snapshotParts

	controlID raft.ID
	recordsID raft.ID
	beats     *beats
	keeper    rosterKeeper // used by keepRoster only
	expirer   *idempotency.Expirer
}

// startControl opens the data folder and starts both groups. It does nothing without a data folder.
func (n *Node) startControl() error {
	if n.opts.DataDir == "" {
		return nil
	}
	c := &controlRole{
		node:       n,
		machine:    newControlMachine(),
		groups:     map[groupName]*replica.Group{},
		transports: map[groupName]*raftTransport{},
		parts:      newSnapshotParts(),
	}
	c.beats = newBeats(c)
	c.expirer = idempotency.NewExpirer(0)
	n.control = c
	var err error
	if c.controlID, err = c.startGroup(groupControl, c.machine); err != nil {
		return err
	}
	if !n.opts.NoRecords {
		if c.recordsID, err = c.startGroup(groupRecords, idempotency.NewStore()); err != nil {
			c.stop()
			return err
		}
	}
	rpc.Register(n.rpc, methodRaft, c.receive)
	rpc.Register(n.rpc, methodSnapshotPart, c.receivePart)
	rpc.Register(n.rpc, methodPropose, c.servePropose)
	control.RegisterConfirmations(n.rpc, c.beats)
	return nil
}

// startGroup starts one group from its folder. An empty folder founds a group or waits to be added to one.
func (c *controlRole) startGroup(name groupName, machine replica.StateMachine) (raft.ID, error) {
	dir := filepath.Join(c.node.opts.DataDir, string(name))
	store, recovered, err := storage.Open(storage.OS{}, dir)
	if err != nil {
		return 0, errors.Wrapf(err, "open %s", dir)
	}
	if recovered.TornBytes > 0 {
		c.node.opts.Log.Warn().Str("group", string(name)).Int64("bytes", recovered.TornBytes).
			Msg("control: cut off an incomplete last write.")
	}
	if recovered.Empty() && c.node.opts.Bootstrap {
		recovered, err = replica.Initialise(store, recovered, []raft.ID{recovered.ID}, raft.Snapshot{})
		if err != nil {
			store.Close()
			return 0, errors.Wrapf(err, "found group in %s", dir)
		}
	}
	transport := newRaftTransport(name, c.node.opts.PeerAddress, c.node.client, c.node.memberAddress, &c.node.tomb)
	transport.deps = c.node.deps
	group, err := replica.Join(replica.Options{
		HeartbeatTicks: c.node.opts.RaftHeartbeatTicks,

		Store:        store,
		Recovered:    recovered,
		StateMachine: machine,
		Transport:    transport,
		Logger:       c.node.opts.Log,
	})
	if err != nil {
		store.Close()
		return 0, errors.Wrapf(err, "start group in %s", dir)
	}
	c.groups[name] = group
	c.transports[name] = transport
	return recovered.ID, nil
}

// memberAddress returns the peer address of a member of a group.
func (n *Node) memberAddress(group groupName, id raft.ID) (string, bool) {
	for _, m := range n.gossip.list() {
		if id != 0 && m.meta.id(group) == id {
			return m.Address, true
		}
	}
	return "", false
}

// id returns the process's member id in a group, or 0.
func (m *metadata) id(group groupName) raft.ID {
	if group == groupControl {
		return m.Control
	}
	return m.Records
}

// start starts the drivers; the node's source exists.
func (c *controlRole) start() {
	c.machine.changed = c.node.source.NotifyChange
	t := &c.node.tomb
	for name, group := range c.groups {
		t.Go(func() error { return c.watchGroup(name, group) })
	}
	t.Go(func() error { return every(t, leadCheckInterval, c.beats.issueDue) })
	t.Go(func() error { return every(t, relayInterval, c.beats.relayConfirmations) })
	t.Go(func() error { return every(t, rosterInterval, c.keepRoster) })
	if !c.node.opts.NoRecords {
		t.Go(func() error { return every(t, expireInterval, c.expireRecords) })
	}
	if c.node.opts.AutoMembers {
		keeper := newMemberKeeper()
		t.Go(func() error { return every(t, memberInterval, func() { c.keepMembers(keeper) }) })
	}
}

// watchGroup ends the process when a group stops by itself: what it wrote last may not be durable.
func (c *controlRole) watchGroup(name groupName, group *replica.Group) error {
	select {
	case <-group.Done():
		if c.node.tomb.Alive() {
			return errors.Wrapf(group.Stop(), "group %s stopped", name)
		}
		return nil
	case <-c.node.tomb.Dying():
		return nil
	}
}

func (c *controlRole) stop() error {
	var failed error
	for name, group := range c.groups {
		if err := group.Stop(); err != nil && failed == nil {
			failed = errors.Wrapf(err, "stop group %s", name)
		}
	}
	return failed
}

func (n *Node) stopControl() error {
	if n.control == nil {
		return nil
	}
	return n.control.stop()
}

func (c *controlRole) receive(_ context.Context, _ string, e raftEnvelope) (struct{}, error) {
	if group, ok := c.groups[e.Group]; ok {
		c.transports[e.Group].hear(e.Message.From, e.From)
		group.Deliver(e.Message)
	}
	return struct{}{}, nil
}

// isLeader tells whether this process leads a group. The answer may be outdated.
func (c *controlRole) isLeader(name groupName) bool {
	return c.groups[name].Status().Role == raft.Leader
}

// expireInterval is the time between two looks at the retention of at-most-once records.
const expireInterval = 10 * time.Second

// expireRecords makes the leader of the record group drop records after their retention.
func (c *controlRole) expireRecords() {
	if !c.isLeader(groupRecords) {
		c.expirer = idempotency.NewExpirer(0)
		return
	}
	command, ok := c.expirer.Next(c.node.clock())
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(c.node.tomb.Context(context.Background()), proposeTry)
	defer cancel()
	result, err := c.node.claims.apply(ctx, &command)
	if err != nil {
		// The next look tries again; records are kept longer meanwhile.
		return
	}
	c.expirer.Receive(c.node.clock(), result)
}
