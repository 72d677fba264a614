package proxy

import (
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"rosemaryline.dev/admission"
	"rosemaryline.dev/fleet/state"
	"rosemaryline.dev/rollout"
	"rosemaryline.dev/routing"
)

// Reasons of refusals because of the version of a backend server.
const (
	// ReasonExposure means that the servers of the new version had as many requests as the rollout allows for now.
	ReasonExposure Reason = "exposure"
	// ReasonVersion means that no server on the VM has a version that gets requests.
	ReasonVersion Reason = "version"
)

// rolloutViews holds the view of each service with a rollout or with admitted versions. It is immutable.
type rolloutViews map[string]rollout.View

// newRolloutViews reads the views from the fleet state; nil if no service has one.
func newRolloutViews(s *state.State) rolloutViews {
	if !s.KnowsRollouts() {
		return nil
	}
	views := rolloutViews{}
	for service := range s.Config().Services {
		admitted := s.Admitted(service)
		r, ok := s.Rollout(service)
		switch {
		case ok:
			plan := RolloutPlan(&r)
			views[service] = rollout.NewView(admitted, &plan)
		case len(admitted) > 0:
			views[service] = rollout.NewView(admitted, nil)
		}
	}
	return views
}

// RolloutPlan returns the plan of a rollout in the fleet state.
func RolloutPlan(r *state.Rollout) rollout.Plan {
	return rollout.Plan{
		ID: r.ID, Service: r.Service, NewVersion: r.NewVersion,
		Duration: time.Duration(r.DurationMs) * time.Millisecond,
		Phase:    rollout.Phase(r.Phase), Percent: r.Percent, Servers: r.Servers, Decision: r.Decision,
		Elapsed: time.Duration(r.ElapsedMs) * time.Millisecond,
	}
}

// Versions returns what the fleet state says about the versions of a service; ok is false if all are admitted.
func (f *Fleet) Versions(service string) (view rollout.View, ok bool) {
	views := f.rollouts.Load()
	if views == nil {
		return view, false
	}
	view, ok = (*views)[service]
	return view, ok
}

// RunningRollouts returns the views of the services with a running rollout.
func (f *Fleet) RunningRollouts() map[string]rollout.View {
	views := f.rollouts.Load()
	if views == nil {
		return nil
	}
	running := map[string]rollout.View{}
	for service, view := range *views {
		if view.Active() {
			running[service] = view
		}
	}
	return running
}

// versionSide is the side of a rollout that a request was drawn for.
type versionSide int

const (
	sideUndrawn versionSide = iota
	sideOld
	sideNew
)

// hosts returns the VMs whose servers may get a request. While a rollout runs, a request goes either to the new version or to
// the old ones. Load pattern: entries that see a request or two a second each, of which a few percent go to the new version.
func (r *router) hosts(req *Request) []Peer {
	return r.hostsAmong(req, r.opts.Directory.Hosts(req.Service))
}

func (r *router) hostsAmong(req *Request, hosts []Peer) []Peer {
	admitted := r.admittedHosts(req.Service, hosts)
	view, ok := r.opts.Fleet.Versions(req.Service)
	if !ok || !view.Active() {
		return admitted
	}
	if req.side == sideUndrawn {
		req.side = r.drawSide(view)
	}
	if req.side == sideNew {
		if takingPart := newHosts(admitted, view, r.opts.Fleet.OutDomains()); len(takingPart) > 0 {
			return takingPart
		}
		req.side = sideOld
	}
	old := slices.DeleteFunc(slices.Clone(admitted), func(h Peer) bool { return view.IsNew(h.Version) })
	if len(old) == 0 {
		// In cutover only the new version is left.
		return admitted
	}
	return old
}

// admittedHosts returns those VMs whose servers have a version that gets requests.
func (r *router) admittedHosts(service string, hosts []Peer) []Peer {
	view, ok := r.opts.Fleet.Versions(service)
	if !ok {
		return hosts
	}
	return slices.DeleteFunc(slices.Clone(hosts), func(h Peer) bool { return h.Version != "" && !view.Admits(h.Version) })
}

// explainHosts returns those VMs among which a request that was not drawn for the new version is placed, and the reason for each
// other VM. It draws nothing, so that an explanation is repeatable.
func (r *router) explainHosts(service string, all []Peer) (hosts []Peer, excluded map[string]string) {
	hosts = r.hostsAmong(&Request{Service: service, side: sideOld}, all)
	view, _ := r.opts.Fleet.Versions(service)
	excluded = map[string]string{}
	for _, h := range all {
		switch {
		case slices.ContainsFunc(hosts, func(other Peer) bool { return other.VM == h.VM }):
		case view.IsNew(h.Version):
			excluded[h.VM] = "not a candidate: version " + h.Version + " gets only the requests that its rollout draws for it"
		default:
			excluded[h.VM] = "not a candidate: version " + h.Version + " is not admitted"
		}
	}
	return hosts, excluded
}

func (r *router) drawSide(view rollout.View) versionSide {
	r.mu.Lock()
	defer r.mu.Unlock()
	if view.ToNew(r.rng) {
		return sideNew
	}
	return sideOld
}

// newHosts returns the VMs with servers of the new version that take part in the rollout's present phase. VMs in the failure domains
// that are out of service get no requests, so others take part in their place.
func newHosts(hosts []Peer, view rollout.View, out map[string]bool) []Peer {
	var names []string
	for i := range hosts {
		if view.IsNew(hosts[i].Version) && hosts[i].State == routing.StateServing && !out[hosts[i].Domain] {
			names = append(names, hosts[i].VM)
		}
	}
	takingPart := view.Participants(names)
	return slices.DeleteFunc(slices.Clone(hosts), func(h Peer) bool {
		return !view.IsNew(h.Version) || !slices.Contains(takingPart, h.VM)
	})
}

// leaveNewVersion sends a request that the servers of the new version refused to the old ones.
func (r *router) leaveNewVersion(req *Request) bool {
	if req.side != sideNew {
		return false
	}
	req.side = sideOld
	view, ok := r.opts.Fleet.Versions(req.Service)
	return ok && view.Limited()
}

// changeSide chooses the other side of a rollout after a refusal because of the version. Load pattern: hundreds of entries are
// behind by different times when a rollout reaches cutover or is rolled back, and each gate of the side that they drew refuses.
// A request changes its side for ReasonVersion once, so that it does not alternate between gates of different age.
func (r *router) changeSide(req *Request, reason Reason) {
	switch {
	case reason == ReasonExposure:
		r.leaveNewVersion(req)
	case reason == ReasonVersion && req.side != sideUndrawn && !req.sideChanged:
		req.sideChanged = true
		if req.side == sideOld {
			req.side = sideNew
		} else {
			req.side = sideOld
		}
	}
}

// versionCounts counts the requests at the servers of one version of a service on this VM while a rollout runs.
type versionCounts struct {
	rollout string
	since   time.Duration
	isNew   bool
	// arrived counts the requests that were sent to the servers, and waiting those that hold a part of the allowance and were
	// not sent yet.
	arrived, waiting uint64
	running          int
	sequence         uint64
	allowance        rollout.Allowance
	// atLoad counts those of routes that arrived at load.
	routes, atLoad map[string]rollout.RouteCounts
}

// gateRollouts holds the counts of a gate for the running rollouts.
type gateRollouts struct {
	mu     sync.Mutex // guards counts
	counts map[versionKey]*versionCounts
}

type versionKey struct{ service, version string }

// of returns the counts of a version of a service in a running rollout. The caller holds mu.
func (g *gateRollouts) of(key versionKey, view rollout.View, now time.Duration) *versionCounts {
	if g.counts == nil {
		g.counts = map[versionKey]*versionCounts{}
	}
	c, ok := g.counts[key]
	if !ok || c.rollout != view.ID() {
		c = &versionCounts{rollout: view.ID(), since: now, isNew: view.IsNew(key.version),
			routes: map[string]rollout.RouteCounts{}, atLoad: map[string]rollout.RouteCounts{}}
		g.counts[key] = c
	}
	return c
}

// versionTicket is a request's part in the counts of a rollout; nil without a rollout.
type versionTicket struct {
	rollouts *gateRollouts
	counts   *versionCounts
	// version is the version of the server that admitVersion checked.
	version string
	route   string
	cold    bool
	atLoad  bool
	sent    bool
	ended   bool
}

// counted returns the counts that the request is part of.
func (t *versionTicket) counted() []map[string]rollout.RouteCounts {
	if t.atLoad {
		return []map[string]rollout.RouteCounts{t.counts.routes, t.counts.atLoad}
	}
	return []map[string]rollout.RouteCounts{t.counts.routes}
}

// admitVersion checks whether a request may go to a server: its version gets requests, and a new version's allowance is not used
// up. Load pattern: hundreds of entries with views of different age, and some that restart or are cut off; the gate beside a
// server is the only way to it, so the bound on what a new version gets holds whatever the entries do.
func (g *Gate) admitVersion(req *Request, s *server) (*versionTicket, *Refusal) {
	view, ok := g.opts.Fleet.Versions(req.Service)
	if !ok {
		return nil, nil
	}
	version := s.version()
	if version != "" && !view.Admits(version) {
		return nil, notRunRefusal(http.StatusServiceUnavailable, ReasonVersion, "gate")
	}
	if !view.Active() {
		return nil, nil
	}
	g.rollouts.mu.Lock()
	defer g.rollouts.mu.Unlock()
	c := g.rollouts.of(versionKey{req.Service, version}, view, g.opts.Clock())
	if c.isNew && view.Limited() && !c.allowance.Admit(c.arrived+c.waiting) {
		return nil, notRunRefusal(http.StatusServiceUnavailable, ReasonExposure, "gate")
	}
	c.waiting++
	return &versionTicket{rollouts: &g.rollouts, counts: c, version: version, route: req.Route}, nil
}

// admitAtSlot checks once more when a request gets its slot, and returns the ticket that counts it. While the request waited, the
// version may have been rolled back, a rollout may have begun, or a server of another version may have taken the place of the one
// that it waited for.
func (g *Gate) admitAtSlot(req *Request, s *server, ticket *versionTicket) (*versionTicket, *Refusal) {
	view, ok := g.opts.Fleet.Versions(req.Service)
	version := s.version()
	if ok && version != "" && !view.Admits(version) {
		return ticket, notRunRefusal(http.StatusServiceUnavailable, ReasonVersion, "gate")
	}
	if ticket != nil && ticket.version == version && ticket.counts.rollout == view.ID() || ticket == nil && !view.Active() {
		return ticket, nil
	}
	ticket.abandon()
	return g.admitVersion(req, s)
}

// send counts that the request is sent to the server; atLoad tells whether it arrives there at load.
func (t *versionTicket) send(cold, atLoad bool) {
	if t == nil {
		return
	}
	t.rollouts.mu.Lock()
	defer t.rollouts.mu.Unlock()
	t.sent, t.cold, t.atLoad = true, cold, atLoad
	t.counts.waiting--
	t.counts.arrived++
	t.counts.running++
	if routes, ok := t.counts.routes[t.route]; ok || len(t.counts.routes) < maxKnownRoutes {
		for _, counted := range t.counted() {
			routes = counted[t.route]
			routes.Started++
			counted[t.route] = routes
		}
	}
}

// abandon returns the part of the allowance of a request that was not sent.
func (t *versionTicket) abandon() {
	if t == nil {
		return
	}
	t.rollouts.mu.Lock()
	defer t.rollouts.mu.Unlock()
	if !t.sent && !t.ended {
		t.ended = true
		t.counts.waiting--
	}
}

// end counts the result of a request that was sent; broken is true without a complete response.
func (t *versionTicket) end(result admission.Result, broken bool, latency time.Duration) {
	if t == nil {
		return
	}
	t.rollouts.mu.Lock()
	defer t.rollouts.mu.Unlock()
	if t.ended || !t.sent {
		return
	}
	t.ended = true
	t.counts.running--
	if _, ok := t.counts.routes[t.route]; !ok {
		return // send found no room for the route
	}
	for _, counted := range t.counted() {
		routes := counted[t.route]
		switch {
		case result == admission.Succeeded:
			routes.Succeeded++
			if !t.cold {
				routes.Latency[rollout.LatencyBucket(latency)]++
			}
		case result == admission.Failed && broken:
			routes.Broken++
		case result == admission.Failed:
			routes.Failed++
		case result == admission.Overloaded:
			routes.Shed++
		default:
			return
		}
		counted[t.route] = routes
	}
}

// RolloutReports returns a report for each version of each service on this VM that has a running rollout, and forgets the
// counts of the others. isNew tells the reports of new versions.
func (g *Gate) RolloutReports() (reports []rollout.Report, isNew []bool) {
	running := g.opts.Fleet.RunningRollouts()
	slots, inFlight := map[versionKey]int{}, map[versionKey]int{}
	for service := range running {
		for _, s := range g.serversOf(service) {
			key := versionKey{service, s.version()}
			slots[key] += s.warmSlots()
			inFlight[key] += s.inFlight()
		}
	}
	now := g.opts.Clock()
	g.rollouts.mu.Lock()
	defer g.rollouts.mu.Unlock()
	for key := range g.rollouts.counts {
		if view, ok := running[key.service]; !ok || view.ID() != g.rollouts.counts[key].rollout {
			delete(g.rollouts.counts, key)
		}
	}
	for key, n := range slots {
		view := running[key.service]
		c := g.rollouts.of(key, view, now)
		c.sequence++
		report := rollout.Report{
			VM: g.opts.VM, Sequence: c.sequence, Rollout: c.rollout, Service: key.service, Version: key.version,
			Applied: view.Decision(), Arrived: c.arrived, Slots: n,
			// Requests that were sent before the gate learned of the rollout, or that hold a slot and are about to be sent, count
			// too: the servers of the old version stop when none is left.
			Running: max(c.running, inFlight[key]),
			KnownMs: (now - c.since).Milliseconds(), Routes: map[string]rollout.RouteCounts{}, AtLoad: maps.Clone(c.atLoad),
		}
		for route, counts := range c.routes {
			report.Routes[route] = counts
		}
		c.allowance.Fill(&report)
		if c.isNew {
			// Requests that wait for a slot keep their part of an allowance that was taken back.
			report.Granted = max(report.Granted, c.arrived+c.waiting)
		}
		reports, isNew = append(reports, report), append(isNew, c.isNew)
	}
	return reports, isNew
}

// RolloutReplied takes the reply to a report.
func (g *Gate) RolloutReplied(report *rollout.Report, reply rollout.Reply) {
	g.rollouts.mu.Lock()
	defer g.rollouts.mu.Unlock()
	if c, ok := g.rollouts.counts[versionKey{report.Service, report.Version}]; ok && c.rollout == report.Rollout {
		c.allowance.Replied(report.Sequence, reply)
	}
}

// version returns the version of the server's software; empty where it announces none.
func (s *server) version() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastAnnouncement.Version
}

// warmSlots returns the slots of the server if it is in service and not cold.
func (s *server) warmSlots() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state() != admission.Serving || s.clock() < s.coldEnd {
		return 0
	}
	return s.gate.Load().Effective
}

// inFlight returns the number of requests that hold a slot of the server.
func (s *server) inFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.Load().InFlight
}

// isAtLoad reports whether the requests that hold a slot of the server put it at load.
func (s *server) isAtLoad() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	load := s.gate.Load()
	return rollout.AtLoad(load.InFlight, load.Effective)
}

// isCold reports whether the server is cold.
func (s *server) isCold() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clock() < s.coldEnd
}
