package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"rosemaryline.dev/membership"
)

// gossipSimulation is a simulation of membership nodes in virtual time. Each message takes gossipDelay.
type gossipSimulation struct {
	nodes          []*membership.Node
	pending        map[time.Duration][]delivery // by time of arrival
	packets        int                          // sent
	bytes          int
	processingTime time.Duration
}

// delivery is a packet on its way. from and to are indexes of nodes.
type delivery struct {
	from, to int
	packet   membership.Packet
}

const (
	gossipTick  = 50 * time.Millisecond
	gossipDelay = 50 * time.Millisecond
	// gossipWarmUp is the time before the measurement in which the nodes learn of each other.
	gossipWarmUp = 15 * time.Second
	gossipTime   = 20 * time.Second
)

// measureMembers measures the memory, time and traffic of gossip per process, in a fleet without failures or changes.
func measureMembers() []row {
	var rows []row
	for _, size := range []int{125, 250, 500} {
		run, bytes := measureHeap(func() *gossipSimulation { return newGossipSimulation(size) })
		run.advance(0, gossipWarmUp)
		run.packets, run.bytes, run.processingTime = 0, 0, 0
		run.advance(gossipWarmUp, gossipWarmUp+gossipTime)
		after := heapInUse()
		seconds := gossipTime.Seconds() * float64(size)
		rows = append(rows, row{
			item: "member (heap of one process)", size: size, bytes: after / uint64(size),
			cost: time.Duration(float64(run.processingTime) / seconds), operation: "gossip of a process for a second",
			wireBytes: int(float64(run.bytes) / seconds),
		})
		runtime.KeepAlive(run)
		_ = bytes
	}
	return rows
}

func newGossipSimulation(size int) *gossipSimulation {
	run := &gossipSimulation{pending: map[time.Duration][]delivery{}}
	for i := range size {
		self := membership.Member{Name: nodeName(i), Address: nodeName(i), Domain: "domain", Incarnation: 1}
		n := membership.New(self, membership.Config{}, rand.New(rand.NewPCG(uint64(i), 1)))
		n.SetMeta([]byte(`{"rows":[{"service":"service-1","slots":7,"effective":7,"state":"serving"}]}`))
		run.nodes = append(run.nodes, n)
	}
	for i, n := range run.nodes {
		run.send(0, i, n.Join(0, []string{nodeName(0)}))
	}
	return run
}

func nodeName(i int) string { return fmt.Sprintf("vm-%d", i) }

// advance runs the simulation between two times.
func (r *gossipSimulation) advance(from, to time.Duration) {
	for now := from; now < to; now += gossipTick {
		for _, d := range r.pending[now] {
			r.receive(now, d)
		}
		delete(r.pending, now)
		for i, n := range r.nodes {
			start := time.Now()
			out := n.Tick(now)
			n.Events()
			r.processingTime += time.Since(start)
			r.send(now, i, out)
		}
	}
}

func (r *gossipSimulation) receive(now time.Duration, d delivery) {
	start := time.Now()
	out := r.nodes[d.to].Receive(now, nodeName(d.from), d.packet)
	r.processingTime += time.Since(start)
	r.send(now, d.to, out)
}

// send schedules the delivery of packets. It counts their size as JSON, the format between real processes.
func (r *gossipSimulation) send(now time.Duration, from int, out []membership.Outgoing) {
	for _, o := range out {
		var to int
		if _, err := fmt.Sscanf(o.To, "vm-%d", &to); err != nil {
			panic(err)
		}
		start := time.Now()
		data, err := json.Marshal(o.Packet)
		if err != nil {
			panic(err)
		}
		var decoded membership.Packet
		if err := json.Unmarshal(data, &decoded); err != nil {
			panic(err)
		}
		r.processingTime += time.Since(start)
		r.packets++
		r.bytes += len(data)
		r.pending[now+gossipDelay] = append(r.pending[now+gossipDelay], delivery{from, to, decoded})
	}
}
