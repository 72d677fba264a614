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
	// claimTimeout limits the wait for the record group. After it, a request is refused as not run.
	claimTimeout = 2 * time.Second
	// recordRetryInterval is the time between two checks whether an outcome that could not be recorded can be proposed
	// again.
	recordRetryInterval = 50 * time.Millisecond
	// maxPendingClaims limits the claims that are running or whose outcome is not recorded yet. Further claims are
	// refused.
	maxPendingClaims = 4096
)

// recordProposer proposes a command to the record group and returns the encoded result.
type recordProposer interface {
	proposeRecord(ctx context.Context, data []byte) ([]byte, error)
}

// claims implements proxy.Claimer: it runs an idempotency.Attempt for each request with an idempotency key.
type claims struct {
	self    idempotency.Claimer
	clock   proxy.Clock
	records recordProposer
	gossip  *gossip
	log     *log.Logger
	tomb    *tomb.Tomb
	breaker breaker
	pending chan struct{} // holds one element for each unfinished claim
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
		c.breaker.cancel(trial)
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

// claimerEnded reports whether the process that made a claim is known to have stopped or restarted since.
func (c *claims) claimerEnded(claimer idempotency.Claimer) bool {
	m, ok := c.gossip.member(claimer.Process)
	if !ok {
		return false
	}
	return m.Incarnation > claimer.Incarnation || m.Status == membership.StatusDead
}

func newClaimID() idempotency.ClaimID {
	var id [16]byte
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(id[:])
	return idempotency.ClaimID(hex.EncodeToString(id[:]))
}

// requestDigest returns the SHA-256 sum, in hex, of the request's method, target and body.
func requestDigest(req *proxy.Request) string {
	h := sha256.New()
	hashPart(h, []byte(req.Method))
	hashPart(h, []byte(req.URI))
	hashPart(h, req.Body.Bytes())
	return hex.EncodeToString(h.Sum(nil))
}

// hashPart hashes a part preceded by its length, so that different divisions of the same bytes have different sums.
func hashPart(h hash.Hash, part []byte) {
	length, err := json.Marshal(len(part))
	if err != nil {
		panic(err) // encoding an integer never fails
	}
	h.Write(length)
	h.Write([]byte{0})
	h.Write(part)
}

// claim implements proxy.Claim for one submission of a request.
type claim struct {
	claims  *claims
	attempt *idempotency.Attempt
	// unreachable is true if the record group did not reply to a proposal.
	unreachable bool
}

// decide proposes the claim until it is granted or refused, a stored response is found, or claimTimeout or the deadline
// of the request has passed.
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
		return c.attempt.HandleProposalFailure(now)
	}
	return c.attempt.HandleResult(now, result)
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

// recordInBackground proposes the remaining commands of the attempt in the background until the record group has
// accepted them.
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
func (c *claim) Release() { c.endRun(idempotency.RunNotStarted, idempotency.StoredResponse{}) }

// Abandon implements proxy.Claim.
func (c *claim) Abandon() { c.endRun(idempotency.RunUnknown, idempotency.StoredResponse{}) }

func (c *claim) endRun(outcome idempotency.RunOutcome, response idempotency.StoredResponse) {
	c.recordInBackground(c.attempt.RunEnded(c.claims.clock(), outcome, response))
}

// Complete implements proxy.Claim. It reads the body of the response up to the size that a record stores before it
// returns, so that recording does not depend on how fast the caller reads. The returned response has the whole body:
// the part read and the rest. An error means that the response could not be read; it is a *proxy.Refusal.
func (c *claim) Complete(resp *proxy.Response) (*proxy.Response, error) {
	prefix, err := io.ReadAll(io.LimitReader(resp.Body, idempotency.MaxBodyBytes+1))
	if err != nil {
		resp.Body.Close()
		c.Abandon()
		refusal := refuse(http.StatusBadGateway, proxy.OutcomeUnknown, proxy.ReasonBrokenAnswer)
		refusal.Err = errors.Wrap(err, "read response")
		return nil, refusal
	}
	c.endRun(idempotency.RunCompleted, idempotency.StoredResponse{Status: resp.Status, Header: resp.Header, Body: prefix})
	resp.Body = &prefixedBody{Reader: io.MultiReader(bytes.NewReader(prefix), resp.Body), Closer: resp.Body}
	return resp, nil
}

type prefixedBody struct {
	io.Reader
	io.Closer
}

// storedResponse returns the recorded response of an earlier run of the request, or nil if there is none or its body
// was not stored.
func storedResponse(step idempotency.Step) *proxy.Response {
	if step.Reply != idempotency.ReplyStored || step.StoredResponse.BodyOmitted {
		return nil
	}
	header := step.StoredResponse.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	return &proxy.Response{
		Status:        step.StoredResponse.Status,
		Header:        header,
		Body:          io.NopCloser(bytes.NewReader(step.StoredResponse.Body)),
		ContentLength: int64(len(step.StoredResponse.Body)),
	}
}

// refusalFor returns the refusal for a step as a *proxy.Refusal, or nil if the step carries a stored response.
func refusalFor(step idempotency.Step) error {
	switch step.Reply {
	case idempotency.ReplyStored:
		if step.StoredResponse.BodyOmitted {
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

// drain waits until the outcomes of all claims are recorded or ctx ends.
func (c *claims) drain(ctx context.Context) {
	ticker := time.NewTicker(recordRetryInterval)
	defer ticker.Stop()
	for len(c.pending) > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			c.log.Warn().Int("claims", len(c.pending)).Msg("claims: stopped before all outcomes were recorded.")
			return
		}
	}
}
