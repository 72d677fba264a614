package loadgen

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"rosemaryline.dev/bench/processfleet"
	"rosemaryline.dev/fleet/config"
	"rosemaryline.dev/standin"
)

const (
	// minVMs is the number of control VMs, which each fleet has.
	minVMs = 3
	// maxVMs keeps an experiment below 30 processes, with the command itself and those that build it.
	maxVMs = 24
	// maxServers limits the stand-ins, which run in the process of the experiment.
	maxServers = 200
	// defaultMemoryMB is the default of Fleet.MemoryMB: 0.7 of the 184 MB of the customers' VMs.
	defaultMemoryMB = 128
	// maxFleetMemoryMB limits the memory of all processes of a fleet together. maxMemory leaves 1 GB for the experiment itself.
	maxFleetMemoryMB = 3000
	maxMemory        = 4 << 30
	// maxFaults and maxRollouts bound the timeline of an experiment.
	maxFaults   = 20
	maxRollouts = 10
	// minSpell bounds Fault.SpellMin, so that a fault has at most some thousand changes.
	minSpell = 100 * time.Millisecond
)

// Fleet describes the fleet that an experiment starts for each measurement: separate processes, and stand-ins as backend
// servers.
type Fleet struct {
	// VMs is the number of processes. The first three are control VMs. Callers use all of them.
	VMs int `yaml:"vms"`
	// MemoryMB is the memory limit that the Go runtime of each process keeps to.
	MemoryMB int `yaml:"memoryMB"`
	// Config is the configuration, as in the files of `rosemaryline apply`. Keys of teams are added.
	Config   map[string]any `yaml:"config"`
	Servers  []Servers      `yaml:"servers"`
	Faults   []Fault        `yaml:"faults"`
	Rollouts []Rollout      `yaml:"rollouts"`
}

// Servers are equal backend servers, one on each of some VMs.
type Servers struct {
	Service string `yaml:"service"`
	// Version is the announced version. Servers of a version to which a rollout goes are started when it begins.
	Version string `yaml:"version"`
	// VMs are the indexes of the VMs. Default: all.
	VMs         []int         `yaml:"vms"`
	Slots       int           `yaml:"slots"`
	ServiceTime time.Duration `yaml:"serviceTime"`
	// Spread, LongShare and LongFactor are those of standin.Work.
	Spread     float64 `yaml:"spread"`
	LongShare  float64 `yaml:"longShare"`
	LongFactor float64 `yaml:"longFactor"`
}

// Fault is a fault of some backend servers of a service. Faults that coincide at a server add up to the larger of each value.
type Fault struct {
	Service string `yaml:"service"`
	// Version limits the fault to servers with this version. Default: all.
	Version string `yaml:"version"`
	// Share is the share of the servers, drawn by the seed. Default: 1.
	Share float64 `yaml:"share"`
	// From and For limit the time of the fault. Default: the whole duration.
	From time.Duration `yaml:"from"`
	For  time.Duration `yaml:"for"`
	// SpellMin and SpellMax make each server alternate between healthy and faulty spells of a length drawn between them.
	// Default: one spell.
	SpellMin time.Duration `yaml:"spellMin"`
	SpellMax time.Duration `yaml:"spellMax"`
	// The others are the values of standin.Faults.
	ErrorShare float64 `yaml:"errorShare"`
	ShedShare  float64 `yaml:"shedShare"`
	HangShare  float64 `yaml:"hangShare"`
	SlowFactor float64 `yaml:"slowFactor"`
}

// Rollout moves a service to another version during the load.
type Rollout struct {
	Service string `yaml:"service"`
	Version string `yaml:"version"`
	// At is the time from the start of the load until the order, Duration the time from the order to its deadline.
	At       time.Duration `yaml:"at"`
	Duration time.Duration `yaml:"duration"`
}

func (s *Servers) work() standin.Work {
	return standin.Work{Spread: s.Spread, LongShare: s.LongShare, LongFactor: s.LongFactor}
}

func (f *Fault) values() standin.Faults {
	return standin.Faults{ErrorShare: f.ErrorShare, ShedShare: f.ShedShare, HangShare: f.HangShare, SlowFactor: f.SlowFactor}
}

func (f *Fleet) setDefaults(duration time.Duration) {
	if f.MemoryMB == 0 {
		f.MemoryMB = defaultMemoryMB
	}
	for i := range f.Servers {
		if len(f.Servers[i].VMs) == 0 {
			for vm := range min(f.VMs, maxVMs) {
				f.Servers[i].VMs = append(f.Servers[i].VMs, vm)
			}
		}
	}
	for i := range f.Faults {
		if f.Faults[i].Share == 0 {
			f.Faults[i].Share = 1
		}
		if f.Faults[i].For == 0 {
			f.Faults[i].For = duration - f.Faults[i].From
		}
	}
}

// check returns the first field with a wrong value, and the reason.
func (f *Fleet) check(duration time.Duration) (field string, err error) {
	switch {
	case f.VMs < minVMs || f.VMs > maxVMs:
		return "vms", errors.Errorf("must be %d to %d", minVMs, maxVMs)
	case f.MemoryMB < 0 || f.MemoryMB*f.VMs > maxFleetMemoryMB:
		return "memoryMB", errors.Errorf("%d VMs with %d MB each are more than %d MB", f.VMs, f.MemoryMB, maxFleetMemoryMB)
	case len(f.Servers) == 0:
		return "servers", errors.New("at least one entry is needed")
	case len(f.Faults) > maxFaults:
		return "faults", errors.Errorf("at most %d are allowed", maxFaults)
	case len(f.Rollouts) > maxRollouts:
		return "rollouts", errors.Errorf("at most %d are allowed", maxRollouts)
	}
	count := 0
	for i := range f.Servers {
		count += len(f.Servers[i].VMs)
		if field, err := f.Servers[i].check(f.VMs); err != nil {
			return fmt.Sprintf("servers[%d].%s", i, field), err
		}
	}
	if count > maxServers {
		return "servers", errors.Errorf("%d backend servers are more than %d", count, maxServers)
	}
	for i := range f.Faults {
		if field, err := f.Faults[i].check(f, duration); err != nil {
			return fmt.Sprintf("faults[%d].%s", i, field), err
		}
	}
	for i, r := range f.Rollouts {
		field := fmt.Sprintf("rollouts[%d].", i)
		switch {
		case !f.hasServers(r.Service, ""):
			return field + "service", errors.Errorf("no servers of the service %q", r.Service)
		case r.Version == "" || !f.hasServers(r.Service, r.Version):
			return field + "version", errors.Errorf("no servers with the version %q", r.Version)
		case r.At < 0 || r.At >= duration:
			return field + "at", errors.New("must lie within the duration of the load")
		case r.Duration < time.Second || r.At+r.Duration > duration:
			return field + "duration", errors.New("must be at least 1s and end within the duration of the load")
		}
	}
	return "", nil
}

// hasServers reports whether the service has servers, with the version if it is not empty.
func (f *Fleet) hasServers(service, version string) bool {
	return slices.ContainsFunc(f.Servers, func(s Servers) bool { return s.Service == service && (version == "" || s.Version == version) })
}

func (s *Servers) check(vms int) (field string, err error) {
	for i, vm := range s.VMs {
		if vm < 0 || vm >= vms || slices.Contains(s.VMs[:i], vm) {
			return fmt.Sprintf("vms[%d]", i), errors.Errorf("must be 0 to %d and differ from the others", vms-1)
		}
	}
	switch {
	case s.Service == "":
		return "service", errors.New("must be set")
	case s.Slots < 1:
		return "slots", errors.New("must be at least 1")
	case s.ServiceTime < 0:
		return "serviceTime", errors.New("must be 0 or more")
	}
	for _, part := range []struct {
		field string
		work  standin.Work
	}{{"spread", standin.Work{Spread: s.Spread}}, {"longShare", standin.Work{LongShare: s.LongShare}}, {"longFactor", standin.Work{LongFactor: s.LongFactor}}} {
		if err := part.work.Check(); err != nil {
			return part.field, err
		}
	}
	return "", nil
}

func (f *Fault) check(fleet *Fleet, duration time.Duration) (field string, err error) {
	switch {
	case !fleet.hasServers(f.Service, ""):
		return "service", errors.Errorf("no servers of the service %q", f.Service)
	case f.Version != "" && !fleet.hasServers(f.Service, f.Version):
		return "version", errors.Errorf("no servers with the version %q", f.Version)
	case !(f.Share > 0 && f.Share <= 1):
		return "share", errors.New("must be above 0 and at most 1")
	case f.From < 0 || f.From >= duration:
		return "from", errors.New("must lie within the duration of the load")
	case f.For <= 0 || f.From+f.For > duration:
		return "for", errors.New("must end within the duration of the load")
	case f.SpellMax != 0 && f.SpellMin < minSpell:
		return "spellMin", errors.Errorf("must be at least %s", minSpell)
	case f.SpellMax < f.SpellMin:
		return "spellMax", errors.New("must be spellMin or more")
	}
	values := f.values()
	if values == (standin.Faults{}) {
		return "service", errors.New("errorShare, shedShare, hangShare or slowFactor is needed")
	}
	for _, part := range []struct {
		field  string
		values standin.Faults
	}{
		{"errorShare", standin.Faults{ErrorShare: f.ErrorShare}}, {"shedShare", standin.Faults{ShedShare: f.ShedShare}},
		{"hangShare", standin.Faults{HangShare: f.HangShare}}, {"slowFactor", standin.Faults{SlowFactor: f.SlowFactor}},
	} {
		if err := part.values.Check(); err != nil {
			return part.field, err
		}
	}
	return "", nil
}

// teamKey returns the key that a fleet of an experiment issues to a team.
func teamKey(team string) string { return "experiment-key-" + team }

// document returns the configuration of a target. An error comes with the field of the load file.
func (s *Spec) document(target int) (doc *config.Document, field string, err error) {
	overlayField := fmt.Sprintf("targets[%d].config", target)
	base := map[string]any{"domains": processfleet.DefaultDomains()}
	for key, value := range s.Fleet.Config {
		base[key] = value
	}
	baseText, err := json.Marshal(base)
	if err != nil {
		return nil, "fleet.config", err
	}
	var overlay []byte
	if s.Targets[target].Config != nil {
		if overlay, err = json.Marshal(s.Targets[target].Config); err != nil {
			return nil, overlayField, err
		}
	}
	doc, err = config.Load(baseText, overlay, [2]string{"fleet.config", overlayField})
	var wrong *config.FieldError
	if errors.As(err, &wrong) {
		return nil, joinField(wrong.File, wrong.Field), errors.New(wrong.Problem)
	}
	if err != nil {
		return nil, "fleet.config", err
	}
	for _, name := range s.teamNames() {
		team, ok := doc.Teams[name]
		if !ok {
			return nil, "fleet.config.teams", errors.Errorf("the team %q sends requests and is not configured", name)
		}
		team.KeyHashes = append(team.KeyHashes, config.HashKey(teamKey(name)))
		doc.Teams[name] = team
	}
	for i := range s.Fleet.Servers {
		if _, ok := doc.Services[s.Fleet.Servers[i].Service]; !ok {
			return nil, fmt.Sprintf("fleet.servers[%d].service", i), errors.Errorf("the service %q is not configured", s.Fleet.Servers[i].Service)
		}
	}
	return doc, "", nil
}

func joinField(parent, field string) string {
	if field == "" {
		return parent
	}
	return parent + "." + field
}

// faultChange is a point in time at which a fault begins or ends at a server.
type faultChange struct {
	at     time.Duration
	server int // index in a list of servers
	fault  int // index in Fleet.Faults
	on     bool
}

// faultChanges returns the beginnings and ends of the faults at servers in the order of time. Servers are given by their service
// and version. The same seed gives the same changes.
func (f *Fleet) faultChanges(seed uint64, servers []Servers) []faultChange {
	var changes []faultChange
	for i := range f.Faults {
		fault := &f.Faults[i]
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		var matching []int
		for n := range servers {
			if servers[n].Service == fault.Service && (fault.Version == "" || servers[n].Version == fault.Version) {
				matching = append(matching, n)
			}
		}
		rng.Shuffle(len(matching), func(a, b int) { matching[a], matching[b] = matching[b], matching[a] })
		// At least one server is faulty.
		count := max(int(fault.Share*float64(len(matching))+0.5), 1)
		for _, n := range matching[:min(count, len(matching))] {
			changes = append(changes, fault.spells(rng, n, i)...)
		}
	}
	slices.SortStableFunc(changes, func(a, b faultChange) int { return int(a.at - b.at) })
	return changes
}

// spells returns the changes of a fault at one server.
func (f *Fault) spells(rng *rand.Rand, server, fault int) []faultChange {
	end := f.From + f.For
	if f.SpellMax == 0 {
		return []faultChange{{f.From, server, fault, true}, {end, server, fault, false}}
	}
	length := func() time.Duration {
		return f.SpellMin + time.Duration(rng.Float64()*float64(f.SpellMax-f.SpellMin))
	}
	var changes []faultChange
	// The servers begin at different points of their spells.
	at := f.From + time.Duration(rng.Float64()*float64(length()))
	for at < end {
		until := min(at+length(), end)
		changes = append(changes, faultChange{at, server, fault, true}, faultChange{until, server, fault, false})
		at = until + length()
	}
	return changes
}

// mergeFaults returns the larger of each value of the active faults.
func (f *Fleet) mergeFaults(active map[int]bool) standin.Faults {
	var merged standin.Faults
	for i := range active {
		v := f.Faults[i].values()
		merged.ErrorShare = max(merged.ErrorShare, v.ErrorShare)
		merged.ShedShare = max(merged.ShedShare, v.ShedShare)
		merged.HangShare = max(merged.HangShare, v.HangShare)
		merged.SlowFactor = max(merged.SlowFactor, v.SlowFactor)
	}
	return merged
}
