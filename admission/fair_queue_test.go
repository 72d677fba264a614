package admission

import "testing"

// TestTurnsFollowWeights guards against a team with a large weight that gets no more starts than one with a small
// weight, and against a team with a small weight that never starts a request beside it.
func TestTurnsFollowWeights(t *testing.T) {
	g := NewGate(Config{Slots: 1, QueueLength: 100, TeamPercent: 100})
	names := make(map[Ticket]string)
	current := g.Offer(0, Request{Team: "first"}).Ticket
	for range 40 {
		names[g.Offer(0, Request{Team: "heavy", Weight: 40}).Ticket] = "heavy"
		names[g.Offer(0, Request{Team: "light", Weight: 10}).Ticket] = "light"
	}
	served := make(map[string]int)
	for range 40 {
		current = g.Done(0, current, 1, Succeeded)[0].Ticket
		served[names[current]]++
	}
	if served["heavy"] < 30 || served["heavy"] > 34 {
		t.Fatalf("served %v in 40 turns, want about 4 heavy to 1 light", served)
	}
}
