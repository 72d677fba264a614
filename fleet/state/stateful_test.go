package state

import (
	"bytes"
	"crypto/sha256"
	"flag"
	"fmt"
	"reflect"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rosemaryline.dev/fleet/config"
)

func init() { flag.Set("rapid.seed", "1") }

// oracle is a simple model of what operators rely on: results by change ID, rates, key owners, the status of failure
// domains and the rollout of one service. It never drops anything.
type oracle struct {
	version, operatorVersion uint64
	results                  map[string]Result
	rates                    map[string]float64
	keys                     map[string]string // key to team
	withdrawn                map[string]bool
	out                      map[string]bool
	rollout                  *Rollout
	admitted                 []string
}

func newOracle() *oracle {
	return &oracle{
		version: 1, operatorVersion: 1,
		results:   map[string]Result{},
		rates:     map[string]float64{"red": 10, "blue": 5},
		keys:      map[string]string{"listed": "red"},
		withdrawn: map[string]bool{}, out: map[string]bool{},
	}
}

// expect returns the code of the expected refusal, or "" if the command must be accepted. It applies an accepted
// command to the oracle.
func (o *oracle) expect(c *Command, key string) Code {
	code := o.check(c, key)
	if code != "" {
		return code
	}
	o.version++
	if c.Kind().byOperator() {
		o.operatorVersion = o.version
	}
	switch {
	case c.Apply != nil:
		for name, team := range c.Apply.Change.Teams.Set {
			o.rates[name] = team.Rate
		}
	case c.IssueKey != nil:
		o.keys[key] = c.IssueKey.Team
	case c.WithdrawKey != nil:
		delete(o.keys, key)
		o.withdrawn[key] = key == "listed"
	case c.SetDomain != nil:
		o.out[c.SetDomain.Domain] = c.SetDomain.Out
	}
	o.applyRollout(c)
	return ""
}

func (o *oracle) check(c *Command, key string) Code {
	if c.Kind().byOperator() && (c.BaseVersion < o.operatorVersion || c.BaseVersion > o.version) {
		return CodeConflict
	}
	_, taken := o.keys[key]
	switch {
	case c.Apply != nil && !o.changesRate(c.Apply.Change):
		return CodeUnchanged
	case c.IssueKey != nil && (taken || o.withdrawn[key]):
		return CodeInvalid
	case c.WithdrawKey != nil && !taken:
		return CodeNotFound
	case c.SetDomain != nil && o.out[c.SetDomain.Domain] == c.SetDomain.Out:
		return CodeUnchanged
	case c.SetDomain != nil && c.SetDomain.Out && len(o.domainsOut()) > 0:
		return CodeNeedsForce // the floor is 60 percent of three failure domains
	}
	return o.checkRollout(c)
}

func (o *oracle) changesRate(c config.Change) bool {
	for name, team := range c.Teams.Set {
		if o.rates[name] != team.Rate {
			return true
		}
	}
	return false
}

func (o *oracle) domainsOut() []string {
	var names []string
	for name, out := range o.out {
		if out {
			names = append(names, name)
		}
	}
	return names
}

// fleetRun is a test run on a State, a follower that copies it by deltas, and the oracle.
type fleetRun struct {
	state, follower *State
	oracle          *oracle
	sent            []sentCommand
	nextID          int
}

type sentCommand struct {
	command Command
	result  Result
}

func (f *fleetRun) newID() string {
	f.nextID++
	return fmt.Sprintf("change-%d", f.nextID)
}

func (f *fleetRun) send(t *rapid.T, c Command, key string) Result {
	c.ChangeID = f.newID()
	before := f.state.Version()
	result := propose(t, f.state, c)
	code := f.oracle.expect(&c, key)
	got := Code("")
	if result.Err != nil {
		got = result.Err.Code
	}
	assert.Equal(t, got, code, "%s: %v", c.Kind(), result.Err)
	assert.Equal(t, result.Version, f.oracle.version)
	assert.Assert(t, f.state.Version() >= before)
	if got != CodeUnchanged {
		f.sent = append(f.sent, sentCommand{c, result})
	}
	return result
}

func (f *fleetRun) drawCommand(t *rapid.T, base uint64) (Command, string) {
	c := Command{Operator: rapid.SampledFrom([]string{"ann", "bob"}).Draw(t, "operator"), BaseVersion: base}
	key := rapid.SampledFrom([]string{"listed", "k1", "k2", "k3"}).Draw(t, "key")
	switch rapid.IntRange(0, 4).Draw(t, "kind") {
	case 0, 1:
		c.Apply = f.drawTeam(t)
	case 2:
		c.IssueKey = &IssueKey{Team: rapid.SampledFrom([]string{"red", "blue"}).Draw(t, "team"), KeyHash: config.HashKey(key)}
	case 3:
		c.WithdrawKey = &WithdrawKey{KeyHash: config.HashKey(key)}
	case 4:
		domain := rapid.SampledFrom([]string{"d1", "d2", "d3"}).Draw(t, "domain")
		c.SetDomain = &SetDomain{Domain: domain, Out: rapid.Bool().Draw(t, "out")}
	}
	return c, key
}

// drawTeam changes only the rate, so that listed keys stay.
func (f *fleetRun) drawTeam(t *rapid.T) *ApplyChange {
	return f.setRate(t, float64(rapid.IntRange(1, 9).Draw(t, "rate")))
}

func (f *fleetRun) setRate(t *rapid.T, rate float64) *ApplyChange {
	name := rapid.SampledFrom([]string{"red", "blue"}).Draw(t, "team")
	team := f.state.Config().Teams[name]
	team.Rate = rate
	return applyCommand(config.Change{Teams: config.Entries[config.Team]{Set: map[string]config.Team{name: team}}})
}

func (f *fleetRun) change(t *rapid.T) {
	version := f.state.Version()
	base := rapid.SampledFrom([]uint64{version, version, version, version - 1, version + 1}).Draw(t, "base")
	c, key := f.drawCommand(t, base)
	f.send(t, c, key)
}

// race sends changes of several operators with the same base version. Exactly one must be accepted.
func (f *fleetRun) race(t *rapid.T) {
	base, winners := f.state.Version(), 0
	for range rapid.IntRange(2, 4).Draw(t, "racers") {
		result := f.send(t, Command{Operator: "racer", BaseVersion: base, Apply: f.setRate(t, float64(1000+f.nextID))}, "")
		if result.Err == nil {
			winners++
			continue
		}
		assert.Assert(t, len(result.Err.Fields) > 0)
	}
	assert.Equal(t, winners, 1)
}

// join sends commands that change the roster. They have no base version and must not cause conflicts for operators.
func (f *fleetRun) join(t *rapid.T) {
	p := Process{Name: f.newID(), Address: "10.0.0.1:7000", Domain: "d1"}
	f.send(t, Command{Operator: p.Name, Join: &p}, "")
	if rapid.Bool().Draw(t, "leaves") {
		f.send(t, Command{Operator: p.Name, Leave: &Leave{Name: p.Name}}, "")
	}
}

// resend sends an earlier command again. It must get the first result and change nothing.
func (f *fleetRun) resend(t *rapid.T) {
	if len(f.sent) == 0 {
		t.Skip("nothing sent")
	}
	first := rapid.SampledFrom(f.sent).Draw(t, "resend")
	first.command.Time = time.Unix(int64(rapid.IntRange(1, 1000).Draw(t, "time")), 0)
	if first.command.BeginRollout != nil {
		begin := *first.command.BeginRollout
		begin.Base = f.state.RolloutBase("web")
		first.command.BeginRollout = &begin
	}
	version := f.state.Version()
	assert.DeepEqual(t, propose(t, f.state, first.command), first.result)
	assert.Equal(t, f.state.Version(), version)
	first.command.Operator = "mallory"
	assert.Equal(t, propose(t, f.state, first.command).Err.Code, CodeChangeIDReused)
}

func (f *fleetRun) restart(t *rapid.T) {
	f.state = restoreCopy(t, f.state)
}

func (f *fleetRun) restartFollower(t *rapid.T) {
	f.follower = restoreCopy(t, f.follower)
}

func restoreCopy(t *rapid.T, s *State) *State {
	data, err := s.Snapshot()
	assert.NilError(t, err)
	restored, err := Restore(data)
	assert.NilError(t, err)
	again, err := restored.Snapshot()
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(data, again))
	return restored
}

// follow applies some of the deltas to the follower. In between it applies repeated and early ones, which must change
// nothing.
func (f *fleetRun) follow(t *rapid.T) {
	deltas, ok := f.state.Since(f.follower.Version())
	assert.Assert(t, ok)
	for _, d := range deltas[:rapid.IntRange(0, len(deltas)).Draw(t, "deltas")] {
		assert.NilError(t, f.follower.ApplyDelta(d))
		var gap *GapError
		assert.Assert(t, asGapError(f.follower.ApplyDelta(d), &gap))
		assert.Assert(t, asGapError(f.follower.ApplyDelta(Delta{From: d.From + 2, Command: d.Command}), &gap))
		assert.Equal(t, f.follower.Version(), d.From+1)
	}
}

func asGapError(err error, target **GapError) bool {
	gap, ok := err.(*GapError)
	*target = gap
	return ok
}

func (f *fleetRun) check(t *rapid.T) {
	assert.Equal(t, f.state.Version(), f.oracle.version)
	for name, rate := range f.oracle.rates {
		assert.Equal(t, f.state.Config().Teams[name].Rate, rate)
	}
	for _, key := range []string{"listed", "k1", "k2", "k3"} {
		team, ok := f.state.TeamByKey(sha256.Sum256([]byte(key)))
		want, wantOK := f.oracle.keys[key]
		assert.Equal(t, team, want)
		assert.Equal(t, ok, wantOK)
	}
	for _, domain := range []string{"d1", "d2", "d3"} {
		assert.Equal(t, f.state.DomainOut(domain), f.oracle.out[domain])
	}
	f.checkRollout(t)
	if f.follower.Version() == f.state.Version() {
		assert.DeepEqual(t, f.follower.Rollouts(), f.state.Rollouts())
		assert.DeepEqual(t, f.follower.Admitted("web"), f.state.Admitted("web"))
		assert.Equal(t, f.follower.Chain(), f.state.Chain())
		assert.Equal(t, f.follower.Config().Hash(), f.state.Config().Hash())
		assert.Assert(t, reflect.DeepEqual(f.follower.keys.entries, f.state.keys.entries))
	}
}

// Guards against two accepted changes on the same base version, an accepted change that a restart or a resend loses or
// repeats, versions that decrease, a withdrawn key that works again, a rollout that continues after its end or by a decision
// on outdated evidence, and copies that differ at equal versions.
func TestStateAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newTestState(t)
		f := &fleetRun{state: s, follower: restoreCopy(t, s), oracle: newOracle()}
		t.Repeat(map[string]func(*rapid.T){
			"":                f.check,
			"change":          f.change,
			"race":            f.race,
			"join":            f.join,
			"rollout":         f.rollout,
			"resend":          f.resend,
			"restart":         f.restart,
			"restartFollower": f.restartFollower,
			"follow":          f.follow,
		})
	})
}
