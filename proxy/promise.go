package proxy

import (
	"context"
	"net/http"

	"github.com/pkg/errors"
)

// impliesNotRun reports whether a status of the fleet's own is a promise to callers that the request did not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// mayRepeat reports whether the request may run more than once.
func (r *Request) mayRepeat() bool { return r.Repeatable && r.IdempotencyKey == "" }

// run routes a request. Errors are of type *Refusal. The outcome of a refusal is not-run, and a status that callers take as such
// a promise is returned for a request that may not be repeated, only if no attempt may have run.
func (r *router) run(ctx context.Context, req *Request) (*Response, error) {
	resp, err := r.runAttempts(ctx, req)
	if err != nil {
		return nil, err
	}
	if refusal := r.falsePromise(req, resp); refusal != nil {
		resp.Body.Close()
		return nil, refusal
	}
	return resp, nil
}

// falsePromise returns the refusal that takes the place of a response whose status callers would take as a promise that the
// request has not run; nil if the response may be passed on. A gate turns each response that a backend server marked as not run
// into a refusal, so a response that reaches the entry comes from a run. Nothing of it is kept: its headers and body belong to a
// status that the caller does not get.
func (r *router) falsePromise(req *Request, resp *Response) *Refusal {
	if req.mayRepeat() || !r.opts.Dialect.ImpliesNotRun(resp.Status) {
		return nil
	}
	refusal := unknownRefusal(http.StatusBadGateway, ReasonFailed, "run")
	refusal.Peer = resp.Server
	refusal.Err = errors.Errorf("backend server responded with status %d to a request that it began", resp.Status)
	return refusal
}
