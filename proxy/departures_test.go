package proxy

import (
	"math"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const (
	testHeartbeat = 1500 * time.Millisecond
	testTTL       = 5 * testHeartbeat
)

// arrival is an announcement of the instance "i" and when it arrives.
type arrival struct {
	at       time.Duration
	started  int64
	sequence uint64
	draining bool
}

func (a arrival) announcement() *Announcement {
	return &Announcement{Name: "b", Instance: "i", StartedMs: a.started, Sequence: a.sequence, Draining: a.draining}
}

// every returns announcements of a start that arrive at intervals, the first one at from.
func every(interval, from time.Duration, started int64, n int) (list []arrival) {
	for i := range n {
		list = append(list, arrival{at: from + time.Duration(i)*interval, started: started, sequence: uint64(i + 1)})
	}
	return list
}

// Guards against a backend server that is used again although it left, or never again although it started again, where the
// process that acknowledged the departure did not know the start of the instance.
func TestDepartureWithoutAKnownStart(t *testing.T) {
	const leaving, next = 1000, 2000
	for _, test := range []struct {
		desc     string
		arrivals []arrival
		used     bool // the last announcement is used
	}{
		{"one late announcement", []arrival{{3 * time.Second, leaving, 7, false}}, false},
		{"late announcements out of order", []arrival{{time.Second, leaving, 7, false}, {4 * time.Second, leaving, 5, false}, {11500 * time.Millisecond, leaving, 6, false}}, false},
		{"the same one again and again", []arrival{{0, leaving, 7, false}, {6 * time.Second, leaving, 7, false}, {12 * time.Second, leaving, 7, false}}, false},
		{"two with a gap", []arrival{{0, leaving, 7, false}, {12 * time.Second, leaving, 8, false}}, false},
		{"draining", []arrival{{0, leaving, 7, true}, {5 * time.Second, leaving, 8, true}, {11 * time.Second, leaving, 9, true}}, false},
		{"a later start, at first", every(testHeartbeat, 5*time.Second, next, 3), false},
		{"a later start", every(testHeartbeat, 5*time.Second, next, 8), true},
		{"a later start and a late announcement before it", append([]arrival{{time.Second, leaving, 7, false}}, every(testHeartbeat, 5*time.Second, next, 8)...), true},
		{"a late announcement after a later start", append(every(testHeartbeat, 0, next, 8), arrival{13 * time.Second, leaving, 99, false}), false},
	} {
		t.Run(test.desc, func(t *testing.T) {
			var d departures
			d.add(Departure{Instance: "i", Through: math.MaxUint64, ID: "d"})
			outdated := false
			for _, a := range test.arrivals {
				outdated, _ = d.isOutdated(a.announcement(), a.at, testTTL)
			}
			assert.Equal(t, !outdated, test.used)
		})
	}
}

// Guards against orders of late announcements that bring a leaving start back, and against a later start that stays out.
func TestDepartureWithoutAKnownStartInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const leaving, next = 1000, 2000
		var arrivals []arrival
		for sequence := range rapid.IntRange(0, 8).Draw(t, "late") {
			at := time.Duration(rapid.IntRange(0, int(returnHoldDown.Milliseconds())-1).Draw(t, "at")) * time.Millisecond
			arrivals = append(arrivals, arrival{at: at, started: leaving, sequence: uint64(sequence + 1)})
		}
		restart := time.Duration(rapid.IntRange(2000, 20000).Draw(t, "restart")) * time.Millisecond
		arrivals = append(arrivals, every(testHeartbeat, restart, next, 10)...)
		slices.SortStableFunc(arrivals, func(a, b arrival) int { return int(a.at - b.at) })
		var d departures
		d.add(Departure{Instance: "i", Through: math.MaxUint64, ID: "d"})
		used := time.Duration(0)
		for _, a := range arrivals {
			outdated, _ := d.isOutdated(a.announcement(), a.at, testTTL)
			if !outdated && a.started == leaving {
				t.Fatalf("the leaving start was used at %v: %+v", a.at, arrivals)
			}
			if !outdated && used == 0 {
				used = a.at
			}
			d.add(Departure{Instance: "i", Through: math.MaxUint64, ID: "d"}) // a copy, as of a repeated call
		}
		if used == 0 || used > restart+returnHoldDown+testHeartbeat {
			t.Fatalf("the later start, announced from %v on, was used at %v", restart, used)
		}
	})
}

// Guards against a second departure of an instance that counts as the first one, after which the instance had started again.
func TestSecondDepartureWithoutAKnownStart(t *testing.T) {
	var d departures
	d.add(Departure{Instance: "i", Through: math.MaxUint64, ID: "first", Before: 2000})
	_, known := d.withoutStart("i")
	assert.Assert(t, !known)
	assert.Equal(t, len(d.returned("i")), 1)
	announcement := arrival{started: 2000, sequence: 3}.announcement()
	outdated, _ := d.isOutdated(announcement, 0, testTTL)
	assert.Assert(t, !outdated)
	d.add(Departure{Instance: "i", Through: math.MaxUint64, ID: "second"})
	outdated, _ = d.isOutdated(announcement, 0, testTTL)
	assert.Assert(t, outdated)
}
