package idempotency

import (
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// MaxBody is the largest answer body that is kept, in bytes.
const MaxBody = 64 << 10

// Key names one request that runs at most once.
type Key struct {
	Team  string `msgpack:"t"`
	Route string `msgpack:"r"`
	// Key is the caller's Idempotency-Key.
	Key string `msgpack:"k"`
}

// ClaimID identifies one submission's claim. It is random and used by one Attempt only.
type ClaimID string

// Claimer is one life of a process.
type Claimer struct {
	Process     string `msgpack:"p"`
	Incarnation uint64 `msgpack:"i"`
}

// Answer is a backend server's answer as it is kept for resubmissions.
type Answer struct {
	Status int         `msgpack:"s"`
	Header http.Header `msgpack:"h,omitempty"`
	Body   []byte      `msgpack:"b,omitempty"`
	// BodyOmitted is true where the body was larger than MaxBody and is not kept.
	BodyOmitted bool `msgpack:"o,omitempty"`
}

// Claim asks for the right to run a key's request.
type Claim struct {
	Key     Key     `msgpack:"k"`
	ClaimID ClaimID `msgpack:"c"`
	Claimer Claimer `msgpack:"p"`
	// Digest identifies the request's body.
	Digest string `msgpack:"d"`
}

// Release gives a claim back: its request did not run and never will.
type Release struct {
	Key     Key     `msgpack:"k"`
	ClaimID ClaimID `msgpack:"c"`
}

// Complete stores the answer of a claim's run.
type Complete struct {
	Key     Key     `msgpack:"k"`
	ClaimID ClaimID `msgpack:"c"`
	Answer  Answer  `msgpack:"a"`
}

// Abandon records that a claim's run ended with an unknown outcome.
type Abandon struct {
	Key     Key     `msgpack:"k"`
	ClaimID ClaimID `msgpack:"c"`
}

// Expire advances the store's clock and drops records older than Retention.
type Expire struct {
	// From is the store's clock that the proposer knows; a stale proposal changes nothing.
	From time.Duration `msgpack:"f"`
	// Elapsed is the monotonic time since the proposer learned From.
	Elapsed time.Duration `msgpack:"e"`
}

// Command is one entry of the record group's log; exactly one field is set.
type Command struct {
	Claim    *Claim    `msgpack:"claim,omitempty"`
	Release  *Release  `msgpack:"release,omitempty"`
	Complete *Complete `msgpack:"complete,omitempty"`
	Abandon  *Abandon  `msgpack:"abandon,omitempty"`
	Expire   *Expire   `msgpack:"expire,omitempty"`
}

// Outcome is the store's answer to a command.
type Outcome uint8

// Outcomes.
const (
	// Invalid answers data that is no command.
	Invalid Outcome = iota
	// Granted gives the claimer the right to run the request.
	Granted
	// Running means that another claim holds the key; Result.Claimer tells whose.
	Running
	// Completed carries the stored answer in Result.Answer.
	Completed
	// Lost means that the request may have run and that its answer will never be known.
	Lost
	// Mismatch means that the key was used with another body.
	Mismatch
	// Released means that this claim was released before.
	Released
	// Recorded answers Release, Complete, Abandon and Expire commands that took effect, now or before.
	Recorded
	// Ignored answers those that had no effect, because the claim does not hold the key.
	Ignored
)

// Result answers a Command.
type Result struct {
	Outcome Outcome  `msgpack:"o"`
	Claimer *Claimer `msgpack:"p,omitempty"`
	Answer  *Answer  `msgpack:"a,omitempty"`
	// Clock is the store's clock; set in answers to Expire.
	Clock time.Duration `msgpack:"t,omitempty"`
}

// Encode returns the command as log data.
func (c Command) Encode() ([]byte, error) {
	data, err := msgpack.Marshal(c)
	return data, errors.Wrap(err, "encode record command")
}

// DecodeResult reads what Store.Apply returned.
func DecodeResult(data []byte) (Result, error) {
	var r Result
	err := msgpack.Unmarshal(data, &r)
	return r, errors.Wrap(err, "decode record result")
}
