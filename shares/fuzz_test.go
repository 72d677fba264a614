package shares

import (
	"cmp"
	"encoding/json"
	"math"
	"slices"
	"testing"
	"time"
)

// FuzzReport guards against reports of a peer that stop the owner, or that lead to a decision that entries cannot use.
func FuzzReport(f *testing.F) {
	f.Add([]byte(`[{"service":"s","vm":"a","incarnation":1,"sequence":1,"periodMs":500,"slots":4,"busy":4,"queuedMs":900,"callsMs":10,
		"demand":[{"team":"red","weight":2,"priority":1,"workMs":9000},{"team":"blue","priority":0,"workMs":300}]}]`))
	f.Add([]byte(`[{"vm":"a","slots":-1e308,"busy":1e308,"queuedMs":-9223372036854775808,"periodMs":-1,"demand":[
		{"team":"red","weight":-1e308,"priority":9223372036854775807,"workMs":9223372036854775807},{"team":"red","priority":-9223372036854775808,"workMs":1}]},
		{"vm":"b","slots":1e308,"periodMs":9223372036854775807},{"vm":"c","slots":1e308}]`))
	f.Add([]byte(`[{"vm":"a","sequence":18446744073709551615,"incarnation":18446744073709551615,"demand":[{"priority":1,"workMs":1},{"priority":2,"workMs":1}]}]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var reports []Report
		if json.Unmarshal(data, &reports) != nil {
			return
		}
		d, a := NewDecider(Config{Service: "s"}), NewAdmitter(Config{})
		now := time.Minute
		for range 25 {
			now += 100 * time.Millisecond
			for _, r := range reports {
				r.Sequence += uint64(now)
				d.Receive(now, r)
				if p := d.reporters[r.VM]; len(p.periods) > maxPeriods {
					t.Fatalf("%d reports of one process are kept", len(p.periods))
				}
			}
			decision := d.Decide(now)
			if !slices.IsSortedFunc(decision.Ranks, func(a, b Rank) int { return cmp.Compare(a.Priority, b.Priority) }) {
				t.Fatalf("not sorted: %+v", decision.Ranks)
			}
			text, err := json.Marshal(decision)
			if err != nil || len(text) > 256<<10 {
				t.Fatalf("%d bytes, %v", len(text), err)
			}
			a.Receive(now, decision)
			checkAdmitter(t, a, now)
		}
		if !d.Idle(now + time.Hour) {
			t.Fatal("reports are kept for ever")
		}
	})
}

// FuzzDecision guards against decisions of a peer that stop an entry, or that refuse requests for longer than they are valid.
func FuzzDecision(f *testing.F) {
	f.Add([]byte(`{"service":"s","sequence":1,"short":true,"retryAfterMs":500,"ranks":[{"priority":1,"share":0.3,"teams":[{"team":"red","share":0.1}]}]}`))
	f.Add([]byte(`{"short":true,"retryAfterMs":9223372036854775807,"ranks":[{"share":-1e308,"teams":[{"team":"red","share":1e308}]}]}`))
	f.Add([]byte(`{"short":true,"retryAfterMs":-9223372036854775808,"sequence":18446744073709551615,"ranks":[{"priority":9223372036854775807},{"priority":-1}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var decision Decision
		if json.Unmarshal(data, &decision) != nil {
			return
		}
		a := NewAdmitter(Config{})
		a.Receive(time.Minute, decision)
		checkAdmitter(t, a, time.Minute)
		if share := a.Share(time.Minute+DefaultValidFor+1, "red", 0); share != 1 {
			t.Fatalf("share %v after the decision expired", share)
		}
	})
}

func checkAdmitter(t *testing.T, a *Admitter, now time.Duration) {
	t.Helper()
	for _, team := range []string{"red", "blue", ""} {
		for _, priority := range []int{0, 1, math.MaxInt} {
			share := a.Share(now, team, priority)
			ok, retryAfter := a.Admit(now, team, priority, 7)
			if !(share >= 0 && share <= 1) || !ok && (retryAfter < MinRetryAfter || retryAfter > MaxRetryAfter) {
				t.Fatalf("%s, %d: share %v, retry after %v", team, priority, share, retryAfter)
			}
		}
	}
}
