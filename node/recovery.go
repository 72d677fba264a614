package node

import (
	"context"
	"time"
)

const (
	methodRecovered = "gate.recovered"
	// recoveredTimeout limits one message. An entry that misses it stops avoiding the backend server after
	// routing.FaultyTargetTTL (3 s).
	recoveredTimeout = 500 * time.Millisecond
)

// recovery notifies an entry that the backend server of a service on a VM is healthy again.
type recovery struct {
	VM      string `json:"vm"`
	Service string `json:"service"`
}

// notifyRecovered notifies entries that the backend server of a service on this VM is healthy again. It does not block.
func (n *Node) notifyRecovered(service string, entries []string) {
	message := recovery{VM: n.opts.Name, Service: service}
	for _, entry := range entries {
		if entry == n.opts.Name {
			n.entry.MarkRecovered(message.VM, message.Service)
			continue
		}
		member, ok := n.gossip.member(entry)
		if !ok {
			continue // the entry has left the fleet
		}
		spawn(&n.tomb, func() {
			ctx, cancel := context.WithTimeout(n.tomb.Context(context.Background()), recoveredTimeout)
			defer cancel()
			n.deps.recordResult(roleEntry, member.Address, n.client.Notify(ctx, member.Address, methodRecovered, message))
		})
	}
}

// receiveRecovered handles a peer's notice that a backend server is healthy again.
func (n *Node) receiveRecovered(_ context.Context, _ string, message recovery) (struct{}, error) {
	n.entry.MarkRecovered(message.VM, message.Service)
	return struct{}{}, nil
}
