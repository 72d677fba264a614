package node

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"rosemaryline.dev/fleet/state"
	"rosemaryline.dev/proxy"
	"rosemaryline.dev/raft"
	"rosemaryline.dev/rollout"
	"rosemaryline.dev/rpc"
)

func withRollouts(o *Options) {
	o.Rollouts = &RolloutOptions{
		Settings:            rollout.Settings{ExposureShare: 0.1, ExposureSlack: 50, RollbackAfter: 5 * time.Second},
		HoldUnknownVersions: true,
	}
}

// repeatInterval is the time after which a decider returns a decision again that was not applied.
const repeatInterval = 500 * time.Millisecond

const (
	modelServers = 30                     // of each version
	modelSlots   = 5                      // of each server
	modelRate    = 300                    // requests per second
	modelLatency = 300 * time.Millisecond // of each request
	modelTick    = 25 * time.Millisecond
)

// modelGate counts the requests to one server, all of which succeed.
type modelGate struct {
	mu        sync.Mutex
	report    rollout.Report
	allowance rollout.Allowance
	isNew     bool
	ends      []time.Duration
}

// arrive starts a request unless the allowance is used up.
func (g *modelGate) arrive(now time.Duration, limited bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.isNew && limited && !g.allowance.Admit(g.report.Arrived) {
		return false
	}
	g.report.Arrived++
	g.ends = append(g.ends, now+modelLatency)
	counts := g.report.Routes["root"]
	counts.Started++
	g.report.Routes["root"] = counts
	return true
}

func (g *modelGate) next(now time.Duration, view rollout.View) rollout.Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	counts := g.report.Routes["root"]
	g.ends = slices.DeleteFunc(g.ends, func(end time.Duration) bool {
		if end > now {
			return false
		}
		counts.Succeeded++
		counts.Latency[rollout.LatencyBucket(modelLatency)]++
		return true
	})
	g.report.Routes["root"] = counts
	g.report.Sequence++
	g.report.Applied, g.report.Running, g.report.KnownMs = view.Decision(), len(g.ends), now.Milliseconds()
	g.allowance.Fill(&g.report)
	r := g.report
	r.Routes = map[string]rollout.RouteCounts{"root": counts}
	return r
}

func (g *modelGate) arrived() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.report.Arrived
}

func (g *modelGate) replied(sequence uint64, reply rollout.Reply) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.allowance.Replied(sequence, reply)
}

// rolloutModel is the gates of a service whose two versions are equally good.
type rolloutModel struct {
	gates []*modelGate
	rng   *rand.Rand
}

func newRolloutModel(id string) *rolloutModel {
	m := &rolloutModel{rng: rand.New(rand.NewPCG(1, 1))}
	for i := range 2 * modelServers {
		g := &modelGate{isNew: i >= modelServers}
		g.report = rollout.Report{
			VM: fmt.Sprint("gate-", i), Incarnation: 1, Rollout: id, Service: "svc", Version: "v1", Slots: modelSlots,
			Routes: map[string]rollout.RouteCounts{},
		}
		if g.isNew {
			g.report.Version = "v2"
		}
		m.gates = append(m.gates, g)
	}
	return m
}

// send starts one request as an entry does.
func (m *rolloutModel) send(now time.Duration, view rollout.View) {
	var names []string
	for _, g := range m.gates[modelServers:] {
		names = append(names, g.report.VM)
	}
	if view.ToNew(m.rng) {
		names = view.Participants(names)
		name := names[m.rng.IntN(len(names))]
		for _, g := range m.gates {
			if g.report.VM == name && g.arrive(now, view.Limited()) {
				return
			}
		}
	}
	m.gates[m.rng.IntN(modelServers)].arrive(now, false)
}

// report sends the reports of all gates at once.
func (m *rolloutModel) report(t *testing.T, now time.Duration, view rollout.View, from *Node, leader string) {
	var wait sync.WaitGroup
	for _, g := range m.gates {
		wait.Go(func() {
			r := g.next(now, view)
			if reply, err := (&rolloutReporter{node: from}).call(t.Context(), leader, &r); err == nil {
				g.replied(r.Sequence, reply)
			}
		})
	}
	wait.Wait()
}

// Guards against a rollout that stops, begins again or exceeds its bound when the leader is lost between two decisions.
func TestNextLeaderCompletesTheRollout(t *testing.T) {
	f := startRolloutFleet(t, withRollouts)
	f.propose(state.Command{AdmitVersions: &state.AdmitVersions{Service: "svc", Versions: []string{"v1"}}})
	order := testOrder
	order.Duration = 12 * time.Second
	assert.Assert(t, f.begin(f.nodes[0], "operator", order) == nil)
	first := f.rollout(f.nodes[0])
	model := newRolloutModel(first.ID)
	began := time.Now()
	now := func() time.Duration { return time.Since(began) }

	var killed *Node
	var reporting atomic.Bool
	var reports sync.WaitGroup
	defer reports.Wait()
	sent, atCutover := 0, uint64(0)
	var last state.Rollout
	for last.Phase = state.RolloutCanary; last.Running(); time.Sleep(modelTick) {
		assert.Assert(t, now() < order.Duration, "the rollout did not end: %+v", last)
		survivor, leader := f.nodes[0], (*Node)(nil)
		for _, n := range f.nodes {
			if n == killed {
				continue
			}
			survivor = n
			if n.control.isLeader(groupControl) {
				leader = n
			}
		}
		var view rollout.View
		var r state.Rollout
		survivor.viewState(func(s *state.State) {
			r, _ = s.Rollout("svc")
			plan := proxy.RolloutPlan(&r)
			view = rollout.NewView(s.Admitted("svc"), &plan)
		})
		if r.ID == "" || r.Decision < last.Decision {
			continue // this replica is behind
		}
		assert.Equal(t, r.ID, first.ID)
		last = r
		if view.Limited() {
			atCutover = 0
			for _, g := range model.gates[modelServers:] {
				atCutover += g.arrived()
			}
		}
		for ; sent < int(now().Seconds()*modelRate); sent++ {
			model.send(now(), view)
		}
		if killed == nil && last.Phase == state.RolloutLoaded && leader != nil {
			killed = leader
			go killed.Kill()
			continue
		}
		if leader != nil && reporting.CompareAndSwap(false, true) {
			at := now()
			reports.Go(func() {
				model.report(t, at, view, survivor, leader.PeerAddress())
				time.Sleep(rolloutReportInterval)
				reporting.Store(false)
			})
		}
	}
	assert.Assert(t, killed != nil)
	assert.Equal(t, last.Phase, state.RolloutCompleted, last.Reason)
	assert.Assert(t, float64(atCutover) <= 0.1*float64(sent)+50, "%d of %d requests before cutover", atCutover, sent)
	t.Logf("%s after %s: %s", last.Phase, now(), last.Reason)
}

// Guards against a report that a control VM delays or swallows because it accepts calls and does not reply.
func TestReportReachesTheLeaderBesideHungControlVMs(t *testing.T) {
	for _, leader := range []string{"", "hung-1", "refuses", "leader"} {
		t.Run("known leader "+leader, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				call := func(ctx context.Context, address string) (rollout.Reply, error) {
					switch address {
					case "leader":
						time.Sleep(50 * time.Millisecond)
						return rollout.Reply{Allowed: 7}, nil
					case "refuses":
						return rollout.Reply{}, &rpc.RemoteError{Code: rpc.CodeUnavailable}
					}
					<-ctx.Done()
					return rollout.Reply{}, ctx.Err()
				}
				others := func() []string { return []string{"hung-1", "hung-2", "refuses", "leader"} }
				ctx, cancel := context.WithTimeout(t.Context(), rolloutReportTimeout)
				defer cancel()
				began := time.Now()
				reply, from := firstReply(ctx, leader, others, call)
				assert.Equal(t, from, "leader")
				assert.Equal(t, reply.Allowed, uint64(7))
				assert.Assert(t, time.Since(began) < 500*time.Millisecond)
			})
		})
	}
}

// Guards against reports of a gate that wait for each other while the last known leader hangs, in a fleet.
func TestReportFindsTheNextLeaderOfAFleet(t *testing.T) {
	f := startRolloutFleet(t, withRollouts)
	f.propose(state.Command{AdmitVersions: &state.AdmitVersions{Service: "svc", Versions: []string{"v1"}}})
	order := testOrder
	order.Duration = 30 * time.Second
	assert.Assert(t, f.begin(f.nodes[0], "operator", order) == nil)
	first := f.rollout(f.nodes[0])
	hung, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer hung.Close()
	r := &rolloutReporter{node: f.nodes[1], leader: hung.Addr().String()}
	eventually(t, "the leader has the report", func() error {
		began := time.Now()
		r.leader = hung.Addr().String()
		r.send(&rollout.Report{VM: "vm", Incarnation: 1, Sequence: 1, Rollout: first.ID, Service: "svc", Version: "v1"})
		if took := time.Since(began); r.leader != f.leader().PeerAddress() || took >= 500*time.Millisecond {
			return errors.Errorf("%q replied, %v", r.leader, took)
		}
		return nil
	})
}

// Guards against a command that is proposed several times a second although it is refused, which fills the logs of the group.
func TestRefusedAdmitVersionsIsNotRepeatedAtOnce(t *testing.T) {
	f := startRolloutFleet(t, withRollouts)
	eventually(t, "announcement", func() error {
		return f.nodes[1].gate.Announce(proxy.Announcement{
			Name: "server", Service: "svc", Address: "127.0.0.1:9", Instance: "1", Version: strings.Repeat("v", 1000),
		}, time.Now())
	})
	proposals := func() (n int) {
		f.leader().viewState(func(s *state.State) {
			for _, r := range s.History(1000) {
				if r.Kind == state.KindAdmitVersions {
					n++
				}
			}
		})
		return n
	}
	eventually(t, "the first proposal", func() error {
		if proposals() == 0 {
			return errors.New("none")
		}
		return nil
	})
	time.Sleep(admitRetryInterval / 2)
	assert.Equal(t, proposals(), 1)
}

// Guards against a log line for each repetition of a decision whose proposal fails.
func TestRepeatedDecisionIsLoggedEveryTenSeconds(t *testing.T) {
	var lines bytes.Buffer
	l := newRolloutLeader(&controlRole{node: &Node{opts: Options{Log: &log.Logger{Writer: &log.IOWriter{Writer: &lines}}}}})
	d := rollout.New(rollout.Settings{}, rollout.Plan{ID: "a", Service: "svc"}, 0)
	for now := time.Duration(0); now < 25*time.Second; now += repeatInterval {
		l.logDecision(d, rollout.Decision{Phase: rollout.RolledBack, Elapsed: now, Reason: now.String()}, now)
	}
	l.logDecision(d, rollout.Decision{Previous: 1, Phase: rollout.RolledBack}, 25*time.Second)
	assert.Equal(t, strings.Count(lines.String(), "rollout: decided."), 4, lines.String())
	assert.Equal(t, strings.Count(lines.String(), `"repeats":19`), 2, lines.String())
}

// Guards against a new leader that gives allowances beside those of an earlier one, because it decides before it has applied the
// earlier decisions or keeps a decider from a term that ended.
func TestRolloutLeaderBeginsAnewInEachTerm(t *testing.T) {
	l := newRolloutLeader(nil)
	leader := func(term, last, applied uint64) raft.Status {
		return raft.Status{Role: raft.Leader, Term: term, LastIndex: last, Applied: applied}
	}
	assert.Assert(t, !l.begin(leader(5, 10, 8)))
	assert.Assert(t, l.begin(leader(5, 12, 10)))
	l.deciders["svc"] = rollout.New(rollout.Settings{}, rollout.Plan{ID: "a"}, 0)
	assert.Assert(t, l.begin(leader(5, 14, 12)))
	assert.Equal(t, len(l.deciders), 1)
	assert.Assert(t, !l.begin(raft.Status{Role: raft.Follower, Term: 6}))
	assert.Assert(t, !l.begin(leader(7, 20, 14)))
	assert.Equal(t, len(l.deciders), 0)
}
