package proxy

import (
	"context"
	"net/http"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"rosemaryline.dev/admission"
)

// Claimer keeps a request with an idempotency key from running twice.
type Claimer interface {
	// Claim returns a claim that allows the request to run, or the answer of the request that ran before. Errors are of
	// type *Refusal.
	Claim(ctx context.Context, req *Request) (Claim, *Response, error)
}

// Claim allows one request to run.
type Claim interface {
	// Release reports that the request did not run.
	Release()
	// Keep records the answer and returns it in a form that can still be read. Errors are of type *Refusal.
	Keep(resp *Response) (*Response, error)
	// Lose reports that the request may have run and that its answer is lost.
	Lose()
}

// Observer learns how backend servers behave.
type Observer interface {
	// Added is called for a new backend server and for each new instance of it.
	Added(name, service string, slots int)
	// Removed is called when a backend server is gone.
	Removed(name string)
	// Begin is called when a request is sent.
	Begin(name string) Observation
}

// GateOptions are the settings and collaborators of a Gate.
type GateOptions struct {
	// VM and Domain are this process's VM name and failure domain.
	VM, Domain string
	Fleet      *Fleet
	Clock      Clock
	Log        *log.Logger
	Claimer    Claimer
	Observer   Observer
	// Admitter tells whether new work may run here. A process that is cut off cannot know whether its failure domain was
	// taken out. Nil admits always.
	Admitter Admitter
	// Dialect speaks to backend servers. Default: the project's own.
	Dialect Dialect
	// AnnouncementTTL is how long an announcement holds without a renewal. Default 3 s.
	AnnouncementTTL time.Duration
	// AnswersUntilClose accepts answers of backend servers that end with their connection. Default: such an answer is
	// refused, since one that is cut looks the same where a backend server dies in an orderly way.
	AnswersUntilClose bool
	// Recovered is called when a backend server is sound again, with the VMs of the entries that were refused meanwhile. It
	// must not block. Default: nobody is told.
	Recovered func(service string, entries []string)
	// HoldUnknown keeps the announcements of services that the configuration does not know yet, instead of refusing them.
	HoldUnknown bool
}

// Gate is the only way to the backend servers on this VM.
type Gate struct {
	opts    GateOptions
	leaving atomic.Bool

	mu      sync.Mutex // guards the maps below
	servers map[string]*server
	// lists holds the sorted backend servers of each service, and of all under the empty name.
	lists   map[string][]*server
	running map[string]*parent
	// held are announcements of unknown services, by name.
	held map[string]Announcement
	// withdrawn are the newest withdrawn instances, which a late announcement must not bring back; at most
	// maxBackendServers.
	withdrawn []Announcement
	// callFailedAt is when a call of a backend server on this VM failed last.
	callFailedAt time.Duration
}

// NewGate returns a Gate without backend servers.
func NewGate(opts GateOptions) *Gate {
	if opts.Dialect == nil {
		opts.Dialect = ownDialect{}
	}
	if opts.AnnouncementTTL <= 0 {
		opts.AnnouncementTTL = announcementTTL
	}
	return &Gate{
		opts:         opts,
		servers:      map[string]*server{},
		running:      map[string]*parent{},
		held:         map[string]Announcement{},
		callFailedAt: never,
	}
}

// Announce adds or renews a backend server.
func (g *Gate) Announce(a Announcement, _ time.Time) error {
	settings, known := g.opts.Fleet.Service(a.Service)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.isWithdrawn(&a) {
		return nil
	}
	if !known {
		return g.hold(a)
	}
	delete(g.held, a.Name)
	s, ok := g.servers[a.Name]
	if ok && s.overtook(&a) {
		g.opts.Log.Info().Str("server", a.Name).Str("instance", a.Instance).Uint64("sequence", a.Sequence).
			Int64("started", a.StartedMs).Msg("gate: ignored an announcement that was overtaken.")
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
		s.client.untilClose = g.opts.AnswersUntilClose
		s.recovered = g.opts.Recovered
		g.servers[a.Name] = s
		g.relist()
		g.opts.Log.Info().Str("server", a.Name).Str("service", a.Service).Str("instance", a.Instance).
			Msg("gate: backend server announced.")
	}
	if s.update(a, settings) {
		g.opts.Observer.Added(s.name, s.service, s.slots)
	}
	return nil
}

// hold keeps the announcement of a service that the configuration does not know. The caller holds mu.
func (g *Gate) hold(a Announcement) error {
	if !g.opts.HoldUnknown {
		return errors.Errorf("service %q is not in the configuration", a.Service)
	}
	former, ok := g.held[a.Name]
	if ok && a.outdated(&former) {
		return nil
	}
	if !ok && len(g.held) >= maxBackendServers {
		return errors.Errorf("more than %d backend servers", maxBackendServers)
	}
	g.held[a.Name] = a
	return nil
}

// adoptHeld announces the held backend servers whose service is known by now.
func (g *Gate) adoptHeld() {
	g.mu.Lock()
	var known []Announcement
	for name, a := range g.held {
		if _, ok := g.opts.Fleet.Service(a.Service); ok {
			known = append(known, a)
			delete(g.held, name)
		}
	}
	g.mu.Unlock()
	for _, a := range known {
		if err := g.Announce(a, time.Now()); err != nil {
			g.opts.Log.Warn().Err(err).Str("server", a.Name).Msg("gate: held announcement refused.")
		}
	}
}

// WithdrawInstance removes the backend server with an instance id for good: later announcements of that instance are
// ignored. startedMs is 0 where it is not known.
func (g *Gate) WithdrawInstance(instance string, startedMs int64) {
	g.mu.Lock()
	name := ""
	gone := Announcement{Instance: instance, StartedMs: startedMs}
	for _, s := range g.servers {
		if a := s.newest(); a.Instance == instance && (startedMs == 0 || startedMs == a.StartedMs) {
			name, gone = s.name, a
		}
	}
	for held, a := range g.held {
		if a.Instance == instance && (startedMs == 0 || startedMs == a.StartedMs) {
			gone = a
			delete(g.held, held)
		}
	}
	g.withdrawn = append(g.withdrawn, gone)
	if len(g.withdrawn) > maxBackendServers {
		g.withdrawn = g.withdrawn[1:]
	}
	g.mu.Unlock()
	if name != "" {
		g.Withdraw(name)
	}
}

// isWithdrawn tells whether an announcement comes from a withdrawn instance. The caller holds mu.
func (g *Gate) isWithdrawn(a *Announcement) bool {
	for i := range g.withdrawn {
		if a.sameInstance(&g.withdrawn[i]) {
			return true
		}
	}
	return false
}

// Withdraw removes a backend server. Its running requests finish; its queued requests are refused as not run.
func (g *Gate) Withdraw(name string) {
	g.mu.Lock()
	s, ok := g.servers[name]
	delete(g.servers, name)
	g.relist()
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

// Sweep marks backend servers whose announcement lapsed as lost, and forgets them after lostRetention.
func (g *Gate) Sweep() {
	g.adoptHeld()
	for _, s := range g.list("") {
		for _, age := range s.sweepRunning() {
			g.opts.Log.Info().Str("server", s.name).Str("service", s.service).Dur("age", age).
				Msg("gate: request is overdue.")
		}
		if s.forgotten() {
			g.Withdraw(s.name)
			continue
		}
		if s.expire() {
			g.opts.Log.Warn().Str("server", s.name).Str("service", s.service).Msg("gate: announcement lapsed.")
		}
	}
}

// SetEjected ejects a backend server or returns it to service.
func (g *Gate) SetEjected(name string, ejected bool) {
	g.mu.Lock()
	s, ok := g.servers[name]
	g.mu.Unlock()
	if ok && s.setEjected(ejected) {
		s.giveUpRunning()
	}
}

// Leave makes the gate refuse new work as not run.
func (g *Gate) Leave() { g.leaving.Store(true) }

// list returns the backend servers of a service, or all for an empty name, in order of their names. The list is shared
// and must not be changed.
func (g *Gate) list(service string) []*server {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lists[service]
}

// relist builds the lists anew after a backend server was added or removed. Requests read them several times each, so
// they are not built for each request. The caller holds mu.
func (g *Gate) relist() {
	names := make([]string, 0, len(g.servers))
	for name := range g.servers {
		names = append(names, name)
	}
	sort.Strings(names)
	g.lists = map[string][]*server{}
	for _, name := range names {
		s := g.servers[name]
		g.lists[""] = append(g.lists[""], s)
		g.lists[s.service] = append(g.lists[s.service], s)
	}
}

// Run runs a request on a backend server of this VM. Errors are of type *Refusal.
func (g *Gate) Run(ctx context.Context, req *Request) (*Response, error) {
	if refusal := g.refuse(req); refusal != nil {
		return nil, refusal
	}
	s := g.pick(req.Service)
	if s == nil {
		return nil, g.refusal(req, notRun(http.StatusServiceUnavailable, ReasonNoCapacity, "pick"), nil)
	}
	held, reason := s.acquire(ctx, req, g.opts.Fleet.TeamRate(req.Team))
	if doubts(Reason(reason)) {
		return nil, g.refusal(req, notRun(http.StatusServiceUnavailable, Reason(reason), "breaker"), s)
	}
	if reason != admission.ReasonNone {
		return nil, g.refusal(req, refusalFor(reason), s)
	}
	resp, err := g.runHeld(ctx, req, held)
	if err != nil {
		return nil, g.refusal(req, asRefusal(err), s)
	}
	g.opts.Log.Info().Str("request", req.ID).Str("team", req.Team).Str("service", req.Service).
		Str("server", s.name).Int("status", resp.Status).Dur("queue", held.wait).Dur("took", resp.Timing.Backend).
		Bool("trial", held.trial).Bool("forced", req.Forced).Msg("gate: request answered.")
	return resp, nil
}

// refuse applies the conditions that concern the whole VM.
func (g *Gate) refuse(req *Request) *Refusal {
	if g.leaving.Load() {
		return g.refusal(req, notRun(http.StatusServiceUnavailable, ReasonLeaving, "gate"), nil)
	}
	if g.opts.Fleet.DomainOut(g.opts.Domain) {
		return g.refusal(req, notRun(http.StatusServiceUnavailable, ReasonDomainOut, "gate"), nil)
	}
	if req.Depth == 0 && g.opts.Admitter != nil && !g.opts.Admitter.MayAdmit() {
		return g.refusal(req, notRun(http.StatusServiceUnavailable, ReasonIsolated, "gate"), nil)
	}
	return nil
}

// refusal completes a refusal with the load and logs it.
func (g *Gate) refusal(req *Request, r *Refusal, s *server) *Refusal {
	load := g.Load(req.Service)
	r.Load = &load
	entry := g.opts.Log.Info().Str("request", req.ID).Str("team", req.Team).Str("service", req.Service).
		Str("reason", string(r.Reason)).Str("outcome", string(r.Outcome)).Int("inFlight", load.InFlight).
		Int("slots", load.Slots).Int("queued", load.Queued).Uint64("version", req.ConfigVersion)
	if s != nil {
		entry = entry.Str("server", s.name).Float64("score", s.score())
		r.Peer = s.name
		if wantsRoom(r.Reason) && r.RetryAfter == 0 {
			r.RetryAfter = s.retryAfter()
		}
	}
	entry.Err(r.Err).Msg("gate: refused request.")
	return r
}

// wantsRoom tells whether a request was refused for want of room that comes back by itself.
func wantsRoom(reason Reason) bool {
	switch reason {
	case ReasonQueueFull, ReasonShed, ReasonSuspect, ReasonFaulty, Reason(admission.ReasonHopeless), Reason(admission.ReasonTeamShare),
		Reason(admission.ReasonDisplaced), Reason(admission.ReasonMaxWait):
		return true
	default:
		return false
	}
}

func refusalFor(reason admission.Reason) *Refusal {
	status := http.StatusServiceUnavailable
	if reason == admission.ReasonDeadline {
		status = http.StatusGatewayTimeout
	}
	return notRun(status, Reason(reason), "admission")
}

// pick returns the serving backend server with the least load relative to its effective slots, or nil.
func (g *Gate) pick(service string) *server {
	var best *server
	bestLoad := 0.0
	for _, s := range g.list(service) {
		l := s.load()
		if l.State != admission.Serving {
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
	for _, s := range g.list(service) {
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

// CallFailed notes that a call of a backend server on this VM failed. A backend server that fails a request after that is
// not to blame.
func (g *Gate) CallFailed() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.callFailedAt = g.opts.Clock()
}

// callFailedSince tells whether a call of a backend server on this VM failed since a time.
func (g *Gate) callFailedSince(since time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.callFailedAt >= since
}

// track makes a running request known, so that nested calls can be made on its behalf.
func (g *Gate) track(req *Request, server string) *parent {
	p := &parent{
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

func (g *Gate) untrack(req *Request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.running, req.ID)
}

// parent returns the running request with this id.
func (g *Gate) parent(id string) (*parent, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p, ok := g.running[id]
	return p, ok
}
