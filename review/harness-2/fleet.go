package main

import (
	"encoding/json"
	"fmt"
	"io"
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

// Ports of every machine, as in the example of the settings on the users' pages.
const (
	portPeer    = 7640
	portMetrics = 7641
	portAdmin   = 7642
	portReady   = 8100
	portApp     = 8103
	portControl = 8105
	portCaller  = 8106
	portInbound = 8109
)

// restartDelay is the platform's delay before it starts a process again.
const restartDelay = 300 * time.Millisecond

// machine is a machine of the platform with one process of the system.
type machine struct {
	fleet   *fleet
	name    string
	ip      string
	zone    string
	service string // empty on a core machine
	dataDir string

	mu      sync.Mutex // guards the fields below
	command *exec.Cmd
	first   bool // the next start is the first one
	ended   bool // no further start
	started time.Time
	exited  chan struct{}
}

func (m *machine) address(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// fleet is a small deployment of the system.
type fleet struct {
	run      *run
	dir      string
	core     []*machine
	sidecars []*machine
}

var zones = []string{"zone-a", "zone-b", "zone-c"}

// newFleet starts three core machines and one sidecar machine for each named service.
func newFleet(r *run, services ...string) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	f := &fleet{run: r, dir: dir}
	r.fleet = f
	block, err := freeBlock(3 + len(services))
	if err != nil {
		return nil, err
	}
	for i := range 3 + len(services) {
		m := &machine{fleet: f, ip: fmt.Sprintf("127.77.%d.%d", block, 10+i), zone: zones[i%len(zones)], first: true}
		if i < 3 {
			m.name, m.dataDir = fmt.Sprintf("core-%s-1", m.zone), filepath.Join(dir, fmt.Sprintf("data-%d", i))
			f.core = append(f.core, m)
		} else {
			m.name, m.service = fmt.Sprintf("sidecar-%s-%d", m.zone, i), services[i-3]
			f.sidecars = append(f.sidecars, m)
		}
	}
	for _, m := range f.machines() {
		if err := m.start(); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func (f *fleet) machines() []*machine {
	return append(append([]*machine(nil), f.core...), f.sidecars...)
}

// freeBlock returns a block of loopback addresses on which all ports are free.
func freeBlock(n int) (int, error) {
	for block := 1 + os.Getpid()%200; block < 255; block++ {
		if blockIsFree(block, n) {
			return block, nil
		}
	}
	return 0, fmt.Errorf("no free block of loopback addresses")
}

func blockIsFree(block, n int) bool {
	for i := range n {
		for _, port := range []int{portPeer, portMetrics, portAdmin, portReady, portApp, portControl, portCaller, portInbound} {
			l, err := net.Listen("tcp", fmt.Sprintf("127.77.%d.%d:%d", block, 10+i, port))
			if err != nil {
				return false
			}
			l.Close()
		}
	}
	return true
}

// settings returns the contents of the settings file.
func (m *machine) settings() string {
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	class, core := "sidecar", m.service == ""
	if core {
		class = "core"
	}
	line("[self]\nnode = %q\nrole = %q\nmachineClass = %q", m.name, class, class)
	line("ip = %q\nzone = %q\nregion = \"region-1\"\ncountInTolerance = %t\nfirstStart = %t", m.ip, m.zone, core, m.first)
	if core {
		line("serves = [\"control\"]\ndataDir = %q", m.dataDir)
	} else {
		line("serves = [\"sidecar\"]\napp = %q\nservice = %q", m.address(portApp), m.service)
	}
	line("[self.limits]\ncpuShare = 0.96\ncores = 1\nmemoryMb = 280\nmaxFds = 4096\nlinkMbps = 1000.0\ndiskMb = 256")
	line("[network]\ninternalPorts = [7640,7655]\nseeds = [%q,%q,%q]", m.fleet.core[0].address(portControl),
		m.fleet.core[1].address(portControl), m.fleet.core[2].address(portControl))
	line("[network.listen]\ncontrol = %q", m.address(portControl))
	if !core {
		line("inbound = %q\noutbound = %q\nready = %q", m.address(portInbound), m.address(portCaller), m.address(portReady))
	}
	line("[network.zones]")
	for _, zone := range zones {
		line("%s = \"region-1\"", zone)
	}
	line("[provider]\ndiscovery = \"static\"\nentry = \"static\"\nheartbeatMs = %d", heartbeatInterval.Milliseconds())
	line("[terms]\ncontracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"health\",\"tenants\",\"quota\",\"places\"]")
	line("[terms.faultTolerance]\nmachines = 1\nzones = 1\nregions = 0")
	line("[terms.bounds]\nseedLagS = 3\nreuseAfterS = 2\ncontactMs = 3000\nackMs = 4000\ncatchUpS = 4\ndrainMs = 2000\ngraceS = 6")
	line("lossSlackMs = 200\nconfigApplyMs = 2000\nrevertSlackMs = 250\nmaxStretchMs = 5000\nenforceRevocation = false\nrevokeMs = 5000")
	line("retryBudgetRatio = 0.2\nbudgetWindowS = 10\nretryBudgetSlack = 62\nquotaWindowS = 5\nquotaOverage = 0.1\nquotaSlack = 20")
	line("coldOverage = 1.5\ncoldSlack = 5\nevacuationMs = 5000\nrecoveryS = 15\nprobesPerS = 3\nfloorShare = 0.7")
	return b.String()
}

// start starts the process of a machine and keeps it running, as the platform does.
func (m *machine) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ended {
		return nil
	}
	path := filepath.Join(m.fleet.dir, m.name+".toml")
	if err := os.WriteFile(path, []byte(m.settings()), 0o600); err != nil {
		return err
	}
	m.first = false
	logs, err := os.OpenFile(filepath.Join(m.fleet.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logs.Close()
	command := exec.Command("target/rosemarylined", "-platform")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "ROSEMARYLINE_CONFIG=" + path}
	command.Stdout, command.Stderr = logs, logs
	if err := command.Start(); err != nil {
		return err
	}
	m.command, m.started, m.exited = command, time.Now(), make(chan struct{})
	m.fleet.run.log("platform: started the process on %s", m.name)
	go m.supervise(command, m.exited)
	return nil
}

func (m *machine) supervise(command *exec.Cmd, exited chan struct{}) {
	err := command.Wait()
	close(exited)
	m.mu.Lock()
	ended := m.ended
	m.mu.Unlock()
	if ended {
		return
	}
	m.fleet.run.log("platform: the process on %s ended: %v", m.name, err)
	time.Sleep(restartDelay)
	if err := m.start(); err != nil {
		m.fleet.run.log("platform: could not start %s: %v", m.name, err)
	}
}

// kill kills the process and waits for its end. The platform starts it again after restartDelay.
func (m *machine) kill() {
	m.mu.Lock()
	command, exited := m.command, m.exited
	m.mu.Unlock()
	m.fleet.run.log("disruption: SIGKILL to the process on %s", m.name)
	_ = command.Process.Kill()
	<-exited
}

// lastStart returns when the process was last started.
func (m *machine) lastStart() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.started
}

// end ends all processes and removes the folder of the run. KEEP=1 keeps it.
func (f *fleet) end() {
	for _, m := range f.machines() {
		m.mu.Lock()
		m.ended = true
		command, exited := m.command, m.exited
		m.mu.Unlock()
		if command == nil {
			continue
		}
		_ = command.Process.Signal(syscall.SIGKILL)
		<-exited
	}
	if os.Getenv("KEEP") == "1" {
		fmt.Println("logs are in", f.dir)
		return
	}
	_ = os.RemoveAll(f.dir)
}

// route is a route of a configuration.
type route struct {
	Name        string `json:"name"`
	PathPrefix  string `json:"pathPrefix"`
	Kind        string `json:"kind"`
	TimeoutMs   int    `json:"timeoutMs"`
	AimMs       int    `json:"aimMs"`
	Priority    int    `json:"priority"`
	Service     string `json:"service"`
	MaxAttempts int    `json:"maxAttempts"`
	Public      bool   `json:"public"`
}

const (
	routeHost  = "rondes.example"
	routeKey   = "89anu6wsjnbanfqasnmg"
	tenantName = "bozi300"
)

// configuration returns a configuration with one host. Its services need no warm-up if warmupPerS is 0.
func configuration(version, base int, services []string, coldStartS, warmupPerS float64, routes ...route) []byte {
	var list []map[string]any
	for _, name := range services {
		list = append(list, map[string]any{"name": name, "healthPath": "/health", "maxConnections": 390, "protocol": "h1",
			"tls": false, "coldStartS": coldStartS, "warmupPerS": warmupPerS})
	}
	document := map[string]any{
		"version": fmt.Sprintf("r%d", version), "baseVersion": fmt.Sprintf("r%d", base), "services": list,
		"limits":  map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": tenantName, "apiKeys": []string{routeKey}, "priority": 1, "ratePerS": 400, "burst": 400}},
		"hosts":   []any{map[string]any{"host": routeHost, "paths": routes}},
	}
	data, err := json.Marshal(document)
	if err != nil {
		panic(err)
	}
	return data
}

// configure sends a configuration until it is accepted, and waits until all sidecar machines are ready.
func (f *fleet) configure(document []byte) error {
	client := &http.Client{Timeout: time.Second}
	end := time.Now().Add(20 * time.Second)
	for i := 0; ; i++ {
		status, err := post(client, f.core[i%len(f.core)].address(portControl), "/v1/Config.Replace", document)
		if err == nil && status == http.StatusOK {
			break
		}
		if time.Now().After(end) {
			return fmt.Errorf("the configuration was not accepted: status %d, %v", status, err)
		}
		time.Sleep(100 * time.Millisecond)
	}
	f.run.log("operator: the configuration is acknowledged")
	for _, m := range f.sidecars {
		for !m.ready(client) {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	f.run.log("platform: all sidecar machines are ready")
	return nil
}

// ready asks a process whether it is ready.
func (m *machine) ready(client *http.Client) bool {
	resp, err := client.Get("http://" + m.address(portReady) + "/v1/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// post sends a call with a JSON body, or without a body if it is nil.
func post(client *http.Client, address, path string, body []byte) (status int, err error) {
	var reader io.Reader
	if body != nil {
		reader = strings.NewReader(string(body))
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+address+path, reader)
	if err != nil {
		return 0, err
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// signal sends a signal to the process of a machine.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fleet.run.log("signal to the process on %s: %v", m.name, s)
	_ = m.command.Process.Signal(s)
}
