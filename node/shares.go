package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"
	"gopkg.in/tomb.v2"

	"rosemaryline.dev/fleet/config"
	"rosemaryline.dev/fleet/state"
	"rosemaryline.dev/proxy"
	"rosemaryline.dev/rpc"
	"rosemaryline.dev/shares"
)

const (
	// methodSharesReport carries reports about services to their owner, whose reply holds its decisions. Processes of earlier
	// builds do not have it: as owners they decide nothing.
	methodSharesReport = "shares.report"
	// sharesInterval is the time between two samples. The first report after a change is sent with the next sample.
	sharesInterval = 100 * time.Millisecond
	// sharesTimeout limits one report.
	sharesTimeout = 500 * time.Millisecond
	// deciderSweepInterval is the time between two checks for services that nobody reports any more.
	deciderSweepInterval = time.Second
	// announcedInterval is the time between two looks at the announced slots: a large fleet sends hundreds of reports per
	// second, and its gossip metadata has as many rows.
	announcedInterval = time.Second
	// maxSharesReports limits the reports in one message.
	maxSharesReports = 256
)

// capacityShares sends the reports of this process to the owners of the services, and decides for the services that this
// process owns.
type capacityShares struct {
	vm          string
	incarnation uint64
	clock       proxy.Clock
	shares      *proxy.Shares
	gate        *proxy.Gate // set before start
	fleet       *proxy.Fleet
	client      *rpc.Client
	ownership   shardOwnership
	deps        *dependencies
	// announced returns the slots that each VM announces for a service.
	announced func(service string) map[string]float64
	log       *log.Logger
	tomb      *tomb.Tomb

	mu sync.Mutex // guards the fields below
	// inFlight holds the addresses of owners with a report on the way.
	inFlight map[string]bool
	deciders map[string]*ownedDecider
}

// ownedDecider is the decider of a service that this process owns.
type ownedDecider struct {
	*shares.Decider
	announcedAt time.Duration
}

// newCapacityShares returns the driver of n. All other drivers of n except the gate must exist already.
func newCapacityShares(n *Node) *capacityShares {
	c := &capacityShares{
		vm: n.opts.Name, incarnation: n.incarnation, clock: n.clock, fleet: n.fleet, client: n.client, ownership: n.shards,
		deps: n.deps, log: n.opts.Log, tomb: &n.tomb,
		shares:   proxy.NewShares(n.opts.Name, n.incarnation, n.clock, n.fleet),
		inFlight: map[string]bool{}, deciders: map[string]*ownedDecider{},
	}
	c.announced = func(service string) map[string]float64 { return announcedSlots(n, service) }
	return c
}

// announcedSlots returns the slots in service of each VM that gossip counts as alive.
func announcedSlots(n *Node, service string) map[string]float64 {
	slots := map[string]float64{}
	for _, c := range n.ejections.capacity(service) {
		slots[c.VM] += float64(max(c.Slots-c.Out, 0))
	}
	return slots
}

func (c *capacityShares) start() {
	c.tomb.Go(func() error { return every(c.tomb, sharesInterval, c.report) })
	c.tomb.Go(func() error { return every(c.tomb, deciderSweepInterval, c.sweep) })
}

// report sends the reports that are due, in one message for each owner.
func (c *capacityShares) report() {
	byOwner := map[string][]string{}
	var own []string
	for _, service := range c.shares.Sample(c.gate) {
		if c.owns(service) {
			own = append(own, service)
		} else if address, ok := c.ownership.ownerAddress(service); ok {
			byOwner[address] = append(byOwner[address], service)
		}
	}
	asked := c.clock()
	if len(own) > 0 {
		c.shares.Receive(asked, c.decide(c.shares.TakeReports(own)))
	}
	for address, services := range byOwner {
		if !c.begin(address) {
			continue
		}
		reports := c.shares.TakeReports(services[:min(len(services), maxSharesReports)])
		if !spawn(c.tomb, func() { c.send(address, asked, reports) }) {
			return
		}
	}
}

func (c *capacityShares) begin(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inFlight[address] {
		return false
	}
	c.inFlight[address] = true
	return true
}

// send sends reports that were taken at the time asked to an owner in another process. Without a reply the present decisions expire, and the entry admits
// everything.
func (c *capacityShares) send(address string, asked time.Duration, reports []shares.Report) {
	ctx, cancel := context.WithTimeout(c.tomb.Context(context.Background()), sharesTimeout)
	defer cancel()
	var decisions []shares.Decision
	err := c.client.Call(ctx, address, methodSharesReport, reports, &decisions)
	c.mu.Lock()
	delete(c.inFlight, address)
	c.mu.Unlock()
	c.deps.recordResult(roleSharesOwner, address, err)
	if err == nil {
		c.shares.Receive(asked, decisions)
	}
}

// serveReport decides about the services in reports that this process owns.
func (c *capacityShares) serveReport(_ context.Context, _ string, reports []shares.Report) ([]shares.Decision, error) {
	if len(reports) > maxSharesReports {
		return nil, &rpc.RemoteError{Code: rpc.CodeInvalid, Message: "too many reports"}
	}
	owned := slices.DeleteFunc(reports, func(r shares.Report) bool { return !c.owns(r.Service) })
	return c.decide(owned), nil
}

// owns reports whether this process decides about a service. A decision binds nobody for longer than a second and a half, so
// that a provisional owner may decide.
func (c *capacityShares) owns(service string) bool {
	_, ok := c.ownership.ownsProvisionally(state.ShardOf(service))
	return ok
}

func (c *capacityShares) decide(reports []shares.Report) []shares.Decision {
	decisions := make([]shares.Decision, 0, len(reports))
	for _, r := range reports {
		settings, ok := c.fleet.Service(r.Service)
		if !ok || settings.Shares != config.SharesFleet {
			continue
		}
		decisions = append(decisions, c.decideOne(r))
	}
	return decisions
}

func (c *capacityShares) decideOne(r shares.Report) shares.Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	d, ok := c.deciders[r.Service]
	if !ok {
		since, _ := c.ownership.ownsProvisionally(state.ShardOf(r.Service))
		cfg := shares.Config{Service: r.Service, Start: since, FirstSequence: uint64(time.Now().UnixMilli())}
		d = &ownedDecider{Decider: shares.NewDecider(cfg), announcedAt: -announcedInterval}
		c.deciders[r.Service] = d
	}
	now := c.clock()
	before := d.Status().Short
	if now-d.announcedAt >= announcedInterval {
		d.announcedAt = now
		d.Announce(c.announced(r.Service))
	}
	d.Receive(now, r)
	decision := d.Decide(now)
	if decision.Short != before {
		c.logChange(r.Service, d.Status(), "reports")
	}
	return decision
}

func (c *capacityShares) logChange(service string, s shares.Status, cause string) {
	message := "shares: service is no longer short of capacity."
	if s.Short {
		message = "shares: service is short of capacity."
	}
	c.log.Info().Str("service", service).Str("cause", cause).Float64("capacity", s.Capacity).Float64("limit", s.Limit).
		Float64("demand", s.Demand).Float64("calls", s.Calls).Float64("busy", s.Busy).Dur("queued", s.Queued).
		Int("reports", s.Reports).Dur("oldestReport", s.OldestReport).Msg(message)
}

// sweep drops the deciders of services that another process owns or that nobody reports any more.
func (c *capacityShares) sweep() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for service, d := range c.deciders {
		owned, idle := c.owns(service), d.Idle(c.clock())
		if owned && !idle {
			continue
		}
		delete(c.deciders, service)
		if status := d.Status(); status.Short {
			status.Short = false
			cause := "no reports"
			if !owned {
				cause = "another owner"
			}
			c.logChange(service, status, cause)
		}
	}
}
