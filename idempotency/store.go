package idempotency

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// Retention is how long a record is kept.
const Retention = 24 * time.Hour

// maxStep bounds the time that one Expire adds to the store's clock.
const maxStep = time.Hour

// status is the state of a record.
type status uint8

const (
	statusRunning status = iota + 1
	statusCompleted
	// statusLost records end with an unknown outcome.
	statusLost
)

// record is what is known of one key.
type record struct {
	ClaimID ClaimID `msgpack:"c"`
	Claimer Claimer `msgpack:"p"`
	Digest  string  `msgpack:"d"`
	Status  status  `msgpack:"s"`
	Answer  *Answer `msgpack:"a,omitempty"`
	// Stamp is the store's clock at the claim.
	Stamp time.Duration `msgpack:"t"`
}

// Store is the replicated state machine of the records.
type Store struct {
	records map[Key]*record
	// released remembers released and refused claims with the store's clock, so that a late claim command is not granted.
	released map[ClaimID]time.Duration
	// clock is the time that Expire commands counted. It never runs ahead of real time, so wall clock jumps expire
	// nothing early.
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

// Apply executes one log entry and returns an encoded Result. It is deterministic. Entries at or below the last applied
// index are answered as Ignored.
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

// claim grants a key that has no record. A repeated claim gets the answer of its record.
func (s *Store) claim(c *Claim) Result {
	if _, ok := s.released[c.ClaimID]; ok {
		return Result{Outcome: Released}
	}
	r := s.records[c.Key]
	if r == nil {
		s.records[c.Key] = &record{
			ClaimID: c.ClaimID,
			Claimer: c.Claimer,
			Digest:  c.Digest,
			Status:  statusRunning,
			Stamp:   s.clock,
		}
		return Result{Outcome: Granted}
	}
	result := r.answer(c)
	if r.Status == statusRunning && result.Outcome != Granted {
		// A repeated claim command must not be granted once the key is free: its claimer has got this answer.
		s.released[c.ClaimID] = s.clock
	}
	return result
}

// answer is the result for a claim of a key that has a record.
func (r *record) answer(c *Claim) Result {
	if r.Digest != c.Digest {
		return Result{Outcome: Mismatch}
	}
	switch r.Status {
	case statusCompleted:
		return Result{Outcome: Completed, Answer: r.Answer}
	case statusLost:
		return Result{Outcome: Lost}
	}
	if r.ClaimID == c.ClaimID {
		return Result{Outcome: Granted}
	}
	// A claim by a later life of the same process proves that the claimer is gone.
	if r.Claimer.Process == c.Claimer.Process && r.Claimer.Incarnation < c.Claimer.Incarnation {
		return Result{Outcome: Lost}
	}
	claimer := r.Claimer
	return Result{Outcome: Running, Claimer: &claimer}
}

// release frees a running key. The claim is remembered also when its command has not come yet.
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
		answer := c.Answer
		r.Status = statusCompleted
		r.Answer = &answer
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
