package control

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rosemaryline.dev/fleet/state"
	"rosemaryline.dev/membership"
)

func init() { flag.Set("rapid.seed", "1") }

func TestTracker(t *testing.T) {
	type step struct {
		at          time.Duration
		process     string
		incarnation uint64
		version     uint64
	}
	three := []string{"a", "b", "c"}
	tests := []struct {
		desc    string
		base    []string
		changes []state.RosterChange
		steps   []step
		// version must be in force at the time from, and not yet one nanosecond before.
		version uint64
		from    time.Duration
	}{
		{"all confirm", three, nil, []step{{1, "a", 1, 5}, {2, "b", 1, 6}, {3, "c", 1, 5}}, 5, 3},
		{"majority waits", three, nil, []step{{1, "a", 1, 5}, {4, "b", 1, 5}}, 5, 4 + MajorityDelay},
		{"half of four is no majority", []string{"a", "b", "c", "d"}, nil, []step{{1, "a", 1, 5}, {2, "b", 1, 5}, {9, "c", 1, 5}}, 5, 9 + MajorityDelay},
		{"a later version confirms an earlier one", three, nil, []step{{1, "a", 1, 9}, {2, "b", 1, 5}, {3, "b", 1, 9}}, 5, 2 + MajorityDelay},
		{"processes outside the roster do not count", three, nil, []step{{1, "x", 1, 5}, {2, "y", 1, 5}, {3, "a", 1, 5}, {7, "b", 1, 5}}, 5, 7 + MajorityDelay},
		{"a restart voids a confirmation", three, nil, []step{{1, "a", 1, 5}, {2, "b", 1, 5}, {3, "b", 2, 4}, {8, "b", 2, 5}}, 5, 8 + MajorityDelay},
		{
			"an old confirmation does not count towards a majority", three, nil,
			[]step{{1, "a", 1, 5}, {2 + membership.ConfirmWindow, "b", 1, 5}, {3 + membership.ConfirmWindow, "a", 1, 5}},
			5, 3 + membership.ConfirmWindow + MajorityDelay,
		},
		{"a stale incarnation is ignored", three, nil, []step{{1, "a", 2, 5}, {2, "a", 1, 9}, {3, "b", 1, 9}, {8, "a", 2, 9}}, 9, 8 + MajorityDelay},
		{
			"a majority of the former roster is needed too", three,
			[]state.RosterChange{{Version: 3, Name: "d", Joined: true}, {Version: 4, Name: "e", Joined: true}},
			[]step{{1, "c", 1, 5}, {2, "d", 1, 5}, {3, "e", 1, 5}, {8, "a", 1, 5}}, 5, 8 + MajorityDelay,
		},
		{
			"a process that left still holds the former roster", three,
			[]state.RosterChange{{Version: 4, Name: "c"}},
			[]step{{1, "a", 1, 5}, {2, "b", 1, 5}}, 5, 2 + MajorityDelay,
		},
		{
			"a process that joins later does not hold an earlier roster", nil,
			[]state.RosterChange{{Version: 2, Name: "a", Joined: true}, {Version: 7, Name: "b", Joined: true}},
			[]step{{4, "a", 1, 6}}, 6, 4 + MajorityDelay,
		},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			tracker := NewTracker()
			tracker.SetRoster(test.base, test.changes)
			for _, s := range test.steps {
				tracker.Confirm(s.at, s.at, s.process, s.incarnation, s.version)
				tracker.InForce(s.at)
			}
			if test.from > test.steps[len(test.steps)-1].at {
				assert.Assert(t, tracker.InForce(test.from-1) < test.version)
			}
			assert.Equal(t, tracker.InForce(test.from), test.version)
			assert.Assert(t, tracker.Status(test.from, test.version).InForce)
		})
	}
}

// trackedProcess models a process as the tracker assumes it: it admits requests with its version while it has contact
// with a majority of the roster of that version and no process of that majority has a newer version.
type trackedProcess struct {
	version uint64
	cutOff  bool
}

// Guards against a version that is reported in force while a partitioned group of processes can still admit requests
// with an earlier one, in particular with a roster from before joins and leaves.
func TestTrackerAgainstPartitions(t *testing.T) {
	reported := 0
	rapid.Check(t, func(t *rapid.T) {
		rosters := []map[string]bool{{"p0": true, "p1": true, "p2": true}} // by version
		processes := map[string]*trackedProcess{}
		for name := range rosters[0] {
			processes[name] = &trackedProcess{}
		}
		var changes []state.RosterChange
		tracker := NewTracker()
		tracker.SetRoster([]string{"p0", "p1", "p2"}, nil)
		now := time.Duration(0)
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 6000).Draw(t, "ms")) * time.Millisecond
			latest := uint64(len(rosters) - 1)
			name := fmt.Sprint("p", rapid.IntRange(0, 8).Draw(t, "process"))
			p := processes[name]
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1, 2:
				if p != nil && !p.cutOff {
					p.version = latest
					tracker.Confirm(now, now, name, 1, latest)
				}
			case 3:
				if p != nil {
					p.cutOff = true
				}
			case 4: // a command without effect on the roster
				rosters = append(rosters, rosters[latest])
			case 5:
				next := rosterAfter(rosters[latest], nil)
				c := state.RosterChange{Version: latest + 1, Name: name, Joined: !next[name]}
				changeRoster(next, c)
				rosters = append(rosters, next)
				changes = append(changes, c)
				if c.Joined && processes[name] == nil {
					processes[name] = &trackedProcess{version: latest}
				}
				tracker.SetRoster([]string{"p0", "p1", "p2"}, changes)
			}
			inForce := tracker.InForce(now)
			assert.Assert(t, inForce <= uint64(len(rosters)-1))
			if inForce > 0 {
				reported++
			}
			for name, p := range processes {
				if p.version < inForce {
					assert.Assert(t, !canAdmit(rosters[p.version], processes, p.version),
						"%s admits with version %d while %d is in force", name, p.version, inForce)
				}
			}
		}
	})
	assert.Assert(t, reported > 100, "only %d steps had a version in force", reported)
}

// canAdmit reports whether the processes with at most the given version form a majority of the roster, so that none of
// them need learn of a newer version.
func canAdmit(roster map[string]bool, processes map[string]*trackedProcess, version uint64) bool {
	behind := 0
	for name := range roster {
		if p := processes[name]; p != nil && p.version <= version {
			behind++
		}
	}
	return behind*2 > len(roster)
}
