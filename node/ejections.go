package node

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/phuslu/log"
	"gopkg.in/tomb.v2"

	"rosemaryline.dev/admission"
	"rosemaryline.dev/fleet/state"
	"rosemaryline.dev/membership"
	"rosemaryline.dev/outlier"
	"rosemaryline.dev/proxy"
	"rosemaryline.dev/routing"
	"rosemaryline.dev/rpc"
)

const (
	methodPermit = "permit.request"
	// evaluateInterval is the time between two evaluations of the backend servers.
	evaluateInterval = 100 * time.Millisecond
	// permitTimeout limits one permit request. The holder repeats a request without a reply.
	permitTimeout = time.Second
)

// ejections drives the detector and the ejector of this VM, and the arbiters of the services whose shards this process
// owns.
type ejections struct {
	vm          string
	clock       proxy.Clock
	fleet       *proxy.Fleet
	gate        *proxy.Gate // set before start
	client      *rpc.Client
	gossip      *gossip
	directory   *directory
	ownership   shardOwnership
	log         *log.Logger
	tomb        *tomb.Tomb
	probeClient *http.Client
	// disabled leaves out all evaluation of backend servers (Options.NoPeerEjection). The metadata rows of this VM are
	// still published.
	disabled bool
	// versions adds the versions of the servers to the rows (Options.Rollouts).
	versions bool

	mu       sync.Mutex // guards the fields below
	detector *outlier.Detector
	holder   *outlier.Holder
	ejector  *outlier.Ejector
	nextID   uint64
	services map[string]string // service by backend server name
	arbiters map[string]*arbiter
}

// arbiter grants the ejection permits of one service.
type arbiter struct {
	*outlier.Arbiter
	shard int
}

// newEjections returns the ejection driver of n. All other drivers of n except the gate must exist already.
func newEjections(n *Node) *ejections {
	holder := outlier.NewHolder(n.opts.Name, n.incarnation)
	return &ejections{
		vm:          n.opts.Name,
		clock:       n.clock,
		fleet:       n.fleet,
		client:      n.client,
		gossip:      n.gossip,
		directory:   n.directory,
		ownership:   n.shards,
		log:         n.opts.Log,
		tomb:        &n.tomb,
		disabled:    n.opts.NoPeerEjection,
		versions:    n.opts.Rollouts != nil,
		probeClient: newProbeClient(),
		detector:    outlier.NewDetector(outlier.Config{}),
		holder:      holder,
		ejector:     outlier.NewEjector(outlier.EjectorConfig{}, holder),
		services:    map[string]string{},
		arbiters:    map[string]*arbiter{},
	}
}

func (e *ejections) start() {
	if e.disabled {
		return
	}
	e.tomb.Go(func() error { return every(e.tomb, evaluateInterval, e.evaluate) })
	e.tomb.Go(func() error { return every(e.tomb, digestInterval, e.pushDigests) })
	e.tomb.Go(func() error { return every(e.tomb, time.Second, e.dropArbiters) })
}

// globalName returns a backend server's name that is unique in the fleet.
func (e *ejections) globalName(name string) string { return e.vm + "/" + name }

// Added implements proxy.Observer.
func (e *ejections) Added(name, service string, slots int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.services[name] = service
	e.detector.AddServer(e.globalName(name), service, true)
	e.ejector.AddServer(e.globalName(name), service, slots, e.clock())
}

// Removed implements proxy.Observer.
func (e *ejections) Removed(name string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.services, name)
	e.detector.RemoveServer(e.globalName(name))
	e.ejector.RemoveServer(e.globalName(name))
}

// Begin implements proxy.Observer.
func (e *ejections) Begin(name string) proxy.Observation {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.nextID++
	o := &observation{ejections: e, server: e.globalName(name), id: e.nextID, runningSince: e.clock()}
	e.detector.Start(o.server, o.id, o.runningSince)
	return o
}

// observation implements proxy.Observation. The mutex of ejections guards it.
type observation struct {
	*ejections
	server       string
	id           uint64
	serverTime   time.Duration // time at the backend server before runningSince
	runningSince time.Duration
	paused       bool
}

// Pause implements proxy.Observation.
func (o *observation) Pause() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.serverTime += o.clock() - o.runningSince
	o.paused = true
	o.detector.Cancel(o.server, o.id)
}

// Resume implements proxy.Observation.
func (o *observation) Resume() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.runningSince = o.clock()
	o.paused = false
	o.detector.Start(o.server, o.id, o.runningSince-o.serverTime)
}

// End implements proxy.Observation. A request that was shed or cancelled is not counted, because it says nothing about
// a fault.
func (o *observation) End(result admission.Result) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock()
	if !o.paused {
		o.serverTime += now - o.runningSince
	}
	o.detector.Cancel(o.server, o.id)
	if result == admission.Succeeded || result == admission.Failed {
		o.detector.Observe(o.server, now, o.serverTime, result == admission.Failed)
	}
}

// evaluate judges the backend servers, acts on the verdicts and requests permits.
func (e *ejections) evaluate() {
	warming := e.gate.Warming()
	now := e.clock()
	e.mu.Lock()
	for name, w := range warming {
		e.detector.SetWarming(e.globalName(name), w)
	}
	verdicts := e.detector.Evaluate(now)
	actions := e.ejector.Step(now, verdicts)
	for _, a := range actions {
		if a.Kind == outlier.ActionReadmit {
			e.detector.Reset(a.Server)
		}
	}
	requests := e.holder.Poll(now)
	ejected := map[string]bool{}
	for name := range e.services {
		ejected[name] = e.ejector.Ejected(e.globalName(name), now)
	}
	e.mu.Unlock()
	for name, isEjected := range ejected {
		e.gate.SetEjected(name, isEjected)
	}
	for _, v := range verdicts {
		if v.NeedsPeerDigests {
			e.fetchDigests(v.Service)
		}
	}
	for _, a := range actions {
		e.act(a)
	}
	for _, r := range requests {
		e.requestPermit(r)
	}
}

func (e *ejections) act(a outlier.Action) {
	switch a.Kind {
	case outlier.ActionEject:
		e.log.Warn().Str("server", a.Server).Str("service", a.Service).Str("cause", string(a.Cause)).
			Dur("backoff", a.Backoff).Msg("outlier: ejected backend server.")
	case outlier.ActionReadmit:
		e.log.Info().Str("server", a.Server).Str("service", a.Service).Str("reason", a.Reason).
			Msg("outlier: readmitted backend server.")
	case outlier.ActionProbe:
		spawn(e.tomb, func() { e.probe(a.Server, a.Service) })
	}
}

// requestPermit sends a permit request to the service's arbiter, which may run in this process.
func (e *ejections) requestPermit(r outlier.PermitRequest) {
	if since, ok := e.ownership.owns(state.ShardOf(r.Service)); ok {
		e.receivePermit(e.decidePermit(r, since))
		return
	}
	spawn(e.tomb, func() { e.requestRemotePermit(r) })
}

// requestRemotePermit sends a permit request to an arbiter in another process. If no reply arrives, the holder requests
// the permit again; without a permit nothing is ejected.
func (e *ejections) requestRemotePermit(r outlier.PermitRequest) {
	address, ok := e.ownership.ownerAddress(r.Service)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(e.tomb.Context(context.Background()), permitTimeout)
	defer cancel()
	var reply outlier.PermitReply
	if err := e.client.Call(ctx, address, methodPermit, r, &reply); err == nil {
		e.receivePermit(reply)
	}
}

func (e *ejections) receivePermit(reply outlier.PermitReply) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !reply.Granted {
		e.log.Info().Str("server", reply.Server).Str("reason", string(reply.Reason)).Msg("outlier: permit refused.")
	}
	e.holder.Receive(e.clock(), reply)
}

// servePermit decides a peer's permit request if this process owns the service's shard.
func (e *ejections) servePermit(_ context.Context, _ string, r outlier.PermitRequest) (outlier.PermitReply, error) {
	since, ok := e.ownership.owns(state.ShardOf(r.Service))
	if !ok {
		return outlier.PermitReply{}, &rpc.RemoteError{Code: rpc.CodeUnavailable, Message: "not the arbiter of service " + r.Service}
	}
	return e.decidePermit(r, since), nil
}

func (e *ejections) decidePermit(r outlier.PermitRequest, since time.Duration) outlier.PermitReply {
	settings, _ := e.fleet.Service(r.Service)
	rows := e.capacity(r.Service)
	e.mu.Lock()
	defer e.mu.Unlock()
	a, ok := e.arbiters[r.Service]
	if !ok {
		cfg := outlier.ArbiterConfig{Service: r.Service, Start: since}
		a = &arbiter{Arbiter: outlier.NewArbiter(cfg), shard: state.ShardOf(r.Service)}
		e.arbiters[r.Service] = a
	}
	a.SetFloor(settings.FloorPercent)
	a.SetCapacity(rows)
	return a.Request(e.clock(), r)
}

// capacity returns the capacity that each VM announced for a service. On a VM that is not alive, or whose failure
// domain is out of service, all slots count as out.
func (e *ejections) capacity(service string) []outlier.Capacity {
	var rows []outlier.Capacity
	for _, m := range e.gossip.list() {
		for _, row := range m.meta.Rows {
			if row.Service != service {
				continue
			}
			c := outlier.Capacity{VM: m.Name, Slots: row.Slots, Out: row.Out}
			if m.Status != membership.StatusAlive || e.fleet.DomainOut(m.Domain) {
				c.Out = row.Slots
			}
			rows = append(rows, c)
		}
	}
	return rows
}

// dropArbiters removes the arbiters of shards that another process owns now. An arbiter stays if this process is only
// without permission to admit requests, because its permits may still be valid.
func (e *ejections) dropArbiters() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for service, a := range e.arbiters {
		if !e.ownsShard(a.shard) {
			delete(e.arbiters, service)
		}
	}
}

func (e *ejections) ownsShard(shard int) (owns bool) {
	e.fleet.Read(func(s *state.State) { owns = s.ShardOwner(shard) == e.vm })
	return owns
}

// rows returns the metadata rows of this VM.
func (e *ejections) rows() []serviceRow {
	var rows []serviceRow
	for _, s := range e.gate.Summary() {
		rows = append(rows, serviceRow{
			Service:   s.Service,
			Slots:     s.Slots,
			Out:       s.Out,
			Effective: s.Load.Slots,
			State:     rowState(s).String(),
			Version:   e.rowVersion(s.Version),
			Load:      roundUpLoad(s.Load.InFlight + s.Load.Queued),
		})
	}
	return rows
}

// rowVersion returns the version for the metadata. Where no rollouts are asked for, it would only add to the traffic.
func (e *ejections) rowVersion(version string) string {
	if !e.versions {
		return ""
	}
	return version
}

// roundUpLoad rounds a load up to a power of two, so that the metadata changes rarely.
func roundUpLoad(load int) int {
	step := 0
	for step < load {
		step = max(2*step, 1)
	}
	return step
}

func rowState(s proxy.ServiceSummary) routing.State {
	switch {
	case s.Serving > 0:
		return routing.StateServing
	case s.Draining > 0:
		return routing.StateDraining
	case s.Ejected > 0:
		return routing.StateEjected
	default:
		return routing.StateLapsed
	}
}
