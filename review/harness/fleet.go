package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Ports of each machine; every machine has a loopback address of its own.
const (
	portReady      = 8100
	portApp        = 8103
	portControl    = 8105
	portOutbound   = 8106
	portInbound    = 8109
	firstInternal  = 7640
	lastInternal   = 7655
	heartbeatEvery = 1500 * time.Millisecond
	restartDelay   = 500 * time.Millisecond
)

// machine is one machine of the deployment with its process of the fleet.
type machine struct {
	name, class, zone, service string
	ip, dir                    string
	firstStart                 bool
	cmd                        *exec.Cmd
	log                        *os.File
}

func (m *machine) address(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// fleet is a small deployment: five core machines and the given sidecar machines in three zones.
type fleet struct {
	rec      *record
	root     string // of the repository
	temp     string
	prefix   string // of the loopback addresses
	core     []*machine
	sidecars []*machine
	failed   error
}

var zones = []string{"zone-a", "zone-b", "zone-c"}

func newFleet(rec *record, root string) (*fleet, error) {
	temp, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{rec: rec, root: root, temp: temp}
	if f.prefix, err = freePrefix(); err != nil {
		return nil, err
	}
	for i, zone := range []string{zones[0], zones[0], zones[1], zones[1], zones[2]} {
		f.core = append(f.core, f.newMachine("core", zone, "", i+1))
	}
	return f, nil
}

// freePrefix returns the first two bytes of loopback addresses that nobody listens on.
func freePrefix() (string, error) {
	for range 50 {
		prefix := fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), rand.IntN(250))
		l, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", prefix, portControl))
		if err == nil {
			l.Close()
			return prefix, nil
		}
	}
	return "", fmt.Errorf("no free loopback addresses")
}

func (f *fleet) newMachine(class, zone, service string, number int) *machine {
	m := &machine{
		name: fmt.Sprintf("%s-%s-%d", class, zone, number), class: class, zone: zone, service: service,
		ip: fmt.Sprintf("%s.%d", f.prefix, number), firstStart: true,
	}
	m.dir = filepath.Join(f.temp, m.name)
	return m
}

// addSidecar adds a machine with a target of the service.
func (f *fleet) addSidecar(zone, service string) *machine {
	m := f.newMachine("sidecar", zone, service, 11+len(f.sidecars))
	f.sidecars = append(f.sidecars, m)
	return m
}

func (f *fleet) settings(m *machine) string {
	var b strings.Builder
	serves, data := `["sidecar"]`, ""
	if m.class == "core" {
		serves, data = `["control"]`, fmt.Sprintf("dataDir = %q\n", filepath.Join(m.dir, "data"))
	}
	fmt.Fprintf(&b, "[self]\nnode = %q\nrole = %q\nmachineClass = %q\nserves = %s\nip = %q\nzone = %q\nregion = \"region-1\"\n", m.name, map[string]string{"core": "control", "sidecar": "proxy"}[m.class], m.class, serves, m.ip, m.zone)
	fmt.Fprintf(&b, "countInTolerance = %v\nfirstStart = %v\n%s", m.class == "core", m.firstStart, data)
	if m.class == "sidecar" {
		fmt.Fprintf(&b, "app = %q\nservice = %q\n", m.address(portApp), m.service)
	}
	fmt.Fprintf(&b, "[self.limits]\ncpuShare = 0.96\ncores = 1\nmemoryMb = 280\nmaxFds = 4096\nlinkMbps = 1000.0\ndiskMb = 256\n")
	fmt.Fprintf(&b, "[network]\ninternalPorts = [%d,%d]\nseeds = [%q,%q,%q]\n", firstInternal, lastInternal,
		f.core[0].address(portControl), f.core[2].address(portControl), f.core[4].address(portControl))
	fmt.Fprintf(&b, "[network.listen]\ncontrol = %q\n", m.address(portControl))
	if m.class == "sidecar" {
		fmt.Fprintf(&b, "inbound = %q\noutbound = %q\nready = %q\n", m.address(portInbound), m.address(portOutbound), m.address(portReady))
	}
	b.WriteString("[network.zones]\n")
	for _, zone := range zones {
		fmt.Fprintf(&b, "%s = \"region-1\"\n", zone)
	}
	fmt.Fprintf(&b, "[provider]\ndiscovery = \"static\"\nentry = \"static\"\nheartbeatMs = %d\n", heartbeatEvery.Milliseconds())
	b.WriteString(`[terms]
contracts = ["base","drain","config","cost","retry","recover","health","tenants","quota","places"]
[terms.faultTolerance]
machines = 2
zones = 1
regions = 0
[terms.bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 6
lossSlackMs = 200
configApplyMs = 2000
revertSlackMs = 250
maxStretchMs = 5000
enforceRevocation = false
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
retryBudgetSlack = 62
quotaWindowS = 5
quotaOverage = 0.1
quotaSlack = 20
coldOverage = 1.5
coldSlack = 5
evacuationMs = 5000
recoveryS = 15
probesPerS = 3
floorShare = 0.7
`)
	return b.String()
}

// start starts the process of a machine with the command of deploy/system.toml. The caller's thread must live as long as
// the process, which ends with it.
func (f *fleet) start(m *machine) error {
	if err := os.MkdirAll(filepath.Join(m.dir, "data"), 0o755); err != nil {
		return err
	}
	path := filepath.Join(m.dir, "node.toml")
	if err := os.WriteFile(path, []byte(f.settings(m)), 0o644); err != nil {
		return err
	}
	if m.log == nil {
		var err error
		if m.log, err = os.Create(filepath.Join(m.dir, "log")); err != nil {
			return err
		}
	}
	m.cmd = exec.Command("target/rosemarylined", "-platform")
	m.cmd.Dir = f.root
	m.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "ROSEMARYLINE_CONFIG=" + path}
	m.cmd.Stdout, m.cmd.Stderr = m.log, m.log
	m.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	m.firstStart = false
	return m.cmd.Start()
}

func (f *fleet) startAll() error {
	for _, m := range append(append([]*machine{}, f.core...), f.sidecars...) {
		if err := f.start(m); err != nil {
			return err
		}
	}
	f.rec.add("started %d core and %d sidecar machines", len(f.core), len(f.sidecars))
	return nil
}

// killAndRestart ends a process by SIGKILL and starts it again after a short delay.
func (f *fleet) killAndRestart(m *machine) error {
	f.rec.add("kill %s", m.name)
	_ = m.cmd.Process.Kill()
	_ = m.cmd.Wait()
	time.Sleep(restartDelay)
	f.rec.add("restart %s", m.name)
	return f.start(m)
}

func (f *fleet) signal(m *machine, s syscall.Signal) {
	f.rec.add("signal %v to %s", s, m.name)
	_ = m.cmd.Process.Signal(s)
}

// stop ends all processes.
func (f *fleet) stop() {
	for _, m := range append(append([]*machine{}, f.core...), f.sidecars...) {
		if m.cmd == nil || m.cmd.Process == nil {
			continue
		}
		_ = m.cmd.Process.Kill()
		_ = m.cmd.Wait()
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("kept", f.temp)
		return
	}
	os.RemoveAll(f.temp)
}

// leader returns the core machine whose log last said that it leads.
func (f *fleet) leader() *machine {
	var found *machine
	last := ""
	for _, m := range f.core {
		data, _ := os.ReadFile(filepath.Join(m.dir, "log"))
		for _, line := range strings.Split(string(data), "\n") {
			if !strings.Contains(line, "replica: leadership changed.") || !strings.Contains(line, `"leading":true`) {
				continue
			}
			if at := line[:min(len(line), 40)]; at > last {
				last, found = at, m
			}
		}
	}
	return found
}

// killAll kills all processes at the same moment and starts them again after a short delay.
func (f *fleet) killAll(down time.Duration) error {
	all := append(append([]*machine{}, f.core...), f.sidecars...)
	f.rec.add("kill all processes")
	for _, m := range all {
		_ = m.cmd.Process.Kill()
	}
	for _, m := range all {
		_ = m.cmd.Wait()
	}
	time.Sleep(down)
	f.rec.add("restart all processes")
	for _, m := range all {
		if err := f.start(m); err != nil {
			return err
		}
	}
	return nil
}
