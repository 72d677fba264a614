package state

import (
	"testing"

	"gotest.tools/v3/assert"

	"rosemaryline.dev/fleet/config"
)

// replaceCommand returns a command that replaces the document of s by one with a team of the given rate.
func replaceCommand(t *testing.T, s *State, id string, label, base uint64, rate float64) []byte {
	t.Helper()
	doc := &config.Document{
		Domains:  map[string]config.Domain{"dom-a": {Region: "r"}},
		Services: map[string]config.Service{"svc": {Slots: 1, Connections: 1, FloorPercent: 1}},
		Routes:   map[string]config.Route{"r": {Path: "/r", Service: "svc", Access: config.AccessOpen}},
		Teams:    map[string]config.Team{"red": {Rate: rate, Burst: 1}},
	}
	doc.SetDefaults()
	source := []byte(id)
	c := &Command{ChangeID: id, Operator: "op", Replace: &Replace{
		Label: label, BaseLabel: base, Change: config.Diff(s.Config(), doc), Source: source, SourceHash: HashSource(source),
	}}
	data, err := c.Encode()
	assert.NilError(t, err)
	return data
}

func applyAndDecode(t *testing.T, s *State, data []byte) Result {
	t.Helper()
	r, err := DecodeResult(s.Apply(data))
	assert.NilError(t, err)
	return r
}

// Guards against two replacements that are both accepted with the same base label, a resend that is refused, and a
// label that decreases.
func TestReplaceRacesByLabel(t *testing.T) {
	s := New()
	first := replaceCommand(t, s, "first", 3, 0, 10)
	assert.Assert(t, applyAndDecode(t, s, first).Err == nil)
	winner, loser := replaceCommand(t, s, "winner", 6, 3, 20), replaceCommand(t, s, "loser", 6, 3, 30)
	assert.Assert(t, applyAndDecode(t, s, winner).Err == nil)
	assert.Equal(t, applyAndDecode(t, s, loser).Err.Code, CodeConflict)
	assert.Equal(t, s.Config().Teams["red"].Rate, 20.0)
	assert.Assert(t, applyAndDecode(t, s, winner).Err == nil, "a resend gets the first result")
	assert.Assert(t, applyAndDecode(t, s, first).Err == nil, "a resend gets the first result also after later changes")
	assert.Equal(t, applyAndDecode(t, s, loser).Err.Code, CodeConflict)
	assert.Equal(t, applyAndDecode(t, s, replaceCommand(t, s, "back", 5, 6, 1)).Err.Code, CodeInvalid)
	assert.Equal(t, s.Label(), uint64(6))
	assert.Equal(t, string(s.Source()), "winner")
}

// Guards against a resend that is refused as another change because the document changed in between.
func TestReplaceResendAfterAnotherChange(t *testing.T) {
	s := New()
	assert.Assert(t, applyAndDecode(t, s, replaceCommand(t, s, "a", 1, 0, 10)).Err == nil)
	before := replaceCommand(t, s, "b", 2, 1, 20)
	assert.Assert(t, applyAndDecode(t, s, before).Err == nil)
	// The resend is computed against the document that the first command produced, so its change is empty.
	again := replaceCommand(t, s, "b", 2, 1, 20)
	assert.Assert(t, applyAndDecode(t, s, again).Err == nil)
	assert.Equal(t, s.Label(), uint64(2))
}

// Guards against keys in plain text that leave the control VMs. Deltas and shared snapshots must omit the source, and
// copies made from them must have the same history.
func TestSourceStaysWithControl(t *testing.T) {
	s := New()
	assert.Assert(t, applyAndDecode(t, s, replaceCommand(t, s, "secret", 1, 0, 10)).Err == nil)
	deltas, ok := s.Since(0)
	assert.Assert(t, ok)
	follower := New()
	for _, d := range deltas {
		assert.NilError(t, follower.ApplyDelta(d))
	}
	assert.Equal(t, follower.Chain(), s.Chain())
	assert.Assert(t, follower.Source() == nil)
	shared, err := s.SharedSnapshot()
	assert.NilError(t, err)
	copied, err := Restore(shared)
	assert.NilError(t, err)
	assert.Equal(t, copied.Chain(), s.Chain())
	assert.Equal(t, copied.Label(), uint64(1))
	assert.Assert(t, copied.Source() == nil)
	whole, err := s.Snapshot()
	assert.NilError(t, err)
	restored, err := Restore(whole)
	assert.NilError(t, err)
	assert.Equal(t, string(restored.Source()), "secret")
}
