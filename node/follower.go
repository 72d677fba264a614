package node

import (
	"context"

	"rosemaryline.dev/control"
	"rosemaryline.dev/fleet/state"
	"rosemaryline.dev/membership"
)

// follow keeps the process's copy of the fleet state current until the tomb dies.
func (n *Node) follow() error {
	f := control.Follower{
		Copy:        n.copy,
		Caller:      n.client,
		Process:     n.opts.Name,
		Incarnation: n.incarnation,
		Wait:        n.opts.fetchWait(),
		Clock:       n.clock,
	}
	f.Run(n.tomb.Context(context.Background()), n.fetchAddresses, followObserver{n})
	return nil
}

// followObserver logs and counts what the follower does, and passes new versions and heartbeats to the drivers.
type followObserver struct{ *Node }

// PollSucceeded implements control.Observer.
func (o followObserver) PollSucceeded(result control.PollResult) { o.handlePollResult(result) }

// PollFailed implements control.Observer.
func (o followObserver) PollFailed(peer string, err error) {
	o.deps.recordResult(roleControl, peer, err)
}

// Switched implements control.Observer.
func (o followObserver) Switched(s control.Switch) {
	countSwitch(s.Cause)
	o.opts.Log.Info().Str("from", s.From).Str("to", s.To).Str("cause", string(s.Cause)).Dur("newsAge", s.NewsAge).
		Uint64("version", o.fleet.Version()).Msg("state: polls another control VM.")
}

// fetchAddresses returns the addresses from which the fleet state can be fetched: the peer listeners of control VMs and
// those of all other processes.
func (n *Node) fetchAddresses() (controlVMs, peers []string) {
	for _, m := range n.gossip.list() {
		switch {
		case m.meta.Control != 0:
			controlVMs = append(controlVMs, m.Address)
		case m.Name != n.opts.Name:
			peers = append(peers, m.Address)
		}
	}
	if len(controlVMs) == 0 {
		// A new process has no member list yet. It fetches from the addresses to join.
		controlVMs = n.opts.Join
	}
	return controlVMs, peers
}

// handlePollResult passes the result of a fetch to the drivers. Peers learn of a new version through gossip before the
// next fetch confirms it to control.
func (n *Node) handlePollResult(result control.PollResult) {
	n.deps.recordResult(roleControl, result.Peer, nil)
	if result.Advanced {
		n.propagateState(result.Peer)
		n.stateServer.NotifyChange()
	}
	if result.Heartbeat.Number == 0 {
		return
	}
	heartbeat := membership.LeaderHeartbeat{Number: result.Heartbeat.Number, Version: result.Heartbeat.Version, Age: result.Heartbeat.Age}
	n.gossip.observeHeartbeat(heartbeat, result.SentAt)
	n.stateServer.SetHeartbeat(result.Heartbeat, n.clock()-result.SentAt+result.Heartbeat.Age)
	n.shards.setInForce(result.Heartbeat.InForce)
}

// propagateState passes a new version of the fleet state, received from peer, to the drivers.
func (n *Node) propagateState(peer string) {
	received := n.clock()
	n.fleet.Refresh()
	var roster []membership.RosterEntry
	n.fleet.Read(func(s *state.State) {
		for _, p := range s.Roster() {
			roster = append(roster, membership.RosterEntry{Name: p.Name, Address: p.Address})
		}
	})
	n.gossip.setRoster(roster)
	lag := n.gossip.setVersion(n.fleet.Version())
	versionLagSeconds.Update(lag.Seconds())
	n.shards.update()
	n.permission.refresh()
	n.opts.Log.Info().Uint64("version", n.fleet.Version()).Str("peer", peer).Dur("lag", lag).
		Dur("applied", n.clock()-received).Msg("state: version in use.")
}
