package idempotency

import (
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// MaxBodyBytes is the largest response body that is stored, in bytes.
const MaxBodyBytes = 64 << 10

// Key identifies a request that runs at most once.
type Key struct {
	Team  string `msgpack:"t"`
	Route string `msgpack:"r"`
	// Key is the value of the caller's Idempotency-Key header.
	Key string `msgpack:"k"`
}

// ClaimID identifies the claim of one submission. It is random and used by only one Attempt.
type ClaimID string

// Claimer identifies the process that made a claim, and its incarnation.
type Claimer struct {
	Process     string `msgpack:"p"`
	Incarnation uint64 `msgpack:"i"`
}

// StoredResponse is a response of a backend server, stored for resubmissions of the request.
type StoredResponse struct {
	Status int         `msgpack:"s"`
	Header http.Header `msgpack:"h,omitempty"`
	Body   []byte      `msgpack:"b,omitempty"`
	// BodyOmitted is true if the body was larger than MaxBodyBytes and is not stored.
	BodyOmitted bool `msgpack:"o,omitempty"`
}

// Claim requests permission to run the request of a key.
type Claim struct {
	Key     Key     `msgpack:"k"`
	ClaimID ClaimID `msgpack:"c"`
	Claimer Claimer `msgpack:"p"`
	// Digest is a hash of the request, which detects a key that is used with another request.
	Digest string `msgpack:"d"`
}

// Release withdraws a claim whose request did not run and never will.
type Release struct {
	Key     Key     `msgpack:"k"`
	ClaimID ClaimID `msgpack:"c"`
}

// Complete stores the response to the request of a claim.
type Complete struct {
	Key            Key            `msgpack:"k"`
	ClaimID        ClaimID        `msgpack:"c"`
	StoredResponse StoredResponse `msgpack:"a"`
}

// Abandon records that the run of a claim ended with an unknown outcome.
type Abandon struct {
	Key     Key     `msgpack:"k"`
	ClaimID ClaimID `msgpack:"c"`
}

// Expire advances the clock of the Store and drops records older than Retention.
type Expire struct {
	// From is the store's clock as last read by the proposer. A command whose From differs from the store's clock has no
	// effect, so a repeated command does not count the time twice.
	From time.Duration `msgpack:"f"`
	// Elapsed is the monotonic time since the proposer read From.
	Elapsed time.Duration `msgpack:"e"`
}

// Command is the content of one entry in the record group's log. Exactly one field is set.
type Command struct {
	Claim    *Claim    `msgpack:"claim,omitempty"`
	Release  *Release  `msgpack:"release,omitempty"`
	Complete *Complete `msgpack:"complete,omitempty"`
	Abandon  *Abandon  `msgpack:"abandon,omitempty"`
	Expire   *Expire   `msgpack:"expire,omitempty"`
}

// Outcome is the outcome of a command.
type Outcome uint8

// Values of Outcome.
const (
	// Invalid means that the log entry is not a valid command.
	Invalid Outcome = iota
	// Granted permits the claimer to run the request.
	Granted
	// Running means that another claim holds the key; Result.Claimer made it.
	Running
	// Completed means that the request has completed; Result.StoredResponse is its stored response.
	Completed
	// Lost means that the request may have run and its outcome will never be known.
	Lost
	// Mismatch means that the key was used with another request.
	Mismatch
	// Released means that this claim was released, or rejected while another claim held the key.
	Released
	// Recorded means that a Release, Complete, Abandon or Expire command has taken effect, now or earlier.
	Recorded
	// Ignored means that such a command had no effect, for example because its claim does not hold the key.
	Ignored
)

// Result is the result of a Command.
type Result struct {
	Outcome        Outcome         `msgpack:"o"`
	Claimer        *Claimer        `msgpack:"p,omitempty"`
	StoredResponse *StoredResponse `msgpack:"a,omitempty"`
	// Clock is the store's clock; set in results of Expire.
	Clock time.Duration `msgpack:"t,omitempty"`
}

// Encode returns the command in the encoding of the log.
func (c Command) Encode() ([]byte, error) {
	data, err := msgpack.Marshal(c)
	return data, errors.Wrap(err, "encode record command")
}

// DecodeResult decodes the result of Store.Apply. It fails if data is not an encoded Result.
func DecodeResult(data []byte) (Result, error) {
	var r Result
	err := msgpack.Unmarshal(data, &r)
	return r, errors.Wrap(err, "decode record result")
}
