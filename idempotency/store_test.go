package idempotency

import "testing"

// TestOnlyTheClaimerEndsItsClaim guards against a command with another claim id that frees, completes or abandons a
// key.
func TestOnlyTheClaimerEndsItsClaim(t *testing.T) {
	key := Key{"team", "/booking", "1"}
	claim := func(id ClaimID) Command {
		return Command{Claim: &Claim{Key: key, ClaimID: id, Claimer: Claimer{"p", 1}, Digest: "d"}}
	}
	cases := []struct {
		desc    string
		command Command
		outcome Outcome
	}{
		{"release", Command{Release: &Release{Key: key, ClaimID: "other"}}, Recorded},
		{"complete", Command{Complete: &Complete{Key: key, ClaimID: "other"}}, Ignored},
		{"abandon", Command{Abandon: &Abandon{Key: key, ClaimID: "other"}}, Ignored},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			s := NewStore()
			s.execute(claim("first"))
			if got := s.execute(c.command); got.Outcome != c.outcome {
				t.Fatalf("outcome %d, want %d", got.Outcome, c.outcome)
			}
			if got := s.execute(claim("second")); got.Outcome != Running {
				t.Fatalf("after %s with another claim id, a new claim has outcome %d, want Running", c.desc, got.Outcome)
			}
		})
	}
}

// TestRestoreRefusesDamage guards against a store that loses its state when it restores a damaged snapshot.
func TestRestoreRefusesDamage(t *testing.T) {
	s := NewStore()
	s.execute(Command{Claim: &Claim{Key: Key{"t", "r", "k"}, ClaimID: "c"}})
	for _, data := range [][]byte{nil, []byte("no snapshot"), {0x81, 0xa1, 'v', 0x07}} {
		if err := s.Restore(data); err == nil {
			t.Fatalf("restored %q", data)
		}
	}
	if len(s.records) != 1 {
		t.Fatal("a failed Restore changed the state")
	}
}
