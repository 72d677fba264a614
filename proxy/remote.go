package proxy

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	// GatePath is where the peer listener accepts requests from entries.
	GatePath = "/v1/run"
	// maxPeerConns limits the connections to the gate of one peer.
	maxPeerConns = 512
	// maxIdlePeerConns limits the idle connections to the gate of one peer.
	maxIdlePeerConns = 64
	// gateResponseGrace is how long after the deadline an entry still waits for the gate's own response. Only the gate
	// knows whether the request ran. Without the grace period the entry would time out first, would not know the
	// outcome, and would count the timeout as a failure of the network path.
	gateResponseGrace = 50 * time.Millisecond
	// firstResponseTimeout is the time within which a gate must confirm that a request arrived. It allows for one TCP
	// retransmission.
	firstResponseTimeout = 500 * time.Millisecond
)

// PeerClient sends requests to gates on other VMs.
type PeerClient struct {
	client *client
	scheme string
	// reports passes reports of gates on between processes; nil if they are not passed on.
	reports *ReportExchange
}

// NewPeerClient returns a client. tlsConfig is nil for plain connections.
func NewPeerClient(tlsConfig *tls.Config) *PeerClient {
	scheme := "http"
	if tlsConfig != nil {
		scheme = "https"
	}
	return &PeerClient{
		client: newClient(maxPeerConns, maxIdlePeerConns, defaultConnectTimeout, tlsConfig),
		scheme: scheme,
	}
}

// SetDial replaces the function that opens connections to peers. It must be called before the first request.
func (c *PeerClient) SetDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) {
	c.client.dialer = dial
}

// SetReports sets what passes reports of gates on between processes. It must be called before the first request.
func (c *PeerClient) SetReports(x *ReportExchange) { c.reports = x }

// Gate returns a Runner for the gate of a VM at address.
func (c *PeerClient) Gate(vm, address string) Runner {
	return &remoteGate{client: c, vm: vm, address: address}
}

// Close closes idle connections.
func (c *PeerClient) Close() { c.client.closeIdle() }

type remoteGate struct {
	client  *PeerClient
	vm      string
	address string
}

// Run sends the request to the gate and converts the gate's refusals to errors of type *Refusal.
func (g *remoteGate) Run(ctx context.Context, req *Request) (*Response, error) {
	runCtx, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(time.Until(req.Deadline)+gateResponseGrace, cancel)
	resp, err := g.send(runCtx, cancel, req)
	headersInTime := timer.Stop()
	if err != nil {
		cancel()
		refusal := g.errorRefusal(err, headersInTime)
		if ctx.Err() != nil || req.Body.senderFault(!headersInTime) {
			refusal.Reason = ReasonCallerGone
		}
		return nil, refusal
	}
	reported := g.client.reports.receive(resp.Header, req.Service, g.vm)
	if refusal := g.parseRefusal(resp); refusal != nil {
		refusal.Reported = reported
		cancel()
		resp.Body.Close()
		return nil, refusal
	}
	return g.parseResponse(req, resp, cancel), nil
}

func (g *remoteGate) send(ctx context.Context, cancel func(), req *Request) (*http.Response, error) {
	out, err := http.NewRequestWithContext(ctx, req.Method, g.client.scheme+"://"+g.address+GatePath, nil)
	if err != nil {
		return nil, &sendError{err: err}
	}
	out.Header = req.Header.Clone()
	suppressUserAgent(out.Header)
	// The body of a request that may not be repeated is sent only after the gate asked for it. If the path fails in one
	// direction, the gate therefore never has a complete request, and the request certainly did not run. A request with
	// an idempotency key is protected by its claim instead.
	requireContinue := !req.Repeatable && req.IdempotencyKey == ""
	if requireContinue || !req.Body.buffered {
		// The gate can refuse before a long body is sent. The body then remains available for another attempt.
		out.Header.Set("Expect", "100-continue")
	}
	setGateHeaders(out.Header, req)
	g.client.reports.attach(out.Header, req.Service, g.vm)
	if err := attachBody(ctx, cancel, out, req); err != nil {
		return nil, &sendError{err: err}
	}
	if requireContinue {
		if length := req.Body.Length(); length >= 0 {
			out.Header.Set(headerBodyLength, strconv.FormatInt(length, 10))
		}
		forceChunked(out)
	}
	return g.client.client.exchange(out, exchangeOptions{
		check:                func(resp *http.Response) error { return checkResponseID(resp.Header.Get(HeaderRequestID), req.ID) },
		requireContinue:      requireContinue,
		firstResponseTimeout: firstResponseTimeout,
	})
}

// suppressUserAgent prevents net/http from adding its own User-Agent to a request without one.
func suppressUserAgent(h http.Header) {
	if _, ok := h["User-Agent"]; !ok {
		h.Set("User-Agent", "")
	}
}

// forceChunked sends the body with chunked encoding, even if it is empty.
func forceChunked(out *http.Request) {
	if out.Body == nil {
		out.Body = io.NopCloser(strings.NewReader(""))
	}
	out.ContentLength = -1
	out.TransferEncoding = []string{"chunked"}
}

func checkResponseID(got, want string) error {
	if got != want {
		return errors.Wrapf(errWrongResponse, "response ID %q", got)
	}
	return nil
}

func setGateHeaders(h http.Header, req *Request) {
	h.Set(HeaderRequestID, req.ID)
	h.Set(headerEntry, req.Entry)
	h.Set(headerService, req.Service)
	h.Set(HeaderTeam, req.Team)
	h.Set(headerRoute, req.Route)
	h.Set(headerDepth, strconv.Itoa(req.Depth))
	h.Set(headerConfigVersion, strconv.FormatUint(req.ConfigVersion, 10))
	h.Set(headerRepeatable, strconv.FormatBool(req.Repeatable))
	h.Set(HeaderDeadline, strconv.FormatInt(time.Until(req.Deadline).Milliseconds(), 10))
	if req.CallerService != "" {
		h.Set(headerCaller, req.CallerService)
	}
	if req.Priority != 0 {
		h.Set(headerPriority, strconv.Itoa(req.Priority))
	}
	if !req.Objective.IsZero() {
		h.Set(headerObjective, strconv.FormatInt(time.Until(req.Objective).Milliseconds(), 10))
	}
	if req.MayFail {
		h.Set(headerMayFail, "true")
	}
	if req.Forced {
		h.Set(headerForced, "true")
	}
	if req.Repeat != RepeatNone {
		h.Set(headerRepeat, string(req.Repeat))
	}
	if req.Pressed {
		h.Set(headerPressed, "true")
	}
	if req.NoWait {
		h.Set(headerNoWait, "true")
	}
	h.Set(headerURI, req.URI)
	h.Set(headerHost, req.Host)
	if req.IdempotencyKey != "" {
		h.Set(HeaderIdempotencyKey, req.IdempotencyKey)
	}
}

// errorRefusal converts an error from sending a request to a gate into a refusal with the right outcome.
func (g *remoteGate) errorRefusal(err error, headersInTime bool) *Refusal {
	var failed *sendError
	refusal := notRunRefusal(http.StatusServiceUnavailable, ReasonUnreachable, "forward")
	if errors.As(err, &failed) && failed.sent {
		refusal = unknownRefusal(http.StatusBadGateway, ReasonBrokenAnswer, "forward")
	}
	if errors.Is(err, errWrongResponse) {
		refusal.Reason = ReasonWrongAnswer
	}
	if errors.Is(err, errNoFirstResponse) {
		refusal.Reason = ReasonPathSilent
	}
	if !headersInTime {
		refusal.Status = http.StatusGatewayTimeout
		refusal.Reason = ReasonDeadline
	}
	refusal.Peer = g.address
	refusal.Err = err
	return refusal
}

// parseRefusal returns the refusal in the gate's response, or nil if the response comes from a backend server.
func (g *remoteGate) parseRefusal(resp *http.Response) *Refusal {
	outcome := Outcome(resp.Header.Get(HeaderOutcome))
	if outcome == "" {
		return nil
	}
	if outcome != OutcomeNotRun {
		outcome = OutcomeUnknown
	}
	refusal := &Refusal{
		Status:  resp.StatusCode,
		Outcome: outcome,
		Reason:  Reason(resp.Header.Get(headerReason)),
		Step:    "gate",
		Peer:    g.address,
		Reached: outcome == OutcomeUnknown || resp.Header.Get(headerReached) != "",
	}
	if load, ok := parseLoad(resp.Header.Get(headerLoad)); ok {
		refusal.Load = &load
	}
	refusal.Work = parseWork(resp.Header[headerWork])
	refusal.RetryAfter = parseMillis(resp.Header.Get(headerRetryAfterMs))
	refusal.TrialIn = parseMillis(resp.Header.Get(headerTrialInMs))
	return refusal
}

func (g *remoteGate) parseResponse(req *Request, resp *http.Response, cancel context.CancelFunc) *Response {
	load, _ := parseLoad(resp.Header.Get(headerLoad))
	return &Response{
		Status:        resp.StatusCode,
		Header:        responseHeaders(resp.Header),
		Body:          newResponseBody(resp.Body, req.BodyDeadline, cancel, func(bool) {}),
		ContentLength: resp.ContentLength,
		Server:        resp.Header.Get(headerServer),
		Timing: Timing{
			Queue:   parseMicros(resp.Header.Get(headerQueue)),
			Backend: parseMicros(resp.Header.Get(headerBackend)),
		},
		Load: load,
		Work: parseWork(resp.Header[headerWork]),
	}
}

func formatLoad(l Load) string {
	return fmt.Sprintf("%d/%d/%d", l.InFlight, l.Slots, l.Queued)
}

func parseLoad(text string) (Load, bool) {
	parts := strings.Split(text, "/")
	if len(parts) != 3 {
		return Load{}, false
	}
	var values [3]int
	for i, part := range parts {
		v, err := strconv.Atoi(part)
		if err != nil || v < 0 {
			return Load{}, false
		}
		values[i] = v
	}
	return Load{InFlight: values[0], Slots: values[1], Queued: values[2]}, true
}

// parseMillis returns 0 for a text that is no number, and for a negative one.
func parseMillis(text string) time.Duration {
	v, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0
	}
	return max(peerMillis(v), 0)
}

func parseMicros(text string) time.Duration {
	v, err := strconv.ParseInt(text, 10, 64)
	if err != nil || v < 0 || v > maxPeerDeadline.Microseconds() {
		return 0
	}
	return time.Duration(v) * time.Microsecond
}

func formatMicros(d time.Duration) string {
	return strconv.FormatInt(d.Microseconds(), 10)
}
