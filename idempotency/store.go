package idempotency

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// Retention is the time for which a record is kept after its claim, on the clock of the Store.
const Retention = 24 * time.Hour

// maxClockStep limits the time that one Expire command adds to the store's clock.
const maxClockStep = time.Hour

// status is the state of a record.
type status uint8

const (
	statusRunning status = iota + 1
	statusCompleted
	// statusLost means that the run ended with an unknown outcome.
	statusLost
)

// record is the stored state of a key.
type record struct {
	ClaimID        ClaimID         `msgpack:"c"`
	Claimer        Claimer         `msgpack:"p"`
	Digest         string          `msgpack:"d"`
	Status         status          `msgpack:"s"`
	StoredResponse *StoredResponse `msgpack:"a,omitempty"`
	// ClaimedAt is the store's clock when the claim was granted.
	ClaimedAt time.Duration `msgpack:"t"`
}

// Store is the replicated state machine that holds the records.
type Store struct {
	records map[Key]*record
	// released holds the released and rejected claims with the store's clock at that time, so that a late or repeated
	// claim command is not granted.
	released map[ClaimID]time.Duration
	// clock is the sum of the elapsed times of all Expire commands. It uses monotonic time and never runs ahead of real
	// time, so a jump of the wall clock does not expire records early.
	clock   time.Duration
	applied uint64
}

// NewStore returns an empty Store.
func NewStore() *Store {
	return &Store{
		records:  make(map[Key]*record),
		released: make(map[ClaimID]time.Duration),
	}
}

// Apply executes one log entry and returns an encoded Result. It is deterministic. An entry at or below the last
// applied index has no effect and returns Ignored.
func (s *Store) Apply(index uint64, data []byte) []byte {
	result := s.applyOnce(index, data)
	encoded, err := msgpack.Marshal(result)
	if err != nil {
		panic(err) // a Result has no field that msgpack can't encode
	}
	return encoded
}

func (s *Store) applyOnce(index uint64, data []byte) Result {
	if index <= s.applied {
		return Result{Outcome: Ignored}
	}
	s.applied = index
	var c Command
	if err := msgpack.Unmarshal(data, &c); err != nil {
		return Result{Outcome: Invalid}
	}
	return s.execute(c)
}

func (s *Store) execute(c Command) Result {
	switch {
	case c.Claim != nil:
		return s.claim(c.Claim)
	case c.Release != nil:
		return s.release(c.Release)
	case c.Complete != nil:
		return s.complete(c.Complete)
	case c.Abandon != nil:
		return s.abandon(c.Abandon)
	case c.Expire != nil:
		return s.expire(c.Expire)
	default:
		return Result{Outcome: Invalid}
	}
}

// claim grants a claim of a key that has no record, unless the claim was released or rejected before. For a key with a
// record, also when the claim is repeated, the result follows from the record.
func (s *Store) claim(c *Claim) Result {
	if _, ok := s.released[c.ClaimID]; ok {
		return Result{Outcome: Released}
	}
	r := s.records[c.Key]
	if r == nil {
		s.records[c.Key] = &record{
			ClaimID:   c.ClaimID,
			Claimer:   c.Claimer,
			Digest:    c.Digest,
			Status:    statusRunning,
			ClaimedAt: s.clock,
		}
		return Result{Outcome: Granted}
	}
	result := r.claimResult(c)
	if r.Status == statusRunning && result.Outcome != Granted {
		// The claimer receives this rejection, so a repetition of the command must not be granted if the key is free
		// later.
		s.released[c.ClaimID] = s.clock
	}
	return result
}

// claimResult returns the result for a claim of a key that has a record.
func (r *record) claimResult(c *Claim) Result {
	if r.Digest != c.Digest {
		return Result{Outcome: Mismatch}
	}
	switch r.Status {
	case statusCompleted:
		return Result{Outcome: Completed, StoredResponse: r.StoredResponse}
	case statusLost:
		return Result{Outcome: Lost}
	}
	if r.ClaimID == c.ClaimID {
		return Result{Outcome: Granted}
	}
	// A claim by a later incarnation of the same process proves that the claimer's incarnation has ended.
	if r.Claimer.Process == c.Claimer.Process && r.Claimer.Incarnation < c.Claimer.Incarnation {
		return Result{Outcome: Lost}
	}
	claimer := r.Claimer
	return Result{Outcome: Running, Claimer: &claimer}
}

// release frees a key whose request is running. It also marks the claim as released if the claim command has not been
// applied yet.
func (s *Store) release(c *Release) Result {
	r := s.records[c.Key]
	held := r != nil && r.ClaimID == c.ClaimID
	if held && r.Status != statusRunning {
		return Result{Outcome: Ignored}
	}
	if held {
		delete(s.records, c.Key)
	}
	if _, ok := s.released[c.ClaimID]; !ok {
		s.released[c.ClaimID] = s.clock
	}
	return Result{Outcome: Recorded}
}

func (s *Store) complete(c *Complete) Result {
	r := s.records[c.Key]
	if r == nil || r.ClaimID != c.ClaimID || r.Status == statusLost {
		return Result{Outcome: Ignored}
	}
	if r.Status == statusRunning {
		response := c.StoredResponse
		r.Status = statusCompleted
		r.StoredResponse = &response
	}
	return Result{Outcome: Recorded}
}

func (s *Store) abandon(c *Abandon) Result {
	r := s.records[c.Key]
	if r == nil || r.ClaimID != c.ClaimID || r.Status == statusCompleted {
		return Result{Outcome: Ignored}
	}
	r.Status = statusLost
	return Result{Outcome: Recorded}
}
