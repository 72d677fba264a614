package node

import "slices"

// publisher publishes the services on this VM to the fleet and keeps the directory of services on all VMs up to date.
// Only one goroutine uses it.
type publisher struct {
	node  *Node
	loads loadThrottle
	// publishedRows are the rows of the last published metadata.
	publishedRows []serviceRow
	// seenChanges is the change count of gossip at the last rebuild of the directory.
	seenChanges uint64
}

// run sweeps the gate, publishes the metadata of this process, and rebuilds the directory if gossip has changed.
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
		meta.Features = []string{featureRollouts}
	}
	urgent := !slices.EqualFunc(p.publishedRows, meta.Rows, sameExceptLoad)
	p.publishedRows = meta.Rows
	if err := n.gossip.setMeta(meta, urgent); err != nil {
		n.opts.Log.Error().Err(err).Msg("membership: metadata cannot be published.")
	}
}
