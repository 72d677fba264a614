package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// machine is one machine of the fleet: a loopback address, a process of the project, and on sidecar machines a target.
type machine struct {
	f       *fleet
	name    string
	class   string // core or sidecar
	zone    string
	ip      string
	service string
	target  *target

	mu      sync.Mutex // guards the fields below
	cmd     *exec.Cmd
	exited  chan struct{}
	stopped bool // the platform does not start the process again
}

// fleet is a small deployment on loopback addresses.
type fleet struct {
	dir      string
	root     string // the repository
	prefix   string // of the loopback addresses
	port     int    // first port
	zones    []string
	machines []*machine
	rec      *recorder
	// restartDelay is the platform's delay before it starts an ended process again.
	restartDelay time.Duration
	ended        bool
	wg           sync.WaitGroup
}

func (f *fleet) addr(ip string, offset int) string { return fmt.Sprintf("%s:%d", ip, f.port+offset) }

const (
	portControl = iota
	portReady
	portOutbound
	portInbound
	portApp
	portInternal = 10
)

// newFleet lays out core machines and sidecar machines; services names the service of each sidecar machine.
func newFleet(rec *recorder, cores int, services []string) (*fleet, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	for ; root != "/"; root = filepath.Dir(root) {
		if _, err := os.Stat(filepath.Join(root, "deploy/system.toml")); err == nil {
			break
		}
	}
	port, err := freePorts()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	f := &fleet{
		dir: dir, root: root, rec: rec, restartDelay: 100 * time.Millisecond,
		prefix: fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250)),
		port:   port,
		zones:  []string{"zone-a", "zone-b", "zone-c"},
	}
	for i := range cores {
		z := f.zones[i%len(f.zones)]
		f.machines = append(f.machines, &machine{f: f, class: "core", zone: z, ip: fmt.Sprintf("%s.%d", f.prefix, 10+i), name: fmt.Sprintf("core-%s-%d", z, i+1)})
	}
	for i, s := range services {
		z := f.zones[i%len(f.zones)]
		m := &machine{f: f, class: "sidecar", zone: z, service: s, ip: fmt.Sprintf("%s.%d", f.prefix, 100+i), name: fmt.Sprintf("sidecar-%s-%d", z, i+1)}
		m.target = newTarget(m)
		f.machines = append(f.machines, m)
	}
	return f, nil
}

// metricsPort is the port of the metrics in deploy/system.toml.
const metricsPort = 7641

// freePorts returns the first of a row of ports that are free on all loopback addresses.
func freePorts() (int, error) {
	if !isFree(metricsPort) {
		return 0, fmt.Errorf("port %d is in use", metricsPort)
	}
	for range 20 {
		port := 20000 + 50*rand.IntN(200)
		free := true
		for offset := 0; free && offset < portInternal+16; offset++ {
			free = isFree(port + offset)
		}
		if free {
			return port, nil
		}
	}
	return 0, fmt.Errorf("no row of free ports was found")
}

// isFree reports whether a port is free on 127.0.0.1. A listener on all addresses takes it there too.
func isFree(port int) bool {
	l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
	if err != nil {
		return false
	}
	l.Close()
	return true
}

func (f *fleet) class(class string) []*machine {
	var list []*machine
	for _, m := range f.machines {
		if m.class == class {
			list = append(list, m)
		}
	}
	return list
}

func quoted(list []string) string {
	b, _ := json.Marshal(list)
	return string(b)
}

// settings returns the settings file of a machine, as DEPLOY.md describes it.
func (m *machine) settings(first bool) string {
	f := m.f
	var seeds []string
	for _, c := range f.class("core")[:3] {
		seeds = append(seeds, f.addr(c.ip, portControl))
	}
	var b strings.Builder
	p := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	p("[self]\nnode = %q\nmachineClass = %q\nip = %q\nzone = %q\nregion = \"region-1\"", m.name, m.class, m.ip, m.zone)
	p("countInTolerance = %t\nfirstStart = %t", m.class == "core", first)
	if m.class == "core" {
		p("role = \"control\"\nserves = [\"control\"]\ndataDir = %q", filepath.Join(f.dir, m.name, "data"))
		p("[self.limits]\ncpuShare = 0.96\ncores = 1\nmemoryMb = 280\nmaxFds = 4096\nlinkMbps = 1000.0\ndiskMb = 256")
	} else {
		p("role = \"proxy\"\nserves = [\"sidecar\"]\napp = %q\nservice = %q", f.addr(m.ip, portApp), m.service)
		p("[self.limits]\ncpuShare = 0.32\ncores = 1\nmemoryMb = 284\nmaxFds = 4100\nlinkMbps = 1000.0\ndiskMb = 0")
	}
	p("[network]\ninternalPorts = [%d,%d]\nseeds = %s\n[network.listen]", f.port+portInternal, f.port+portInternal+15, quoted(seeds))
	p("control = %q", f.addr(m.ip, portControl))
	if m.class == "sidecar" {
		p("inbound = %q\noutbound = %q\nready = %q", f.addr(m.ip, portInbound), f.addr(m.ip, portOutbound), f.addr(m.ip, portReady))
	}
	p("[network.zones]")
	for _, z := range f.zones {
		p("%s = \"region-1\"", z)
	}
	p("[provider]\ndiscovery = \"static\"\nentry = \"static\"\nheartbeatMs = 1500")
	p("[terms]\ncontracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"health\",\"tenants\",\"quota\",\"places\"]")
	p("[terms.faultTolerance]\nmachines = %d\nzones = 1\nregions = 0", f.tolerance())
	p("[terms.bounds]\nseedLagS = 3\nreuseAfterS = 2\ncontactMs = 3000\nackMs = 4000\ncatchUpS = 4\ndrainMs = 2000\ngraceS = 6\nlossSlackMs = 200\nconfigApplyMs = 2000\nrevertSlackMs = 250\nmaxStretchMs = 5000\nenforceRevocation = false\nrevokeMs = 5000\nretryBudgetRatio = 0.2\nbudgetWindowS = 10\nretryBudgetSlack = 62\nquotaWindowS = 5\nquotaOverage = 0.1\nquotaSlack = 20\ncoldOverage = 1.5\ncoldSlack = 5\nevacuationMs = 5000\nrecoveryS = 15\nprobesPerS = 3\nfloorShare = 0.7")
	return b.String()
}

// tolerance is the number of core machines that may be lost at the same time: 2 of 5, 1 of 3.
func (f *fleet) tolerance() int { return (len(f.class("core")) - 1) / 2 }

// start starts the process of a machine with the command of the deploy file, and again when it ends.
func (m *machine) start(first bool) error {
	folder := filepath.Join(m.f.dir, m.name)
	if err := os.MkdirAll(filepath.Join(folder, "data"), 0o700); err != nil {
		return err
	}
	settings := filepath.Join(folder, "node.toml")
	if err := os.WriteFile(settings, []byte(m.settings(first)), 0o600); err != nil {
		return err
	}
	logFile, err := os.OpenFile(filepath.Join(folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/rosemarylined", "-platform")
	cmd.Dir = m.f.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "ROSEMARYLINE_CONFIG=" + settings}
	cmd.Stdout, cmd.Stderr = logFile, logFile
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	m.mu.Lock()
	m.cmd, m.exited = cmd, exited
	m.mu.Unlock()
	m.f.wg.Add(1)
	go func() {
		defer m.f.wg.Done()
		err := cmd.Wait()
		logFile.Close()
		close(exited)
		m.mu.Lock()
		stopped := m.stopped || m.f.ended
		m.mu.Unlock()
		if !stopped {
			m.f.rec.event("process of %s ended: %v", m.name, err)
			time.Sleep(m.f.restartDelay)
			m.mu.Lock()
			stopped = m.stopped || m.f.ended
			m.mu.Unlock()
			if !stopped {
				_ = m.start(false)
			}
		}
	}()
	return nil
}

func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil && m.cmd.Process != nil {
		_ = m.cmd.Process.Signal(s)
	}
}

// stop ends all processes of the fleet and its targets.
func (f *fleet) stop() {
	for _, m := range f.machines {
		m.mu.Lock()
		m.stopped = true
		m.mu.Unlock()
	}
	f.ended = true
	for _, m := range f.machines {
		m.signal(syscall.SIGCONT)
		m.signal(syscall.SIGKILL)
		if m.target != nil {
			m.target.close()
		}
	}
	f.wg.Wait()
	os.RemoveAll(f.dir)
}

var operatorClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// order sends an operator's call to a node and returns the status, 0 without an answer.
func (f *fleet) order(m *machine, method, path string, body []byte) (int, []byte) {
	req, _ := http.NewRequest(method, "http://"+f.addr(m.ip, portControl)+path, bytes.NewReader(body))
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := operatorClient.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, data
}

// mustOrder sends a call to one core machine after the other until one has acknowledged it.
func (f *fleet) mustOrder(method, path string, body []byte, limit time.Duration) error {
	end := time.Now().Add(limit)
	cores := f.class("core")
	last := 0
	for i := rand.IntN(len(cores)); time.Now().Before(end); i++ {
		status, answer := f.order(cores[i%len(cores)], method, path, body)
		if status == 200 {
			return nil
		}
		if status >= 400 && status < 500 && status != 408 && status != 429 {
			return fmt.Errorf("%s: status %d: %s", path, status, answer)
		}
		last = status
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("%s: no acknowledgement, last status %d", path, last)
}

// begin starts all machines, sends the first configuration and waits until all nodes are ready.
func (f *fleet) begin(config []byte) error {
	for _, m := range f.machines {
		if m.target != nil {
			if err := m.target.listen(); err != nil {
				return err
			}
		}
		if err := m.start(true); err != nil {
			return err
		}
	}
	for _, m := range f.class("sidecar") {
		m.target.beat()
	}
	if err := f.mustOrder("POST", "/v1/Config.Replace", config, 20*time.Second); err != nil {
		return err
	}
	return f.awaitReady(20 * time.Second)
}

// awaitReady waits until all sidecar machines are ready.
func (f *fleet) awaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, m := range f.class("sidecar") {
		for !m.ready() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (m *machine) ready() bool {
	resp, err := operatorClient.Get("http://" + m.f.addr(m.ip, portReady) + "/v1/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == 200
}
