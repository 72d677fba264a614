package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a backend server that fails at once and therefore seems idle, against failures that count for longer than the
// request would have run, and against a change for services with the ramp.
func TestEarlyFailureCountsAsLoad(t *testing.T) {
	for _, adaptive := range []bool{true, false} {
		g := NewGate(Config{Slots: 4, InitialSlots: 4, Adaptive: adaptive})
		now := time.Duration(0)
		request := func(took time.Duration, result Result) {
			d := g.Offer(now, Request{Team: "t"})
			assert.Equal(t, d.Verdict, Admitted)
			now += took
			g.Done(now, d.Ticket, took, result)
		}
		for range 50 {
			request(time.Second, Succeeded)
		}
		assert.Equal(t, g.ReportedLoad(now).InFlight, 0)
		for range 6 {
			request(time.Millisecond, Failed)
		}
		assert.Equal(t, g.Load().InFlight, 0)
		if !adaptive {
			assert.Equal(t, g.ReportedLoad(now).InFlight, 0)
			continue
		}
		assert.Equal(t, g.ReportedLoad(now).InFlight, 4)
		assert.Equal(t, g.ReportedLoad(now+time.Second).InFlight, 0)
	}
}
