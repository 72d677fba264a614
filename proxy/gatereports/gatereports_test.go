package gatereports

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rosemaryline.dev/outlier"
)

func init() { flag.Set("rapid.seed", "1") }

func drawReport(t *rapid.T) Report {
	ms := func(name string, limit int) time.Duration {
		return time.Duration(rapid.IntRange(0, limit).Draw(t, name)) * time.Millisecond
	}
	r := Report{
		VM: rapid.StringMatching(`[a-z][a-z0-9-]{0,20}`).Draw(t, "vm"), Made: ms("made", 1e9), At: time.Hour - ms("age", 2000),
		InFlight: rapid.IntRange(0, 64).Draw(t, "inFlight"), Slots: rapid.IntRange(0, 64).Draw(t, "slots"), Queued: rapid.IntRange(0, 9).Draw(t, "queued"),
		Start: ms("start", 9000), Speed: float64(rapid.IntRange(1, 4000).Draw(t, "speed")) / permille,
	}
	if r.Health = outlier.Health(rapid.IntRange(0, 2).Draw(t, "health")); r.Health != outlier.Healthy {
		r.TrialIn, r.PressedTrialIn = ms("trial", 1000), ms("pressed", 9000)
	}
	return r
}

// Guards against reports that change on their way.
func TestFormatAndParse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reports := rapid.SliceOfN(rapid.Custom(drawReport), 1, MaxReports).Draw(t, "reports")
		assert.DeepEqual(t, Parse([]string{Format(reports, time.Hour)}, time.Hour), reports)
	})
}

// Guards against reports that are half read.
func TestParseLeavesOutMalformedReports(t *testing.T) {
	good := "a;1;2;1/4/0;5;1000"
	for _, bad := range []string{"", "a", ";1;2;1/4/0;5;1000", "a;1;2;1/4;5;1000", "a;1;2;1/4/0;5;0", "a;-1;2;1/4/0;5;1000", "a;01;2;1/4/0;5;1000",
		"a b;1;2;1/4/0;5;1000", "a;1;2;1/4/0;5;1000;0;1;1", "a;1;2;1/4/0;5;1000;3;1;1", "a;1;2;1/4/0;5;1000;2;1", "a;1;600001;1/4/0;5;1000"} {
		assert.Equal(t, len(Parse([]string{bad + "," + good}, time.Hour)), 1, "%q", bad)
	}
	assert.Equal(t, len(Parse([]string{good, good}, time.Hour)), 0, "two values")
	assert.Equal(t, len(Parse([]string{strings.Repeat(good+",", 100)}, time.Hour)), MaxReports)
}

// Guards against a report of long ago that replaces a newer one on a slow path, and against one of a restarted gate that never does.
func TestReceiveOrdersReportsOfOneGate(t *testing.T) {
	table := NewTable()
	report := func(made, at time.Duration) Report { return Report{VM: "a", Made: made, At: at, Speed: 1} }
	assert.Assert(t, table.Receive("s", report(10*time.Second, time.Hour)))
	assert.Assert(t, !table.Receive("s", report(10*time.Second, time.Hour+time.Second)), "the same report, late")
	assert.Assert(t, !table.Receive("s", report(9*time.Second, time.Hour+time.Second)), "an older report, late")
	assert.Assert(t, table.Receive("s", report(11*time.Second, time.Hour)))
	assert.Assert(t, table.Receive("s", report(time.Second, time.Hour+restartAfter)), "a restarted gate")
}

// Guards against a faulty process whose reports fill the memory of the others.
func TestReceiveKeepsABoundedNumberOfGates(t *testing.T) {
	table := NewTable()
	for i := range maxGates {
		assert.Assert(t, table.Receive("s", Report{VM: fmt.Sprint("vm", i), Made: 1, Speed: 1}))
	}
	assert.Assert(t, !table.Receive("s", Report{VM: "more", Made: 1, Speed: 1}))
	assert.Assert(t, table.Receive("s", Report{VM: "vm0", Made: 2, Speed: 1}), "known gates go on")
}

// Guards against news of gates that fail being crowded out by loads, and against reports that are passed on without end.
func TestPick(t *testing.T) {
	table := NewTable()
	now := time.Hour
	names := func(n int) (vms string) {
		for _, r := range table.Pick("s", "own", "to", now, n) {
			vms += r.VM
		}
		return vms
	}
	for i, vm := range []string{"a", "b", "c", "d", "to", "own"} {
		table.Receive("s", Report{VM: vm, Made: 1, At: now - time.Duration(i)*time.Millisecond, Speed: 1})
	}
	table.Receive("s", Report{VM: "e", Made: 1, At: now - time.Second, Speed: 1, Health: outlier.Faulty})
	table.Receive("s", Report{VM: "old", Made: 1, At: now - MaxAge - 1, Speed: 1})
	assert.Equal(t, names(3), "eab")
	assert.Equal(t, names(3), "ecd")
	assert.Equal(t, names(3), "eab", "each in turn")
	assert.Equal(t, names(4), "cdab", "not urgent any more")
	for range 5 * maxSends {
		names(MaxReports)
	}
	assert.Equal(t, names(MaxReports), "")
	table.Receive("s", Report{VM: "e", Made: 2, At: now, Speed: 1})
	assert.Equal(t, names(MaxReports), "e", "its recovery")
	table.Sweep(now + retention + MaxAge)
	assert.Equal(t, len(table.byService), 0)
}

func FuzzParse(f *testing.F) {
	f.Add("a;1;2;1/4/0;5;1000,b;1;2;1/4/0;5;1000;2;250;7000")
	f.Fuzz(func(t *testing.T, text string) {
		reports := Parse([]string{text}, time.Hour)
		again := Parse([]string{Format(reports, time.Hour)}, time.Hour)
		assert.Equal(t, len(again), len(reports))
		for i := range again {
			assert.Equal(t, again[i], reports[i])
		}
	})
}
