package proxy

import (
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// maxPeerDeadline limits the deadline that a peer may request.
const maxPeerDeadline = 10 * time.Minute

// GateHandler serves the requests that entries forward to the gate of this VM.
type GateHandler struct {
	Gate Runner
	// MaxBufferedBody is the size in bytes up to which a body is read into memory before the request runs.
	MaxBufferedBody int64
	// MaxKeyedBody is the largest allowed body in bytes of a request with an Idempotency-Key. Such a body is always
	// read before the request runs, because the claim compares it with that of an earlier request. Default 1 MiB. It
	// must not be lower than EntryOptions.MaxKeyedBody of any entry.
	MaxKeyedBody int64
	// Bytes limits the bytes of bodies that the process holds. Default: no limit.
	Bytes *ByteBudget
	// Reports passes reports of gates on between processes. Default: they are not passed on.
	Reports *ReportExchange
}

// ServeHTTP runs one forwarded request.
func (h *GateHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// Notify the entry at once that the request arrived, because the response may take long.
	w.WriteHeader(http.StatusProcessing)
	r, endReads := watchSender(w, r)
	defer endReads()
	req, err := h.parse(r)
	defer req.releaseBody()
	if err != nil {
		var refusal *Refusal
		if !errors.As(err, &refusal) {
			refusal = notRunRefusal(http.StatusBadRequest, ReasonBadRequest, "parse")
			refusal.Err = err
		}
		h.logRefusal(req, refusal)
		writeGateRefusal(w, r.Header.Get(HeaderRequestID), refusal)
		return
	}
	h.Reports.receive(r.Header, req.Service, req.Entry)
	resp, err := h.Gate.Run(r.Context(), req)
	h.Reports.attach(w.Header(), req.Service, req.Entry)
	if err != nil {
		writeGateRefusal(w, req.ID, asRefusal(err))
		return
	}
	writeGateResponse(w, req, resp, h.Bytes)
}

func (h *GateHandler) parse(r *http.Request) (*Request, error) {
	remaining, err := strconv.ParseInt(r.Header.Get(HeaderDeadline), 10, 64)
	if err != nil {
		return nil, errors.Wrap(err, HeaderDeadline)
	}
	depth, err := strconv.Atoi(r.Header.Get(headerDepth))
	if err != nil {
		return nil, errors.Wrap(err, headerDepth)
	}
	version, err := strconv.ParseUint(r.Header.Get(headerConfigVersion), 10, 64)
	if err != nil {
		return nil, errors.Wrap(err, headerConfigVersion)
	}
	repeatable, err := strconv.ParseBool(r.Header.Get(headerRepeatable))
	if err != nil {
		return nil, errors.Wrap(err, headerRepeatable)
	}
	if depth < 0 {
		return nil, errors.Errorf("%s: %d is negative", headerDepth, depth)
	}
	priority, err := optionalInt(r.Header, headerPriority)
	if err != nil {
		return nil, err
	}
	objective, err := optionalInt(r.Header, headerObjective)
	if err != nil {
		return nil, err
	}
	req := &Request{
		ID:             r.Header.Get(HeaderRequestID),
		Entry:          r.Header.Get(headerEntry),
		Service:        r.Header.Get(headerService),
		Team:           r.Header.Get(HeaderTeam),
		Route:          r.Header.Get(headerRoute),
		Depth:          depth,
		CallerService:  r.Header.Get(headerCaller),
		Priority:       priority,
		MayFail:        r.Header.Get(headerMayFail) != "",
		Forced:         r.Header.Get(headerForced) != "",
		Repeat:         parseRepeat(r.Header.Get(headerRepeat)),
		Pressed:        r.Header.Get(headerPressed) != "",
		NoWait:         r.Header.Get(headerNoWait) != "",
		ConfigVersion:  version,
		Repeatable:     repeatable,
		IdempotencyKey: r.Header.Get(HeaderIdempotencyKey),
		Deadline:       time.Now().Add(peerMillis(remaining)),
		Method:         r.Method,
		URI:            r.Header.Get(headerURI),
		Host:           r.Header.Get(headerHost),
		Header:         forwardedHeaders(r.Header),
	}
	if objective != 0 {
		req.Objective = time.Now().Add(peerMillis(int64(objective)))
	}
	if req.ID == "" || req.Service == "" || req.URI == "" {
		return nil, errors.New("request id, service or URI is missing")
	}
	limitReads(r.Body, req.Deadline.Add(gateResponseGrace)) // the entry waits no longer
	req.Body, err = h.readBody(r)
	limitReads(r.Body, time.Time{})
	return req, err
}

// peerMillis converts milliseconds from a peer. The limits keep the result from overflowing.
func peerMillis(ms int64) time.Duration {
	limit := maxPeerDeadline.Milliseconds()
	return time.Duration(min(max(ms, -limit), limit)) * time.Millisecond
}

// optionalInt returns the integer value of a header, or 0 if the header is absent.
func optionalInt(h http.Header, name string) (int, error) {
	text := h.Get(name)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.Atoi(text)
	return n, errors.Wrap(err, name)
}

// readBody reserves the bytes of the body and reads it, unless the entry sends it only once the request holds a slot.
func (h *GateHandler) readBody(r *http.Request) (*Body, error) {
	length, declared, err := bodyLength(r)
	if err != nil {
		return nil, err
	}
	keyed := r.Header.Get(HeaderIdempotencyKey) != ""
	limit := h.MaxKeyedBody
	if limit <= 0 {
		limit = DefaultMaxKeyedBody
	}
	charge, refusal := h.Bytes.reserveBody(r.Context(), requestBytes(length, max(h.MaxBufferedBody, maxBufferedAtGate), keyed, limit), "gate")
	if refusal != nil {
		return nil, refusal
	}
	if r.Header.Get("Expect") != "" && !keyed {
		// The entry sends the body once the request holds a slot: the first read sends 100 Continue.
		body := NewDeferredBody(r.Body, r.ContentLength)
		body.declared, body.hasDeclared = length, declared
		body.hold(charge)
		return body, nil
	}
	body, err := NewBody(r.Body, r.ContentLength, h.MaxBufferedBody)
	if err == nil && keyed {
		err = body.Buffer(limit)
	}
	if err != nil {
		charge.free()
		return nil, gateBodyError(err)
	}
	body.hold(charge)
	return body, nil
}

// bodyLength returns the length of the body of a forwarded request, -1 where it is not known. declared is true where only
// headerBodyLength states it.
func bodyLength(r *http.Request) (length int64, declared bool, err error) {
	text := r.Header.Get(headerBodyLength)
	if text == "" {
		return r.ContentLength, false, nil
	}
	length, err = strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0, false, errors.Wrap(err, headerBodyLength)
	}
	if length < 0 || r.ContentLength >= 0 && r.ContentLength != length {
		return 0, false, errors.Errorf("%s: %d does not match Content-Length %d", headerBodyLength, length, r.ContentLength)
	}
	return length, r.ContentLength < 0, nil
}

func forwardedHeaders(from http.Header) http.Header {
	h := from.Clone()
	removeHopByHop(h)
	removeFleetHeaders(h)
	delete(h, "Expect")
	// Entries strip the key already. The gate does it again because no backend server may see a key.
	delete(h, "Authorization")
	return h
}

func asRefusal(err error) *Refusal {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	refusal = unknownRefusal(http.StatusBadGateway, ReasonBrokenAnswer, "run")
	refusal.Err = err
	return refusal
}

// writeGateRefusal writes a refusal to an entry. The entry reads only the headers.
func writeGateRefusal(w http.ResponseWriter, id string, r *Refusal) {
	h := w.Header()
	suppressDate(h)
	h.Set(headerReason, string(r.Reason))
	h.Set(HeaderOutcome, string(r.Outcome))
	if id != "" {
		h.Set(HeaderRequestID, id)
	}
	if r.Reached {
		h.Set(headerReached, "true")
	}
	if r.RetryAfter > 0 {
		h.Set(headerRetryAfterMs, strconv.FormatInt(r.RetryAfter.Milliseconds(), 10))
	}
	if isBreakerReason(r.Reason) {
		h.Set(headerTrialInMs, strconv.FormatInt(r.TrialIn.Milliseconds(), 10))
	}
	if r.Load != nil {
		h.Set(headerLoad, formatLoad(*r.Load))
	}
	if r.Work != nil {
		h.Set(headerWork, formatWork(*r.Work))
	}
	h.Set("Content-Length", "0")
	w.WriteHeader(r.Status)
}

// suppressDate prevents net/http from adding a Date header. No entry reads it, and it would add to the traffic between
// failure domains.
func suppressDate(h http.Header) {
	if _, ok := h["Date"]; !ok {
		h["Date"] = nil
	}
}

func writeGateResponse(w http.ResponseWriter, req *Request, resp *Response, budget *ByteBudget) {
	defer resp.Body.Close()
	h := w.Header()
	copyHeader(h, resp.Header)
	suppressDate(h)
	h.Set(HeaderRequestID, req.ID)
	h.Set(headerServer, resp.Server)
	h.Set(headerLoad, formatLoad(resp.Load))
	if resp.Work != nil {
		h.Set(headerWork, formatWork(*resp.Work))
	}
	h.Set(headerQueue, formatMicros(resp.Timing.Queue))
	h.Set(headerBackend, formatMicros(resp.Timing.Backend))
	writeBody(w, req.Method, resp, budget)
}
