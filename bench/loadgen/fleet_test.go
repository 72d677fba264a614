package loadgen

import (
	"io"
	"net/http"
	"net/http/httptest"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemaryline.dev/standin"
)

const fleetLoad = `seed: 5
duration: 3s
warmUp: 200ms
rounds: 1
fleet:
  vms: 3
  config:
    services:
      orders: {slots: 4, connections: 400, floorPercent: 60}
    routes:
      orders: {path: /orders, service: orders, access: open}
    teams:
      alder: {rate: 1000, burst: 1000}
  servers:
    - {service: orders, version: v1, slots: 4, serviceTime: 10ms}
    - {service: orders, version: v2, vms: [1], slots: 4, serviceTime: 10ms}
  faults:
    - {service: orders, version: v1, share: 0.4, errorShare: 0.5, from: 500ms, spellMin: 100ms, spellMax: 300ms}
  rollouts:
    - {service: orders, version: v2, at: 1s, duration: 2s}
requests:
  - {name: orders, path: "/orders/{n}", rate: 20, teams: [alder]}
targets:
  - name: ramp
  - name: adaptive
    config: {services: {orders: {concurrency: adaptive}}}
`

// TestWrongFleetsAreNamed guards against a mistake in a fleet that is only found while processes run, or without its line and
// field.
func TestWrongFleetsAreNamed(t *testing.T) {
	_, err := Parse([]byte(fleetLoad))
	assert.NilError(t, err)
	for _, test := range []struct{ old, new, message string }{
		{"vms: 3", "vms: 30", "line 6, field fleet.vms"},
		{"vms: 3", "vms: 3\n  memoryMB: 2000", "line 7, field fleet.memoryMB"},
		{"floorPercent: 60}", "floorPercent: 600}", "line 9, field fleet.config.services.orders.floorPercent"},
		{"access: open", "access: everyone", "line 11, field fleet.config.routes.orders.access"},
		{"concurrency: adaptive", "concurrency: none", "line 26, field targets[1].config.services.orders.concurrency"},
		{"concurrency: adaptive", "concurency: adaptive", "line 26, field targets[1].config.services.orders.concurency"},
		{"teams: [alder]", "teams: [birch]", `line 12, field fleet.config.teams: the team "birch"`},
		{"version: v1, slots: 4", "version: v1, slots: 0", "line 15, field fleet.servers[0].slots"},
		{"vms: [1]", "vms: [3]", "line 16, field fleet.servers[1].vms[0]"},
		{"slots: 4, serviceTime: 10ms}\n    - ", "slots: 4, longShare: 2}\n    - ", "line 15, field fleet.servers[0].longShare"},
		{"errorShare: 0.5", "errorShare: 5", "line 18, field fleet.faults[0].errorShare"},
		{"share: 0.4", "share: -1", "line 18, field fleet.faults[0].share"},
		{"spellMin: 100ms", "spellMin: 1ms", "line 18, field fleet.faults[0].spellMin"},
		{"version: v2, at", "version: v3, at", "line 20, field fleet.rollouts[0].version"},
		{"duration: 2s}", "duration: 5s}", "line 20, field fleet.rollouts[0].duration"},
		{"name: ramp", "name: ramp\n    url: http://a", "line 25, field targets[0].url"},
	} {
		text := strings.Replace(fleetLoad, test.old, test.new, 1)
		assert.Assert(t, text != fleetLoad, test.old)
		_, err := Parse([]byte(text))
		assert.ErrorContains(t, err, test.message)
	}
}

// TestChartFormatIsChecked guards against an experiment that fails after its measurements because of the name of its chart.
func TestChartFormatIsChecked(t *testing.T) {
	for file, ok := range map[string]bool{"a.svg": true, "b.PNG": true, "c": false, "d.txt": false} {
		_, err := ParseFlags("experiment", []string{"-plot", file, "load.yaml"}, false, io.Discard)
		assert.Equal(t, err == nil, ok, file)
	}
}

// TestExperimentFiles guards against experiments of this repository that cannot be used, or that break their bounds: 30
// processes, and 4 GB together.
func TestExperimentFiles(t *testing.T) {
	files, err := filepath.Glob("../../examples/experiments/*.yaml")
	assert.NilError(t, err)
	assert.Assert(t, len(files) >= 7)
	for _, file := range files {
		spec, err := Load(file)
		assert.NilError(t, err)
		assert.Assert(t, len(spec.Targets) == 2 && spec.Fleet.VMs <= 24 && spec.Fleet.VMs*spec.Fleet.MemoryMB <= 3000, file)
	}
}

// TestFaultChanges guards against faults at other servers or times than the file says, and against targets that get different
// ones.
func TestFaultChanges(t *testing.T) {
	f := &Fleet{Faults: []Fault{
		{Service: "a", Version: "v1", Share: 0.3, From: time.Second, For: 20 * time.Second, SpellMin: 2 * time.Second, SpellMax: 9 * time.Second, ErrorShare: 0.9},
		{Service: "a", Share: 1, From: 2 * time.Second, For: 8 * time.Second, ShedShare: 0.5},
	}}
	var servers []Servers
	for i := range 30 {
		servers = append(servers, Servers{Service: "a", Version: []string{"v1", "v1", "v2"}[i%3]})
	}
	servers = append(servers, Servers{Service: "b", Version: "v1"})
	changes := f.faultChanges(7, servers)
	assert.Assert(t, slices.Equal(changes, f.faultChanges(7, servers)))
	faulty, shedding := map[int]time.Duration{}, 0
	for _, c := range changes {
		switch {
		case c.fault == 1:
			shedding++
			assert.Assert(t, c.server < 30 && (c.on && c.at == 2*time.Second || !c.on && c.at == 10*time.Second))
		case c.on:
			assert.Assert(t, servers[c.server].Version == "v1" && c.server < 30 && c.at >= time.Second)
			faulty[c.server] = c.at
		default:
			spell := c.at - faulty[c.server]
			assert.Assert(t, spell >= 2*time.Second && spell <= 9*time.Second || c.at == 21*time.Second, "%v", spell)
		}
	}
	assert.Equal(t, len(faulty), 6)
	assert.Equal(t, shedding, 60)
	assert.Equal(t, f.mergeFaults(map[int]bool{0: true, 1: true}), standin.Faults{ErrorShare: 0.9, ShedShare: 0.5})
}

// TestBaselineIsComparedWithinSettings guards against a difference of two builds that is one of their settings, and the reverse.
func TestBaselineIsComparedWithinSettings(t *testing.T) {
	spec, err := Parse([]byte(fleetLoad))
	assert.NilError(t, err)
	_, err = spec.selectBuilds(t.Context(), &Flags{Daemon: "new", Baseline: "old"}, nil)
	assert.NilError(t, err)
	result := newResult(spec)
	c := &Comparison{}
	for _, target := range spec.Targets {
		assert.Equal(t, target.Daemon == "old", strings.HasSuffix(target.Name, " (baseline)"))
		c.Targets = append(c.Targets, TargetResult{Name: target.Name, Rounds: []*Result{result}})
	}
	c.compare(spec)
	var pairs []string
	for _, d := range c.Kinds {
		pairs = append(pairs, d.Target+" > "+d.Against)
	}
	assert.DeepEqual(t, pairs, []string{
		"ramp > ramp (baseline)", "adaptive (baseline) > ramp (baseline)", "adaptive > adaptive (baseline)", "adaptive > ramp",
	})
}

// TestEndOfAProcessEndsTheExperiment guards against results of a fleet that lost a process, and against an error without its
// reason.
func TestEndOfAProcessEndsTheExperiment(t *testing.T) {
	spec, err := Parse([]byte(fleetLoad))
	assert.NilError(t, err)
	spec.Targets[0].Daemon = "false"
	_, err = spec.Compare(t.Context(), func(string, int, time.Duration, int, int) {})
	assert.ErrorContains(t, err, "target ramp, round 1: process vm-")
	assert.ErrorContains(t, err, "exit status 1")

	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer server.Close()
	spec, err = Parse([]byte(strings.Replace(sound, "http://127.0.0.1:1", server.URL, 1)))
	assert.NilError(t, err)
	spec.Duration = time.Minute
	spec.Targets[0].Command = []string{"sh", "-c", "sleep 0.5; echo out of luck >&2; exit 3"}
	_, err = spec.Compare(t.Context(), func(string, int, time.Duration, int, int) {})
	assert.ErrorContains(t, err, "process sh ended during the measurement: exit status 3, last output: out of luck")
}

// TestExperimentWithAFleet guards against an experiment whose processes, backend servers, faults or rollouts do not work together.
func TestExperimentWithAFleet(t *testing.T) {
	daemon := filepath.Join(t.TempDir(), "rosemarylined")
	build, err := exec.CommandContext(t.Context(), "go", "build", "-ldflags=-s -w", "-o", daemon, daemonPackage).CombinedOutput()
	assert.NilError(t, err, string(build))
	short := strings.NewReplacer("duration: 3s", "duration: 1200ms", "at: 1s, duration: 2s", "at: 100ms, duration: 1s").Replace(fleetLoad)
	spec, err := Parse([]byte(short))
	assert.NilError(t, err)
	spec.Targets = spec.Targets[1:]
	spec.Targets[0].Daemon = daemon
	spec.Targets[0].ReadyTimeout = 2 * time.Minute // a busy machine starts processes slowly
	c, err := spec.Compare(t.Context(), func(string, int, time.Duration, int, int) {})
	assert.NilError(t, err)
	r := c.Targets[0].Rounds[0]
	// The servers respond to half of the requests at least, if the processes get enough CPU time for 20 per second.
	assert.Assert(t, r.Teams[0].Ends["inTime"] > 10, "%v", r.Teams[0].Ends)
	assert.Equal(t, r.Rollouts[0].Version, "v2")
	assert.Assert(t, r.Rollouts[0].Phase != "")
}
