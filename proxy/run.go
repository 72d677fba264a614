package proxy

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"rosemaryline.dev/admission"
)

// runHeld claims the idempotency key where there is one and sends the request. It owns the slot.
func (g *Gate) runHeld(ctx context.Context, req *Request, held *slot) (*Response, error) {
	if req.IdempotencyKey == "" {
		return g.send(ctx, req, held)
	}
	began := g.opts.Clock()
	claim, earlier, err := g.opts.Claimer.Claim(ctx, req)
	if err != nil || earlier != nil {
		held.release(0, admission.Cancelled)
		return g.keyedAnswer(req, held, began, earlier, err)
	}
	resp, err := g.send(ctx, req, held)
	if err == nil {
		resp, err = claim.Keep(resp)
		return g.keyedAnswer(req, held, began, resp, err)
	}
	if asRefusal(err).Outcome == OutcomeNotRun {
		claim.Release()
	} else {
		claim.Lose()
	}
	return nil, err
}

// keyedAnswer completes the answer to a request with an idempotency key. The time for the claim and the record counts as
// the backend server's, because an entry would take it for a slow path otherwise.
func (g *Gate) keyedAnswer(req *Request, held *slot, began time.Duration, resp *Response, err error) (*Response, error) {
	if err != nil || resp == nil {
		return nil, err
	}
	resp.Load = g.Load(req.Service)
	resp.Timing = Timing{Queue: held.wait, Backend: g.opts.Clock() - began}
	return resp, nil
}

// send sends the request to the backend server once.
func (g *Gate) send(callerCtx context.Context, req *Request, held *slot) (*Response, error) {
	ctx, cancel := g.runContext(callerCtx, req)
	timer := time.AfterFunc(g.responseTime(req), cancel)
	tracked := g.track(req, held.server.name)
	began := g.opts.Clock()
	resp, gaveUp, err := g.sendWatched(ctx, cancel, req, held)
	latency := g.opts.Clock() - began
	inTime := timer.Stop()
	if err != nil {
		callerGone := req.Body.senderFault(!inTime) || ctx.Err() != nil && callerCtx.Err() != nil && inTime
		cancel()
		g.untrack(req)
		result := admission.Failed
		if callerGone || gaveUp {
			result = admission.Cancelled
		}
		nested := tracked.end(result)
		held.release(latency-nested, result)
		refusal := sendRefusal(err, inTime, callerGone)
		if gaveUp {
			refusal.Reason = ReasonEjected
		}
		return nil, refusal
	}
	result := statusResult(resp.StatusCode)
	nested := tracked.end(result)
	release := func(whole bool) {
		g.untrack(req)
		if !whole {
			result = admission.Failed
		}
		held.release(latency-nested, result)
	}
	return &Response{
		Status:        resp.StatusCode,
		Header:        answerHeaders(resp.Header),
		Body:          newAnswerBody(resp.Body, cancel, release),
		ContentLength: resp.ContentLength,
		Server:        held.server.name,
		Timing:        Timing{Queue: held.wait, Backend: latency},
		Load:          g.Load(req.Service),
	}, nil
}

// sendWatched sends the request. One that may be repeated is given up when its backend server is ejected meanwhile.
func (g *Gate) sendWatched(ctx context.Context, cancel context.CancelFunc, req *Request, held *slot) (resp *http.Response, gaveUp bool, err error) {
	if !req.Repeatable {
		resp, err = g.roundTrip(ctx, cancel, req, held)
		return resp, false, err
	}
	watched := held.server.watch(cancel)
	resp, err = g.roundTrip(ctx, cancel, req, held)
	gaveUp = held.server.unwatch(watched)
	if gaveUp && err == nil {
		// The answer came at the same moment; its body can no longer be read.
		resp.Body.Close()
		return nil, true, &sendError{sent: true, err: context.Canceled}
	}
	return resp, gaveUp, err
}

// responseTime is the time that the backend server has for the answer's headers.
func (g *Gate) responseTime(req *Request) time.Duration {
	remaining := time.Until(req.Deadline)
	settings, ok := g.opts.Fleet.Service(req.Service)
	if !ok || settings.ResponseTimeout == 0 {
		return remaining
	}
	return min(remaining, settings.ResponseTimeout.Std())
}

// runContext returns the context of the running request. A request that may not be repeated goes on when its caller
// leaves, because stopping it half-way would leave its effect unknown.
func (g *Gate) runContext(ctx context.Context, req *Request) (context.Context, context.CancelFunc) {
	if req.Repeatable {
		return context.WithCancel(ctx)
	}
	return context.WithCancel(context.WithoutCancel(ctx))
}

func (g *Gate) roundTrip(ctx context.Context, cancel func(), req *Request, held *slot) (*http.Response, error) {
	if !strings.HasPrefix(req.URI, "/") {
		// The target would become part of the address.
		return nil, &sendError{err: errors.Errorf("request target %q is no path", req.URI)}
	}
	out, err := http.NewRequestWithContext(ctx, req.Method, "http://"+held.server.currentAddress()+req.URI, nil)
	if err != nil {
		return nil, &sendError{err: errors.Wrap(err, "request target")}
	}
	out.Host = req.Host
	out.Header = req.Header.Clone()
	out.Header.Set(HeaderRequestID, req.ID)
	out.Header.Set(HeaderTeam, req.Team)
	out.Header.Set(HeaderDeadline, strconv.FormatInt(time.Until(req.Deadline).Milliseconds(), 10))
	if err := attachBody(ctx, cancel, out, req); err != nil {
		return nil, &sendError{err: err}
	}
	return held.server.client.do(out, func(resp *http.Response) error {
		// Backend servers need not echo the id, but one that does must echo this one.
		if got := resp.Header.Get(HeaderRequestID); got != "" && got != req.ID {
			return errors.Wrapf(errWrongAnswer, "id %q", got)
		}
		return nil
	})
}

func statusResult(status int) admission.Result {
	switch {
	case status == http.StatusServiceUnavailable, status == http.StatusTooManyRequests:
		return admission.Overloaded
	case status >= http.StatusInternalServerError:
		return admission.Failed
	default:
		return admission.Succeeded
	}
}

// sendRefusal maps an error of a send to a truthful refusal.
func sendRefusal(err error, inTime, callerGone bool) *Refusal {
	refusal := notRun(http.StatusServiceUnavailable, ReasonUnreachable, "connect")
	var failed *sendError
	if errors.As(err, &failed) && failed.sent {
		refusal = unknown(http.StatusBadGateway, ReasonBrokenAnswer, "run")
	}
	if errors.Is(err, errWrongAnswer) {
		refusal.Reason = ReasonWrongAnswer
	}
	if !inTime {
		refusal.Status = http.StatusGatewayTimeout
		refusal.Reason = ReasonDeadline
	}
	if callerGone {
		refusal.Reason = ReasonCallerGone
	}
	refusal.Err = err
	return refusal
}
