package proxy

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"rosemaryline.dev/admission"
)

// runHeld claims the idempotency key where there is one and sends the request. It owns the slot.
func (g *Gate) runHeld(ctx context.Context, req *Request, held *slot) (*Response, error) {
	if req.IdempotencyKey == "" {
		return g.send(ctx, req, held)
	}
	claim, earlier, err := g.opts.Claimer.Claim(ctx, req)
	if err != nil || earlier != nil {
		held.release(0, admission.Cancelled)
		return earlier, err
	}
	resp, err := g.send(ctx, req, held)
	if err == nil {
		return claim.Keep(resp)
	}
	if asRefusal(err).Outcome == OutcomeNotRun {
		claim.Release()
	} else {
		claim.Lose()
	}
	return nil, err
}

// send sends the request to the backend server once.
func (g *Gate) send(ctx context.Context, req *Request, held *slot) (*Response, error) {
	ctx, cancel := g.runContext(ctx, req)
	timer := time.AfterFunc(g.responseTime(req), cancel)
	untrack := g.track(req)
	observe := g.opts.Observer.Begin(held.server.name)
	began := g.opts.Clock()
	resp, err := g.roundTrip(ctx, req, held)
	latency := g.opts.Clock() - began
	inTime := timer.Stop()
	if err != nil {
		cancel()
		untrack()
		result := failureResult(err, inTime, ctx)
		observe(result)
		held.release(latency, result)
		return nil, sendRefusal(err, inTime)
	}
	result := statusResult(resp.StatusCode)
	observe(result)
	release := func(whole bool) {
		untrack()
		if !whole {
			result = admission.Failed
		}
		held.release(latency, result)
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

func (g *Gate) roundTrip(ctx context.Context, req *Request, held *slot) (*http.Response, error) {
	out, err := http.NewRequestWithContext(ctx, req.Method, "http://"+held.address+req.URI, nil)
	if err != nil {
		return nil, &sendError{err: errors.Wrap(err, "request target")}
	}
	out.Host = req.Host
	out.Header = req.Header.Clone()
	out.Header.Set(HeaderRequestID, req.ID)
	out.Header.Set(HeaderTeam, req.Team)
	out.Header.Set(HeaderDeadline, strconv.FormatInt(time.Until(req.Deadline).Milliseconds(), 10))
	if err := attachBody(ctx, out, req); err != nil {
		return nil, &sendError{err: err}
	}
	return roundTrip(held.server.transport, out)
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

// failureResult blames the backend server unless the caller left first.
func failureResult(err error, inTime bool, ctx context.Context) admission.Result {
	if inTime && errors.Is(err, context.Canceled) && ctx.Err() != nil {
		return admission.Cancelled
	}
	return admission.Failed
}

// sendRefusal maps an error of a send to a truthful refusal.
func sendRefusal(err error, inTime bool) *Refusal {
	refusal := notRun(http.StatusServiceUnavailable, ReasonUnreachable, "connect")
	var failed *sendError
	if errors.As(err, &failed) && failed.sent {
		refusal = unknown(http.StatusBadGateway, ReasonBrokenAnswer, "run")
	}
	if !inTime {
		refusal.Status = http.StatusGatewayTimeout
		refusal.Reason = ReasonDeadline
	}
	refusal.Err = err
	return refusal
}
