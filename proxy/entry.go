package proxy

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"rosemaryline.dev/admission"
	"rosemaryline.dev/fleet/config"
	"rosemaryline.dev/routing"
)

// Limiter enforces the rate limits of teams.
type Limiter interface {
	// Take takes one request from the team's rate limit. It may wait up to maxWait for tokens. If ok is false, the
	// request must not run, and retryAfter is the time after which a retry may succeed.
	Take(ctx context.Context, team string, maxWait time.Duration) (ok bool, retryAfter time.Duration)
}

// Admitter reports whether this process has permission to admit new requests. A process that is cut off from the fleet
// has none.
type Admitter interface {
	MayAdmit() bool
}

// EntryOptions are the settings and dependencies of an Entry.
type EntryOptions struct {
	// VM and Domain are the VM and the failure domain of this process.
	VM, Domain string
	Fleet      *Fleet
	Clock      Clock
	Log        *log.Logger
	Limiter    Limiter
	Admitter   Admitter
	Directory  Directory
	Gate       *Gate
	Peers      *PeerClient
	// Dialect reads the requests of callers. Default: bearer keys and headers with HeaderPrefix.
	Dialect Dialect
	// CallerService returns the service of the backend server on this VM. Default: always empty.
	CallerService func() string
	// RetryRatio is the number of retries that each request allows in the retry budget of its service. Default
	// routing.RetryRatio.
	RetryRatio float64
	// RetryReserve returns the number of retries of a service in a window (routing.RetryWindow) without requests. Default
	// routing.RetryReserve.
	RetryReserve func() float64
	// MaxBufferedBody is the size in bytes up to which a body is buffered, so that it can be sent again. Default 64
	// KiB.
	MaxBufferedBody int64
	// MaxKeyedBody is the largest allowed body in bytes of a request with an Idempotency-Key. Default 1 MiB.
	MaxKeyedBody int64
	// Bytes limits the bytes of bodies that the process holds. Default: no limit.
	Bytes *ByteBudget
	// Shares refuses new requests over the share of their team of a service that is short of capacity. Default: none are.
	Shares *Shares
	// Reports passes reports of gates on between processes. Default: they are not passed on.
	Reports *ReportExchange
}

// Defaults of EntryOptions.
const (
	DefaultMaxBufferedBody = 64 << 10
	DefaultMaxKeyedBody    = 1 << 20
	// minRateRetryAfter is the minimum Retry-After for a team that exceeds its rate.
	minRateRetryAfter = time.Second
	// stateWait is the time after the start of the process in which requests wait for the first fleet state. It takes the
	// election of a control leader if all processes were restarted, and some round trips otherwise. Later requests are
	// refused at once, and it is their Retry-After.
	stateWait = time.Second
	// hostCheckInterval is the time between two checks whether a VM hosts a service.
	hostCheckInterval = 20 * time.Millisecond
	// maxIdempotencyKeyBytes limits the length of an Idempotency-Key.
	maxIdempotencyKeyBytes = 256
)

// Entry accepts requests and chooses the VM that runs them.
type Entry struct {
	opts   EntryOptions
	router *router
	// startedAt is when the process started, on its clock.
	startedAt time.Duration
	// stopCtx is cancelled when the requests that still wait must be refused because the process stops.
	stopCtx    context.Context
	stopCancel context.CancelFunc
}

// NewEntry returns an Entry.
func NewEntry(opts EntryOptions) *Entry {
	if opts.MaxBufferedBody <= 0 {
		opts.MaxBufferedBody = DefaultMaxBufferedBody
	}
	if opts.MaxKeyedBody <= 0 {
		opts.MaxKeyedBody = DefaultMaxKeyedBody
	}
	if opts.RetryRatio <= 0 {
		opts.RetryRatio = routing.RetryRatio
	}
	if opts.RetryReserve == nil {
		opts.RetryReserve = func() float64 { return routing.RetryReserve }
	}
	if opts.Dialect == nil {
		opts.Dialect = defaultDialect{}
	}
	if opts.CallerService == nil {
		opts.CallerService = func() string { return "" }
	}
	e := &Entry{opts: opts, router: newRouter(opts), startedAt: opts.Clock()}
	if opts.Reports != nil {
		opts.Reports.onReports = e.router.receiveReports
	}
	e.stopCtx, e.stopCancel = context.WithCancel(context.Background())
	return e
}

// EndRequests ends the wait of all requests, so that each caller gets a response before the process stops. Requests
// that no backend server started are refused with the outcome not-run.
func (e *Entry) EndRequests() { e.stopCancel() }

// Sweep drops the load reports of gates without traffic and updates the share of the retry reserve.
func (e *Entry) Sweep() {
	e.router.loads.sweep(e.opts.Clock())
	e.router.work.sweep(e.opts.Clock())
	e.opts.Reports.sweep()
	e.router.updateReserves()
}

// MarkRecovered records that the backend server of a service on a VM is healthy again.
func (e *Entry) MarkRecovered(vm, service string) { e.router.markRecovered(vm, service) }

// Explain returns the VMs that host a service as the routing policy sees them now, the index of the VM that the policy
// would choose (-1 if none), and the reason for the choice.
func (e *Entry) Explain(service string) ([]routing.Candidate, int, routing.Reason) {
	hosts, _ := e.router.explainHosts(service, e.opts.Directory.Hosts(service))
	return e.router.rank(hosts, service, "", nil)
}

// ServeHTTP serves the caller listener.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	caller := e.opts.Dialect.Caller(r)
	id := caller.ID
	if id == "" {
		id = newRequestID()
	}
	r, endReads := watchSender(w, r)
	defer endReads()
	req, refusal := e.accept(r, id, caller)
	defer req.releaseBody()
	if refusal == nil {
		refusal = e.opts.Shares.admit(req)
	}
	if refusal != nil {
		e.refuse(w, id, req, refusal)
		return
	}
	e.run(w, r, req)
}

// Repeatable reports whether a caller's request may run more than once; false if it has no route.
func (e *Entry) Repeatable(r *http.Request) bool {
	route, refusal := e.match(r, config.AccessOpen, config.AccessPublic)
	return refusal == nil && route.Repeatable(r.Method)
}

// ServeNested serves internal routes on the local listener.
func (e *Entry) ServeNested(w http.ResponseWriter, r *http.Request) {
	id := newRequestID()
	parent, nested := e.opts.Gate.parentByID(r.Header.Get(HeaderRequestID))
	if nested {
		parent.beginNested()
		defer parent.endNested()
	}
	r, endReads := watchSender(w, r)
	defer endReads()
	req, refusal := e.acceptNested(r, id, parent)
	defer req.releaseBody()
	if refusal == nil {
		refusal = e.opts.Shares.admit(req)
	}
	if refusal != nil {
		e.refuse(w, id, req, refusal)
		return
	}
	e.run(w, r, req)
}

// accept checks the route, key, team and rate of a caller's request.
func (e *Entry) accept(r *http.Request, id string, caller Caller) (*Request, *Refusal) {
	arrived := time.Now()
	e.awaitState(r.Context())
	route, refusal := e.match(r, config.AccessOpen, config.AccessPublic)
	if refusal != nil {
		return nil, refusal
	}
	req := e.newRequest(r, id, route, arrived)
	e.awaitHost(r.Context(), req.Service)
	if route.Objective > 0 {
		req.Objective = arrived.Add(route.Objective)
	}
	if caller.Remaining > 0 {
		req.BodyDeadline = arrived.Add(caller.Remaining)
		req.Deadline = minTime(req.Deadline, req.BodyDeadline)
	}
	if !e.opts.Admitter.MayAdmit() {
		return req, notRunRefusal(http.StatusServiceUnavailable, ReasonIsolated, "accept")
	}
	if route.Access == config.AccessPublic {
		req.BackendCall = true
		req.Priority = admission.BackendCallPriority(route.Priority)
		if e.router.isAdaptive(req.Service) {
			// A late call still serves the run that waits for it, so only its deadline counts.
			req.Objective = time.Time{}
		}
		return req, e.readBody(r, req)
	}
	if refusal := e.authorise(req, route, caller); refusal != nil {
		return req, refusal
	}
	if refusal := e.readBody(r, req); refusal != nil {
		return req, refusal
	}
	return req, e.applyRateLimit(r.Context(), req)
}

// authorise finds the team of the caller's key and checks that the route allows it.
func (e *Entry) authorise(req *Request, route *routing.Route, caller Caller) *Refusal {
	if !caller.HasKey {
		return notRunRefusal(http.StatusUnauthorized, ReasonBadKey, "accept")
	}
	var ok bool
	req.Team, ok = e.opts.Fleet.TeamByKey(caller.Key)
	if !ok {
		return notRunRefusal(http.StatusUnauthorized, ReasonBadKey, "accept")
	}
	if !route.AllowsTeam(req.Team) {
		return notRunRefusal(http.StatusForbidden, ReasonForbidden, "accept")
	}
	if priority, ok := e.opts.Fleet.TeamPriority(req.Team); ok {
		req.Priority = admission.RequestPriority(priority, route.Priority)
	}
	return nil
}

func minTime(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// awaitState waits for the first fleet state, if the process started less than stateWait ago.
func (e *Entry) awaitState(ctx context.Context) {
	if e.opts.Fleet.Version() > 0 {
		return
	}
	timer := time.NewTimer(e.startedAt + stateWait - e.opts.Clock())
	defer timer.Stop()
	select {
	case <-e.opts.Fleet.Known():
	case <-timer.C:
	case <-ctx.Done():
	case <-e.stopCtx.Done():
	}
}

// awaitHost waits for the first VM that hosts a service with an admitted version, if the process started less than stateWait ago. Gossip names the VMs
// a moment after the process has its state.
func (e *Entry) awaitHost(ctx context.Context, service string) {
	for len(e.router.admittedHosts(service, e.opts.Directory.Hosts(service))) == 0 {
		wait := min(e.startedAt+stateWait-e.opts.Clock(), hostCheckInterval)
		if wait <= 0 {
			return
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return
		case <-e.stopCtx.Done():
			return
		}
	}
}

// match returns the route of a request. The path is matched in its normalized form and forwarded as it is. It refuses a path that
// leads to another route once it is cleaned: a backend server that cleans paths itself would serve that other route.
func (e *Entry) match(r *http.Request, access ...config.Access) (*routing.Route, *Refusal) {
	if e.opts.Fleet.Version() == 0 {
		refusal := notRunRefusal(http.StatusServiceUnavailable, ReasonNoState, "accept")
		refusal.RetryAfter = stateWait
		return nil, refusal
	}
	if r.Method == http.MethodConnect || !strings.HasPrefix(r.URL.Path, "/") || r.URL.Opaque != "" {
		return nil, notRunRefusal(http.StatusBadRequest, ReasonBadRequest, "accept")
	}
	host := hostOnly(r.Host)
	path := config.NormalizeURLPath(r.URL)
	route, ok := e.opts.Fleet.Match(host, path)
	for _, cleaned := range alternativePaths(path, r.URL.Path) {
		if other, found := e.opts.Fleet.Match(host, cleaned); found != ok || other != route {
			return nil, notRunRefusal(http.StatusBadRequest, ReasonBadRequest, "accept")
		}
	}
	if !ok || !slices.Contains(access, route.Access) {
		return nil, notRunRefusal(http.StatusNotFound, ReasonNoRoute, "accept")
	}
	return route, nil
}

func (e *Entry) applyRateLimit(ctx context.Context, req *Request) *Refusal {
	if e.opts.Fleet.TeamUnlimited(req.Team) {
		return nil
	}
	ok, retryAfter := e.opts.Limiter.Take(ctx, req.Team, rateWait(time.Until(req.Objective)))
	if ok {
		return nil
	}
	refusal := notRunRefusal(http.StatusTooManyRequests, ReasonOverRate, "rate")
	refusal.RetryAfter = max(retryAfter, minRateRetryAfter)
	return refusal
}

const (
	// minRateWait and maxRateWait limit how long a request waits for a token of its team's rate. The lower limit covers
	// some round trips between failure domains, the upper one a connection to an owner that must first be opened.
	minRateWait = 100 * time.Millisecond
	maxRateWait = 400 * time.Millisecond
	// rateWaitShare is the share of the time to a request's objective that it may wait for a token: 1/8.
	rateWaitShare = 8
)

// rateWait returns how long a request with the given time to its objective waits for a token. In a fleet of hundreds of
// entries most requests of a team meet an entry that holds no token of it, and often the first message to an owner
// needs a new connection. A refusal inside the rate costs the caller more than that wait.
func rateWait(toObjective time.Duration) time.Duration {
	return min(max(toObjective/rateWaitShare, minRateWait), maxRateWait)
}

// acceptNested checks a call from a backend server on this VM. Team, depth and deadline come from parent, the running
// request that the call is made for, and never from headers. If parent is nil, the call is new internal work without a
// team.
func (e *Entry) acceptNested(r *http.Request, id string, parent *parentRequest) (*Request, *Refusal) {
	arrived := time.Now()
	e.awaitState(r.Context())
	route, refusal := e.match(r, config.AccessInternal)
	if refusal != nil {
		return nil, refusal
	}
	req := e.newRequest(r, id, route, arrived)
	e.awaitHost(r.Context(), req.Service)
	if parent != nil {
		req.Team = parent.team
		req.Depth = parent.depth + 1
		req.Deadline = minTime(req.Deadline, parent.deadline)
	}
	return req, e.readBody(r, req)
}

func (e *Entry) newRequest(r *http.Request, id string, route *routing.Route, arrived time.Time) *Request {
	return &Request{
		ID:             id,
		Entry:          e.opts.VM,
		Service:        e.router.pickService(route),
		Route:          route.Name,
		CallerService:  e.opts.CallerService(),
		Priority:       admission.RequestPriority(route.Priority, route.Priority),
		MaxAttempts:    route.MaxAttempts,
		ConfigVersion:  e.opts.Fleet.Version(),
		Repeatable:     route.Repeatable(r.Method),
		IdempotencyKey: r.Header.Get(HeaderIdempotencyKey),
		Deadline:       arrived.Add(route.Deadline),
		Method:         r.Method,
		URI:            requestTarget(r.URL),
		Host:           r.Host,
		Header:         requestHeaders(r.Header, e.opts.Dialect),
	}
}

// readBody reads the body. A body that fits into memory is read before the request takes a slot, so that a slow sender
// does not hold a slot.
func (e *Entry) readBody(r *http.Request, req *Request) *Refusal {
	if keys := r.Header[HeaderIdempotencyKey]; len(keys) > 1 || len(keys) == 1 && keys[0] == "" || len(req.IdempotencyKey) > maxIdempotencyKeyBytes {
		return notRunRefusal(http.StatusBadRequest, ReasonBadRequest, "read body")
	}
	keyed := req.IdempotencyKey != ""
	charge, refusal := e.opts.Bytes.reserveBody(r.Context(), requestBytes(r.ContentLength, e.opts.MaxBufferedBody, keyed, e.opts.MaxKeyedBody), "read body")
	if refusal != nil {
		return refusal
	}
	limitReads(r.Body, req.Deadline)
	body, err := NewBody(r.Body, r.ContentLength, e.opts.MaxBufferedBody)
	if err == nil && keyed {
		// The claim compares the whole body with that of an earlier request with the same key.
		err = body.Buffer(e.opts.MaxKeyedBody)
	} else if err == nil {
		err = body.Prefetch(e.opts.MaxBufferedBody)
	}
	req.Body = body
	if err == nil {
		limitReads(r.Body, time.Time{})
		body.hold(charge)
		return nil
	}
	charge.free()
	switch {
	case isStall(err):
		return stallRefusal(r.Body, err, "read body")
	case errors.Is(err, ErrBodyTooLarge):
		return notRunRefusal(http.StatusRequestEntityTooLarge, ReasonBodyTooLarge, "read body")
	default:
		refusal := notRunRefusal(http.StatusBadRequest, ReasonBadRequest, "read body")
		refusal.Err = err
		return refusal
	}
}

// run routes the request and writes the response.
func (e *Entry) run(w http.ResponseWriter, r *http.Request, req *Request) {
	// If the caller leaves, a request that waits in a queue is removed from it. The gate lets a request that was
	// already sent and may not be repeated continue.
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(e.stopCtx, cancel)()
	resp, err := e.router.run(ctx, req)
	if req.BackendCall && (err != nil || resp.Status >= http.StatusInternalServerError) {
		e.opts.Gate.RecordCallFailure()
	}
	if err != nil {
		e.refuse(w, req.ID, req, asRefusal(err))
		return
	}
	defer resp.Body.Close()
	if !r.ProtoAtLeast(1, 1) {
		defer resetOnAbort(w)
	}
	countResponse(resp.Status)
	copyHeader(w.Header(), resp.Header)
	e.opts.Dialect.ToCaller(w.Header(), req.ID)
	writeBody(w, req.Method, resp, e.opts.Bytes)
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

// bearerKey returns the key of the Authorization header. It accepts exactly one such header, so that two processes
// cannot read different keys from one request.
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
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}
