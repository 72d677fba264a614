package node

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"rosemaryline.dev/control"
	"rosemaryline.dev/idempotency"
	"rosemaryline.dev/raft"
	"rosemaryline.dev/replica"
	"rosemaryline.dev/rpc"
)

// controlRole is the part of a process that runs only with the control role, that is, with a data folder.
type controlRole struct {
	node *Node
	// machine is the state machine of the control group.
	machine *controlMachine
	groups  map[groupName]*replica.Group
	// transports send the raft messages of each group.
	transports map[groupName]*raftTransport
	parts      *snapshotParts

	controlID  raft.ID
	recordsID  raft.ID
	heartbeats *heartbeats
	// rollouts decides about running rollouts while this process leads; nil without Options.Rollouts.
	rollouts *rolloutLeader
	orders   orderSequence
	keeper   rosterKeeper // used by keepRoster only
	expirer  *idempotency.Expirer

	leavingMu sync.Mutex // guards leavingMembers
	// leavingMembers holds the members of the control group whose processes said that they are stopping, with the run that
	// said so.
	leavingMembers map[raft.ID]uint64
}

// startControl starts the members of the groups whose data folders were opened. It owns the stores. Without any it does nothing.
func (n *Node) startControl(stores groupStores) error {
	if len(stores) == 0 {
		return nil
	}
	c := &controlRole{
		node:       n,
		machine:    newControlMachine(),
		groups:     map[groupName]*replica.Group{},
		transports: map[groupName]*raftTransport{},
		parts:      newSnapshotParts(),

		leavingMembers: map[raft.ID]uint64{},
	}
	c.heartbeats = newHeartbeats(c)
	c.expirer = idempotency.NewExpirer(0)
	n.control = c
	c.controlID = stores[groupControl].recovered.ID
	c.recordsID = stores[groupRecords].recovered.ID
	machines := map[groupName]replica.StateMachine{groupControl: c.machine, groupRecords: idempotency.NewStore()}
	for name, opened := range stores {
		if err := c.startGroup(name, opened, machines[name]); err != nil {
			c.stop()
			stores.closeExcept(c.groups)
			return err
		}
	}
	rpc.Register(n.rpc, methodRaft, c.receiveMessage)
	rpc.Register(n.rpc, methodSnapshotPart, c.receiveSnapshotPart)
	rpc.Register(n.rpc, methodPropose, c.servePropose)
	rpc.Register(n.rpc, methodOrder, c.servePropose)
	rpc.Register(n.rpc, methodRollout, c.servePropose)
	if n.opts.Rollouts != nil {
		c.rollouts = newRolloutLeader(c)
		rpc.Register(n.rpc, methodRolloutReport, c.rollouts.serveReport)
	}
	rpc.Register(n.rpc, methodDepartures, c.serveDepartures)
	rpc.Register(n.rpc, methodLeaving, c.receiveLeaving)
	control.RegisterConfirmations(n.rpc, c.heartbeats)
	return nil
}

// startGroup starts this process's member of a group. Where the folder holds no group, the member waits to be added to one.
func (c *controlRole) startGroup(name groupName, opened groupStore, machine replica.StateMachine) error {
	transport := newRaftTransport(name, c.node.opts.PeerAddress, c.node.client, c.node.memberAddress, &c.node.tomb)
	transport.deps = c.node.deps
	group, err := replica.Join(replica.Options{
		HeartbeatTicks:  c.node.opts.RaftHeartbeatTicks,
		SnapshotEntries: c.node.opts.SnapshotEntries,

		Store:        opened.store,
		Recovered:    opened.recovered,
		StateMachine: machine,
		Transport:    transport,
		Logger:       c.node.opts.Log,
	})
	if err != nil {
		return errors.Wrapf(err, "start group %s", name)
	}
	c.groups[name] = group
	c.transports[name] = transport
	return nil
}

// memberAddress returns the peer address of a member of a group, as known from gossip.
func (n *Node) memberAddress(group groupName, id raft.ID) (string, bool) {
	for _, m := range n.gossip.list() {
		if id != 0 && m.meta.groupMemberID(group) == id {
			return m.Address, true
		}
	}
	return "", false
}

// groupMemberID returns the process's member id in a group, or 0.
func (m *metadata) groupMemberID(group groupName) raft.ID {
	if group == groupControl {
		return m.Control
	}
	return m.Records
}

// start starts the drivers of the control role. It must be called after the node's state server was created.
func (c *controlRole) start() {
	c.machine.onChange(c.node.stateServer.NotifyChange)
	t := &c.node.tomb
	for name, group := range c.groups {
		t.Go(func() error { return c.watchGroup(name, group) })
	}
	t.Go(func() error { return c.heartbeats.run(t) })
	t.Go(func() error { return every(t, relayInterval, c.heartbeats.relayConfirmations) })
	t.Go(func() error { return every(t, rosterCheckInterval, c.keepRoster) })
	if c.rollouts != nil {
		t.Go(func() error { return every(t, rolloutStepInterval, c.rollouts.step) })
	}
	if !c.node.opts.NoRecords {
		t.Go(func() error { return every(t, expireInterval, c.expireRecords) })
	}
	if c.node.opts.AutoMembers {
		keeper := newMemberKeeper(c.node.opts.MinQuorum)
		t.Go(func() error { return every(t, memberCheckInterval, func() { c.keepMembers(keeper) }) })
	}
}

// watchGroup stops the process with an error if a group stops on its own, because its last writes may not be durable.
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
	var firstErr error
	for name, group := range c.groups {
		if err := group.Stop(); err != nil && firstErr == nil {
			firstErr = errors.Wrapf(err, "stop group %s", name)
		}
	}
	return firstErr
}

func (n *Node) stopControl() error {
	if n.control == nil {
		return nil
	}
	return n.control.stop()
}

func (c *controlRole) receiveMessage(_ context.Context, _ string, e raftEnvelope) (struct{}, error) {
	if group, ok := c.groups[e.Group]; ok {
		c.transports[e.Group].recordSender(e.Message.From, e.From)
		group.Deliver(e.Message)
	}
	return struct{}{}, nil
}

// isLeader reports whether this process leads a group. The result may be outdated.
func (c *controlRole) isLeader(name groupName) bool {
	return c.groups[name].Status().Role == raft.Leader
}

// expireInterval is the time between two checks for at-most-once records to remove.
const expireInterval = 10 * time.Second

// expireRecords proposes the removal of records whose retention has passed, if this process leads the record group.
func (c *controlRole) expireRecords() {
	if !c.isLeader(groupRecords) {
		c.expirer = idempotency.NewExpirer(0)
		return
	}
	command, ok := c.expirer.Next(c.node.clock())
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(c.node.tomb.Context(context.Background()), proposeTryTimeout)
	defer cancel()
	result, err := c.node.claims.apply(ctx, &command)
	if err != nil {
		// The next check tries again. Until then the records are kept longer than their retention.
		return
	}
	c.expirer.Receive(c.node.clock(), result)
}
