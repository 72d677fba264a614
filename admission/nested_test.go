package admission

import (
	"testing"

	"pgregory.net/rapid"
)

// call is a request in the test of nested calls. It runs at one gate and makes its child calls one after the other.
type call struct {
	depth    int
	children []*call
	parent   *call
	next     int
	ended    bool
}

// callGraph runs calls between two services. The calls have no deadlines, so a deadlock cannot resolve itself.
type callGraph struct {
	gates   [2]*Gate
	tickets [2]map[Ticket]*call
	held    map[*call]Ticket
	refused int
}

func (g *callGraph) service(c *call) int { return c.depth % 2 }

func (g *callGraph) offer(c *call) {
	s := g.service(c)
	d := g.gates[s].Offer(0, Request{Team: "t", Depth: c.depth})
	switch d.Verdict {
	case Refused:
		g.refused++
		c.ended = true
	case Admitted:
		g.held[c] = d.Ticket
	case Queued:
		g.tickets[s][d.Ticket] = c
	}
}

// step advances a running call: the call starts its next child, waits for it, or ends. It reports whether anything
// changed.
func (g *callGraph) step(c *call) bool {
	ticket, running := g.held[c]
	if !running {
		return false
	}
	if c.next < len(c.children) {
		child := c.children[c.next]
		if child.ended {
			c.next++
			return true
		}
		if child.parent != nil {
			return false
		}
		child.parent = c
		g.offer(child)
		return true
	}
	delete(g.held, c)
	c.ended = true
	s := g.service(c)
	for _, grant := range g.gates[s].Done(0, ticket, 1, Succeeded) {
		g.held[g.tickets[s][grant.Ticket]] = grant.Ticket
	}
	return true
}

// TestNestedCallsNeverDeadlock guards against two services that call each other while all slots are in use and wait
// for each other forever.
func TestNestedCallsNeverDeadlock(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := &callGraph{held: make(map[*call]Ticket)}
		for s := range g.gates {
			g.gates[s] = NewGate(Config{
				Slots:            rapid.IntRange(1, 4).Draw(t, "slots"),
				NestedLevels:     rapid.IntRange(0, 2).Draw(t, "levels"),
				QueueLength:      100,
				TeamPercent:      100,
				SuccessesPerSlot: 2,
			})
			g.tickets[s] = make(map[Ticket]*call)
		}
		var all []*call
		var grow func(depth int) *call
		grow = func(depth int) *call {
			c := &call{depth: depth}
			all = append(all, c)
			for range rapid.IntRange(0, 2).Draw(t, "children") {
				if depth < 4 {
					c.children = append(c.children, grow(depth+1))
				}
			}
			return c
		}
		for range rapid.IntRange(1, 8).Draw(t, "roots") {
			g.offer(grow(0))
			g.offer(grow(1))
		}
		for progress := true; progress; {
			progress = false
			for _, c := range all {
				progress = g.step(c) || progress
			}
		}
		for s := range g.gates {
			if load := g.gates[s].Load(); load.InFlight > 0 || load.Queued > 0 {
				t.Fatalf("service %d: %d calls still run and %d wait forever", s, load.InFlight, load.Queued)
			}
		}
	})
}
