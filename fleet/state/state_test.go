package state

import (
	"testing"

	"gotest.tools/v3/assert"

	"rosemaryline.dev/fleet/config"
)

func testDocument() *config.Document {
	doc := &config.Document{
		Domains:  map[string]config.Domain{"d1": {Region: "r"}, "d2": {Region: "r"}, "d3": {Region: "r"}},
		Services: map[string]config.Service{"web": {Slots: 5, Connections: 400, FloorPercent: 60}},
		Routes:   map[string]config.Route{"home": {Path: "/", Service: "web", Access: config.AccessOpen}},
		Teams:    map[string]config.Team{"red": {Rate: 10, Burst: 20, KeyHashes: []string{config.HashKey("listed")}}, "blue": {Rate: 5, Burst: 10}},
	}
	doc.SetDefaults()
	return doc
}

func applyCommand(c config.Change) *ApplyChange {
	return &ApplyChange{Change: c, ContentHash: c.Hash()}
}

func propose(t assert.TestingT, s *State, c Command) Result {
	if c.Operator == "" {
		c.Operator = "ann"
	}
	data, err := c.Encode()
	assert.NilError(t, err)
	result, err := DecodeResult(s.Apply(data))
	assert.NilError(t, err)
	return result
}

func newTestState(t assert.TestingT) *State {
	s := New()
	change := config.Diff(s.Config(), testDocument())
	result := propose(t, s, Command{ChangeID: "first", Apply: applyCommand(change)})
	assert.Equal(t, result, Result{Version: 1})
	return s
}

func setTeam(name string, rate float64) *ApplyChange {
	team := config.Team{Rate: rate, Burst: 1}
	return applyCommand(config.Change{Teams: config.Entries[config.Team]{Set: map[string]config.Team{name: team}}})
}

// Guards against a second change with the same base version that silently overwrites the first one.
func TestEqualBaseVersionsOneWins(t *testing.T) {
	s := newTestState(t)
	first := propose(t, s, Command{ChangeID: "a", BaseVersion: 1, Apply: setTeam("blue", 7)})
	assert.Equal(t, first, Result{Version: 2})
	second := propose(t, s, Command{ChangeID: "b", BaseVersion: 1, Apply: setTeam("blue", 8)})
	assert.Equal(t, second.Err.Code, CodeConflict)
	assert.DeepEqual(t, second.Err.Fields, []string{"teams.blue.burst", "teams.blue.rate"})
	assert.Equal(t, s.Config().Teams["blue"].Rate, 7.0)
	again := propose(t, s, Command{ChangeID: "b", BaseVersion: 1, Apply: setTeam("blue", 8)})
	assert.DeepEqual(t, again, second)
	resend := propose(t, s, Command{ChangeID: "a", BaseVersion: 1, Apply: setTeam("blue", 7)})
	assert.Equal(t, resend, first)
	assert.Equal(t, s.Version(), uint64(2))
}

// Guards against an order about a failure domain that is proposed on a newer version although another order about it came
// between, also where the audit trail no longer tells.
func TestDomainChangedSince(t *testing.T) {
	s := newTestState(t)
	out := propose(t, s, Command{ChangeID: "out", BaseVersion: 1, SetDomain: &SetDomain{Domain: "d1", Out: true, Force: true}})
	propose(t, s, Command{ChangeID: "team", BaseVersion: out.Version, Apply: setTeam("blue", 7)})
	for version, want := range map[uint64]bool{0: true, 1: true, out.Version: false, s.Version(): false, s.Version() + 1: false} {
		assert.Equal(t, s.DomainChangedSince("d1", version), want, "d1 since version %d", version)
	}
	assert.Assert(t, !s.DomainChangedSince("d2", 1))
	s.accepted.records = s.accepted.records[2:]
	assert.Assert(t, s.DomainChangedSince("d2", 1))
	assert.Assert(t, !s.DomainChangedSince("d2", 2))
}
