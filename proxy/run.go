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

// runWithSlot claims the idempotency key, if the request has one, and sends the request. It releases the slot.
func (g *Gate) runWithSlot(ctx context.Context, req *Request, held *slot) (*Response, error) {
	if req.IdempotencyKey == "" {
		return g.send(ctx, req, held)
	}
	began := g.opts.Clock()
	claim, stored, err := g.opts.Claimer.Claim(ctx, req)
	if err != nil || stored != nil {
		held.release(0, admission.Cancelled)
		return g.completeKeyed(req, held, began, stored, err)
	}
	resp, err := g.send(ctx, req, held)
	if err == nil {
		resp, err = claim.Complete(resp)
		return g.completeKeyed(req, held, began, resp, err)
	}
	if asRefusal(err).Outcome == OutcomeNotRun {
		claim.Release()
	} else {
		claim.Abandon()
	}
	return nil, err
}

// completeKeyed sets the load and the timing of the response to a request with an idempotency key. The time for the
// claim and for recording the response counts as time of the backend server: an entry would otherwise attribute it to a
// slow network path.
func (g *Gate) completeKeyed(req *Request, held *slot, began time.Duration, resp *Response, err error) (*Response, error) {
	if err != nil || resp == nil {
		return nil, err
	}
	resp.Load = g.Load(req.Service)
	resp.Work = g.Work(req.Service, req.Route)
	resp.Timing = Timing{Queue: held.wait, Backend: g.opts.Clock() - began}
	return resp, nil
}

// send sends the request to the backend server once.
func (g *Gate) send(callerCtx context.Context, req *Request, held *slot) (*Response, error) {
	ctx, cancel := g.runContext(callerCtx, req)
	timer := time.AfterFunc(g.responseTimeout(req), cancel)
	tracked := g.track(req, held.server.name)
	began := g.opts.Clock()
	held.sentAt = began
	held.version.send(held.server.isCold(), held.server.isAtLoad())
	remaining := time.Until(req.Deadline)
	resp, cancelledForRetry, err := g.sendWatched(ctx, cancel, req, held)
	var info BackendResponse
	var body []byte
	var charge *byteCharge
	whole := false
	if err == nil {
		info = g.opts.Dialect.FromBackend(resp)
		body, whole, charge, err = bufferBody(resp, g.opts.Bytes)
	}
	latency := g.opts.Clock() - began
	inTime := timer.Stop()
	if err == nil && (info.NotRun || info.OtherInstance) {
		resp.Body.Close()
		charge.free()
		cancel()
		g.untrack(req)
		tracked.end(admission.Overloaded)
		held.version.end(admission.Overloaded, false, 0)
		held.release(latency, admission.Overloaded)
		return nil, g.declinedRefusal(req, held, resp, info)
	}
	if err != nil {
		if resp != nil {
			resp.Body.Close()
		}
		callerGone := req.Body.senderFault(!inTime) || ctx.Err() != nil && callerCtx.Err() != nil && inTime
		cancel()
		g.untrack(req)
		result := admission.Failed
		if callerGone || cancelledForRetry {
			result = admission.Cancelled
		}
		var failed *sendError
		if errors.As(err, &failed) && failed.local {
			result = admission.Cancelled
		}
		if !inTime && latency < held.server.overdueLimit(req, remaining) {
			// The deadline was too short to blame the backend server.
			result = admission.Cancelled
		}
		nested := tracked.end(result)
		held.version.end(result, true, latency-nested)
		held.release(latency-nested, result)
		refusal := backendRefusal(err, inTime, callerGone)
		if cancelledForRetry {
			refusal.Reason = ReasonEjected
		}
		return nil, refusal
	}
	result := g.responseResult(resp.StatusCode)
	if result == admission.Failed && (g.callFailedSince(began) || resp.StatusCode == http.StatusGatewayTimeout && latency < held.server.overdueLimit(req, remaining)) {
		result = admission.Cancelled
	}
	nested := tracked.end(result)
	slotHold := &streamSlot{request: req.ID, held: held, latency: latency - nested, result: result}
	stopWatch := func() bool { return true }
	release := func(whole bool) {
		stopWatch()
		g.untrack(req)
		switch {
		case !whole && callerCtx.Err() != nil:
			// The caller left and so ended the read.
			result = admission.Cancelled
		case !whole:
			result = admission.Failed
		}
		held.version.end(result, !whole, latency-nested)
		slotHold.end(result)
	}
	if whole {
		// The backend server has finished the request.
		resp.Body.Close()
		release(true)
		cancel()
		return g.bufferedResponse(resp, body, charge, held, latency, req), nil
	}
	// The backend server has responded. Where the caller leaves now, a body without end would hold the slot.
	stopWatch = context.AfterFunc(callerCtx, cancel)
	rest := &prefixedBody{Reader: io.MultiReader(bytes.NewReader(body), resp.Body), Closer: resp.Body}
	stream := newReadAheadBody(newResponseBody(rest, req.BodyDeadline, cancel, release), charge, req.BodyDeadline)
	stream.freeSlotAt(req.Deadline, slotHold.free)
	return g.response(resp, stream, resp.ContentLength, held, latency, req), nil
}

// maxBufferedResponse is the size in bytes up to which a response is read to its end before any of it is passed on. If
// such a response breaks off, the entry can still retry the request or report the failure to the caller.
const maxBufferedResponse = 64 << 10

// bufferBody reads the body of a response of up to maxBufferedResponse bytes, or less where the process has no room. whole is
// false if the body is longer. charge is what the data holds of the budget.
func bufferBody(resp *http.Response, budget *ByteBudget) (data []byte, whole bool, charge *byteCharge, err error) {
	limit := int64(maxBufferedResponse)
	if resp.ContentLength >= 0 {
		limit = min(limit, resp.ContentLength)
	}
	charge = budget.reserve(limit, nil)
	if charge == nil {
		limit = min(limit, smallBufferBytes)
		charge = &byteCharge{budget: budget}
		charge.take(limit)
	}
	data, err = io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		charge.free()
		return nil, false, nil, &sendError{sent: true, err: errors.Wrap(err, "read response body")}
	}
	whole = int64(len(data)) <= limit
	if whole {
		charge.shrink(int64(len(data)))
	}
	return data, whole, charge, nil
}

// prefixedBody is a body whose first bytes were already read.
type prefixedBody struct {
	io.Reader
	io.Closer
}

// bufferedResponse returns the response with a body that was read to its end.
func (g *Gate) bufferedResponse(resp *http.Response, body []byte, charge *byteCharge, held *slot, latency time.Duration, req *Request) *Response {
	length := int64(len(body))
	if req.Method == http.MethodHead {
		length = resp.ContentLength
	}
	stream := &chargedBody{ReadCloser: io.NopCloser(bytes.NewReader(body)), charge: charge}
	return g.response(resp, stream, length, held, latency, req)
}

func (g *Gate) response(resp *http.Response, body io.ReadCloser, length int64, held *slot, latency time.Duration, req *Request) *Response {
	return &Response{
		Status:        resp.StatusCode,
		Header:        responseHeaders(resp.Header),
		Body:          body,
		ContentLength: length,
		Server:        held.server.name,
		Timing:        Timing{Queue: held.wait, Backend: latency},
		Load:          g.Load(req.Service),
		Work:          g.Work(req.Service, req.Route),
	}
}

// declinedRefusal returns the refusal of a request that the backend server did not start, or that another instance got. Without
// the mark of a request that did not run, the other instance may have started it.
func (g *Gate) declinedRefusal(req *Request, held *slot, resp *http.Response, info BackendResponse) *Refusal {
	reason := ReasonShed
	if info.OtherInstance {
		reason = ReasonOtherInstance
		held.server.markLost()
		g.opts.Log.Warn().Str("request", req.ID).Str("server", held.server.name).Str("instance", held.server.newestAnnouncement().Instance).
			Msg("gate: another instance responded at the address of the backend server.")
	}
	refusal := notRunRefusal(http.StatusServiceUnavailable, reason, "run")
	if !info.NotRun {
		refusal = unknownRefusal(http.StatusBadGateway, reason, "run")
	}
	refusal.Reached = true
	refusal.Err = errors.Errorf("backend server responded with status %d", resp.StatusCode)
	return refusal
}

// sendWatched sends the request. A repeatable request is cancelled if its backend server is ejected in the meantime;
// cancelledForRetry is then true.
func (g *Gate) sendWatched(ctx context.Context, cancel context.CancelFunc, req *Request, held *slot) (resp *http.Response, cancelledForRetry bool, err error) {
	watched := held.server.watch(cancel, req)
	resp, err = g.roundTrip(ctx, cancel, req, held)
	cancelledForRetry = held.server.unwatch(watched)
	if cancelledForRetry && err == nil {
		// The response arrived as the request was cancelled, and its body can no longer be read.
		resp.Body.Close()
		return nil, true, &sendError{sent: true, err: context.Canceled}
	}
	return resp, cancelledForRetry, err
}

// responseTimeout is the time that the backend server has until the headers of its response must arrive.
func (g *Gate) responseTimeout(req *Request) time.Duration {
	remaining := time.Until(req.Deadline)
	settings, ok := g.opts.Fleet.Service(req.Service)
	if !ok || settings.ResponseTimeout == 0 {
		return remaining
	}
	return min(remaining, settings.ResponseTimeout.Std())
}

// runContext returns the context for running the request. A request that may not be repeated continues when its caller
// leaves, because stopping it halfway would leave its effect unknown.
func (g *Gate) runContext(ctx context.Context, req *Request) (context.Context, context.CancelFunc) {
	if req.Repeatable {
		return context.WithCancel(ctx)
	}
	return context.WithCancel(context.WithoutCancel(ctx))
}

func (g *Gate) roundTrip(ctx context.Context, cancel func(), req *Request, held *slot) (*http.Response, error) {
	if !strings.HasPrefix(req.URI, "/") {
		// The target would become part of the address.
		return nil, &sendError{local: true, err: errors.Errorf("request target %q is not a path", req.URI)}
	}
	out, err := http.NewRequestWithContext(ctx, req.Method, "http://"+held.server.currentAddress()+req.URI, nil)
	if err != nil {
		return nil, &sendError{local: true, err: errors.Wrap(err, "request target")}
	}
	out.Host = req.Host
	out.Header = req.Header.Clone()
	suppressUserAgent(out.Header)
	g.opts.Dialect.ToBackend(out.Header, BackendRequest{
		ID: req.ID, Team: req.Team, CallerService: req.CallerService,
		Instance: held.server.newestAnnouncement().Instance, Remaining: time.Until(req.Deadline),
	})
	if err := req.Body.BufferUpTo(maxBufferedAtGate); err != nil {
		return nil, &sendError{local: true, err: errors.Wrap(err, "read body")}
	}
	if err := attachBody(ctx, cancel, out, req); err != nil {
		return nil, &sendError{local: true, err: err}
	}
	return held.server.client.do(out, func(resp *http.Response) error {
		return checkBackendResponse(g.opts.Dialect.FromBackend(resp), req.ID)
	})
}

// checkBackendResponse rejects a response that belongs to another request. Backend servers need not return the request ID,
// but an ID that is returned must match. A refusal must have one: a faulty server may send an earlier refusal once more, and
// without an ID it would be taken for the refusal of a request that the server runs.
func checkBackendResponse(info BackendResponse, id string) error {
	if info.ID == "" && !info.NotRun && !info.OtherInstance {
		return nil
	}
	return checkResponseID(info.ID, id)
}

// maxBufferedAtGate is the size in bytes up to which a gate reads a request body to its end before it sends the
// request.
const maxBufferedAtGate = DefaultMaxBufferedBody

// responseResult returns the result of a run by the status of its response. Where a backend server marks the requests that it did
// not run, an unmarked status of this kind is a failure and not a sign of overload.
func (g *Gate) responseResult(status int) admission.Result {
	if g.opts.Dialect.ImpliesNotRun(status) {
		return admission.Failed
	}
	return statusResult(status)
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

// backendRefusal converts an error from sending a request to a backend server into a refusal with the right outcome.
func backendRefusal(err error, inTime, callerGone bool) *Refusal {
	refusal := notRunRefusal(http.StatusServiceUnavailable, ReasonUnreachable, "connect")
	var failed *sendError
	if errors.As(err, &failed) && failed.sent {
		refusal = unknownRefusal(http.StatusBadGateway, ReasonBrokenAnswer, "run")
	}
	if errors.Is(err, errWrongResponse) {
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
