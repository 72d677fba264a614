package state

import (
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rosemaryline.dev/fleet/config"
)

// checkRollout is the part of oracle.check for commands about rollouts.
func (o *oracle) checkRollout(c *Command) Code {
	running := o.rollout != nil && !o.rollout.Phase.Final()
	outdated := func(id string) Code {
		if o.rollout == nil {
			return CodeNotFound
		}
		if !running || o.rollout.ID != id {
			return CodeConflict
		}
		return ""
	}
	switch {
	case c.BeginRollout != nil && (running || c.BeginRollout.Base != o.rolloutBase()):
		return CodeConflict
	case c.BeginRollout != nil && slices.Equal(o.admitted, []string{c.BeginRollout.NewVersion}):
		return CodeUnchanged
	case c.AdmitVersions != nil && len(o.admitted) > 0:
		return CodeUnchanged
	case c.AdmitVersions != nil && o.rollout != nil && slices.Contains(c.AdmitVersions.Versions, o.rollout.NewVersion):
		return CodeInvalid
	case c.AbortRollout != nil:
		return outdated(c.AbortRollout.ID)
	case c.DecideRollout != nil:
		d := c.DecideRollout
		if code := outdated(d.ID); code != "" {
			return code
		}
		if d.Previous != o.rollout.Decision {
			return CodeConflict
		}
		if slices.Index(drawnPhases, d.Phase) < slices.Index(drawnPhases, o.rollout.Phase) || d.ElapsedMs < o.rollout.ElapsedMs {
			return CodeInvalid
		}
	}
	return ""
}

func (o *oracle) rolloutBase() uint64 {
	if o.rollout == nil {
		return 0
	}
	return o.rollout.Begun
}

func (o *oracle) applyRollout(c *Command) {
	switch {
	case c.BeginRollout != nil:
		o.rollout = &Rollout{
			ID: c.ChangeID, Service: "web", NewVersion: c.BeginRollout.NewVersion, DurationMs: c.BeginRollout.DurationMs,
			Operator: c.Operator, Phase: RolloutCanary, Begun: o.version,
		}
	case c.DecideRollout != nil:
		d := c.DecideRollout
		o.rollout.Phase, o.rollout.Percent, o.rollout.Servers = d.Phase, d.Percent, d.Servers
		o.rollout.ElapsedMs, o.rollout.Reason = d.ElapsedMs, d.Reason
		o.rollout.Decision++
		if d.Phase == RolloutCompleted {
			o.admitted = []string{o.rollout.NewVersion}
		}
	case c.AbortRollout != nil:
		o.rollout.Phase, o.rollout.Percent, o.rollout.Servers = RolloutRolledBack, 0, 0
		o.rollout.Reason = "aborted by " + c.Operator
		o.rollout.Decision++
	case c.AdmitVersions != nil:
		o.admitted = c.AdmitVersions.Versions
	}
}

// drawnPhases are the phases in order.
var drawnPhases = []RolloutPhase{RolloutCanary, RolloutLoaded, RolloutCutover, RolloutCompleted, RolloutRolledBack}

// rollout sends a command about the rollout of the service, based on its present state or on an outdated one. It must not
// cause conflicts for operators' changes.
func (f *fleetRun) rollout(t *rapid.T) {
	current, _ := f.state.Rollout("web")
	id := rapid.SampledFrom([]string{current.ID, current.ID, current.ID, "other"}).Draw(t, "id")
	version := rapid.SampledFrom([]string{"v1", "v2", "v3"}).Draw(t, "version")
	c := Command{Operator: rapid.SampledFrom([]string{"ann", "vm1"}).Draw(t, "operator")}
	switch rapid.IntRange(0, 6).Draw(t, "kind") {
	case 0, 1:
		base := f.state.RolloutBase("web")
		c.BeginRollout = &BeginRollout{
			Service: "web", NewVersion: version, DurationMs: 10_000,
			Base: rapid.SampledFrom([]uint64{base, base, base, 0, base + 1}).Draw(t, "base"),
		}
	case 2:
		c.AbortRollout = &AbortRollout{Service: "web", ID: id}
	case 3:
		c.AdmitVersions = &AdmitVersions{Service: "web", Versions: []string{version}}
	default:
		c.DecideRollout = &DecideRollout{
			Service: "web", ID: id,
			Previous: rapid.SampledFrom([]uint64{current.Decision, current.Decision, current.Decision + 1, 0}).Draw(t, "previous"),
			Phase:    rapid.SampledFrom(drawnPhases).Draw(t, "phase"),
			Percent:  rapid.IntRange(0, 100).Draw(t, "percent"), Servers: rapid.IntRange(0, 3).Draw(t, "servers"),
			ElapsedMs: current.ElapsedMs + int64(rapid.IntRange(-1, 3).Draw(t, "elapsed")), Reason: "evidence",
		}
	}
	f.send(t, c, "")
}

func (f *fleetRun) checkRollout(t *rapid.T) {
	got, ok := f.state.Rollout("web")
	assert.Equal(t, ok, f.oracle.rollout != nil)
	if ok {
		assert.DeepEqual(t, got, *f.oracle.rollout)
	}
	assert.Assert(t, slices.Equal(f.state.Admitted("web"), f.oracle.admitted))
}

// Guards against rollout commands that every copy would keep although they name nothing or have no meaning.
func TestRolloutRefusals(t *testing.T) {
	s := newTestState(t)
	begin := propose(t, s, Command{ChangeID: "begin", BeginRollout: &BeginRollout{Service: "web", NewVersion: "v2", DurationMs: 1000}})
	assert.Assert(t, begin.Err == nil)
	decide := func(change func(*DecideRollout)) Command {
		d := &DecideRollout{Service: "web", ID: "begin", Phase: RolloutLoaded, Percent: 5}
		change(d)
		return Command{DecideRollout: d}
	}
	for i, test := range []struct {
		command Command
		want    Code
		field   string
	}{
		{Command{BeginRollout: &BeginRollout{Service: "none", NewVersion: "v2", DurationMs: 1}}, CodeNotFound, "service"},
		{Command{BeginRollout: &BeginRollout{Service: "web", DurationMs: 1}}, CodeInvalid, "newVersion"},
		{Command{BeginRollout: &BeginRollout{Service: "web", NewVersion: "v2"}}, CodeInvalid, "durationMs"},
		{Command{BeginRollout: &BeginRollout{Service: "web", NewVersion: "v2", DurationMs: maxRolloutMs + 1}}, CodeInvalid, "durationMs"},
		{decide(func(d *DecideRollout) { d.Phase = "done" }), CodeInvalid, "phase"},
		{decide(func(d *DecideRollout) { d.Percent = 101 }), CodeInvalid, "percent"},
		{decide(func(d *DecideRollout) { d.Servers = -1 }), CodeInvalid, "servers"},
		{decide(func(d *DecideRollout) { d.ElapsedMs = -1 }), CodeInvalid, "elapsedMs"},
		{Command{AbortRollout: &AbortRollout{Service: "none"}}, CodeNotFound, "services.none.rollout"},
		{Command{AdmitVersions: &AdmitVersions{Service: "none", Versions: []string{"v1"}}}, CodeNotFound, "service"},
		{Command{AdmitVersions: &AdmitVersions{Service: "web"}}, CodeInvalid, "versions"},
		{Command{AdmitVersions: &AdmitVersions{Service: "web", Versions: []string{""}}}, CodeInvalid, "versions"},
	} {
		test.command.ChangeID = fmt.Sprint("refused-", i)
		result := propose(t, s, test.command)
		assert.Assert(t, result.Err != nil, "case %d", i)
		assert.Equal(t, result.Err.Code, test.want, result.Err.Message)
		assert.DeepEqual(t, result.Err.Fields, []string{test.field})
		assert.Equal(t, s.Version(), begin.Version)
	}
}

// Guards against the rollout of a removed service that applies to a later service of the same name, and against an order
// from before the removal that is acknowledged by its old result, or begins a rollout, after the service is back.
func TestRemovedServiceDropsItsRollout(t *testing.T) {
	for _, replace := range []bool{false, true} {
		t.Run(fmt.Sprint("replace ", replace), func(t *testing.T) {
			s := newTestState(t)
			setServices := func(id string, change config.Entries[config.Service]) {
				t.Helper()
				c := Command{ChangeID: id, BaseVersion: s.Version(), Apply: applyCommand(config.Change{Services: change})}
				if replace {
					c.Apply, c.Replace = nil, &Replace{Label: s.Label() + 1, BaseLabel: s.Label(), Change: config.Change{Services: change}}
				}
				result := propose(t, s, c)
				assert.Assert(t, result.Err == nil, "%v", result.Err)
			}
			api := config.Entries[config.Service]{Set: map[string]config.Service{"api": s.Config().Services["web"]}}
			setServices("add", api)
			order := BeginRollout{Service: "api", NewVersion: "v2", DurationMs: 1000, Base: s.RolloutBase("api")}
			assert.Assert(t, propose(t, s, Command{ChangeID: "order", BeginRollout: &order}).Err == nil)
			decide := Command{ChangeID: "decide", Time: time.Unix(7, 0), DecideRollout: &DecideRollout{
				Service: "api", ID: "order", Phase: RolloutCompleted, Percent: 100,
			}}
			assert.Assert(t, propose(t, s, decide).Err == nil)
			r, _ := s.Rollout("api")
			assert.Assert(t, r.Ended.Equal(time.Unix(7, 0)))
			assert.DeepEqual(t, s.Admitted("api"), []string{"v2"})

			setServices("remove", config.Entries[config.Service]{Remove: []string{"api"}})
			assert.Equal(t, len(s.Rollouts())+len(s.Admitted("api")), 0)
			setServices("add again", api)
			assert.Assert(t, s.RolloutBase("api") != order.Base)
			assert.Equal(t, propose(t, s, Command{ChangeID: "late", BeginRollout: &order}).Err.Code, CodeConflict)
			_, ok := s.Rollout("api")
			assert.Assert(t, !ok)
			data, err := s.SharedSnapshot()
			assert.NilError(t, err)
			restored, err := Restore(data)
			assert.NilError(t, err)
			assert.Equal(t, restored.RolloutBase("api"), s.RolloutBase("api"))
		})
	}
}

// Guards against an order that is refused for good because it was sent once before the service was configured.
func TestOrderOfAnUnknownServiceCanBeSentAgain(t *testing.T) {
	s := newTestState(t)
	order := Command{ChangeID: "order", BeginRollout: &BeginRollout{Service: "api", NewVersion: "v2", DurationMs: 1000}}
	assert.Equal(t, propose(t, s, order).Err.Code, CodeNotFound)
	api := config.Entries[config.Service]{Set: map[string]config.Service{"api": s.Config().Services["web"]}}
	assert.Assert(t, propose(t, s, Command{ChangeID: "add", BaseVersion: 1, Apply: applyCommand(config.Change{Services: api})}).Err == nil)
	assert.Assert(t, propose(t, s, order).Err == nil)
}

// Guards against a fleet that cannot start from its data after the upgrade: the snapshot was written by the build of commit
// 588c8dc, which had no rollouts.
func TestSnapshotOfTheBuildBeforeRollouts(t *testing.T) {
	data, err := os.ReadFile("testdata/snapshot-before-rollouts.json")
	assert.NilError(t, err)
	s, err := Restore(data)
	assert.NilError(t, err)
	assert.Equal(t, s.Version(), uint64(4))
	assert.Equal(t, len(s.Rollouts())+len(s.Admitted("web")), 0)
	assert.Assert(t, !s.KnowsRollouts())
	assert.Assert(t, s.DomainOut("d2"))
	again, err := s.Snapshot()
	assert.NilError(t, err)
	assert.Equal(t, string(again)+"\n", string(data), "a snapshot without rollouts must not change")
	result := propose(t, s, Command{ChangeID: "begin", BeginRollout: &BeginRollout{Service: "web", NewVersion: "v2", DurationMs: 1000}})
	assert.Equal(t, result, Result{Version: 5})
}
