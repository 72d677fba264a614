package idempotency

import (
	"bytes"
	"flag"
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"
)

func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.steps": "120", "rapid.checks": "800"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

const (
	testProcesses = 3
	testDeadline  = 2 * time.Second
)

// submission is one submission of a request with a key to a process.
type submission struct {
	process     int
	incarnation uint64
	key         Key
	attempt     *Attempt
	// running is true from the grant to the end of the run; began is true once the backend server started the request.
	running, began bool
	replied        Reply
	crashed        bool
}

// proposal is a command in flight to the log, or its result in flight to the submission.
type proposal struct {
	submission *submission
	command    Command
	data       []byte
	applied    bool
	result     Result
	call       int64
	resolved   bool // the submission got the result, or learned that the proposal failed
}

// run is the last run of a key as the test oracle records it.
type run struct {
	at       time.Duration
	response []byte
}

// fleet runs attempts of several processes against one replicated log.
type fleet struct {
	now          time.Duration
	steps        int64
	store        *Store
	index        uint64
	incarnations [testProcesses]uint64
	submissions  []*submission
	proposals    []*proposal
	runs         map[Key]run
	history      []porcupine.Operation
	// counts holds the number of runs and of replies of each kind, to check that the test reaches all interesting states.
	counts map[string]int
}

func newFleet(counts map[string]int) *fleet {
	return &fleet{store: NewStore(), runs: make(map[Key]run), counts: counts}
}

func (f *fleet) submit(t *rapid.T, process int, key Key, digest string) {
	s := &submission{process: process, incarnation: f.incarnations[process], key: key}
	claim := Claim{
		Key:     key,
		ClaimID: ClaimID(fmt.Sprint("claim-", len(f.submissions))),
		Claimer: Claimer{Process: fmt.Sprint("p", process), Incarnation: s.incarnation},
		Digest:  digest,
	}
	claimerEnded := func(c Claimer) bool {
		for p, incarnation := range f.incarnations {
			if c.Process == fmt.Sprint("p", p) {
				return c.Incarnation < incarnation
			}
		}
		return true
	}
	s.attempt = NewAttempt(claim, f.now+testDeadline, claimerEnded)
	f.submissions = append(f.submissions, s)
	f.perform(t, s, s.attempt.Start(f.now))
}

// perform executes a step and checks it.
func (f *fleet) perform(t *rapid.T, s *submission, step Step) {
	if step.Reply != NoReply {
		f.checkReply(t, s, step)
	}
	if step.Run {
		if s.running || s.began || s.replied != NoReply {
			t.Fatal("a submission was started twice or after its reply")
		}
		s.running = true
	}
	if step.Propose != nil {
		data, err := step.Propose.Encode()
		if err != nil {
			t.Fatal(err)
		}
		f.steps++
		f.proposals = append(f.proposals, &proposal{submission: s, command: *step.Propose, data: data, call: f.steps})
	}
}

func (f *fleet) checkReply(t *rapid.T, s *submission, step Step) {
	if s.replied != NoReply {
		t.Fatal("a submission got two replies")
	}
	s.replied = step.Reply
	f.counts[fmt.Sprint("reply ", step.Reply)]++
	switch step.Reply {
	case ReplyNotRun:
		if s.began || s.running {
			t.Fatal("a request that ran was rejected as not run")
		}
	case ReplyStored:
		if !bytes.Equal(step.StoredResponse.Body, f.runs[s.key].response) {
			t.Fatalf("stored response body %q, want %q", step.StoredResponse.Body, f.runs[s.key].response)
		}
	}
}

// begin records the start of a run at the backend server. A key may run again only after its record expired.
func (f *fleet) begin(t *rapid.T, s *submission, response []byte) {
	if s.replied == ReplyNotRun {
		t.Fatal("a request started after it was rejected as not run")
	}
	last, ran := f.runs[s.key]
	if ran && f.now-last.at < Retention {
		t.Fatalf("key %v runs twice within %v", s.key, f.now-last.at)
	}
	s.began = true
	f.runs[s.key] = run{at: f.now, response: response}
	f.counts["run"]++
}

// end ends a run with an outcome that the gate observes.
func (f *fleet) end(t *rapid.T, s *submission, outcome RunOutcome, began bool) {
	response := []byte(fmt.Sprint("answer of ", s.attempt.claim.ClaimID))
	if began {
		f.begin(t, s, response)
	}
	s.running = false
	f.perform(t, s, s.attempt.RunEnded(f.now, outcome, StoredResponse{Status: 200, Body: response}))
}

// apply appends a proposal to the log. The same proposal may be appended several times.
func (f *fleet) apply(t *rapid.T, p *proposal) {
	f.index++
	result, err := DecodeResult(f.store.Apply(f.index, p.data))
	if err != nil {
		t.Fatal(err)
	}
	if !p.applied {
		p.applied = true
		p.result = result
	}
}

// deliver delivers a result to the submission.
func (f *fleet) deliver(t *rapid.T, p *proposal) {
	f.steps++
	f.history = append(f.history, porcupine.Operation{
		ClientId: len(f.history), Input: p.command, Output: p.result, Call: p.call, Return: f.steps,
	})
	p.resolved = true
	if !p.submission.crashed {
		f.perform(t, p.submission, p.submission.attempt.HandleResult(f.now, p.result))
	}
}

// crash ends a process. Its proposals may still be applied, and the backend server may have started its requests.
func (f *fleet) crash(t *rapid.T, process int) {
	for _, s := range f.submissions {
		if s.process != process || s.crashed {
			continue
		}
		if s.running && rapid.Bool().Draw(t, "began") {
			f.begin(t, s, nil)
		}
		s.crashed = true
		s.running = false
	}
	f.incarnations[process]++
}

// restart replaces the store with one restored from its snapshot.
func (f *fleet) restart(t *rapid.T) {
	data, err := f.store.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := NewStore()
	if err := restored.Restore(data); err != nil {
		t.Fatal(err)
	}
	again, err := restored.Snapshot()
	if err != nil || !bytes.Equal(data, again) {
		t.Fatalf("the restored store has a different snapshot (error: %v)", err)
	}
	f.store = restored
}

func (f *fleet) tick(t *rapid.T) {
	for _, s := range f.submissions {
		if !s.crashed {
			f.perform(t, s, s.attempt.Tick(f.now))
		}
	}
}
