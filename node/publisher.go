package node

import "slices"

// publisher tells the fleet about the services on this VM, and keeps the directory of those on all VMs. One goroutine
// uses it.
type publisher struct {
	node  *Node
	loads loadThrottle
	// published are the rows of the last metadata.
	publishedRows []serviceRow
	// seenChanges is the gossip's change count at the last rebuild of the directory.
	seenChanges uint64
}

// run publishes the own metadata and rebuilds the directory where something changed.
func (p *publisher) run() {
	p.node.gate.Sweep()
	p.publish()
	changes := p.node.gossip.changeCount()
	if changes == p.seenChanges {
		return
	}
	p.seenChanges = changes
	p.node.directory.rebuild(p.node.gossip.list())
}

func (p *publisher) publish() {
	n := p.node
	meta := metadata{Rows: p.loads.throttle(n.ejections.rows(), n.clock())}
	if n.control != nil {
		meta.Control = n.control.controlID
		meta.Records = n.control.recordsID
		meta.Admin = n.AdminAddress()
	}
	urgent := !slices.EqualFunc(p.publishedRows, meta.Rows, sameExceptLoad)
	p.publishedRows = meta.Rows
	if err := n.gossip.setMeta(meta, urgent); err != nil {
		n.opts.Log.Error().Err(err).Msg("membership: metadata cannot be published.")
	}
}
