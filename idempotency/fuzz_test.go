package idempotency

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"
)

// actions returns the random steps of a fleet that loses, repeats and delays proposals and whose processes crash at any
// time.
func actions(f *fleet) map[string]func(*rapid.T) {
	process := rapid.IntRange(0, testProcesses-1)
	key := rapid.SampledFrom([]Key{{"team", "/booking", "1"}, {"team", "/booking", "2"}})
	pick := func(t *rapid.T, want func(*proposal) bool) *proposal {
		var candidates []*proposal
		for _, p := range f.proposals {
			if want(p) {
				candidates = append(candidates, p)
			}
		}
		if len(candidates) == 0 {
			t.Skip("no such proposal")
		}
		return rapid.SampledFrom(candidates).Draw(t, "proposal")
	}
	exchange := func(t *rapid.T) {
		p := pick(t, func(p *proposal) bool { return !p.applied && !p.resolved })
		f.apply(t, p)
		f.deliver(t, p)
	}
	return map[string]func(*rapid.T){
		"submit": func(t *rapid.T) {
			digest := "body"
			if rapid.IntRange(0, 9).Draw(t, "other body") == 0 {
				digest = "other body"
			}
			f.submit(t, process.Draw(t, "process"), key.Draw(t, "key"), digest)
		},
		"exchange":      exchange,
		"exchangeAgain": exchange,
		"apply":         func(t *rapid.T) { f.apply(t, pick(t, func(p *proposal) bool { return !p.applied })) },
		"applyTwice":    func(t *rapid.T) { f.apply(t, pick(t, func(p *proposal) bool { return p.applied })) },
		"answer": func(t *rapid.T) {
			f.deliver(t, pick(t, func(p *proposal) bool { return p.applied && !p.resolved }))
		},
		"unreachable": func(t *rapid.T) {
			p := pick(t, func(p *proposal) bool { return !p.resolved })
			p.resolved = true
			if !p.submission.crashed {
				f.perform(t, p.submission, p.submission.attempt.HandleProposalFailure(f.now))
			}
		},
		"end": func(t *rapid.T) {
			for _, s := range f.submissions {
				if !s.running {
					continue
				}
				outcome := rapid.SampledFrom([]RunOutcome{RunNotStarted, RunCompleted, RunCompleted, RunUnknown}).Draw(t, "how")
				began := outcome == RunCompleted || outcome == RunUnknown && rapid.Bool().Draw(t, "began")
				f.end(t, s, outcome, began)
				return
			}
			t.Skip("nothing runs")
		},
		"cancel": func(t *rapid.T) {
			if len(f.submissions) == 0 {
				t.Skip("no submission")
			}
			s := rapid.SampledFrom(f.submissions).Draw(t, "submission")
			if !s.crashed && rapid.IntRange(0, 3).Draw(t, "rare") == 0 {
				f.perform(t, s, s.attempt.Cancel(f.now))
			}
		},
		"tick": func(t *rapid.T) {
			f.now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond
			f.tick(t)
		},
		"crash": func(t *rapid.T) {
			if rapid.IntRange(0, 3).Draw(t, "rare") == 0 {
				f.crash(t, process.Draw(t, "process"))
			}
		},
		"restart": f.restart,
	}
}

// TestNeverRunsTwice guards against a key that runs twice within its retention, a request that runs after it was
// rejected as not run, and a resubmission that gets a different response, with crashes, late and repeated commands and
// expiry.
func TestNeverRunsTwice(t *testing.T) {
	counts := make(map[string]int)
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(counts)
		expirer := NewExpirer(time.Minute)
		all := actions(f)
		all["hours"] = func(t *rapid.T) {
			if rapid.IntRange(0, 2).Draw(t, "rare") == 0 {
				f.now += time.Duration(rapid.IntRange(1, 9).Draw(t, "hours")) * time.Hour
				f.tick(t)
			}
		}
		expire := func(t *rapid.T) {
			for range 10 {
				c, ok := expirer.Next(f.now)
				if !ok {
					return
				}
				data, err := c.Encode()
				if err != nil {
					t.Fatal(err)
				}
				p := &proposal{data: data}
				f.apply(t, p)
				// A repeated Expire, as after an unknown outcome, must not count the time twice.
				f.apply(t, p)
				if rapid.IntRange(0, 3).Draw(t, "lost") > 0 {
					expirer.Receive(f.now, p.result)
				}
			}
			if f.store.clock > f.now {
				t.Fatalf("store clock %v is ahead of %v", f.store.clock, f.now)
			}
		}
		all["expire"] = expire
		t.Repeat(all)
	})
	t.Log(counts)
	if counts["run"] < 500 || counts["reply 2"] < 50 || counts["reply 5"] < 50 {
		t.Fatalf("the test does not reach the interesting states: %v", counts)
	}
}

// recordModel is the sequential specification of one key, for the linearizability checker porcupine.
type recordModel struct {
	claim    ClaimID
	claimer  Claimer
	digest   string
	status   status
	body     string
	released string
}

func (m recordModel) isReleased(id ClaimID) bool {
	return strings.Contains(m.released, ";"+string(id)+";")
}

func (m *recordModel) addReleased(id ClaimID) {
	if !m.isReleased(id) {
		m.released += ";" + string(id) + ";"
	}
}

// step applies a command to the specification and returns the expected result.
func (m recordModel) step(c Command) (recordModel, Outcome) {
	switch {
	case c.Claim != nil:
		return m.stepClaim(c.Claim)
	case c.Release != nil && m.claim == c.Release.ClaimID && m.status != statusRunning:
		return m, Ignored
	case c.Release != nil:
		if m.claim == c.Release.ClaimID {
			m = recordModel{released: m.released}
		}
		m.addReleased(c.Release.ClaimID)
		return m, Recorded
	case c.Complete != nil && m.claim == c.Complete.ClaimID && m.status != statusLost:
		if m.status == statusRunning {
			m.status, m.body = statusCompleted, string(c.Complete.StoredResponse.Body)
		}
		return m, Recorded
	case c.Abandon != nil && m.claim == c.Abandon.ClaimID && m.status != statusCompleted:
		m.status = statusLost
		return m, Recorded
	default:
		return m, Ignored
	}
}

// stepClaim also marks a claim as released if it was rejected while another claim held the key.
func (m recordModel) stepClaim(c *Claim) (recordModel, Outcome) {
	outcome := Running
	switch {
	case m.isReleased(c.ClaimID):
		return m, Released
	case m.claim == "":
		m.claim, m.claimer, m.digest, m.status = c.ClaimID, c.Claimer, c.Digest, statusRunning
		return m, Granted
	case m.digest != c.Digest:
		outcome = Mismatch
	case m.status == statusCompleted:
		outcome = Completed
	case m.status == statusLost:
		outcome = Lost
	case m.claim == c.ClaimID:
		return m, Granted
	case m.claimer.Process == c.Claimer.Process && m.claimer.Incarnation < c.Claimer.Incarnation:
		outcome = Lost
	}
	if m.status == statusRunning {
		m.addReleased(c.ClaimID)
	}
	return m, outcome
}

func commandKey(c Command) Key {
	switch {
	case c.Claim != nil:
		return c.Claim.Key
	case c.Release != nil:
		return c.Release.Key
	case c.Complete != nil:
		return c.Complete.Key
	default:
		return c.Abandon.Key
	}
}

var recordSpecification = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := make(map[Key][]porcupine.Operation)
		for _, op := range history {
			key := commandKey(op.Input.(Command))
			byKey[key] = append(byKey[key], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return recordModel{} },
	Step: func(state, input, output any) (bool, any) {
		next, want := state.(recordModel).step(input.(Command))
		if output == nil {
			return true, next
		}
		got := output.(Result)
		if got.Outcome == Completed && string(got.StoredResponse.Body) != next.body {
			return false, next
		}
		if got.Outcome == Running && *got.Claimer != next.claimer {
			return false, next
		}
		return got.Outcome == want, next
	},
	Equal: func(a, b any) bool { return a == b },
}

// TestConcurrentHistories guards against results that no sequential order of the commands explains.
func TestConcurrentHistories(t *testing.T) {
	operations := 0
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(make(map[string]int))
		t.Repeat(actions(f))
		history := f.history
		for _, p := range f.proposals {
			if !p.resolved || !historyHas(history, p) {
				// The outcome is unknown: the command may take effect at any later time.
				history = append(history, porcupine.Operation{
					ClientId: len(history), Input: p.command, Call: p.call, Return: math.MaxInt64,
				})
			}
		}
		operations += len(history)
		if result := porcupine.CheckOperationsTimeout(recordSpecification, history, 5*time.Second); result != porcupine.Ok {
			t.Fatalf("history of %d commands: %s", len(history), result)
		}
	})
	t.Logf("%d operations checked", operations)
}

func historyHas(history []porcupine.Operation, p *proposal) bool {
	for _, op := range history {
		if op.Call == p.call {
			return true
		}
	}
	return false
}
