package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/tomb.v2"

	"rosemaryline.dev/control"
	"rosemaryline.dev/fleet/state"
	"rosemaryline.dev/idempotency"
	"rosemaryline.dev/membership"
	"rosemaryline.dev/proxy"
	"rosemaryline.dev/quota"
	"rosemaryline.dev/rpc"
)

// Node is one running process of the fleet.
type Node struct {
	opts  Options
	clock proxy.Clock
	tomb  tomb.Tomb

	fleet       *proxy.Fleet
	client      *rpc.Client
	rpc         *rpc.Server
	gossip      *gossip
	directory   *directory
	shards      *shards
	limiter     *limiter
	deps        *dependencies
	ejections   *ejections
	capacity    *capacityShares
	claims      *claims
	gate        *proxy.Gate
	bytes       *proxy.ByteBudget
	reports     *proxy.ReportExchange
	announcer   *Announcements
	entry       *proxy.Entry
	peers       *proxy.PeerClient
	control     *controlRole // nil without the control role
	groups      *groupClient
	copy        *control.Copy
	stateServer *control.StateServer
	servers     []*server
	permission  *admitPermission

	// incarnation identifies the run of the process; a later run has a higher one.
	incarnation uint64
	// stopping is set when a graceful stop begins, leaving when the fleet is told.
	stopping atomic.Bool
	leaving  atomic.Bool
	stopOnce sync.Once
	stopErr  error
}

// Start starts a process. Errors name the step and, where there is one, the address or folder; *DataFolderError may pass.
func Start(opts Options) (*Node, error) {
	opts.setDefaults()
	n := &Node{opts: opts, clock: proxy.NewClock(), incarnation: uint64(time.Now().UnixMilli())}
	stores, err := openStores(&n.opts)
	if err != nil {
		return nil, err
	}
	peerListener, err := net.Listen("tcp", opts.PeerListen)
	if err != nil {
		stores.close()
		return nil, errors.Wrap(err, "listen for peers")
	}
	n.opts.PeerListen = peerListener.Addr().String()
	if n.opts.PeerAddress == "" {
		n.opts.PeerAddress = n.opts.PeerListen
	}
	n.build()
	if err := n.startControl(stores); err != nil {
		peerListener.Close()
		return nil, err
	}
	n.startStateServer()
	if err := n.listen(peerListener); err != nil {
		n.abort()
		return nil, err
	}
	n.run()
	return n, nil
}

// build creates the drivers without starting them.
func (n *Node) build() {
	o := &n.opts
	n.copy = control.NewCopy()
	n.fleet = proxy.NewFleet(n.copy)
	n.fleet.Defaults = o.ServiceDefaults
	traffic := &rpc.Traffic{Locate: func(ip string) rpc.Place { return n.gossip.place(ip) }}
	n.client = rpc.NewClient(o.PeerClientTLS)
	n.client.Traffic = traffic
	n.rpc = rpc.NewServer()
	n.rpc.Traffic = traffic
	n.rpc.OnPanic = n.logCallPanic
	self := membership.Member{Name: o.Name, Address: o.PeerAddress, Domain: o.Domain, Incarnation: n.incarnation}
	n.deps = newDependencies(n.clock, o.Log)
	n.gossip = newGossip(self, membership.Config{Period: o.GossipPeriod, StaleHeartbeatAge: o.staleHeartbeatAge()}, n.clock, n.client, o.Log)
	n.gossip.deps = n.deps
	if o.GossipDatagrams {
		n.gossip.datagrams = n.listenDatagrams(traffic)
	}
	n.gossip.onNameTaken = func(address string) {
		n.tomb.Kill(errors.Errorf("name %q is used by a process that started later, at %s", o.Name, address))
	}
	n.permission = &admitPermission{clock: n.clock, gossip: n.gossip, fleet: n.fleet, log: o.Log}
	n.directory = newDirectory(n.clock)
	n.shards = newShards(o.Name, n.clock, n.fleet, n.permission.MayAdmit)
	holder := quota.Config{Process: o.Name, Incarnation: n.incarnation, Lifetime: o.RateLease, Spare: o.RateSpare,
		DemandWindow: o.RateDemandWindow, BriefLifetime: o.RateBriefLease, ResendAfter: o.RateResend}
	n.limiter = newLimiter(holder, n.clock, n.fleet, n.client, n.shards, &n.tomb)
	if o.RateParts > 0 {
		n.limiter.parts = newRateParts(o.RateParts, o.Name)
	}
	n.limiter.deps = n.deps
	n.limiter.provisionalShare = o.ProvisionalRate
	n.limiter.rateExcess, n.limiter.burstExcess = o.RateExcess, o.BurstExcess
	n.ejections = newEjections(n)
	n.capacity = newCapacityShares(n)
	n.groups = &groupClient{node: n, leaders: map[groupName]string{}}
	claimer := idempotency.Claimer{Process: o.Name, Incarnation: n.incarnation}
	n.claims = newClaims(claimer, n.clock, n.groups, n.gossip, o.Log, &n.tomb)
	n.bytes = proxy.NewByteBudget(o.heldBytes())
	n.gate = proxy.NewGate(proxy.GateOptions{
		VM: o.Name, Domain: o.Domain, Fleet: n.fleet, Clock: n.clock, Log: o.Log,
		Claimer: n.claims, Observer: n.ejections, Admitter: n.admitter(),
		Dialect: o.Dialect, AnnouncementTTL: o.AnnouncementTTL, HoldUnknownServices: o.HoldUnknownServices,
		AllowCloseDelimited: o.AllowCloseDelimited, OnRecovered: n.notifyRecovered, EntryLeaving: n.directory.isLeaving,
		RetryRatio: o.gateRetryRatio(), RetryReserve: n.gateRetryReserve,
		Bytes: n.bytes, Shares: n.capacity.shares,
	})
	n.ejections.gate, n.capacity.gate = n.gate, n.gate
	n.announcer = newAnnouncements(n)
	n.reports = proxy.NewReportExchange(o.Name, n.clock, n.fleet, n.gate)
	n.peers = proxy.NewPeerClient(o.PeerClientTLS)
	n.peers.SetReports(n.reports)
	if o.Dial != nil {
		n.client.Dial = o.Dial
		n.peers.SetDial(o.Dial)
	} else {
		n.peers.SetDial(countForwarded(traffic, rpc.NewDialer().DialContext))
	}
	n.entry = proxy.NewEntry(proxy.EntryOptions{
		VM: o.Name, Domain: o.Domain, Fleet: n.fleet, Clock: n.clock, Log: o.Log,
		Limiter: n.limiter, Admitter: n.admitter(), Directory: n.directory, Gate: n.gate, Peers: n.peers,
		Dialect: o.Dialect, CallerService: o.CallerService, RetryRatio: o.entryRetryRatio(),
		MaxBufferedBody: o.MaxBufferedBody, MaxKeyedBody: o.MaxKeyedBody,
		Bytes: n.bytes, Shares: n.capacity.shares, Reports: n.reports,
	})
	n.register()
}

// listenDatagrams returns the socket for gossip over UDP, or nil if the port is in use: gossip then uses connections only.
func (n *Node) listenDatagrams(traffic *rpc.Traffic) *rpc.Datagrams {
	datagrams, err := rpc.ListenDatagrams(n.opts.PeerListen, traffic)
	if err != nil {
		n.opts.Log.Warn().Err(err).Msg("membership: sends gossip over connections only.")
		return nil
	}
	return datagrams
}

// alwaysAdmit is the proxy.Admitter of a process with Options.AdmitIsolated, which admits requests also without the
// permission that membership gives.
type alwaysAdmit struct{}

// MayAdmit implements proxy.Admitter.
func (alwaysAdmit) MayAdmit() bool { return true }

// admitter returns the proxy.Admitter that reports whether this process has permission to admit requests on open
// routes.
func (n *Node) admitter() proxy.Admitter {
	if n.opts.AdmitIsolated {
		return alwaysAdmit{}
	}
	return n.permission
}

// reserveSettleTime is the time after the start in which the VMs of a service are not all known, so that the share of the retry
// reserve would be too large.
const reserveSettleTime = 3 * time.Second

// gateRetryReserve returns the share of Options.RetryReserve of the gate of one VM that hosts a service.
func (n *Node) gateRetryReserve(service string) float64 {
	if n.clock() < reserveSettleTime {
		return 0
	}
	return n.opts.RetryReserve / float64(max(len(n.directory.Hosts(service)), 1))
}

// register registers the methods that peers may call.
func (n *Node) register() {
	rpc.Register(n.rpc, methodGossip, n.gossip.receive)
	rpc.Register(n.rpc, methodRecovered, n.receiveRecovered)
	rpc.Register(n.rpc, methodStopping, n.receiveStopping)
	rpc.Register(n.rpc, methodExplain, n.serveExplain)
	rpc.Register(n.rpc, methodGrant, n.limiter.serveGrant)
	rpc.Register(n.rpc, methodSharesReport, n.capacity.serveReport)
	rpc.Register(n.rpc, methodPermit, n.ejections.servePermit)
	rpc.Register(n.rpc, methodPushDigests, n.ejections.receiveDigests)
	rpc.Register(n.rpc, methodFetchDigests, n.ejections.serveDigests)
}

// startStateServer serves the fleet state to other processes: on a control VM the newer of the replicated state and the
// process's copy, elsewhere the copy.
func (n *Node) startStateServer() {
	if n.control == nil {
		n.stateServer = control.NewStateServer(n.copy, nil)
	} else {
		n.stateServer = control.NewStateServer(newestState{n.control.machine, n.copy}, n.control.heartbeats)
	}
	n.stateServer.Clock = n.clock
	n.stateServer.ConfirmFirst = n.control != nil
	n.stateServer.Register(n.rpc)
	if n.control != nil {
		n.control.start()
	}
}

// run starts the drivers.
func (n *Node) run() {
	publisher := &publisher{node: n, loads: loadThrottle{interval: n.opts.LoadInterval}}
	// Set the metadata before the first packets are sent, so that control learns of a new member at once.
	publisher.publish()
	n.gossip.start(&n.tomb, n.opts.Join)
	n.limiter.start()
	n.ejections.start()
	n.capacity.start()
	n.tomb.Go(func() error { return every(&n.tomb, permissionLogInterval, n.permission.refresh) })
	n.tomb.Go(func() error { return every(&n.tomb, directoryInterval, publisher.run) })
	n.tomb.Go(func() error { return every(&n.tomb, time.Second, n.entry.Sweep) })
	n.tomb.Go(func() error { return every(&n.tomb, time.Second, n.gate.UpdateRetryReserves) })
	if n.opts.Rollouts != nil {
		n.tomb.Go(func() error { return every(&n.tomb, rolloutReportInterval, (&rolloutReporter{node: n}).run) })
	}
	n.tomb.Go(n.follow)
	n.tomb.Go(n.announcer.restore)
	n.tomb.Go(n.closeWhenDying)
	for _, s := range n.servers {
		n.tomb.Go(s.serve)
	}
}

// Ready reports whether the process can serve: it has a fleet state, may admit requests and is not leaving.
func (n *Node) Ready() bool {
	return n.fleet.Version() > 0 && n.admitter().MayAdmit() && !n.stopping.Load()
}

// Entry returns the handler for callers' requests.
func (n *Node) Entry() http.Handler { return n.entry }

// Gate returns the gate.
func (n *Node) Gate() *proxy.Gate { return n.gate }

// SendCallersElsewhere begins a graceful stop: the process no longer counts as ready and reads no further requests of pipelines
// ahead. Entry and gate serve as before, so that the backend servers on this VM stay in use until Leave.
func (n *Node) SendCallersElsewhere() {
	if n.stopping.Swap(true) {
		return
	}
	n.notifyStopping()
	for _, s := range n.servers {
		if s.pipeline != nil {
			s.pipeline.Stop()
		}
	}
}

// Leave announces to the fleet that the process will stop. From then on the gate refuses new requests as not run, while
// the entry serves callers until Stop.
func (n *Node) Leave() {
	if n.leaving.Swap(true) {
		return
	}
	n.SendCallersElsewhere()
	n.gate.Leave()
	n.gossip.leave()
	if n.control != nil {
		n.control.leave()
	}
}

// Version returns the version of the process's copy of the fleet state; 0 before the first fetch.
func (n *Node) Version() uint64 { return n.fleet.Version() }

// Dead returns a channel that is closed when the process has stopped, also if it stopped on its own after an error.
func (n *Node) Dead() <-chan struct{} { return n.tomb.Dead() }

// SetStopTimeout sets the time limit of a graceful stop. It must be called before Stop.
func (n *Node) SetStopTimeout(d time.Duration) { n.opts.StopTimeout = max(d, time.Millisecond) }

// SetJoin replaces the addresses that the process contacts to join the fleet while it knows no other member.
func (n *Node) SetJoin(addresses []string) { n.gossip.setJoin(addresses) }

// Stop stops the process gracefully within Options.StopTimeout: it refuses new requests as not run and finishes
// accepted ones. Further calls wait for the first one and return its result.
func (n *Node) Stop() error {
	n.stopOnce.Do(func() { n.stopErr = n.stop() })
	return n.stopErr
}

// responseReserve is the last part of a graceful stop. When it begins, requests that still wait are ended, so that
// their responses reach the callers.
const responseReserve = 300 * time.Millisecond

func (n *Node) stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), n.opts.StopTimeout)
	defer cancel()
	n.Leave()
	untilEnd := max(n.opts.StopTimeout-responseReserve, 0)
	n.gate.StopWithin(untilEnd)
	defer time.AfterFunc(untilEnd, n.entry.EndRequests).Stop()
	var firstErr error
	for _, s := range n.servers {
		if err := s.Shutdown(ctx); err != nil && firstErr == nil {
			firstErr = errors.Wrapf(err, "stop %s listener", s.name)
		}
	}
	n.claims.drain(ctx)
	n.abort()
	if err := n.tomb.Wait(); err != nil && firstErr == nil {
		firstErr = err
	}
	if err := n.stopControl(); err != nil && firstErr == nil {
		firstErr = err
	}
	return firstErr
}

// closeWhenDying closes the listeners of a process that stops on its own after an error.
func (n *Node) closeWhenDying() error {
	<-n.tomb.Dying()
	n.abort()
	return nil
}

// abort stops everything at once.
func (n *Node) abort() {
	n.tomb.Kill(nil)
	for _, s := range n.servers {
		s.Close()
	}
	n.rpc.Close()
	n.client.Close()
	n.peers.Close()
}

// Kill stops the process at once, as a crash would: it does not notify the peers.
func (n *Node) Kill() {
	n.stopOnce.Do(func() {
		n.abort()
		n.stopErr = n.tomb.Wait()
		if err := n.stopControl(); err != nil && n.stopErr == nil {
			n.stopErr = err
		}
	})
}

// Summary returns one line that sums up what the process did.
func (n *Node) Summary() string { return proxy.Summary() }

// Propose proposes a command to the control group and returns the resulting version. A refusal is returned as an error
// of type *state.Refusal.
func (n *Node) Propose(ctx context.Context, command state.Command) (version uint64, err error) {
	result, err := n.groups.command(ctx, command)
	if err != nil {
		return 0, err
	}
	if result.Err != nil {
		return result.Version, result.Err
	}
	return result.Version, nil
}
