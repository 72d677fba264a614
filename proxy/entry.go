package proxy

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net"
	"net/http"
	"path"
	"slices"
	"strings"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"rosemaryline.dev/admission"
	"rosemaryline.dev/fleet/config"
	"rosemaryline.dev/routing"
)

// Limiter takes requests from teams' rates.
type Limiter interface {
	// Take takes one request from the team's rate. It may wait a short time for tokens. Where it returns false the
	// request must not run, and retryAfter tells when a retry is worthwhile.
	Take(ctx context.Context, team string) (ok bool, retryAfter time.Duration)
}

// Admitter tells whether this process may admit requests on open routes.
type Admitter interface {
	MayAdmit() bool
}

// EntryOptions are the settings and collaborators of an Entry.
type EntryOptions struct {
	VM, Domain string
	Fleet      *Fleet
	Clock      Clock
	Log        *log.Logger
	Limiter    Limiter
	Admitter   Admitter
	Directory  Directory
	Gate       *Gate
	Peers      *PeerClient
	// Dialect reads callers' requests. Default: the project's own.
	Dialect Dialect
	// CallerService returns the service of the backend server on this VM. Default: none.
	CallerService func() string
	// RetryRatio is the share of requests that may be retries. Default routing.RetryRatio.
	RetryRatio float64
	// RetryReserve returns the retries of one service that are possible before any request earned them. Default
	// routing.RetryReserve.
	RetryReserve func() float64
	// HoldBody is the largest body in bytes that is held in memory, so that it can be sent again. Default 64 KiB.
	HoldBody int64
	// KeyedBody is the largest body in bytes of a request with an Idempotency-Key. Default 1 MiB.
	KeyedBody int64
}

// Defaults of EntryOptions.
const (
	DefaultHoldBody  = 64 << 10
	DefaultKeyedBody = 1 << 20
	// minRateRetry is the least time after which a caller over its team's rate is asked to return.
	minRateRetry = time.Second
	// maxIdempotencyKey bounds the length of an Idempotency-Key in bytes.
	maxIdempotencyKey = 256
)

// Entry accepts requests and chooses the VM that runs them.
type Entry struct {
	opts  EntryOptions
	route *router
	// ending is done when the requests that still wait must be answered.
	ending context.Context
	end    context.CancelFunc
}

// NewEntry returns an Entry.
func NewEntry(opts EntryOptions) *Entry {
	if opts.HoldBody <= 0 {
		opts.HoldBody = DefaultHoldBody
	}
	if opts.KeyedBody <= 0 {
		opts.KeyedBody = DefaultKeyedBody
	}
	if opts.RetryRatio <= 0 {
		opts.RetryRatio = routing.RetryRatio
	}
	if opts.RetryReserve == nil {
		opts.RetryReserve = func() float64 { return routing.RetryReserve }
	}
	if opts.Dialect == nil {
		opts.Dialect = ownDialect{}
	}
	if opts.CallerService == nil {
		opts.CallerService = func() string { return "" }
	}
	e := &Entry{opts: opts, route: newRouter(opts)}
	e.ending, e.end = context.WithCancel(context.Background())
	return e
}

// EndRequests ends the wait of all requests, so that each caller gets an answer before the process stops: one that
// certainly did not run is refused as not run.
func (e *Entry) EndRequests() { e.end() }

// Sweep drops what the entry remembers of gates without traffic.
func (e *Entry) Sweep() { e.route.loads.sweep(e.opts.Clock()) }

// Recovered tells that the backend server of a service on a VM is sound again.
func (e *Entry) Recovered(vm, service string) { e.route.recovered(vm, service) }

// Explain returns the VMs that host a service, as the routing policy sees them now, and the index of the one that it
// would choose, or -1.
func (e *Entry) Explain(service string) ([]routing.Candidate, int, routing.Reason) {
	return e.route.rank(e.opts.Directory.Hosts(service), service, nil)
}

// ServeHTTP serves the caller listener.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	caller := e.opts.Dialect.Caller(r)
	id := caller.ID
	if id == "" {
		id = newRequestID()
	}
	req, refusal := e.accept(r, id, caller)
	if refusal != nil {
		e.refuse(w, id, req, refusal)
		return
	}
	e.run(w, r, req)
}

// ServeNested serves internal routes on the local listener.
func (e *Entry) ServeNested(w http.ResponseWriter, r *http.Request) {
	id := newRequestID()
	caller, nested := e.opts.Gate.parent(r.Header.Get(HeaderRequestID))
	if nested {
		caller.enter()
		defer caller.leave()
	}
	req, refusal := e.acceptNested(r, id, caller)
	if refusal != nil {
		e.refuse(w, id, req, refusal)
		return
	}
	e.run(w, r, req)
}

// accept checks a caller's request: route, key, team and rate.
func (e *Entry) accept(r *http.Request, id string, caller Caller) (*Request, *Refusal) {
	route, refusal := e.match(r, config.AccessOpen, config.AccessPublic)
	if refusal != nil {
		return nil, refusal
	}
	req := e.newRequest(r, id, route)
	if route.Objective > 0 {
		req.Objective = time.Now().Add(route.Objective)
	}
	if caller.Remaining > 0 {
		req.Deadline = earlier(req.Deadline, time.Now().Add(caller.Remaining))
	}
	if !e.opts.Admitter.MayAdmit() {
		return req, notRun(http.StatusServiceUnavailable, ReasonIsolated, "accept")
	}
	if route.Access == config.AccessPublic {
		req.Call = true
		req.Priority = admission.BackendCallPriority(route.Priority)
		return req, e.readBody(r, req)
	}
	if refusal := e.authorise(req, route, caller); refusal != nil {
		return req, refusal
	}
	if refusal := e.readBody(r, req); refusal != nil {
		return req, refusal
	}
	return req, e.takeRate(r.Context(), req)
}

// authorise finds the team of a caller's key.
func (e *Entry) authorise(req *Request, route *routing.Route, caller Caller) *Refusal {
	if !caller.HasKey {
		return notRun(http.StatusUnauthorized, ReasonBadKey, "accept")
	}
	var ok bool
	req.Team, ok = e.opts.Fleet.TeamByKey(caller.Key)
	if !ok {
		return notRun(http.StatusUnauthorized, ReasonBadKey, "accept")
	}
	if !route.AllowsTeam(req.Team) {
		return notRun(http.StatusForbidden, ReasonForbidden, "accept")
	}
	if priority, ok := e.opts.Fleet.TeamPriority(req.Team); ok {
		req.Priority = admission.RequestPriority(priority)
	}
	return nil
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// match returns the route of a request. The target must be a path that means the same to every reader: one with dot or
// empty segments is refused where a backend server that resolves them would serve another route.
func (e *Entry) match(r *http.Request, access ...config.Access) (*routing.Route, *Refusal) {
	if e.opts.Fleet.Version() == 0 {
		return nil, notRun(http.StatusServiceUnavailable, ReasonNoState, "accept")
	}
	if r.Method == http.MethodConnect || !strings.HasPrefix(r.URL.Path, "/") || r.URL.Opaque != "" {
		return nil, notRun(http.StatusBadRequest, ReasonBadRequest, "accept")
	}
	host := hostOnly(r.Host)
	route, ok := e.opts.Fleet.Match(host, r.URL.Path)
	resolved := path.Clean(r.URL.Path)
	if resolved != r.URL.Path {
		if other, found := e.opts.Fleet.Match(host, resolved); found != ok || other != route {
			return nil, notRun(http.StatusBadRequest, ReasonBadRequest, "accept")
		}
	}
	if !ok || !slices.Contains(access, route.Access) {
		return nil, notRun(http.StatusNotFound, ReasonNoRoute, "accept")
	}
	return route, nil
}

func (e *Entry) takeRate(ctx context.Context, req *Request) *Refusal {
	if e.opts.Fleet.TeamUnlimited(req.Team) {
		return nil
	}
	ok, retryAfter := e.opts.Limiter.Take(ctx, req.Team)
	if ok {
		return nil
	}
	refusal := notRun(http.StatusTooManyRequests, ReasonOverRate, "rate")
	refusal.RetryAfter = max(retryAfter, minRateRetry)
	return refusal
}

// acceptNested checks a call of a backend server on this VM. Team, depth and deadline come from the running request
// that the call is made for, never from headers; a call without one (nil) is new internal work without a team.
func (e *Entry) acceptNested(r *http.Request, id string, caller *parent) (*Request, *Refusal) {
	route, refusal := e.match(r, config.AccessInternal)
	if refusal != nil {
		return nil, refusal
	}
	req := e.newRequest(r, id, route)
	if caller != nil {
		req.Team = caller.team
		req.Depth = caller.depth + 1
		req.Deadline = earlier(req.Deadline, caller.deadline)
	}
	return req, e.readBody(r, req)
}

func (e *Entry) newRequest(r *http.Request, id string, route *routing.Route) *Request {
	return &Request{
		ID:             id,
		Entry:          e.opts.VM,
		Service:        e.route.pickService(route),
		Route:          route.Name,
		CallerService:  e.opts.CallerService(),
		Priority:       admission.RequestPriority(route.Priority),
		MaxAttempts:    route.MaxAttempts,
		ConfigVersion:  e.opts.Fleet.Version(),
		Repeatable:     route.Repeatable(r.Method),
		IdempotencyKey: r.Header.Get(HeaderIdempotencyKey),
		Deadline:       time.Now().Add(route.Deadline),
		Method:         r.Method,
		URI:            r.URL.RequestURI(),
		Host:           r.Host,
		Header:         requestHeaders(r.Header, e.opts.Dialect),
	}
}

// readBody takes over the body. A body that fits into memory is read before the request takes a slot, so that a slow
// sender does not hold one.
func (e *Entry) readBody(r *http.Request, req *Request) *Refusal {
	if keys := r.Header[HeaderIdempotencyKey]; len(keys) > 1 || len(keys) == 1 && keys[0] == "" || len(req.IdempotencyKey) > maxIdempotencyKey {
		return notRun(http.StatusBadRequest, ReasonBadRequest, "read body")
	}
	body, err := NewBody(r.Body, r.ContentLength, e.opts.HoldBody)
	if err == nil && req.IdempotencyKey != "" {
		// The whole body is needed to tell whether a resubmission is the same request.
		err = body.Hold(e.opts.KeyedBody)
	} else if err == nil {
		err = body.Prefetch(e.opts.HoldBody)
	}
	req.Body = body
	switch {
	case err == nil:
		return nil
	case errors.Is(err, ErrBodyTooLarge):
		return notRun(http.StatusRequestEntityTooLarge, ReasonBodyTooLarge, "read body")
	default:
		refusal := notRun(http.StatusBadRequest, ReasonBadRequest, "read body")
		refusal.Err = err
		return refusal
	}
}

// run routes the request and writes its answer.
func (e *Entry) run(w http.ResponseWriter, r *http.Request, req *Request) {
	// The gate lets a request that may not be repeated go on once it was sent; before that, a caller that left takes the
	// request out of the queue.
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(e.ending, cancel)()
	resp, err := e.route.run(ctx, req)
	if req.Call && (err != nil || resp.Status >= http.StatusInternalServerError) {
		e.opts.Gate.CallFailed()
	}
	if err != nil {
		e.refuse(w, req.ID, req, asRefusal(err))
		return
	}
	defer resp.Body.Close()
	countAnswer(resp.Status)
	copyHeader(w.Header(), resp.Header)
	e.opts.Dialect.ToCaller(w.Header(), req.ID)
	writeBody(w, req.Method, resp)
}

func (e *Entry) refuse(w http.ResponseWriter, id string, req *Request, refusal *Refusal) {
	entry := e.opts.Log.Info().Str("request", id).Str("reason", string(refusal.Reason)).
		Str("outcome", string(refusal.Outcome)).Str("step", refusal.Step).Str("peer", refusal.Peer).
		Int("status", refusal.Status).Dur("retryAfter", refusal.RetryAfter)
	if req != nil {
		entry = entry.Uint64("version", req.ConfigVersion).Str("team", req.Team).Str("route", req.Route).Str("service", req.Service)
	}
	entry.Err(refusal.Err).Msg("entry: refused request.")
	countRefusal(refusal)
	writeRefusal(w, e.opts.Dialect, id, refusal)
}

// bearerKey returns the key of an Authorization header. Exactly one header is accepted, so that no two processes can
// read different keys from one request.
func bearerKey(h http.Header) (string, bool) {
	values := h["Authorization"]
	if len(values) != 1 {
		return "", false
	}
	scheme, key, ok := strings.Cut(values[0], " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return "", false
	}
	key = strings.Trim(key, " \t")
	return key, key != ""
}

func hostOnly(hostport string) string {
	host, _, err := net.SplitHostPort(hostport)
	if err != nil {
		return hostport
	}
	return host
}

// newRequestID returns 16 random bytes in hex.
func newRequestID() string {
	var id [16]byte
	// crypto/rand.Read never fails.
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}
