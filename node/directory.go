package node

import (
	"sort"
	"sync/atomic"
	"time"

	"rosemaryline.dev/membership"
	"rosemaryline.dev/proxy"
	"rosemaryline.dev/routing"
)

// directoryInterval is the time between two checks whether gossip has changed; after a change the directory is rebuilt.
const directoryInterval = 100 * time.Millisecond

// directory implements proxy.Directory. Its table lists the VMs that host each service; it is immutable and replaced as
// a whole when gossip brings changes.
type directory struct {
	clock proxy.Clock
	table atomic.Pointer[map[string][]host]
	// leaving holds the VMs whose process is stopping gracefully.
	leaving atomic.Pointer[map[string]bool]
}

// host is a VM with the time at which this process last received its metadata.
type host struct {
	proxy.Peer
	updatedAt time.Duration
}

func newDirectory(clock proxy.Clock) *directory {
	d := &directory{clock: clock}
	d.table.Store(&map[string][]host{})
	d.leaving.Store(&map[string]bool{})
	return d
}

// Hosts returns the VMs that host a service.
func (d *directory) Hosts(service string) []proxy.Peer {
	hosts := (*d.table.Load())[service]
	peers := make([]proxy.Peer, len(hosts))
	now := d.clock()
	for i, h := range hosts {
		peers[i] = h.Peer
		peers[i].Age = now - h.updatedAt
	}
	return peers
}

// rebuild replaces the table with one made from the members' metadata.
func (d *directory) rebuild(members []peerInfo) {
	sort.Slice(members, func(i, j int) bool { return members[i].Name < members[j].Name })
	table := map[string][]host{}
	leaving := map[string]bool{}
	for i := range members {
		if members[i].Status == membership.StatusLeaving {
			leaving[members[i].Name] = true
		}
		for _, r := range members[i].meta.Rows {
			table[r.Service] = append(table[r.Service], newHost(&members[i], r))
		}
	}
	d.table.Store(&table)
	d.leaving.Store(&leaving)
}

// isLeaving reports whether the process of a VM is stopping gracefully.
func (d *directory) isLeaving(vm string) bool { return (*d.leaving.Load())[vm] }

func newHost(m *peerInfo, r serviceRow) host {
	state, ok := routing.ParseState(r.State)
	if !ok || m.Status == membership.StatusLeaving {
		state = routing.StateDraining
	}
	return host{
		Peer: proxy.Peer{
			VM:      m.Name,
			Domain:  m.Domain,
			Address: m.Address,
			State:   state,
			Version: r.Version,
			Slots:   float64(r.Effective),
		},
		updatedAt: m.receivedAt,
	}
}
