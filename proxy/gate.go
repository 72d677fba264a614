package proxy

import (
	"context"
	"math"
	"net/http"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"rosemaryline.dev/admission"
	"rosemaryline.dev/routing"
)

// Claimer prevents a request with an idempotency key from running twice.
type Claimer interface {
	// Claim returns a claim that allows the request to run, or the stored response of the earlier request with the same
	// key. Errors are of type *Refusal.
	Claim(ctx context.Context, req *Request) (Claim, *Response, error)
}

// Claim is the permission to run one request with an idempotency key.
type Claim interface {
	// Release reports that the request did not run.
	Release()
	// Complete records the response and returns it with a body that can still be read. Errors are of type *Refusal.
	Complete(resp *Response) (*Response, error)
	// Abandon reports that the request may have run and that its response is lost.
	Abandon()
}

// Observer receives the results of requests to backend servers.
type Observer interface {
	// Added is called for each new backend server and for each new instance of one.
	Added(name, service string, slots int)
	// Removed is called when a backend server was removed.
	Removed(name string)
	// Begin is called when a request is sent.
	Begin(name string) Observation
}

// GateOptions are the settings and dependencies of a Gate.
type GateOptions struct {
	// VM and Domain are the VM and the failure domain of this process.
	VM, Domain string
	Fleet      *Fleet
	Clock      Clock
	Log        *log.Logger
	Claimer    Claimer
	Observer   Observer
	// Admitter reports whether new work may run here. A process that is cut off from the fleet cannot know whether its
	// failure domain was taken out of service. Nil always admits.
	Admitter Admitter
	// Dialect sets and reads the headers of backend servers. Default: headers with HeaderPrefix.
	Dialect Dialect
	// AnnouncementTTL is how long an announcement is valid without a renewal. Default 3 s.
	AnnouncementTTL time.Duration
	// AllowCloseDelimited accepts responses of backend servers whose end is marked by the end of the connection. By
	// default such a response is refused, because a truncated one looks the same when the backend server closes its
	// connections in an orderly way as it dies.
	AllowCloseDelimited bool
	// OnRecovered is called when a backend server is healthy again, with the VMs of the entries whose requests were
	// refused in the meantime. It must not block. Default: no call.
	OnRecovered func(service string, entries []string)
	// EntryLeaving reports whether the process of another VM is stopping gracefully. Its requests are not cancelled for a retry
	// elsewhere: the entry has little time left for one, and a late response is better than none. Default: never.
	EntryLeaving func(vm string) bool
	// RetryRatio is the number of repeats that each first attempt allows at this gate. Default: repeats are not limited here.
	RetryRatio float64
	// RetryReserve returns the number of repeats of a service at this gate in a window (routing.RetryWindow) without first
	// attempts. Default: 1.
	RetryReserve func(service string) float64
	// HoldUnknownServices keeps announcements for services that are not in the configuration yet, instead of refusing
	// them.
	HoldUnknownServices bool
	// Bytes limits the bytes of bodies that the process holds. Default: no limit.
	Bytes *ByteBudget
	// Shares counts the load for the division of capacity over the fleet. Default: it is not counted.
	Shares *Shares
}

// Gate is the only way to the backend servers on this VM.
type Gate struct {
	opts    GateOptions
	leaving atomic.Bool
	// stopBy is when requests must have ended because the process stops, in nanoseconds on its clock; 0 where it is not known.
	stopBy  atomic.Int64
	budgets gateBudgets
	// stoppingEntries has a lock of its own, which is taken last.
	stoppingEntries stoppingEntries
	// rollouts has a lock of its own, which is taken last.
	rollouts gateRollouts

	// wasOut is the status of the failure domain of this VM that domainOut saw last. domainMu guards changes.
	wasOut   atomic.Bool
	domainMu sync.Mutex

	mu      sync.Mutex // guards the fields below
	servers map[string]*server
	// serversByService holds the backend servers of each service, sorted by name. The empty key holds those of all
	// services.
	serversByService map[string][]*server
	// running holds the requests that backend servers are processing, by request ID.
	running map[string]*parentRequest
	// heldAnnouncements are the announcements of unknown services, by name of the backend server.
	heldAnnouncements map[string]Announcement
	// departures are the latest departures. A late announcement must not register a leaving instance again.
	departures departures
	// lastCallFailure is when a call of a backend server on this VM last failed.
	lastCallFailure time.Duration
}

// NewGate returns a Gate without backend servers.
func NewGate(opts GateOptions) *Gate {
	if opts.Dialect == nil {
		opts.Dialect = defaultDialect{}
	}
	if opts.AnnouncementTTL <= 0 {
		opts.AnnouncementTTL = announcementTTL
	}
	opts.Bytes = opts.Bytes.orUnlimited()
	if opts.EntryLeaving == nil {
		opts.EntryLeaving = func(string) bool { return false }
	}
	if opts.RetryReserve == nil {
		opts.RetryReserve = func(string) float64 { return 1 }
	}
	return &Gate{
		opts:              opts,
		budgets:           gateBudgets{ratio: opts.RetryRatio, reserve: opts.RetryReserve, byService: map[string]*routing.RetryBudget{}},
		servers:           map[string]*server{},
		running:           map[string]*parentRequest{},
		heldAnnouncements: map[string]Announcement{},
		lastCallFailure:   distantPast,
	}
}

// Announce adds a backend server or renews its announcement.
func (g *Gate) Announce(a Announcement, _ time.Time) error {
	g.domainOut() // before the announcement, which reports how long the backend server remains cold after a return
	settings, known := g.opts.Fleet.Service(a.Service)
	g.mu.Lock()
	defer g.mu.Unlock()
	outdated, returned := g.departures.isOutdated(&a, g.opts.Clock(), g.opts.AnnouncementTTL)
	if returned {
		g.opts.Log.Info().Str("server", a.Name).Str("instance", a.Instance).Int64("started", a.StartedMs).
			Msg("gate: an instance that left without a known start has started again.")
	}
	if outdated {
		g.opts.Log.Info().Str("server", a.Name).Str("instance", a.Instance).Uint64("sequence", a.Sequence).
			Int64("started", a.StartedMs).Msg("gate: ignored announcement of an instance that is leaving.")
		return nil
	}
	if !known {
		return g.holdAnnouncement(a)
	}
	delete(g.heldAnnouncements, a.Name)
	s, ok := g.servers[a.Name]
	if ok && s.hasNewerThan(&a) {
		g.opts.Log.Info().Str("server", a.Name).Str("instance", a.Instance).Uint64("sequence", a.Sequence).
			Int64("started", a.StartedMs).Msg("gate: ignored outdated announcement.")
		return nil
	}
	if ok && s.replacedBy(a, settings) {
		s.remove()
		g.opts.Observer.Removed(a.Name)
		ok = false
	}
	if ok && s.service != a.Service {
		return errors.Errorf("backend server %q belongs to service %q", a.Name, s.service)
	}
	if !ok && len(g.servers) >= maxBackendServers {
		return errors.Errorf("more than %d backend servers", maxBackendServers)
	}
	if !ok {
		s = newServer(a, settings, g.opts.Clock, g.opts.AnnouncementTTL, g.opts.Log)
		s.client.allowCloseDelimited = g.opts.AllowCloseDelimited
		s.onRecovered = g.opts.OnRecovered
		g.servers[a.Name] = s
		g.rebuildLists()
		g.opts.Log.Info().Str("server", a.Name).Str("service", a.Service).Str("instance", a.Instance).
			Msg("gate: backend server announced.")
	}
	if s.update(a, settings) {
		g.opts.Observer.Added(s.name, s.service, s.slots)
	}
	return nil
}

// holdAnnouncement keeps the announcement of a service that is not in the configuration. The caller holds mu.
func (g *Gate) holdAnnouncement(a Announcement) error {
	if !g.opts.HoldUnknownServices {
		return errors.Errorf("service %q is not in the configuration", a.Service)
	}
	previous, ok := g.heldAnnouncements[a.Name]
	if ok && a.supersededBy(&previous) {
		return nil
	}
	if !ok && len(g.heldAnnouncements) >= maxBackendServers {
		return errors.Errorf("more than %d backend servers", maxBackendServers)
	}
	g.heldAnnouncements[a.Name] = a
	return nil
}

// announceHeld announces the held backend servers whose service is now in the configuration.
func (g *Gate) announceHeld() {
	g.mu.Lock()
	var known []Announcement
	for name, a := range g.heldAnnouncements {
		if _, ok := g.opts.Fleet.Service(a.Service); ok {
			known = append(known, a)
			delete(g.heldAnnouncements, name)
		}
	}
	g.mu.Unlock()
	for _, a := range known {
		if err := g.Announce(a, time.Now()); err != nil {
			g.opts.Log.Warn().Err(err).Str("server", a.Name).Msg("gate: refused held announcement.")
		}
	}
}

// WithdrawInstance removes the backend server that runs the given instance. Later announcements of that instance are
// ignored. startedMs is the Unix time in milliseconds at which the instance started; 0 where it is not known. If no announcement
// of the instance is known either, the departure covers every start of the instance.
func (g *Gate) WithdrawInstance(instance string, startedMs int64) Departure {
	d := Departure{Instance: instance, StartedMs: startedMs, Through: math.MaxUint64}
	if startedMs == 0 {
		d.StartedMs = g.startOf(instance)
	}
	if d.startUnknown() {
		d.ID = g.departureID(instance)
	}
	g.Depart(d)
	return d
}

// departureID returns the ID of the departure without a known start that is in force for an instance, or a new one.
func (g *Gate) departureID(instance string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if d, ok := g.departures.withoutStart(instance); ok {
		return d.ID
	}
	return newRequestID()
}

// ReturnedAfter returns the departures without a known start after which an instance started again.
func (g *Gate) ReturnedAfter(instance string) []Departure {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.departures.returned(instance)
}

// startOf returns when the announced backend server that runs an instance started, or 0.
func (g *Gate) startOf(instance string) int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.servers {
		if a := s.newestAnnouncement(); a.Instance == instance {
			return a.StartedMs
		}
	}
	for _, a := range g.heldAnnouncements {
		if a.Instance == instance {
			return a.StartedMs
		}
	}
	return 0
}

// Depart removes the backend server that runs a leaving instance if its newest announcement is outdated, and ignores the
// outdated announcements from now on.
func (g *Gate) Depart(d Departure) {
	g.mu.Lock()
	var names []string
	for _, s := range g.servers {
		if a := s.newestAnnouncement(); d.covers(&a) {
			names = append(names, s.name)
		}
	}
	for name, a := range g.heldAnnouncements {
		if d.covers(&a) {
			delete(g.heldAnnouncements, name)
		}
	}
	g.departures.add(d)
	g.mu.Unlock()
	for _, name := range names {
		g.Withdraw(name)
	}
}

// Newest returns the newest announcement of a backend server; ok is false if there is none.
func (g *Gate) Newest(name string) (a Announcement, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s, ok := g.servers[name]; ok {
		return s.newestAnnouncement(), true
	}
	a, ok = g.heldAnnouncements[name]
	return a, ok
}

// Withdraw removes a backend server. Its running requests finish. Its queued requests are refused with the outcome
// not-run.
func (g *Gate) Withdraw(name string) {
	g.mu.Lock()
	s, ok := g.servers[name]
	delete(g.servers, name)
	g.rebuildLists()
	g.mu.Unlock()
	if !ok {
		return
	}
	s.remove()
	g.opts.Observer.Removed(name)
	g.opts.Log.Info().Str("server", name).Str("service", s.service).Msg("gate: backend server withdrawn.")
}

func (s *server) remove() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost = true
	s.applyState()
	s.client.closeIdle()
}

// Sweep marks backend servers whose announcement expired as lost, and removes them after lostRetention.
func (g *Gate) Sweep() {
	g.domainOut()
	g.announceHeld()
	for _, s := range g.serversOf("") {
		for _, age := range s.markOverdue(g.entryLeaving) {
			g.opts.Log.Info().Str("server", s.name).Str("service", s.service).Dur("age", age).
				Msg("gate: request is overdue.")
		}
		if s.retentionOver() {
			g.Withdraw(s.name)
			continue
		}
		if s.expire() {
			g.opts.Log.Warn().Str("server", s.name).Str("service", s.service).Msg("gate: announcement lapsed.")
		}
	}
}

// entryLeaving reports whether the process whose entry accepted a request is stopping gracefully.
func (g *Gate) entryLeaving(vm string) bool {
	if g.stoppingEntries.has(vm, g.opts.Clock()) {
		return true
	}
	if vm == g.opts.VM {
		return g.leaving.Load()
	}
	return g.opts.EntryLeaving(vm)
}

// SetEjected ejects a backend server or returns it to service.
func (g *Gate) SetEjected(name string, ejected bool) {
	g.mu.Lock()
	s, ok := g.servers[name]
	g.mu.Unlock()
	if ok && s.setEjected(ejected) {
		s.cancelRepeatable(g.entryLeaving)
	}
}

// serversOf returns the backend servers of a service sorted by name, or those of all services for an empty name. The
// slice is shared and must not be changed.
func (g *Gate) serversOf(service string) []*server {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.serversByService[service]
}

// rebuildLists rebuilds serversByService after a backend server was added or removed. The lists are not built per
// request because each request reads them several times. The caller holds mu.
func (g *Gate) rebuildLists() {
	names := make([]string, 0, len(g.servers))
	for name := range g.servers {
		names = append(names, name)
	}
	sort.Strings(names)
	g.serversByService = map[string][]*server{}
	for _, name := range names {
		s := g.servers[name]
		g.serversByService[""] = append(g.serversByService[""], s)
		g.serversByService[s.service] = append(g.serversByService[s.service], s)
	}
}

// Run runs a request on a backend server of this VM. Errors are of type *Refusal.
func (g *Gate) Run(ctx context.Context, req *Request) (*Response, error) {
	if refusal := g.checkVM(req); refusal != nil {
		return nil, refusal
	}
	s := g.leastLoaded(req.Service)
	if s == nil {
		return nil, g.completeRefusal(req, notRunRefusal(http.StatusServiceUnavailable, ReasonNoCapacity, "pick"), nil)
	}
	ticket, refusal := g.admitVersion(req, s)
	if refusal != nil {
		return nil, g.completeRefusal(req, refusal, s)
	}
	defer func() { ticket.abandon() }()
	done, refusal := g.reserveRepeat(req)
	if refusal != nil {
		return nil, g.completeRefusal(req, refusal, s)
	}
	held, reason := s.acquire(ctx, req, g.opts.Fleet.TeamRate(req.Team))
	if reason == admission.ReasonNone {
		reason = g.checkSlot(req, held)
	}
	if reason == admission.ReasonNone {
		ticket, refusal = g.admitAtSlot(req, s, ticket)
		if refusal != nil {
			done(false)
			held.release(0, admission.Cancelled)
			return nil, g.completeRefusal(req, refusal, s)
		}
		held.version = ticket
	}
	done(reason == admission.ReasonNone)
	if isBreakerReason(Reason(reason)) {
		return nil, g.completeRefusal(req, notRunRefusal(http.StatusServiceUnavailable, Reason(reason), "breaker"), s)
	}
	if reason != admission.ReasonNone {
		return nil, g.completeRefusal(req, admissionRefusal(reason), s)
	}
	resp, err := g.runWithSlot(ctx, req, held)
	if err != nil {
		return nil, g.completeRefusal(req, asRefusal(err), s)
	}
	g.opts.Shares.ran(req, resp.Timing.Backend)
	g.opts.Log.Info().Str("request", req.ID).Str("team", req.Team).Str("service", req.Service).
		Str("server", s.name).Int("status", resp.Status).Dur("queue", held.wait).Dur("took", resp.Timing.Backend).
		Bool("trial", held.trial).Bool("forced", req.Forced).Msg("gate: request answered.")
	return resp, nil
}

// checkVM refuses a request for reasons that apply to the whole VM. It returns nil if there is none.
func (g *Gate) checkVM(req *Request) *Refusal {
	if g.leaving.Load() && !req.LastResort {
		return g.completeRefusal(req, notRunRefusal(http.StatusServiceUnavailable, ReasonLeaving, "gate"), nil)
	}
	if g.domainOut() {
		return g.completeRefusal(req, notRunRefusal(http.StatusServiceUnavailable, ReasonDomainOut, "gate"), nil)
	}
	if req.Depth == 0 && g.opts.Admitter != nil && !g.opts.Admitter.MayAdmit() {
		return g.completeRefusal(req, notRunRefusal(http.StatusServiceUnavailable, ReasonIsolated, "gate"), nil)
	}
	return nil
}

// completeRefusal adds the load to a refusal and logs it. If s is not nil, it also adds the backend server and the
// delay before a retry.
func (g *Gate) completeRefusal(req *Request, r *Refusal, s *server) *Refusal {
	load := g.Load(req.Service)
	g.opts.Shares.refused(req.Service, r.Reason)
	r.Load = &load
	r.Work = g.Work(req.Service, req.Route)
	entry := g.opts.Log.Info().Str("request", req.ID).Str("team", req.Team).Str("service", req.Service).
		Str("reason", string(r.Reason)).Str("outcome", string(r.Outcome)).Int("inFlight", load.InFlight).
		Int("slots", load.Slots).Int("queued", load.Queued).Uint64("version", req.ConfigVersion)
	if s != nil {
		entry = entry.Str("server", s.name).Float64("score", s.score())
		r.Peer = s.name
		if isCapacityReason(r.Reason) && r.RetryAfter == 0 {
			r.RetryAfter = s.retryAfter()
		}
		if isBreakerReason(r.Reason) {
			r.TrialIn = s.trialIn()
		}
	}
	entry.Err(r.Err).Msg("gate: refused request.")
	return r
}

// isCapacityReason reports whether a request was refused for lack of capacity that returns by itself.
func isCapacityReason(reason Reason) bool {
	switch reason {
	case ReasonQueueFull, ReasonShed, ReasonRetryBudget, ReasonSuspect, ReasonFaulty, Reason(admission.ReasonHopeless), Reason(admission.ReasonTeamShare),
		Reason(admission.ReasonDisplaced), Reason(admission.ReasonMaxWait):
		return true
	default:
		return false
	}
}

// admissionRefusal converts the reason of the admission gate to a refusal. The status promises that the request has not run,
// also where its deadline passed in the queue.
func admissionRefusal(reason admission.Reason) *Refusal {
	if reason == admission.ReasonTooLarge {
		return notRunRefusal(http.StatusRequestEntityTooLarge, ReasonBodyTooLarge, "admission")
	}
	return notRunRefusal(http.StatusServiceUnavailable, Reason(reason), "admission")
}

// leastLoaded returns the serving backend server with the lowest load relative to its effective slots, or nil.
func (g *Gate) leastLoaded(service string) *server {
	var best *server
	bestLoad := 0.0
	view, hasView := g.opts.Fleet.Versions(service)
	for _, s := range g.serversOf(service) {
		l := s.load()
		if l.State != admission.Serving {
			continue
		}
		if hasView && len(g.serversOf(service)) > 1 && !view.Admits(s.version()) {
			continue
		}
		load := float64(l.InFlight+l.Queued) / float64(max(l.Effective, 1))
		if best == nil || load < bestLoad {
			best, bestLoad = s, load
		}
	}
	return best
}

// Load returns the load of a service on this VM.
func (g *Gate) Load(service string) Load {
	var sum Load
	for _, s := range g.serversOf(service) {
		l := s.load()
		sum.InFlight += l.InFlight
		if l.State != admission.Serving {
			continue
		}
		sum.Slots += l.Effective
		sum.Queued += l.Queued
	}
	return sum
}

// RecordCallFailure records that a call from a backend server on this VM failed. A running request that fails after
// such a call does not count as a failure of its backend server.
func (g *Gate) RecordCallFailure() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastCallFailure = g.opts.Clock()
}

// callFailedSince reports whether a call from a backend server on this VM failed at or after the given time.
func (g *Gate) callFailedSince(since time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lastCallFailure >= since
}

// track registers a running request, so that nested calls can be made on its behalf.
func (g *Gate) track(req *Request, server string) *parentRequest {
	p := &parentRequest{
		team:        req.Team,
		depth:       req.Depth,
		deadline:    req.Deadline,
		clock:       g.opts.Clock,
		observation: g.opts.Observer.Begin(server),
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running[req.ID] = p
	return p
}

// untrack removes a running request that track registered.
func (g *Gate) untrack(req *Request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.running, req.ID)
}

// parentByID returns the running request with this ID.
func (g *Gate) parentByID(id string) (*parentRequest, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p, ok := g.running[id]
	return p, ok
}
