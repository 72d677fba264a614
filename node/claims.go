package node

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"hash"
	"io"
	"net/http"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"gopkg.in/tomb.v2"

	"rosemaryline.dev/idempotency"
	"rosemaryline.dev/membership"
	"rosemaryline.dev/proxy"
)

const (
	// claimTimeout bounds the wait for the record group before a request is refused as not run.
	claimTimeout = 2 * time.Second
	// recordTick is the time between two looks at an outcome that could not be recorded yet.
	recordRetryInterval = 50 * time.Millisecond
	// maxRecording bounds the outcomes that wait to be recorded; further claims are refused.
	maxPendingClaims = 4096
)

// proposer proposes a command to the record group and returns its result.
type recordProposer interface {
	proposeRecord(ctx context.Context, data []byte) ([]byte, error)
}

// claims runs idempotency.Attempts for the gate.
type claims struct {
	self    idempotency.Claimer
	clock   proxy.Clock
	records recordProposer
	gossip  *gossip
	log     *log.Logger
	tomb    *tomb.Tomb
	breaker breaker
	pending chan struct{} // one element for each claim that is not finished
}

func newClaims(self idempotency.Claimer, clock proxy.Clock, records recordProposer, g *gossip, logger *log.Logger, t *tomb.Tomb) *claims {
	return &claims{
		self:    self,
		clock:   clock,
		records: records,
		gossip:  g,
		log:     logger,
		tomb:    t,
		pending: make(chan struct{}, maxPendingClaims),
	}
}

// Claim implements proxy.Claimer.
func (c *claims) Claim(ctx context.Context, req *proxy.Request) (proxy.Claim, *proxy.Response, error) {
	trial, ok := c.breaker.allow(c.clock())
	if !ok {
		return nil, nil, refuse(http.StatusServiceUnavailable, proxy.OutcomeNotRun, proxy.ReasonNoRecords)
	}
	select {
	case c.pending <- struct{}{}:
	default:
		c.breaker.report(trial, false, c.clock())
		return nil, nil, refuse(http.StatusServiceUnavailable, proxy.OutcomeNotRun, proxy.ReasonNoRecords)
	}
	claim := &claim{claims: c, attempt: c.newAttempt(req)}
	step := claim.decide(ctx)
	c.breaker.report(trial, !claim.unreachable, c.clock())
	if step.Run {
		return claim, nil, nil
	}
	claim.recordInBackground(step)
	return nil, storedResponse(step), refusalFor(step)
}

func (c *claims) newAttempt(req *proxy.Request) *idempotency.Attempt {
	id := idempotency.Claim{
		Key:     idempotency.Key{Team: req.Team, Route: req.Route, Key: req.IdempotencyKey},
		ClaimID: newClaimID(),
		Claimer: c.self,
		Digest:  requestDigest(req),
	}
	deadline := c.clock() + min(time.Until(req.Deadline), claimTimeout)
	return idempotency.NewAttempt(id, deadline, c.claimerEnded)
}

// gone tells whether a claimer's run of its process is known to have ended.
func (c *claims) claimerEnded(claimer idempotency.Claimer) bool {
	m, ok := c.gossip.member(claimer.Process)
	if !ok {
		return false
	}
	return m.Incarnation > claimer.Incarnation || m.Status == membership.StatusDead
}

func newClaimID() idempotency.ClaimID {
	var id [16]byte
	// crypto/rand.Read never fails.
	_, _ = rand.Read(id[:])
	return idempotency.ClaimID(hex.EncodeToString(id[:]))
}

// requestDigest identifies method, target and body.
func requestDigest(req *proxy.Request) string {
	h := sha256.New()
	hashPart(h, []byte(req.Method))
	hashPart(h, []byte(req.URI))
	hashPart(h, req.Body.Bytes())
	return hex.EncodeToString(h.Sum(nil))
}

// writePart adds a part and its length, so that bytes cannot move from one part to the next unnoticed.
func hashPart(h hash.Hash, part []byte) {
	length, err := json.Marshal(len(part))
	if err != nil {
		panic(err) // an integer always encodes
	}
	h.Write(length)
	h.Write([]byte{0})
	h.Write(part)
}

// claim is one submission.
type claim struct {
	claims  *claims
	attempt *idempotency.Attempt
	// unreachable is true after a claim that the record group did not answer.
	unreachable bool
}

// decide proposes the claim until it is decided or given up.
func (c *claim) decide(ctx context.Context) idempotency.Step {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	step := c.attempt.Start(c.claims.clock())
	for step.Reply == idempotency.NoReply && !step.Run && step.Propose != nil {
		step = c.propose(ctx, step.Propose)
	}
	return step
}

// propose sends one command to the record group and passes its result to the attempt.
func (c *claim) propose(ctx context.Context, command *idempotency.Command) idempotency.Step {
	result, err := c.claims.apply(ctx, command)
	now := c.claims.clock()
	if err != nil {
		c.unreachable = true
		return c.attempt.Unreachable(now)
	}
	return c.attempt.Recorded(now, result)
}

func (c *claims) apply(ctx context.Context, command *idempotency.Command) (idempotency.Result, error) {
	data, err := command.Encode()
	if err != nil {
		return idempotency.Result{}, err
	}
	reply, err := c.records.proposeRecord(ctx, data)
	if err != nil {
		return idempotency.Result{}, err
	}
	return idempotency.DecodeResult(reply)
}

// record proposes what is left to record in the background, until the record group took it.
func (c *claim) recordInBackground(step idempotency.Step) {
	if step.Finished {
		<-c.claims.pending
		return
	}
	started := spawn(c.claims.tomb, func() {
		defer func() { <-c.claims.pending }()
		c.recordUntilFinished(step)
	})
	if !started {
		<-c.claims.pending
	}
}

func (c *claim) recordUntilFinished(step idempotency.Step) {
	ticker := time.NewTicker(recordRetryInterval)
	defer ticker.Stop()
	for !step.Finished {
		if step.Propose != nil {
			ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
			step = c.propose(ctx, step.Propose)
			cancel()
			continue
		}
		select {
		case <-ticker.C:
			step = c.attempt.Tick(c.claims.clock())
		case <-c.claims.tomb.Dying():
			return
		}
	}
}

// Release implements proxy.Claim.
func (c *claim) Release() { c.endRun(idempotency.EndedNotRun, idempotency.Answer{}) }

// Abandon implements proxy.Claim.
func (c *claim) Abandon() { c.endRun(idempotency.EndedUnknown, idempotency.Answer{}) }

func (c *claim) endRun(outcome idempotency.Ended, response idempotency.Answer) {
	c.recordInBackground(c.attempt.RunEnded(c.claims.clock(), outcome, response))
}

// Complete implements proxy.Claim. It reads as much of the answer as is kept, so that the record does not depend on the
// caller, and returns the answer with the part read and the rest.
func (c *claim) Complete(resp *proxy.Response) (*proxy.Response, error) {
	prefix, err := io.ReadAll(io.LimitReader(resp.Body, idempotency.MaxBody+1))
	if err != nil {
		resp.Body.Close()
		c.Abandon()
		refusal := refuse(http.StatusBadGateway, proxy.OutcomeUnknown, proxy.ReasonBrokenAnswer)
		refusal.Err = errors.Wrap(err, "read answer")
		return nil, refusal
	}
	c.endRun(idempotency.EndedAnswered, idempotency.Answer{Status: resp.Status, Header: resp.Header, Body: prefix})
	resp.Body = &prefixedBody{Reader: io.MultiReader(bytes.NewReader(prefix), resp.Body), Closer: resp.Body}
	return resp, nil
}

type prefixedBody struct {
	io.Reader
	io.Closer
}

// storedResponse returns the kept answer of the request that ran before, or nil.
func storedResponse(step idempotency.Step) *proxy.Response {
	if step.Reply != idempotency.ReplyStored || step.Answer.BodyOmitted {
		return nil
	}
	header := step.Answer.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	return &proxy.Response{
		Status:        step.Answer.Status,
		Header:        header,
		Body:          io.NopCloser(bytes.NewReader(step.Answer.Body)),
		ContentLength: int64(len(step.Answer.Body)),
	}
}

// refusalOf returns the refusal of a step as an error, or nil where the step carries an answer.
func refusalFor(step idempotency.Step) error {
	switch step.Reply {
	case idempotency.ReplyStored:
		if step.Answer.BodyOmitted {
			return refuse(http.StatusConflict, proxy.OutcomeUnknown, proxy.ReasonAnswerNotKept)
		}
		return nil
	case idempotency.ReplyRunning:
		return refuse(http.StatusConflict, proxy.OutcomeUnknown, proxy.ReasonRunning)
	case idempotency.ReplyMismatch:
		return refuse(http.StatusUnprocessableEntity, proxy.OutcomeNotRun, proxy.ReasonKeyReused)
	case idempotency.ReplyUnknown:
		return refuse(http.StatusConflict, proxy.OutcomeUnknown, proxy.ReasonLost)
	default:
		return refuse(http.StatusServiceUnavailable, proxy.OutcomeNotRun, proxy.ReasonNoRecords)
	}
}

func refuse(status int, outcome proxy.Outcome, reason proxy.Reason) *proxy.Refusal {
	return &proxy.Refusal{Status: status, Outcome: outcome, Reason: reason, Step: "claim"}
}

// drain waits until the outcomes of all claims are recorded or ctx is done.
func (c *claims) drain(ctx context.Context) {
	ticker := time.NewTicker(recordRetryInterval)
	defer ticker.Stop()
	for len(c.pending) > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			c.log.Warn().Int("claims", len(c.pending)).Msg("claims: outcomes not recorded.")
			return
		}
	}
}
