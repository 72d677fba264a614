package node

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"rosemaryline.dev/fleet/state"
	"rosemaryline.dev/proxy"
	"rosemaryline.dev/raft"
	"rosemaryline.dev/rollout"
	"rosemaryline.dev/rpc"
)

const (
	// methodRolloutReport takes a rollout.Report and returns a rollout.Reply. Processes of earlier builds do not have it.
	methodRolloutReport = "rollout.report"
	// rolloutReportInterval is the time between two reports of gates that the leader waits for: those of new servers, which
	// need allowances, and in cutover those of old ones, which must have finished.
	rolloutReportInterval = 250 * time.Millisecond
	// slowRolloutReports is the number of these intervals between two reports of other gates.
	slowRolloutReports = 4
	// rolloutReportTimeout limits one report, with all calls for it. A lost one is replaced by the next.
	rolloutReportTimeout = 500 * time.Millisecond
	// rolloutHedgeDelay is how long a report waits for the process that replied last before it goes to all control VMs. It leaves
	// most of rolloutReportTimeout to the call of another leader.
	rolloutHedgeDelay = 100 * time.Millisecond
	// rolloutStepInterval is the time between two steps of the leader.
	rolloutStepInterval = 100 * time.Millisecond
	// rolloutProposeTimeout limits the proposal of a decision, which the decider repeats.
	rolloutProposeTimeout = time.Second
	// admitVersionsAfter is how long a leader leads before it records the versions of services, so that gossip names the VMs.
	admitVersionsAfter = 2 * time.Second
	// admitRetryInterval is the least time between two proposals of AdmitVersions for a service. A refused one would otherwise
	// be repeated with each step, and fill the logs of the control group.
	admitRetryInterval = 2 * time.Second
	// leaderConfirmedFor is the age, in heartbeat intervals, up to which the last confirmation by a quorum lets a leader give
	// allowances. A leader that is cut off would give them beside its successor.
	leaderConfirmedFor = 2
)

// rolloutReporter reports what the gate of this process counted to the control leader while rollouts run.
type rolloutReporter struct {
	node *Node
	// ticks is used by run only.
	ticks int

	mu sync.Mutex // guards leader
	// leader is the control VM that replied last.
	leader string
}

// run sends the reports that are due. It does not wait for replies: a control VM that hangs must not delay the next reports.
func (r *rolloutReporter) run() {
	running := r.node.fleet.RunningRollouts()
	if len(running) == 0 {
		return
	}
	r.ticks++
	reports, isNew := r.node.gate.RolloutReports()
	for i := range reports {
		view := running[reports[i].Service]
		if !isNew[i] && !view.OldRefuse() && r.ticks%slowRolloutReports != 0 {
			continue
		}
		reports[i].Incarnation = r.node.incarnation
		spawn(&r.node.tomb, func() { r.send(&reports[i]) })
	}
}

// send sends a report to the control leader, and to the other control VMs if it does not reply soon.
func (r *rolloutReporter) send(report *rollout.Report) {
	ctx, cancel := context.WithTimeout(r.node.tomb.Context(context.Background()), rolloutReportTimeout)
	defer cancel()
	r.mu.Lock()
	leader := r.leader
	r.mu.Unlock()
	others := func() []string { return r.node.groups.candidates(groupControl, "") }
	reply, from := firstReply(ctx, leader, others, func(ctx context.Context, address string) (rollout.Reply, error) {
		return r.call(ctx, address, report)
	})
	if from == "" {
		return
	}
	r.mu.Lock()
	r.leader = from
	r.mu.Unlock()
	r.node.gate.RolloutReplied(report, reply)
}

// firstReply returns the first reply of a control VM and its address; the address is empty without one. The load pattern is a
// control VM that accepts calls and does not reply: others are called, all at once, when leader is empty, fails or has not replied
// after rolloutHedgeDelay. A process that an error names as the leader is called too.
func firstReply(
	ctx context.Context, leader string, others func() []string, call func(context.Context, string) (rollout.Reply, error),
) (reply rollout.Reply, from string) {
	type result struct {
		reply rollout.Reply
		from  string
		err   error
	}
	ctx, cancel := context.WithCancel(ctx)
	var calls sync.WaitGroup
	defer calls.Wait()
	defer cancel()
	results := make(chan result)
	called, pending := map[string]bool{"": true}, 0
	start := func(address string) {
		if called[address] {
			return
		}
		called[address] = true
		pending++
		calls.Go(func() {
			reply, err := call(ctx, address)
			select {
			case results <- result{reply, address, err}:
			case <-ctx.Done():
			}
		})
	}
	startOthers := sync.OnceFunc(func() {
		for _, address := range others() {
			start(address)
		}
	})
	hedge := time.NewTimer(rolloutHedgeDelay)
	defer hedge.Stop()
	start(leader)
	for {
		if pending == 0 {
			startOthers()
		}
		if pending == 0 {
			return reply, ""
		}
		select {
		case r := <-results:
			pending--
			if r.err == nil {
				return r.reply, r.from
			}
			start(leaderHint(r.err))
		case <-hedge.C:
			startOthers()
		case <-ctx.Done():
			return reply, ""
		}
	}
}

func (r *rolloutReporter) call(ctx context.Context, address string, report *rollout.Report) (reply rollout.Reply, err error) {
	if r.node.control != nil && address == r.node.opts.PeerAddress {
		return r.node.control.rollouts.serveReport(ctx, "", *report)
	}
	err = r.node.client.Call(ctx, address, methodRolloutReport, report, &reply)
	return reply, err
}

// rolloutLeader decides about the running rollouts while this process leads the control group.
type rolloutLeader struct {
	role *controlRole

	mu sync.Mutex // guards the fields below
	// deciders holds the decider of each running rollout, by service; empty while another process leads.
	deciders map[string]*rollout.Decider
	// leadingSince is when this process began to lead; leading is false while it does not.
	leadingSince time.Duration
	leading      bool
	// term is the last term in which step found this process to lead, and leadsFrom the index that it must have applied before
	// it decides.
	term, leadsFrom uint64
	// proposing holds the services with a proposal that has not ended.
	proposing map[string]bool
	// admitAfter is the earliest time of the next proposal of AdmitVersions, by service.
	admitAfter map[string]time.Duration
	// decided and failed limit the lines about decisions and about failed proposals, by service.
	decided, failed map[string]*repeatedLine
}

// repeatedLogInterval is the least time between two lines about a decision that is proposed again.
const repeatedLogInterval = 10 * time.Second

// repeatedLine limits the log lines about one decision. The load pattern is a control group without a quorum, in which a decision
// is repeated twice a second.
type repeatedLine struct {
	key      string
	loggedAt time.Duration
	// repeats counts the occurrences since the last line.
	repeats int
}

// next counts an occurrence. It reports whether to log it, and how many were not logged before.
func (r *repeatedLine) next(key string, now time.Duration) (repeats int, ok bool) {
	if key == r.key && now-r.loggedAt < repeatedLogInterval {
		r.repeats++
		return 0, false
	}
	if key == r.key {
		repeats = r.repeats
	}
	*r = repeatedLine{key: key, loggedAt: now}
	return repeats, true
}

// lineOf returns the service's entry in lines.
func lineOf(lines map[string]*repeatedLine, service string) *repeatedLine {
	if lines[service] == nil {
		lines[service] = &repeatedLine{}
	}
	return lines[service]
}

// decisionKey identifies a decision in the log: a repeated one differs in its time and in the counts of its reason only.
func decisionKey(c *state.Command) string {
	if d := c.DecideRollout; d != nil {
		return fmt.Sprint(d.ID, " ", d.Previous, " ", d.Phase)
	}
	return string(c.Kind())
}

func newRolloutLeader(c *controlRole) *rolloutLeader {
	return &rolloutLeader{
		role: c, deciders: map[string]*rollout.Decider{}, proposing: map[string]bool{}, admitAfter: map[string]time.Duration{},
		decided: map[string]*repeatedLine{}, failed: map[string]*repeatedLine{},
	}
}

// serveReport handles methodRolloutReport.
func (l *rolloutLeader) serveReport(_ context.Context, _ string, report rollout.Report) (rollout.Reply, error) {
	c := l.role
	status := c.groups[groupControl].Status()
	if status.Role != raft.Leader {
		return rollout.Reply{}, c.proposeError(groupControl, &raft.NotLeaderError{Leader: status.Leader})
	}
	if !c.heartbeats.confirmedWithin(leaderConfirmedFor * c.node.opts.LeaderHeartbeatInterval) {
		return rollout.Reply{}, &rpc.RemoteError{Code: rpc.CodeUnavailable, Message: "no quorum confirmed the leader lately"}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	d, ok := l.deciders[report.Service]
	if !ok || status.Term != l.term || d.Plan().ID != report.Rollout {
		return rollout.Reply{}, &rpc.RemoteError{Code: rpc.CodeUnavailable, Message: "no such rollout runs"}
	}
	return d.Report(c.node.clock(), report), nil
}

// step starts and ends deciders with the rollouts in the fleet state, and proposes what they decide.
func (l *rolloutLeader) step() {
	now := l.role.node.clock()
	leads := l.begin(l.role.groups[groupControl].Status())
	var running []state.Rollout
	var admit []state.AdmitVersions
	if leads {
		l.role.machine.View(func(s *state.State) {
			for _, r := range s.Rollouts() {
				if r.Running() {
					running = append(running, r)
				}
			}
			admit = l.unrecorded(s, now)
		})
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if leads && !l.leading {
		l.leadingSince = now
	}
	l.leading = leads
	l.update(running, now)
	for service, d := range l.deciders {
		if decision, ok := d.Step(now); ok && !l.proposing[service] {
			l.propose(service, decideCommand(d.Plan(), decision))
			l.logDecision(d, decision, now)
		}
	}
	for _, a := range admit {
		if !l.proposing[a.Service] && now >= l.admitAfter[a.Service] {
			l.admitAfter[a.Service] = now + admitRetryInterval
			l.propose(a.Service, state.Command{AdmitVersions: &a})
		}
	}
}

// begin reports whether this process leads and has applied what earlier leaders committed. A decider that began with an older plan
// would take later decisions for its own, and give allowances beside those that an earlier leader gave. For the same reason no
// decider outlives a term, even if this process leads the next one too.
func (l *rolloutLeader) begin(status raft.Status) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if status.Role != raft.Leader {
		return false
	}
	if status.Term != l.term {
		l.term, l.leadsFrom, l.leading = status.Term, status.LastIndex, false
		clear(l.deciders)
	}
	return status.Applied >= l.leadsFrom
}

// update makes the deciders match the running rollouts. The caller holds mu.
func (l *rolloutLeader) update(running []state.Rollout, now time.Duration) {
	plans := map[string]rollout.Plan{}
	for i := range running {
		plans[running[i].Service] = proxy.RolloutPlan(&running[i])
	}
	for service, d := range l.deciders {
		if plan, ok := plans[service]; !ok || plan.ID != d.Plan().ID {
			delete(l.deciders, service)
		}
	}
	for service, plan := range plans {
		if d, ok := l.deciders[service]; ok {
			d.Apply(now, plan)
			continue
		}
		settings := l.role.node.opts.Rollouts.Settings
		l.role.machine.View(func(s *state.State) { settings.FloorPercent = s.Config().Services[service].FloorPercent })
		l.deciders[service] = rollout.New(settings, plan, now)
		l.role.node.opts.Log.Info().Str("service", service).Str("version", plan.NewVersion).Str("phase", string(plan.Phase)).
			Uint64("decision", plan.Decision).Dur("elapsed", plan.Elapsed).Msg("rollout: this process decides.")
	}
}

// unrecorded returns the versions that servers have now of services without a record. It needs no lock: leadingSince and
// leading are written by step only.
func (l *rolloutLeader) unrecorded(s *state.State, now time.Duration) (list []state.AdmitVersions) {
	if !l.role.node.opts.Rollouts.HoldUnknownVersions || !l.leading || now-l.leadingSince < admitVersionsAfter {
		return nil
	}
	var missing []string
	for service := range s.Config().Services {
		if len(s.Admitted(service)) == 0 {
			missing = append(missing, service)
		}
	}
	if len(missing) == 0 {
		return nil
	}
	versions := map[string][]string{}
	for _, m := range l.role.node.gossip.list() {
		for _, row := range m.meta.Rows {
			if r, ok := s.Rollout(row.Service); row.Version != "" && !(ok && r.NewVersion == row.Version) {
				versions[row.Service] = append(versions[row.Service], row.Version)
			}
		}
	}
	for _, service := range missing {
		if found := versions[service]; len(found) > 0 {
			slices.Sort(found)
			list = append(list, state.AdmitVersions{Service: service, Versions: slices.Compact(found)})
		}
	}
	return list
}

func decideCommand(plan rollout.Plan, d rollout.Decision) state.Command {
	return state.Command{DecideRollout: &state.DecideRollout{
		Service: plan.Service, ID: plan.ID, Previous: d.Previous, Phase: state.RolloutPhase(d.Phase),
		Percent: d.Percent, Servers: d.Servers, ElapsedMs: d.Elapsed.Milliseconds(), Reason: d.Reason,
	}}
}

// propose proposes a command in the background. The caller holds mu.
func (l *rolloutLeader) propose(service string, command state.Command) {
	l.proposing[service] = true
	ok := spawn(&l.role.node.tomb, func() {
		ctx, cancel := context.WithTimeout(l.role.node.tomb.Context(context.Background()), rolloutProposeTimeout)
		defer cancel()
		err := l.commit(ctx, command)
		l.mu.Lock()
		delete(l.proposing, service)
		repeats, logged := 0, false
		if err != nil {
			repeats, logged = lineOf(l.failed, service).next(decisionKey(&command), l.role.node.clock())
		}
		l.mu.Unlock()
		if logged {
			l.role.node.opts.Log.Warn().Err(err).Str("service", service).Str("kind", string(command.Kind())).Int("repeats", repeats).
				Msg("rollout: proposal failed.")
		}
	})
	if !ok {
		delete(l.proposing, service)
	}
}

func (l *rolloutLeader) commit(ctx context.Context, command state.Command) error {
	if err := l.role.checkRolloutsKnown(); err != nil {
		return err
	}
	result, err := l.role.proposeRollout(ctx, command)
	if err == nil && result.Err != nil {
		err = result.Err
	}
	return err
}

// logDecision logs a decision with the counts of both versions, and a repeated one at most every repeatedLogInterval. The caller
// holds mu.
func (l *rolloutLeader) logDecision(d *rollout.Decider, decision rollout.Decision, now time.Duration) {
	plan := d.Plan()
	before, after := d.Counts(now)
	metrics.GetOrCreateCounter(fmt.Sprintf("rosemaryline_rollout_decisions_total{service=%q,phase=%q}", plan.Service, string(decision.Phase))).Inc()
	command := decideCommand(plan, decision)
	repeats, ok := lineOf(l.decided, plan.Service).next(decisionKey(&command), now)
	if !ok {
		return
	}
	l.role.node.opts.Log.Info().Str("service", plan.Service).Str("version", plan.NewVersion).Str("phase", string(decision.Phase)).
		Int("percent", decision.Percent).Int("servers", decision.Servers).Dur("elapsed", decision.Elapsed).
		Uint64("oldArrived", before.Arrived).Uint64("oldBad", before.Bad()).Uint64("newArrived", after.Arrived).
		Uint64("newBad", after.Bad()).Int("oldSlots", before.Slots).Int("newSlots", after.Slots).
		Int("repeats", repeats).Str("reason", decision.Reason).Msg("rollout: decided.")
}

// confirmedWithin reports whether a quorum confirmed during the last d that this process leads.
func (h *heartbeats) confirmedWithin(d time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.leading && h.role.node.clock()-h.issuedAt <= d
}
