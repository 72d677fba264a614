package node

import (
	"context"
	"time"

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
	}
	ctx := n.tomb.Context(context.Background())
	f.Run(ctx, n.fetchAddresses, n.handleNews, func(peer string, err error) { n.deps.recordResult(roleControl, peer, err) })
	return nil
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

// handleNews passes the result of a fetch to the drivers. Peers learn of a new version through gossip before the next
// fetch confirms it to control.
func (n *Node) handleNews(news control.PollResult) {
	n.deps.recordResult(roleControl, news.Peer, nil)
	if news.Advanced {
		n.propagateState()
		n.source.NotifyChange()
	}
	if news.Heartbeat.Number == 0 {
		return
	}
	asked := n.clock() - time.Since(news.SentAt)
	heartbeat := membership.LeaderHeartbeat{Number: news.Heartbeat.Number, Version: news.Heartbeat.Version, Age: news.Heartbeat.Age}
	n.gossip.observeHeartbeat(heartbeat, asked)
	n.source.SetHeartbeat(news.Heartbeat, news.SentAt.Add(-news.Heartbeat.Age))
	n.shards.setInForce(news.Heartbeat.InForce)
}

// propagateState passes a new version of the fleet state to the drivers.
func (n *Node) propagateState() {
	n.fleet.Refresh()
	var roster []membership.RosterEntry
	n.fleet.Read(func(s *state.State) {
		for _, p := range s.Roster() {
			roster = append(roster, membership.RosterEntry{Name: p.Name, Address: p.Address})
		}
	})
	n.gossip.setRoster(roster)
	n.gossip.setVersion(n.fleet.Version())
	n.shards.update()
	n.permission.refresh()
	n.opts.Log.Info().Uint64("version", n.fleet.Version()).Msg("state: version in use.")
}
