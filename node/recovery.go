package node

import (
	"context"
	"time"
)

const (
	methodRecovered = "gate.recovered"
	// recoveredTimeout bounds one message. An entry that misses it finds out after routing.FaultyTargetTTL.
	recoveredTimeout = 500 * time.Millisecond
)

// recovery tells an entry that the backend server of a service on a VM is sound again.
type recovery struct {
	VM      string `json:"vm"`
	Service string `json:"service"`
}

// tellRecovered tells entries that the backend server of a service on this VM is sound again. It does not block.
func (n *Node) tellRecovered(service string, entries []string) {
	told := recovery{VM: n.opts.Name, Service: service}
	for _, entry := range entries {
		if entry == n.opts.Name {
			n.entry.MarkRecovered(told.VM, told.Service)
			continue
		}
		member, ok := n.gossip.member(entry)
		if !ok {
			continue // the entry has left the fleet
		}
		spawn(&n.tomb, func() {
			ctx, cancel := context.WithTimeout(n.tomb.Context(context.Background()), recoveredTimeout)
			defer cancel()
			n.deps.result(roleEntry, member.Address, n.client.Notify(ctx, member.Address, methodRecovered, told))
		})
	}
}

// takeRecovered takes such a message.
func (n *Node) takeRecovered(_ context.Context, _ string, told recovery) (struct{}, error) {
	n.entry.MarkRecovered(told.VM, told.Service)
	return struct{}{}, nil
}
