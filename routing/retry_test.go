package routing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestMayRetry guards against running a request twice that may not be repeated, and against retries that cannot
// succeed.
func TestMayRetry(t *testing.T) {
	cases := []struct {
		desc    string
		attempt Attempt
		want    bool
	}{
		{"not run", Attempt{Outcome: OutcomeNotRun}, true},
		{"unknown, not repeatable", Attempt{Outcome: OutcomeUnknown}, false},
		{"unknown, repeatable", Attempt{Outcome: OutcomeUnknown, Repeatable: true}, true},
		{"answered", Attempt{Outcome: OutcomeAnswered, Repeatable: true}, false},
		{"answer begun", Attempt{Outcome: OutcomeUnknown, Repeatable: true, Streaming: true}, false},
		{"body spent", Attempt{Outcome: OutcomeNotRun, BodyConsumed: true}, false},
		{"deadline near", Attempt{Outcome: OutcomeNotRun, Remaining: time.Millisecond}, false},
		{"too many attempts", Attempt{Outcome: OutcomeNotRun, Number: MaxAttempts}, false},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			a := c.attempt
			if a.Number == 0 {
				a.Number = 1
			}
			if a.Remaining == 0 {
				a.Remaining = time.Second
			}
			assert.Equal(t, MayRetry(a), c.want)
		})
	}
}

// TestRetryBudgetBoundsEveryWindow guards against more retries than 20% of the requests plus the reserve in any part
// of a run.
func TestRetryBudgetBoundsEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewRetryBudget()
		worst := 0.0 // largest retries - 0.2*requests of any window that ends now
		for _, retry := range rapid.SliceOfN(rapid.Bool(), 0, 300).Draw(t, "retries") {
			if !retry {
				b.RecordRequest()
				worst = max(0, worst-0.2)
				continue
			}
			if b.TryRetry() {
				worst++
			}
			assert.Assert(t, worst <= 10+1e-9, "a window has %v retries beyond 20%%", worst)
		}
	})
}
