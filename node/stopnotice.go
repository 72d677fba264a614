package node

import (
	"context"
	"time"
)

const (
	// methodStopping tells a gate that the process of an entry is stopping. Processes of earlier builds do not have it; their gates
	// learn it from gossip.
	methodStopping = "entry.stopping"
	// stopNoticeTimeout limits one notice.
	stopNoticeTimeout = 500 * time.Millisecond
)

// stopNotice is a notice of methodStopping.
type stopNotice struct {
	VM string `json:"vm"`
}

// notifyStopping tells the gates that run requests of this entry that it is stopping. It does not block.
func (n *Node) notifyStopping() {
	n.gate.EntryStopping(n.opts.Name)
	for _, vm := range n.entry.BeginStop() {
		member, ok := n.gossip.member(vm)
		if !ok || vm == n.opts.Name {
			continue
		}
		spawn(&n.tomb, func() {
			ctx, cancel := context.WithTimeout(n.tomb.Context(context.Background()), stopNoticeTimeout)
			defer cancel()
			n.deps.recordResult(roleEntry, member.Address, n.client.Notify(ctx, member.Address, methodStopping, stopNotice{VM: n.opts.Name}))
		})
	}
}

// receiveStopping handles methodStopping.
func (n *Node) receiveStopping(_ context.Context, _ string, notice stopNotice) (struct{}, error) {
	n.gate.EntryStopping(notice.VM)
	return struct{}{}, nil
}
