package proxy

import (
	"bytes"
	"context"
	"io"
	"net/http"
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
	given := time.Until(req.Deadline)
	resp, gaveUp, err := g.sendWatched(ctx, cancel, req, held)
	var told BackendAnswer
	var body []byte
	whole := false
	if err == nil {
		told = g.opts.Dialect.FromBackend(resp)
		body, whole, err = bufferBody(resp.Body)
	}
	latency := g.opts.Clock() - began
	inTime := timer.Stop()
	if err == nil && (told.NotRun || told.OtherInstance) {
		resp.Body.Close()
		cancel()
		g.untrack(req)
		tracked.end(admission.Overloaded)
		held.release(latency, admission.Overloaded)
		return nil, g.declined(req, held, resp, told)
	}
	if err != nil {
		if resp != nil {
			resp.Body.Close()
		}
		callerGone := req.Body.senderFault(!inTime) || ctx.Err() != nil && callerCtx.Err() != nil && inTime
		cancel()
		g.untrack(req)
		result := admission.Failed
		if callerGone || gaveUp {
			result = admission.Cancelled
		}
		var failed *sendError
		if errors.As(err, &failed) && failed.local {
			result = admission.Cancelled
		}
		if !inTime && latency < held.server.patience(req, given) {
			// The deadline was too near to tell anything about the backend server.
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
	if result == admission.Failed && (g.callFailedSince(began) || resp.StatusCode == http.StatusGatewayTimeout && latency < held.server.patience(req, given)) {
		result = admission.Cancelled
	}
	nested := tracked.end(result)
	release := func(whole bool) {
		g.untrack(req)
		if !whole {
			result = admission.Failed
		}
		held.release(latency-nested, result)
	}
	if whole {
		// The backend server is done with the request.
		resp.Body.Close()
		release(true)
		cancel()
		return g.bufferedResponse(resp, body, held, latency, req), nil
	}
	rest := &prefixedBody{Reader: io.MultiReader(bytes.NewReader(body), resp.Body), Closer: resp.Body}
	return g.response(resp, newAnswerBody(rest, cancel, release), resp.ContentLength, held, latency, req), nil
}

// maxBufferedAnswer is the largest answer in bytes that is read to its end before any of it is passed on, so that one that
// breaks off can be replaced by an answer of another attempt or by an honest failure.
const maxBufferedAnswer = 64 << 10

// bufferBody reads a body of up to maxBufferedAnswer bytes. whole is false where more follows.
func bufferBody(body io.Reader) (data []byte, whole bool, err error) {
	data, err = io.ReadAll(io.LimitReader(body, maxBufferedAnswer+1))
	if err != nil {
		return nil, false, &sendError{sent: true, err: errors.Wrap(err, "read answer body")}
	}
	return data, len(data) <= maxBufferedAnswer, nil
}

// prefixedBody is a body of which the first bytes were read already.
type prefixedBody struct {
	io.Reader
	io.Closer
}

// bufferedResponse is the response with a body that was read to its end.
func (g *Gate) bufferedResponse(resp *http.Response, body []byte, held *slot, latency time.Duration, req *Request) *Response {
	length := int64(len(body))
	if req.Method == http.MethodHead {
		length = resp.ContentLength
	}
	return g.response(resp, io.NopCloser(bytes.NewReader(body)), length, held, latency, req)
}

func (g *Gate) response(resp *http.Response, body io.ReadCloser, length int64, held *slot, latency time.Duration, req *Request) *Response {
	return &Response{
		Status:        resp.StatusCode,
		Header:        answerHeaders(resp.Header),
		Body:          body,
		ContentLength: length,
		Server:        held.server.name,
		Timing:        Timing{Queue: held.wait, Backend: latency},
		Load:          g.Load(req.Service),
	}
}

// declined is the refusal of a request that the backend server did not begin.
func (g *Gate) declined(req *Request, held *slot, resp *http.Response, told BackendAnswer) *Refusal {
	reason := ReasonShed
	if told.OtherInstance {
		reason = ReasonOtherInstance
		held.server.markLost()
		g.opts.Log.Warn().Str("request", req.ID).Str("server", held.server.name).Str("instance", held.server.newest().Instance).
			Msg("gate: another instance has the address.")
	}
	refusal := notRun(http.StatusServiceUnavailable, reason, "run")
	refusal.Reached = true
	refusal.Err = errors.Errorf("backend server answered %d", resp.StatusCode)
	return refusal
}

// sendWatched sends the request. One that may be repeated is given up when its backend server is ejected meanwhile.
func (g *Gate) sendWatched(ctx context.Context, cancel context.CancelFunc, req *Request, held *slot) (resp *http.Response, gaveUp bool, err error) {
	watched := held.server.watch(cancel, req)
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
		return nil, &sendError{local: true, err: errors.Errorf("request target %q is no path", req.URI)}
	}
	out, err := http.NewRequestWithContext(ctx, req.Method, "http://"+held.server.currentAddress()+req.URI, nil)
	if err != nil {
		return nil, &sendError{local: true, err: errors.Wrap(err, "request target")}
	}
	out.Host = req.Host
	out.Header = req.Header.Clone()
	withoutUserAgent(out.Header)
	g.opts.Dialect.ToBackend(out.Header, BackendRequest{
		ID: req.ID, Team: req.Team, CallerService: req.CallerService,
		Instance: held.server.newest().Instance, Remaining: time.Until(req.Deadline),
	})
	if err := req.Body.HoldShort(maxHeldAtGate); err != nil {
		return nil, &sendError{local: true, err: errors.Wrap(err, "read body")}
	}
	if err := attachBody(ctx, cancel, out, req); err != nil {
		return nil, &sendError{local: true, err: err}
	}
	return held.server.client.do(out, func(resp *http.Response) error {
		// Backend servers need not echo the id, but one that does must echo this one.
		if got := g.opts.Dialect.FromBackend(resp).ID; got != "" {
			return checkAnswerID(got, req.ID)
		}
		return nil
	})
}

// maxHeldAtGate is the largest body in bytes that a gate reads to its end before it sends the request.
const maxHeldAtGate = DefaultHoldBody

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
