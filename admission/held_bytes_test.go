package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against a backend server that holds more bytes than its limit, and against queued requests that never start although a slot
// and the bytes are free.
func TestHeldBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 100
		g := NewGate(Config{Slots: 4, InitialSlots: 4, QueueLength: 8, TeamPercent: 100, HeldBytes: limit})
		sizes, running := map[Ticket]int64{}, []Ticket{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if len(running) > 0 && rapid.Bool().Draw(t, "end") {
				i := rapid.IntRange(0, len(running)-1).Draw(t, "which")
				ended := running[i]
				running = append(running[:i:i], running[i+1:]...)
				for _, grant := range g.Done(0, ended, time.Millisecond, Cancelled) {
					running = append(running, grant.Ticket)
				}
			} else {
				n := rapid.OneOf(rapid.Just(int64(0)), rapid.Int64Range(1, 110)).Draw(t, "bytes")
				d := g.Offer(0, Request{Team: "a", Bytes: n})
				assert.Equal(t, d.Reason == ReasonTooLarge, n > limit)
				sizes[d.Ticket] = n
				if d.Verdict == Admitted {
					running = append(running, d.Ticket)
				}
			}
			sum := int64(0)
			for _, ticket := range running {
				sum += sizes[ticket]
			}
			assert.Assert(t, sum <= limit)
			_, due := g.NextGrant(0)
			assert.Assert(t, !due, "a request that may start was not started, or a timer would fire without end")
			if len(running) == 0 {
				assert.Equal(t, g.Load().Queued, 0)
			}
		}
	})
}
