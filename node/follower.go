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
	f.Run(ctx, n.sources, n.takeNews, func(peer string, err error) { n.deps.result(roleControl, peer, err) })
	return nil
}

// sources returns the peer listeners of control VMs and of all other processes.
func (n *Node) sources() (controlVMs, peers []string) {
	for _, m := range n.gossip.list() {
		switch {
		case m.meta.Control != 0:
			controlVMs = append(controlVMs, m.Address)
		case m.Name != n.opts.Name:
			peers = append(peers, m.Address)
		}
	}
	if len(controlVMs) == 0 {
		// A new process has no member list yet; the addresses to join answer the same questions.
		controlVMs = n.opts.Join
	}
	return controlVMs, peers
}

// takeNews passes an answer on. The version is announced to peers before the next question confirms it to control.
func (n *Node) takeNews(news control.PollResult) {
	n.deps.result(roleControl, news.Peer, nil)
	if news.Advanced {
		n.takeState()
		n.source.NotifyChange()
	}
	if news.Beat.Number == 0 {
		return
	}
	asked := n.clock() - time.Since(news.SentAt)
	beat := membership.Beat{Number: news.Beat.Number, Version: news.Beat.Version, Age: news.Beat.Age}
	n.gossip.observeBeat(beat, asked)
	n.source.SetBeat(news.Beat, news.SentAt.Add(-news.Beat.Age))
	n.shards.setInForce(news.Beat.InForce)
}

// takeState passes a new version to the drivers.
func (n *Node) takeState() {
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
	n.right.refresh()
	n.opts.Log.Info().Uint64("version", n.fleet.Version()).Msg("state: version in use.")
}
