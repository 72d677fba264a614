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
	// maxPeerConns bounds the connections to one peer's gate.
	maxPeerConns = 512
	// maxIdlePeerConns bounds the idle connections to one peer's gate.
	maxIdlePeerConns = 64
	// gateAnswerGrace is how long after the deadline an entry waits for the gate's own answer. The gate knows whether
	// the request ran; without the grace the entry gives up first, cannot tell, and takes the path for broken.
	gateAnswerGrace = 50 * time.Millisecond
	// pathSilence is the time within which a gate shows that it has a request. It leaves room for one retransmission.
	pathSilence = 500 * time.Millisecond
)

// PeerClient sends requests to gates on other VMs.
type PeerClient struct {
	client *client
	scheme string
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

// SetDial replaces the function that opens connections to peers. It is called before the first request.
func (c *PeerClient) SetDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) {
	c.client.open = dial
}

// Gate returns a Runner for the gate at address.
func (c *PeerClient) Gate(address string) Runner {
	return &remoteGate{client: c, address: address}
}

// Close closes idle connections.
func (c *PeerClient) Close() { c.client.closeIdle() }

type remoteGate struct {
	client  *PeerClient
	address string
}

// Run sends the request to the gate and maps the gate's refusals.
func (g *remoteGate) Run(ctx context.Context, req *Request) (*Response, error) {
	runCtx, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(time.Until(req.Deadline)+gateAnswerGrace, cancel)
	resp, err := g.send(runCtx, cancel, req)
	headersInTime := timer.Stop()
	if err != nil {
		cancel()
		refusal := g.refuse(err, headersInTime)
		if ctx.Err() != nil || req.Body.senderFault(!headersInTime) {
			refusal.Reason = ReasonCallerGone
		}
		return nil, refusal
	}
	if refusal := g.gateRefusal(resp); refusal != nil {
		cancel()
		resp.Body.Close()
		return nil, refusal
	}
	return g.response(resp, cancel), nil
}

func (g *remoteGate) send(ctx context.Context, cancel func(), req *Request) (*http.Response, error) {
	out, err := http.NewRequestWithContext(ctx, req.Method, g.client.scheme+"://"+g.address+GatePath, nil)
	if err != nil {
		return nil, &sendError{err: err}
	}
	out.Header = req.Header.Clone()
	withoutUserAgent(out.Header)
	// A request that may not be repeated is complete at the gate only after the gate asked for its body, so that a path
	// that is cut in one direction loses no request. One with an idempotency key is protected by its claim.
	confirm := !req.Repeatable && req.IdempotencyKey == ""
	if confirm || !req.Body.held {
		// The gate can refuse before a long body is sent, which keeps the body for another attempt.
		out.Header.Set("Expect", "100-continue")
	}
	setGateHeaders(out.Header, req)
	if err := attachBody(ctx, cancel, out, req); err != nil {
		return nil, &sendError{err: err}
	}
	if confirm {
		withUnknownLength(out)
	}
	return g.client.client.exchange(out, exchangeOptions{
		check:       func(resp *http.Response) error { return checkAnswerID(resp.Header.Get(HeaderRequestID), req.ID) },
		confirm:     confirm,
		firstAnswer: pathSilence,
	})
}

// withoutUserAgent keeps net/http from adding a User-Agent of its own to a request that came without one.
func withoutUserAgent(h http.Header) {
	if _, ok := h["User-Agent"]; !ok {
		h.Set("User-Agent", "")
	}
}

// withUnknownLength sends a body in chunks, also an empty one.
func withUnknownLength(out *http.Request) {
	if out.Body == nil {
		out.Body = io.NopCloser(strings.NewReader(""))
	}
	out.ContentLength = -1
	out.TransferEncoding = []string{"chunked"}
}

func checkAnswerID(got, want string) error {
	if got != want {
		return errors.Wrapf(errWrongAnswer, "id %q", got)
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
	h.Set(headerURI, req.URI)
	h.Set(headerHost, req.Host)
	if req.IdempotencyKey != "" {
		h.Set(HeaderIdempotencyKey, req.IdempotencyKey)
	}
}

func (g *remoteGate) refuse(err error, headersInTime bool) *Refusal {
	var failed *sendError
	refusal := notRun(http.StatusServiceUnavailable, ReasonUnreachable, "forward")
	if errors.As(err, &failed) && failed.sent {
		refusal = unknown(http.StatusBadGateway, ReasonBrokenAnswer, "forward")
	}
	if errors.Is(err, errWrongAnswer) {
		refusal.Reason = ReasonWrongAnswer
	}
	if errors.Is(err, errSilent) {
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

// gateRefusal returns the refusal that the gate answered with, or nil.
func (g *remoteGate) gateRefusal(resp *http.Response) *Refusal {
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
	if millis, err := strconv.Atoi(resp.Header.Get(headerRetryAfterMs)); err == nil {
		refusal.RetryAfter = time.Duration(millis) * time.Millisecond
	}
	return refusal
}

func (g *remoteGate) response(resp *http.Response, cancel context.CancelFunc) *Response {
	load, _ := parseLoad(resp.Header.Get(headerLoad))
	return &Response{
		Status:        resp.StatusCode,
		Header:        answerHeaders(resp.Header),
		Body:          newAnswerBody(resp.Body, cancel, func(bool) {}),
		ContentLength: resp.ContentLength,
		Server:        resp.Header.Get(headerServer),
		Timing: Timing{
			Queue:   parseMicros(resp.Header.Get(headerQueue)),
			Backend: parseMicros(resp.Header.Get(headerBackend)),
		},
		Load: load,
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

func parseMicros(text string) time.Duration {
	v, err := strconv.ParseInt(text, 10, 64)
	if err != nil || v < 0 || v > maxDeadline.Microseconds() {
		return 0
	}
	return time.Duration(v) * time.Microsecond
}

func formatMicros(d time.Duration) string {
	return strconv.FormatInt(d.Microseconds(), 10)
}
