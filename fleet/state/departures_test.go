package state

import (
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func depart(t assert.TestingT, s *State, d Departure) Result {
	return propose(t, s, Command{ChangeID: fmt.Sprint("depart-", d), Operator: "vm-a", Depart: &d})
}

// Guards against a departure that a restart or a replaced control VM forgets, and one that an earlier message overwrites.
func TestDeparturesAreKept(t *testing.T) {
	s := newTestState(t)
	assert.Equal(t, depart(t, s, Departure{VM: "a", Instance: "i-1", StartedMs: 1, Through: 5}), Result{Version: 1})
	depart(t, s, Departure{VM: "b", Instance: "i-1", StartedMs: 1, Through: 9})
	depart(t, s, Departure{VM: "a", Instance: "i-1", StartedMs: 2, Through: 3})
	depart(t, s, Departure{VM: "a", Instance: "i-1", StartedMs: 1, Through: 4})
	want := []Departure{{VM: "a", Instance: "i-1", StartedMs: 2, Through: 3}, {VM: "a", Instance: "i-1", StartedMs: 1, Through: 5}}
	assert.DeepEqual(t, s.Departures("a"), want)
	data, err := s.Snapshot()
	assert.NilError(t, err)
	restored, err := Restore(data)
	assert.NilError(t, err)
	assert.DeepEqual(t, restored.Departures("a"), want)
	data, err = s.SharedSnapshot()
	assert.NilError(t, err)
	restored, err = Restore(data)
	assert.NilError(t, err)
	assert.Equal(t, len(restored.Departures("a")), 0)
	assert.Equal(t, depart(t, s, Departure{VM: "a"}).Err.Code, CodeInvalid)
	for i := range maxDepartures {
		depart(t, s, Departure{VM: "c", Instance: fmt.Sprint(i)})
	}
	assert.Equal(t, len(s.departures), maxDepartures)
	assert.Equal(t, len(s.Departures("a")), 0)
}

// Guards against control VMs whose version or history differs: one of an earlier build refuses a departure, because its
// decoder does not know the field. Everything that such a control VM keeps must be the same.
func TestDeparturesDoNotChangeTheHistory(t *testing.T) {
	s, earlier := newTestState(t), newTestState(t)
	assert.Equal(t, earlier.apply([]byte(`{"changeId":"x","operator":"vm-a","unknown":{}}`)).Err.Code, CodeInvalid)
	depart(t, s, Departure{VM: "a", Instance: "i-1", Through: 5})
	for _, each := range []*State{s, earlier} {
		propose(t, each, Command{ChangeID: "b", BaseVersion: 1, Apply: setTeam("blue", 7)})
	}
	kept := func(s *State) string {
		snap := s.snapshot()
		snap.Departures = nil
		data, err := json.Marshal(snap)
		assert.NilError(t, err)
		return string(data)
	}
	assert.Equal(t, kept(s), kept(earlier))
}

// Guards against a late copy of a command that takes back what is known of a departure without a known start, and against a
// return after one departure that counts as one after the next.
func TestDeparturesWithoutAStart(t *testing.T) {
	s := New()
	first := Departure{VM: "a", Instance: "i-1", Through: math.MaxUint64, ID: "first"}
	second := Departure{VM: "a", Instance: "i-1", Through: math.MaxUint64, ID: "second"}
	returned := first
	returned.Before = 2000
	for _, d := range []Departure{first, returned, second, first, returned} {
		depart(t, s, d)
	}
	want := []Departure{second, returned}
	assert.DeepEqual(t, s.Departures("a"), want)
	data, err := s.Snapshot()
	assert.NilError(t, err)
	restored, err := Restore(data)
	assert.NilError(t, err)
	assert.DeepEqual(t, restored.Departures("a"), want)
	long := first
	long.ID = strings.Repeat("i", maxIDBytes+1)
	assert.Equal(t, depart(t, s, long).Err.Code, CodeInvalid)
}
